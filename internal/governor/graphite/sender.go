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

// snapshotPoolSize allows one snapshot to be filled while another is formatted.
const snapshotPoolSize = 2

// Options configure a Sender.
type Options struct {
	Address         string
	Prefix          string        // of each path
	Interval        time.Duration // between snapshots
	MaxQueuedPoints int           // the oldest points above this limit are dropped
	WriteTimeout    time.Duration
	DialTimeout     time.Duration
	MaxRetryDelay   time.Duration // between attempts to connect
}

// Stats are counts since the start.
type Stats struct {
	Sent             int // points written to a connection
	Dropped          int // points dropped before they were sent
	SkippedSnapshots int // snapshots not taken because earlier ones were still being formatted
	Failures         int // connections that failed or could not be opened
}

// Sender formats snapshots as points and sends them. AcquireSnapshot and SubmitSnapshot never block.
type Sender struct {
	options Options
	labels  Labels
	log     zerolog.Logger
	dial    func(ctx context.Context) (net.Conn, error)

	freeSnapshots, filledSnapshots chan *Snapshot
	wake                           chan struct{} // signals that the queue is not empty

	mu           sync.Mutex
	queue        []chunk // oldest first
	queuedPoints int
	stats        Stats
}

// New returns a Sender that does nothing until Run.
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

// AcquireSnapshot returns a snapshot to fill and submit. If none is free, it returns nil and counts a skipped snapshot.
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

// SubmitSnapshot submits a snapshot from AcquireSnapshot. It does not block, as the channel has room for all snapshots.
func (s *Sender) SubmitSnapshot(snapshot *Snapshot) { s.filledSnapshots <- snapshot }

// Stats returns the counts so far.
func (s *Sender) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Run formats and sends snapshots, in two goroutines, until ctx is done.
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

// sendLoop sends queued points and reconnects with exponential backoff after failures. A chunk that failed is sent again as a
// whole, which is harmless because Graphite keeps one value per path and second.
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

// sendOnConnection opens a connection and sends on it until it fails. It calls onHealthy after each write once the connection
// is older than WriteTimeout, because earlier writes may succeed into socket buffers although the receiver does not read.
func (s *Sender) sendOnConnection(ctx context.Context, onHealthy func()) error {
	conn, err := s.dial(ctx)
	if err != nil {
		return fmt.Errorf("dialing: %w", err)
	}
	closeConn := func() { _ = conn.Close() } // the error does not matter: nothing is sent afterwards
	defer closeConn()
	openedAt := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	context.AfterFunc(ctx, closeConn)
	go func() { // the receiver sends nothing, so a read ends only when the connection does
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
