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

// Options are where points go, and the bounds of it.
type Options struct {
	Address         string
	Prefix          string        // of each path
	Interval        time.Duration // from snapshot to snapshot
	MaxQueuedPoints int           // that may wait to be sent; past it the oldest are dropped
	WriteTimeout    time.Duration // a write makes its way within this time
	DialTimeout     time.Duration // a connection comes up within this time
	MaxRetryDelay   time.Duration // the longest wait between two attempts
}

const (
	chunkBytes       = 8 << 10 // points are sent, and dropped, by about so many bytes
	snapshotPoolSize = 2       // one may be filled while another is made into points
)

// Stats are points and what became of them, since the start.
type Stats struct {
	Sent             int // points that were written
	Dropped          int // points that were dropped unsent, the oldest first
	SkippedSnapshots int // snapshots that were not taken, as the ones before were still being made into points
	Failures         int // connections that failed or did not come up
}

// Sender makes points of snapshots and sends them. Take and Give never wait.
type Sender struct {
	options Options
	labels  Labels
	log     zerolog.Logger
	dial    func(ctx context.Context) (net.Conn, error)

	freeSnapshots, filledSnapshots chan *Snapshot
	wake                           chan struct{} // something waits to be sent

	mu           sync.Mutex
	queue        []chunk // oldest first
	queuedPoints int     // in waiting
	stats        Stats
}

type chunk struct {
	lines  []byte
	points int
}

// New returns a Sender that sends nothing before Run.
func New(o Options, n Labels, log zerolog.Logger) *Sender {
	s := &Sender{options: o, labels: n, log: log, freeSnapshots: make(chan *Snapshot, snapshotPoolSize), filledSnapshots: make(chan *Snapshot, snapshotPoolSize),
		wake: make(chan struct{}, 1)}
	for range snapshotPoolSize {
		s.freeSnapshots <- &Snapshot{}
	}
	dialer := net.Dialer{Timeout: o.DialTimeout}
	s.dial = func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", o.Address) }
	return s
}

// AcquireSnapshot returns a snapshot to fill, nil if none is free: then this one is missed, and counted.
func (s *Sender) AcquireSnapshot() *Snapshot {
	select {
	case x := <-s.freeSnapshots:
		return x
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stats.SkippedSnapshots++
		return nil
	}
}

// SubmitSnapshot hands a filled snapshot over.
func (s *Sender) SubmitSnapshot(x *Snapshot) { s.filledSnapshots <- x } // there is room for all there are

// Stats tells what has become of points so far.
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
		case x := <-s.filledSnapshots:
			w.writeSnapshot(x, s.labels, s.Stats(), s.enqueue)
			s.freeSnapshots <- x
		}
	}
}

// enqueue puts points in line. Where there is no room the oldest go: the newest tell most.
func (s *Sender) enqueue(lines []byte, points int) {
	s.mu.Lock()
	s.queue = append(s.queue, chunk{lines, points})
	s.queuedPoints += points
	for s.queuedPoints > s.options.MaxQueuedPoints && len(s.queue) > 0 {
		s.countDropped(s.queue[0].points)
		s.queue[0] = chunk{}
		s.queue = s.queue[1:]
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sender) countDropped(points int) {
	s.queuedPoints, s.stats.Dropped = s.queuedPoints-points, s.stats.Dropped+points
}

func (s *Sender) dequeue() (c chunk, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return chunk{}, false
	}
	c = s.queue[0]
	s.queue = s.queue[1:]
	s.queuedPoints -= c.points
	return c, true
}

// requeue puts a chunk that was not sent in line again, first. Where newer points have filled the room it is dropped.
func (s *Sender) requeue(c chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queuedPoints += c.points; s.queuedPoints > s.options.MaxQueuedPoints {
		s.countDropped(c.points)
		return
	}
	s.queue = append([]chunk{c}, s.queue...)
}

// sendLoop connects, writes what waits, and begins again after a while when that fails. A chunk that failed is sent again
// whole: Graphite keeps one value for a path and second, so lines that come twice do no harm.
func (s *Sender) sendLoop(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = s.options.MaxRetryDelay
	failed := false
	for {
		err := s.sendOnConnection(ctx, func() {
			if wait.Reset(); failed {
				s.log.Info().Str("graphite", s.options.Address).Msg("graphite is back")
			}
			failed = false
		})
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		s.stats.Failures++
		s.mu.Unlock()
		if !failed {
			s.log.Warn().Str("graphite", s.options.Address).Err(err).Msg("graphite failure")
		}
		failed = true
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// sendOnConnection sends until something fails; good is called once writes have made their way for as long as one may take.
func (s *Sender) sendOnConnection(ctx context.Context, good func()) error {
	c, err := s.dial(ctx)
	if err != nil {
		return fmt.Errorf("dialing: %w", err)
	}
	defer c.Close()
	up := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	context.AfterFunc(ctx, func() { c.Close() })
	go func() { // the receiver says nothing: an end here is the end
		_, err := io.Copy(io.Discard, c)
		cancel(fmt.Errorf("closed by the receiver: %w", cmp.Or(err, io.EOF)))
	}()
	for {
		b, ok := s.dequeue()
		if !ok {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-s.wake:
			}
			continue
		}
		if err = c.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout)); err == nil {
			_, err = c.Write(b.lines)
		}
		if err != nil {
			s.requeue(b)
			return fmt.Errorf("writing: %w", err)
		}
		s.mu.Lock()
		s.stats.Sent += b.points
		s.mu.Unlock()
		if time.Since(up) > s.options.WriteTimeout { // the first writes fit into buffers, whether anybody reads or not
			good()
		}
	}
}
