package graphite

import (
	"math"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// names returns labels for two groups and three replicas. Two replica names differ only by their hash in a path.
func names() Labels {
	return Labels{GroupNames: []string{"look", "pay order"}, ReplicaName: func(id rules.ReplicaID) (string, bool) {
		return map[rules.ReplicaID]string{1: "web-1", 2: "web.2", 3: "web_2"}[id], id < 4
	}}
}

// fill fills a snapshot at the given Unix time with a number of replicas.
func fill(s *Snapshot, at int64, replicas int) {
	s.At = time.Unix(at, 0)
	s.View = rules.View{At: rules.Time(at) * rules.Time(time.Second), EntriesWaiting: 3, EntryCapacity: 100, Proxies: 2, MostMessages: 4, MessageLimit: 20, Tables: 1, Steps: 9,
		Reviews: 2, Orders: 30, ListedAt: rules.Time(at-2) * rules.Time(time.Second), MeanLoad: 0.5, DropShare: math.NaN(), Levels: []float64{1, 0.25}}
	for i := range replicas {
		s.View.Replicas = append(s.View.Replicas, rules.ReplicaView{Replica: rules.ReplicaID(i + 1), State: rules.Ready, TrafficShare: 0.5, Weight: 50, Attempts: 20, Drops: 1,
			Load: 0.4, LoadKnown: i != 1, Ejected: i == 1, LastStatsAt: rules.Time(at)*rules.Time(time.Second) - rules.Time(250*time.Millisecond)})
	}
}

// TestPoints compares the points of a snapshot with the trace in testdata. The snapshot has replicas with similar names, one
// that has been removed, one without a load, and a value that is not a number.
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

// BenchmarkPoints measures formatting the points of a snapshot of 1,000 replicas.
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
