package intake

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

// TestPairs records the evidence when one replica fails for two proxies, one replica fails for all, and one proxy drops all of
// its attempts.
func TestPairs(t *testing.T) {
	var trace strings.Builder
	in := New(settings())
	for p := range 10 {
		in.Join(rules.ProxyID(p), 0)
	}
	for at := second; at <= 6*second; at += second {
		for p := range 10 {
			var records []Record
			for r := range 6 {
				dropped := 0
				if r == 1 && p < 2 || r == 2 || p == 9 {
					dropped = 2
				}
				records = append(records, record(r, 2, dropped))
			}
			in.AddBatch(at, batch(p, 0, at, records...))
		}
		for _, e := range in.Flush(at) {
			if p := e.(rules.PairStats); at == 2*second || at == 6*second {
				fmt.Fprintf(&trace, "%ds p%d r%d %.1f of %.1f dropped; the replica elsewhere %.2f, the proxy elsewhere %.2f; again %.1f of %.1f\n",
					at/second, p.Proxy, p.Replica, p.Dropped, p.Attempts, p.ReplicaDropShare, p.ProxyDropShare, p.RetriedDropped, p.RetriedAttempts)
			}
		}
	}
	testkit.CompareTrace(t, trace.String())
}

// TestPairsBounded has far more pairs fail once than the table holds, and some that fail repeatedly: the latter must stay, and each
// evicted one must be counted. All decay, and those of a forgotten replica are deleted at once.
func TestPairsBounded(t *testing.T) {
	table := newPairTable(50, 8*time.Second)
	full := 0
	for s := range 40 {
		table.advance(rules.Time(s+1) * second)
		for p := range 5 {
			table.add(rules.ProxyID(p), 1, 2, 2)
		}
		for p := range 200 {
			if table.add(rules.ProxyID(1000+200*s+p), 2, 1, 1) {
				full++
			}
		}
	}
	if len(table.pairs) != 50 || len(table.byDrops) != 50 || full != 40*200-45 {
		t.Errorf("%d pairs, %d in the heap, %d evicted or not added", len(table.pairs), len(table.byDrops), full)
	}
	allJoined := func(rules.ProxyID) bool { return true }
	if out, _ := table.evidence(5, allJoined); len(out) != 0 {
		t.Error("pairs are reported in the period in which they failed: ", out)
	}
	out, omitted := table.evidence(5, allJoined)
	for i, e := range out {
		if e.Proxy != rules.ProxyID(i) || e.Replica != 1 || e.Dropped < 16 || e.Dropped > 24 {
			t.Errorf("evidence %d is %+v", i, e)
		}
	}
	if len(out) != 5 || omitted != 45 {
		t.Errorf("%d pairs reported, %d omitted", len(out), omitted)
	}
	table.forgetReplica(1)
	if len(table.pairs) != 45 {
		t.Errorf("%d pairs after a replica was forgotten", len(table.pairs))
	}
	table.advance(10_000 * second)
	if len(table.pairs)+len(table.byDrops) != 0 {
		t.Errorf("%d pairs after hours", len(table.pairs))
	}
}

// BenchmarkAddBatch measures the cost of a decoded record with 5,000 senders, 60 replicas and a small budget.
func BenchmarkAddBatch(b *testing.B) {
	s := settings()
	s.Budget, s.MaxPairs = 20_000, 10_000
	in := New(s)
	var batches []*Batch
	for p := range 5000 {
		in.Join(rules.ProxyID(p), 0)
		var records []Record
		for r := range 6 {
			records = append(records, record((p+r*7)%60, 1+r%2, p%100/99))
		}
		batches = append(batches, batch(p, 0, second, records...))
	}
	b.ReportAllocs()
	at := second
	for n := 0; n < b.N; n += 6 {
		x := batches[n/6%len(batches)]
		if x.Proxy == 0 {
			in.Flush(at)
			at += second
		}
		x.ReceivedAt = at
		in.AddBatch(at, x)
	}
}
