package graphite

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"zincloft.example/zincloft/internal/standin"
	"zincloft.example/zincloft/internal/testkit"
	"zincloft.example/zincloft/rules"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func names() Labels {
	return Labels{GroupNames: []string{"look", "pay order"}, ReplicaName: func(id rules.ReplicaID) (string, bool) {
		return map[rules.ReplicaID]string{1: "web-1", 2: "web.2", 3: "web_2"}[id], id < 4
	}}
}

func fill(s *Snapshot, at int64, replicas int) {
	s.At = time.Unix(at, 0)
	s.View = rules.View{At: rules.Time(at) * rules.Time(time.Second), EntriesWaiting: 3, EntryCapacity: 100, Proxies: 2, MostMessages: 4, MessageLimit: 20, Tables: 1, Steps: 9,
		Reviews: 2, Orders: 30, ListedAt: rules.Time(at-2) * rules.Time(time.Second), MeanLoad: 0.5, DropShare: math.NaN(), Levels: []float64{1, 0.25}}
	for i := range replicas {
		s.View.Replicas = append(s.View.Replicas, rules.ReplicaView{Replica: rules.ReplicaID(i + 1), State: rules.Ready, TrafficShare: 0.5, Weight: 50, Attempts: 20, Drops: 1,
			Load: 0.4, LoadKnown: i != 1, Ejected: i == 1, LastStatsAt: rules.Time(at)*rules.Time(time.Second) - rules.Time(250*time.Millisecond)})
	}
}

// TestPoints writes down the points of a snapshot: three replicas of which two have names that become alike, one that has
// gone, one without a load, and a figure that Graphite has no word for.
func TestPoints(t *testing.T) {
	var trace strings.Builder
	var s Snapshot
	fill(&s, 1_700_000_000, 4)
	s.HasIntake = true
	w := pointWriter{prefix: "zincloft.n1."}
	points := 0
	w.writeSnapshot(&s, names(), Stats{Sent: 7, Dropped: 1}, func(b []byte, n int) { trace.Write(b); points += n })
	if lines := strings.Count(trace.String(), "\n"); lines != points {
		t.Errorf("%d lines are counted as %d points", lines, points)
	}
	testkit.CompareTrace(t, trace.String())
}

// TestSafe has any two names become two parts of a path, each of which can be one.
func TestSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.String().Draw(t, "a"), rapid.String().Draw(t, "b")
		for _, part := range []string{SanitizePathPart(a), SanitizePathPart(b)} {
			if part == "" || len(part) > maxPathPartBytes+9 || strings.ContainsFunc(part, func(r rune) bool {
				return r > 127 || strings.ContainsRune(" .\n\t/;*{}[]~", r)
			}) {
				t.Fatalf("%q", part)
			}
		}
		if a != b && SanitizePathPart(a) == SanitizePathPart(b) {
			t.Fatalf("%q and %q both become %q", a, b, SanitizePathPart(a))
		}
	})
	for _, same := range []string{"s-5be2a07c", "A_b-9"} {
		if SanitizePathPart(same) != same {
			t.Errorf("%q becomes %q", same, SanitizePathPart(same))
		}
	}
}

func senderOptions(address string) Options {
	return Options{Address: address, Prefix: "z", MaxQueuedPoints: 5000, WriteTimeout: 200 * time.Millisecond, DialTimeout: time.Second, MaxRetryDelay: 100 * time.Millisecond}
}

// played runs a sender against a receiver and feeds it snapshots until enough says so.
func played(t *testing.T, s *Sender, replicas int, enough func(Stats) bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	for at := int64(1_700_000_000); !enough(s.Stats()) && ctx.Err() == nil; at++ {
		if x := s.AcquireSnapshot(); x != nil {
			fill(x, at, replicas)
			s.SubmitSnapshot(x)
		}
		time.Sleep(10 * time.Millisecond) // the receiver is a socket: there is no clock to hold
	}
	if ctx.Err() != nil {
		t.Errorf("after 20 s: %+v", s.Stats())
	}
	stop()
	<-done
}

// logged is a log that is read while it is written.
type logged struct {
	sync.Mutex
	b strings.Builder
}

func (l *logged) Write(p []byte) (int, error) {
	l.Lock()
	defer l.Unlock()
	return l.b.Write(p)
}

func (l *logged) String() string {
	l.Lock()
	defer l.Unlock()
	return l.b.String()
}

