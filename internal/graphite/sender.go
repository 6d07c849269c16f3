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
	Address   string
	Prefix    string        // of each path
	Interval  time.Duration // from snapshot to snapshot
	Points    int           // that may wait to be sent; past it the oldest are dropped
	WriteMost time.Duration // a write makes its way within this time
	DialMost  time.Duration // a connection comes up within this time
	RetryMost time.Duration // the longest wait between two attempts
}

const (
	chunkBytes = 8 << 10 // points are sent, and dropped, by about so many bytes
	snapshots  = 2       // one may be filled while another is made into points
)

// Counts are points and what became of them, since the start.
type Counts struct {
	Sent     int // points that were written
	Dropped  int // points that were dropped unsent, the oldest first
	Missed   int // snapshots that were not taken, as the ones before were still being made into points
	Failures int // connections that failed or did not come up
}

// Sender makes points of snapshots and sends them. Take and Give never wait.
type Sender struct {
	opts  Options
	names Names
	log   zerolog.Logger
	dial  func(ctx context.Context) (net.Conn, error)

	free, full chan *Snapshot
	more       chan struct{} // something waits to be sent

	mu      sync.Mutex
	waiting []chunk // oldest first
	points  int     // in waiting
	counts  Counts
}

type chunk struct {
	lines  []byte
	points int
}

// New returns a Sender that sends nothing before Run.
func New(o Options, n Names, log zerolog.Logger) *Sender {
	s := &Sender{opts: o, names: n, log: log, free: make(chan *Snapshot, snapshots), full: make(chan *Snapshot, snapshots),
		more: make(chan struct{}, 1)}
	for range snapshots {
		s.free <- &Snapshot{}
	}
	dialer := net.Dialer{Timeout: o.DialMost}
	s.dial = func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", o.Address) }
	return s
}

// Take returns a snapshot to fill, nil if none is free: then this one is missed, and counted.
func (s *Sender) Take() *Snapshot {
	select {
	case x := <-s.free:
		return x
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts.Missed++
		return nil
	}
}

// Give hands a filled snapshot over.
func (s *Sender) Give(x *Snapshot) { s.full <- x } // there is room for all there are

// Counts tells what has become of points so far.
func (s *Sender) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Run makes points of snapshots and sends them, each in a goroutine of its own, until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.send(ctx) })
	w := writer{prefix: s.opts.Prefix + "."}
	for {
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case x := <-s.full:
			w.write(x, s.names, s.Counts(), s.add)
			s.free <- x
		}
	}
}

// add puts points in line. Where there is no room the oldest go: the newest tell most.
func (s *Sender) add(lines []byte, points int) {
	s.mu.Lock()
	s.waiting = append(s.waiting, chunk{lines, points})
	s.points += points
	for s.points > s.opts.Points && len(s.waiting) > 0 {
		s.drop(s.waiting[0].points)
		s.waiting[0] = chunk{}
		s.waiting = s.waiting[1:]
	}
	s.mu.Unlock()
	select {
	case s.more <- struct{}{}:
	default:
	}
}

func (s *Sender) drop(points int) {
	s.points, s.counts.Dropped = s.points-points, s.counts.Dropped+points
}

func (s *Sender) next() (c chunk, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return chunk{}, false
	}
	c = s.waiting[0]
	s.waiting = s.waiting[1:]
	s.points -= c.points
	return c, true
}

// back puts a chunk that was not sent in line again, first. Where newer points have filled the room it is dropped.
func (s *Sender) back(c chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.points += c.points; s.points > s.opts.Points {
		s.drop(c.points)
		return
	}
	s.waiting = append([]chunk{c}, s.waiting...)
}

// send connects, writes what waits, and begins again after a while when that fails. A chunk that failed is sent again
// whole: Graphite keeps one value for a path and second, so lines that come twice do no harm.
func (s *Sender) send(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = s.opts.RetryMost
	failed := false
	for {
		err := s.connection(ctx, func() {
			if wait.Reset(); failed {
				s.log.Info().Str("graphite", s.opts.Address).Msg("graphite is back")
			}
			failed = false
		})
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		s.counts.Failures++
		s.mu.Unlock()
		if !failed {
			s.log.Warn().Str("graphite", s.opts.Address).Err(err).Msg("graphite failure")
		}
		failed = true
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// connection sends until something fails; good is called once writes have made their way for as long as one may take.
func (s *Sender) connection(ctx context.Context, good func()) error {
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
		b, ok := s.next()
		if !ok {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-s.more:
			}
			continue
		}
		if err = c.SetWriteDeadline(time.Now().Add(s.opts.WriteMost)); err == nil {
			_, err = c.Write(b.lines)
		}
		if err != nil {
			s.back(b)
			return fmt.Errorf("writing: %w", err)
		}
		s.mu.Lock()
		s.counts.Sent += b.points
		s.mu.Unlock()
		if time.Since(up) > s.opts.WriteMost { // the first writes fit into buffers, whether anybody reads or not
			good()
		}
	}
}
