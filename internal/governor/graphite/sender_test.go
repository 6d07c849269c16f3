package graphite

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

// senderOptions returns options with short timeouts and a queue of 5,000 points.
func senderOptions(address string) Options {
	return Options{Address: address, Prefix: "z", MaxQueuedPoints: 5000, WriteTimeout: 200 * time.Millisecond, DialTimeout: time.Second, MaxRetryDelay: 100 * time.Millisecond}
}

// runSender runs a sender and submits snapshots until done returns true.
func runSender(t *testing.T, s *Sender, replicas int, done func(Stats) bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	for at := int64(1_700_000_000); !done(s.Stats()) && ctx.Err() == nil; at++ {
		if x := s.AcquireSnapshot(); x != nil {
			fill(x, at, replicas)
			s.SubmitSnapshot(x)
		}
		time.Sleep(10 * time.Millisecond) // real time, as the receiver is a socket
	}
	if ctx.Err() != nil {
		t.Errorf("after 20 s: %+v", s.Stats())
	}
	stop()
	<-ended
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	sync.Mutex
	b strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.Lock()
	defer l.Unlock()
	return l.b.String()
}

// TestReceivers runs a sender against receivers that read, half-close, read slowly, reset, stall, or start late: the queue
// stays within its limit, drops are counted, and sending resumes when the receiver reads.
func TestReceivers(t *testing.T) {
	for name, behaviour := range map[string]standin.ConnectionBehaviour{"reads": standin.ReadsLines, "half ends": standin.HalfCloses, "trickles": standin.ReadsSlowly} {
		t.Run(name, func(t *testing.T) {
			g, err := standin.ListenGraphite("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			g.SetBehaviour(behaviour)
			runSender(t, New(senderOptions(g.Address()), names(), testkit.Logger(&strings.Builder{})), 3, func(c Stats) bool { return c.Sent > 300 && len(g.Lines()) > 50 })
			if !slices.ContainsFunc(g.Lines(), func(l string) bool { return strings.HasPrefix(l, "z.replica.web-1.load 0.4 17") }) {
				t.Error(g.Lines()[:10])
			}
		})
	}
	t.Run("resets", func(t *testing.T) {
		g, err := standin.ListenGraphite("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer g.Close()
		g.SetBehaviour(standin.ResetsConnection)
		runSender(t, New(senderOptions(g.Address()), names(), testkit.Logger(&strings.Builder{})), 3, func(c Stats) bool { return c.Failures > 3 })
	})
	t.Run("stalls, then reads", func(t *testing.T) {
		g, err := standin.ListenGraphite("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer g.Close()
		g.SetBehaviour(standin.StallsReading)
		var log lockedBuffer
		s := New(senderOptions(g.Address()), Labels{ReplicaName: func(id rules.ReplicaID) (string, bool) { return fmt.Sprint("r", id), true }}, testkit.Logger(&log))
		var readingSince time.Time
		runSender(t, s, 100, func(c Stats) bool {
			s.mu.Lock()
			queued := s.queuedPoints
			s.mu.Unlock()
			if queued > s.options.MaxQueuedPoints {
				t.Fatalf("%d points are queued", queued)
			}
			if c.Failures > 1 && c.Dropped > 3000 && readingSince.IsZero() {
				readingSince = time.Now()
				g.SetBehaviour(standin.ReadsLines)
			}
			logged := strings.Split(strings.TrimSpace(log.String()), "\n") // the recovery is logged only after WriteTimeout
			return !readingSince.IsZero() && len(g.Lines()) > 100 && time.Since(readingSince) > 4*s.options.WriteTimeout && strings.Contains(logged[len(logged)-1], "graphite is back")
		})
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if !strings.Contains(lines[0], "graphite failure") || !strings.Contains(lines[len(lines)-1], "graphite is back") || len(lines) > 2*s.Stats().Failures {
			t.Error("log: ", log.String())
		}
	})
	t.Run("gone at the start", func(t *testing.T) {
		g, err := standin.ListenGraphite("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := g.Address()
		g.Close()
		var later *standin.Graphite
		runSender(t, New(senderOptions(address), names(), testkit.Logger(&strings.Builder{})), 3, func(c Stats) bool {
			if c.Failures > 2 && later == nil {
				if later, err = standin.ListenGraphite(address); err != nil {
					t.Fatal(err)
				}
			}
			return later != nil && len(later.Lines()) > 50
		})
		later.Close()
	})
}

// TestAcquireSnapshotNeverBlocks checks that AcquireSnapshot returns nil and counts when all snapshots are in use.
func TestAcquireSnapshotNeverBlocks(t *testing.T) {
	s := New(senderOptions("nobody"), names(), testkit.Logger(&strings.Builder{}))
	for i := range 5 {
		if x := s.AcquireSnapshot(); (x != nil) != (i < snapshotPoolSize) {
			t.Errorf("snapshot %d: %v", i, x)
		} else if x != nil {
			s.SubmitSnapshot(x)
		}
	}
	if c := s.Stats(); c.SkippedSnapshots != 5-snapshotPoolSize {
		t.Errorf("%+v", c)
	}
}
