package graphite

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
)

// snapshotPoolSize lets one snapshot be filled while another is made into points.
const snapshotPoolSize = 2

// Options are the address of Graphite and the limits of a Sender.
type Options struct {
	Address         string
	Prefix          string        // of each path
	Interval        time.Duration // between snapshots
	MaxQueuedPoints int           // beyond it the oldest points are dropped
	WriteTimeout    time.Duration
	DialTimeout     time.Duration
	MaxRetryDelay   time.Duration // between two attempts to connect
}

// Stats count points and what became of them since the start.
type Stats struct {
	Sent             int // points written to a connection
	Dropped          int // points dropped unsent, the oldest first
	SkippedSnapshots int // snapshots not taken, as the ones before were still being made into points
	Failures         int // connections that failed or could not be opened
}

// Sender makes points of snapshots and sends them. AcquireSnapshot and SubmitSnapshot never wait.
type Sender struct {
	options Options
	labels  Labels
	log     zerolog.Logger
	dial    func(ctx context.Context) (net.Conn, error)

	freeSnapshots, filledSnapshots chan *Snapshot
	wake                           chan struct{} // the queue is not empty

	mu           sync.Mutex
	queue        []chunk // oldest first
	queuedPoints int
	stats        Stats
}

// New returns a Sender that sends nothing before Run.
func New(o Options, labels Labels, log zerolog.Logger) *Sender {
	s := &Sender{
		options:         o,
		labels:          labels,
		log:             log,
		freeSnapshots:   make(chan *Snapshot, snapshotPoolSize),
		filledSnapshots: make(chan *Snapshot, snapshotPoolSize),
		wake:            make(chan struct{}, 1),
	}
	for range snapshotPoolSize {
		s.freeSnapshots <- &Snapshot{}
	}
	dialer := net.Dialer{Timeout: o.DialTimeout}
	s.dial = func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", o.Address) }
	return s
}

// AcquireSnapshot returns a snapshot to fill, which must then be submitted. It returns nil if none is free; the snapshot is
// then counted as skipped.
func (s *Sender) AcquireSnapshot() *Snapshot {
	select {
	case snapshot := <-s.freeSnapshots:
		return snapshot
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stats.SkippedSnapshots++
		return nil
	}
}

// SubmitSnapshot hands over a snapshot from AcquireSnapshot. The channel has room for all of them.
func (s *Sender) SubmitSnapshot(snapshot *Snapshot) { s.filledSnapshots <- snapshot }

// Stats returns the counts so far.
func (s *Sender) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run makes points of snapshots and sends them, each in a goroutine of its own, until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.sendLoop(ctx) })
	w := pointWriter{prefix: s.options.Prefix + "."}
	for {
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case snapshot := <-s.filledSnapshots:
			w.writeSnapshot(snapshot, s.labels, s.Stats(), s.enqueue)
			s.freeSnapshots <- snapshot
		}
	}
}

// sendLoop connects, sends what is queued, and connects again with exponential backoff when that fails. A chunk that failed
// is sent again as a whole: Graphite keeps one value for a path and second, so repeated lines do no harm.
func (s *Sender) sendLoop(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.MaxInterval = s.options.MaxRetryDelay
	failed := false
	for {
		err := s.sendOnConnection(ctx, func() {
			if retryDelay.Reset(); failed {
				s.log.Info().Str("graphite", s.options.Address).Msg("graphite is back")
			}
			failed = false
		})
		if ctx.Err() != nil {
			return
		}
		s.countFailure()
		if !failed {
			s.log.Warn().Str("graphite", s.options.Address).Err(err).Msg("graphite failure")
		}
		failed = true
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryDelay.NextBackOff()):
		}
	}
}

// sendOnConnection opens a connection and sends until something fails. It calls onHealthy once the connection is older than
// one write may take: earlier writes fit into buffers, whether anybody reads or not.
func (s *Sender) sendOnConnection(ctx context.Context, onHealthy func()) error {
	conn, err := s.dial(ctx)
	if err != nil {
		return fmt.Errorf("dialing: %w", err)
	}
	closeConn := func() { _ = conn.Close() } // what has not been acknowledged is of no further use
	defer closeConn()
	openedAt := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	context.AfterFunc(ctx, closeConn)
	go func() { // the receiver never sends, so the end of a read is the end of the connection
		_, err := io.Copy(io.Discard, conn)
		cancel(fmt.Errorf("closed by the receiver: %w", cmp.Or(err, io.EOF)))
	}()
	for {
		next, ok := s.dequeue()
		if !ok {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-s.wake:
			}
			continue
		}
		if err := s.write(conn, next); err != nil {
			s.requeue(next)
			return fmt.Errorf("writing: %w", err)
		}
		s.countSent(next.points)
		if time.Since(openedAt) > s.options.WriteTimeout {
			onHealthy()
		}
	}
}

func (s *Sender) write(conn net.Conn, c chunk) error {
	if err := conn.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(c.lines)
	return err
}