// TestReceivers has receivers that read, end their half, trickle, reset and stall, and one that comes and goes: the
// sender never holds more than it may, counts what it drops, and gets through whenever there is somebody who reads.
func TestReceivers(t *testing.T) {
	for name, m := range map[string]standin.ConnectionBehaviour{"reads": standin.ReadsLines, "half ends": standin.HalfCloses, "trickles": standin.ReadsSlowly} {
		t.Run(name, func(t *testing.T) {
			g, err := standin.ListenGraphite("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			g.SetBehaviour(m)
			played(t, New(senderOptions(g.Address()), names(), testkit.Logger(&strings.Builder{})), 3, func(c Stats) bool { return c.Sent > 300 && len(g.Lines()) > 50 })
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
		played(t, New(senderOptions(g.Address()), names(), testkit.Logger(&strings.Builder{})), 3, func(c Stats) bool { return c.Failures > 3 })
	})
	t.Run("stalls, then reads", func(t *testing.T) {
		g, err := standin.ListenGraphite("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer g.Close()
		g.SetBehaviour(standin.StallsReading)
		var log logged
		s := New(senderOptions(g.Address()), Labels{ReplicaName: func(id rules.ReplicaID) (string, bool) { return fmt.Sprint("r", id), true }}, testkit.Logger(&log))
		var read time.Time
		played(t, s, 100, func(c Stats) bool {
			s.mu.Lock()
			waiting := s.queuedPoints
			s.mu.Unlock()
			if waiting > s.options.MaxQueuedPoints {
				t.Fatalf("%d points wait", waiting)
			}
			if c.Failures > 1 && c.Dropped > 3000 && read.IsZero() {
				read = time.Now()
				g.SetBehaviour(standin.ReadsLines)
			}
			said := strings.Split(strings.TrimSpace(log.String()), "\n") // its line comes after one period, on a busy machine later
			return !read.IsZero() && len(g.Lines()) > 100 && time.Since(read) > 4*s.options.WriteTimeout && strings.Contains(said[len(said)-1], "graphite is back")
		})
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if !strings.Contains(lines[0], "graphite failure") || !strings.Contains(lines[len(lines)-1], "graphite is back") || len(lines) > 2*s.Stats().Failures {
			t.Error("lines of the log: ", log.String())
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
		played(t, New(senderOptions(address), names(), testkit.Logger(&strings.Builder{})), 3, func(c Stats) bool {
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

// TestOldestGoFirst fills the buffer over while nobody reads: what is left is the newest, in order, and each point is
// counted as sent, dropped or waiting.
func TestOldestGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(senderOptions("nobody"), names(), testkit.Logger(&strings.Builder{}))
		s.options.MaxQueuedPoints = 100
		for i := range 50 {
			s.enqueue([]byte(fmt.Sprint(i)), 7)
		}
		if s.queuedPoints != 98 || s.stats.Dropped != 50*7-98 || string(s.queue[0].lines) != "36" {
			t.Errorf("%d wait from %s on, %d dropped", s.queuedPoints, s.queue[0].lines, s.stats.Dropped)
		}
		c, _ := s.dequeue()
		s.enqueue([]byte("50"), 7)
		s.requeue(c) // newer ones have taken its room
		if s.queuedPoints != 98 || string(s.queue[0].lines) != "37" || s.stats.Dropped != 51*7-98 {
			t.Errorf("%d wait from %s on, %d dropped", s.queuedPoints, s.queue[0].lines, s.stats.Dropped)
		}
	})
}

// TestTakeNeverWaits has nobody make points of snapshots: those that can't be taken are counted.
func TestTakeNeverWaits(t *testing.T) {
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

// BenchmarkPoints is what a snapshot of 1,000 replicas costs to make into points, beside the deciding goroutine.
func BenchmarkPoints(b *testing.B) {
	var s Snapshot
	fill(&s, 1_700_000_000, 1000)
	n := Labels{ReplicaName: func(id rules.ReplicaID) (string, bool) { return "s-5be2a07c", true }}
	w, points := pointWriter{prefix: "zincloft.n1."}, 0
	b.ReportAllocs()
	for b.Loop() {
		w.writeSnapshot(&s, n, Stats{}, func(_ []byte, n int) { points += n })
	}
	b.ReportMetric(float64(points)/b.Elapsed().Seconds(), "points/s")
}
