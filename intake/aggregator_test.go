package intake

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/rules"
)

const second = rules.Time(time.Second)

func settings() Settings {
	return Settings{Seed: 7, Period: time.Second, Budget: 400, HalfLife: 2 * time.Second, MaxAge: 10 * time.Second, MaxPairs: 100, Zones: 2}
}

var unreported = rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}

func record(r, attempts, dropped int) Record {
	return Record{Replica: rules.ReplicaID(r), Attempts: attempts, Dropped: dropped, MeanLatency: 50 * time.Millisecond, Report: unreported}
}

func batch(p int, seq uint32, received rules.Time, records ...Record) *Batch {
	return &Batch{Proxy: rules.ProxyID(p), Sequence: seq, Window: time.Second, ReceivedAt: received, Records: records}
}

// estimate collects the values of an estimated total under different seeds.
type estimate struct{ n, sum, squares float64 }

func (e *estimate) add(v float64) { e.n, e.sum, e.squares = e.n+1, e.sum+v, e.squares+v*v }

// biased reports whether the mean deviates from the true value by more than five standard errors.
func (e *estimate) biased(truth float64) bool {
	mean := e.sum / e.n
	return math.Abs(mean-truth) > 5*math.Sqrt(max(e.squares/e.n-mean*mean, 0)/e.n)+1e-9
}

// TestTotalsUnbiased samples an eighth of the records and checks that the estimates of attempts and drops are unbiased for each
// replica and proxy, also for a replica with a single attempt.
func TestTotalsUnbiased(t *testing.T) {
	const proxies, replicas = 60, 20
	chance := rand.New(rand.NewPCG(1, 2))
	var batches []*Batch
	truth, dropped, byProxyTruth := map[rules.ReplicaID]float64{}, map[rules.ReplicaID]float64{}, map[rules.ProxyID]float64{}
	for p := range proxies {
		var records []Record
		for r := range replicas {
			n := 1 + chance.IntN(5*(r+1))
			bad := 0
			if chance.IntN(4) == 0 {
				bad = chance.IntN(n + 1)
			}
			records = append(records, record(r, n, bad))
		}
		if p == 3 {
			records = append(records, record(replicas, 1, 0))
		}
		for _, r := range records {
			truth[r.Replica] += float64(r.Attempts)
			dropped[r.Replica] += float64(r.Dropped)
			byProxyTruth[rules.ProxyID(p)] += float64(r.Attempts)
		}
		batches = append(batches, batch(p, 0, second, records...))
	}
	attempts, drops, sent := make([]estimate, replicas+1), make([]estimate, replicas+1), make([]estimate, proxies)
	for seed := range uint64(500) {
		s := settings()
		s.Seed, s.Budget = seed, 2*proxies*replicas/8
		in := New(s)
		for p := range proxies {
			in.Join(rules.ProxyID(p), 0)
		}
		for _, b := range batches {
			in.AddBatch(second, b)
		}
		byReplica, byProxy := in.Totals()
		for r := range rules.ReplicaID(replicas + 1) {
			attempts[r].add(byReplica[r][0])
			drops[r].add(byReplica[r][1])
		}
		for p := range rules.ProxyID(proxies) {
			sent[p].add(byProxy[p][0])
		}
		if c := in.Counts(); c[SampledOut] < 200 {
			t.Fatal("too few records are sampled out: ", c)
		}
	}
	for r := range rules.ReplicaID(replicas + 1) {
		if attempts[r].biased(truth[r]) || drops[r].biased(dropped[r]) {
			t.Errorf("replica %d: estimated %+v attempts, want %v; %+v drops, want %v", r, attempts[r], truth[r], drops[r], dropped[r])
		}
	}
	for p := range rules.ProxyID(proxies) {
		if sent[p].biased(byProxyTruth[p]) {
			t.Errorf("proxy %d: estimated %+v attempts, want %v", p, sent[p], byProxyTruth[p])
		}
	}
}

// TestAnyOrder adds random batches, with duplicates, old ones, unknown senders and senders over their quota. Each record must be
// counted under one cause, the budget must hold, each reported replica and proxy must appear in the totals, and a second run
// must give the same result.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.Budget = rapid.IntRange(8, 300).Draw(t, "budget")
		s.StatsFromRecords = rapid.Bool().Draw(t, "sums")
		proxies := rapid.IntRange(1, 40).Draw(t, "proxies")
		var batches []*Batch
		for range rapid.IntRange(1, 120).Draw(t, "batches") {
			b := batch(rapid.IntRange(0, proxies).Draw(t, "proxy"), uint32(rapid.IntRange(0, 100).Draw(t, "seq")), second)
			b.Age = time.Duration(rapid.IntRange(0, 14).Draw(t, "age")) * time.Second
			for range rapid.IntRange(0, 30).Draw(t, "records") {
				n := rapid.IntRange(1, 50).Draw(t, "tries")
				b.Records = append(b.Records, record(rapid.IntRange(0, 12).Draw(t, "replica"), n, rapid.IntRange(0, n).Draw(t, "dropped")))
			}
			batches = append(batches, b)
		}
		run := func() (counts Counts, events []rules.Event) {
			in := New(s)
			for p := range proxies { // proxy number "proxies" never joins
				in.Join(rules.ProxyID(p), rules.ZoneID(p%2))
			}
			reportedReplicas, reportingProxies := map[rules.ReplicaID]bool{}, map[rules.ProxyID]bool{}
			received := 0
			for _, b := range batches {
				received += len(b.Records)
				before := in.counts[Kept] + in.counts[SampledOut]
				in.AddBatch(2*second, b)
				for _, r := range b.Records[:in.counts[Kept]+in.counts[SampledOut]-before] {
					reportedReplicas[r.Replica], reportingProxies[b.Proxy] = true, true
				}
			}
			byReplica, byProxy := in.Totals()
			if len(byReplica) != len(reportedReplicas) || len(byProxy) != len(reportingProxies) {
				t.Fatalf("totals have %d of %d replicas and %d of %d proxies", len(byReplica), len(reportedReplicas), len(byProxy), len(reportingProxies))
			}
			kept, _, pairs := in.Sizes()
			if extra := minStratumCapacity * (len(reportedReplicas) + len(reportingProxies)); kept > s.Budget+extra || pairs > s.MaxPairs {
				t.Fatalf("%d records kept with a budget of %d, %d pairs", kept, s.Budget, pairs)
			}
			events = in.Flush(2 * second)
			counts = in.Counts()
			counted := 0
			for _, c := range []Cause{Kept, SampledOut, Repeated, TooLate, TooOld, OverQuota, NotJoined} {
				counted += counts[c]
			}
			if counted != received {
				t.Fatalf("%d records received, %d counted: %v", received, counted, counts)
			}
			return counts, events
		}
		counts, events := run()
		secondCounts, secondEvents := run()
		if counts != secondCounts || !slices.Equal(events, secondEvents) {
			t.Fatalf("the second run differs: %v, %v", events, secondEvents)
		}
	})
}

// TestOlderNeverCountsMore checks that a record's weight in the totals does not increase with its age.
func TestOlderNeverCountsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		young := time.Duration(rapid.IntRange(0, 12_000).Draw(t, "young")) * time.Millisecond
		old := young + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "more"))*time.Millisecond
		said := rapid.Float64Range(0, 1).Draw(t, "said")
		count := func(age time.Duration) float64 {
			in := New(settings())
			in.Join(1, 0)
			b := batch(1, 0, 100*second, record(1, 10, 2))
			b.Age = time.Duration(said * float64(age)) // the rest has passed since the batch was received
			in.AddBatch(100*second+rules.Time(age-b.Age), b)
			all, _ := in.Totals()
			return all[1][0]
		}
		a, b := count(young), count(old)
		if b > a || young == 0 && a != 10 || old > settings().MaxAge && b != 0 {
			t.Fatalf("10 attempts count %v at age %v and %v at age %v", a, young, b, old)
		}
	})
}

// TestClocks checks that a constant clock offset does not reduce a batch's weight, that a delay in transit does, and that a clock
// set back by an hour does so only for a limited number of batches.
func TestClocks(t *testing.T) {
	in := New(settings())
	weight := func(p int, seq uint32, offset, delay time.Duration) float64 {
		b := batch(p, seq, rules.Time(1000+int(seq))*second, record(p, 8, 0))
		b.SentAt = b.ReceivedAt + rules.Time(offset-delay)
		s := in.senders[rules.ProxyID(p)]
		return in.ageWeight(s.extraDelay(b.SentAt, b.ReceivedAt))
	}
	for p := range 4 {
		in.Join(rules.ProxyID(p), 0)
	}
	for seq := uint32(1); seq <= 60; seq++ {
		for p, offset := range []time.Duration{time.Hour, -time.Hour} {
			if w := weight(p, seq, offset, 0); w != 1 {
				t.Fatalf("batch %d with a clock offset of %v has weight %v", seq, offset, w)
			}
		}
		delay := time.Duration(0)
		if seq%2 == 0 {
			delay = 2 * time.Second
		}
		if w := weight(2, seq, 0, delay); delay > 0 && math.Abs(w-0.5) > 1e-9 || delay == 0 && w != 1 {
			t.Fatalf("batch %d with a delay of %v has weight %v", seq, delay, w)
		}
		offset := time.Duration(0)
		if seq > 20 {
			offset = -time.Hour
		}
		if w := weight(3, seq, offset, 0); seq <= 20 && w != 1 || seq == 21 && w != 0 || seq > 21+2*clockGroupBatches && w != 1 {
			t.Fatalf("batch %d of a clock that is set back after batch 20 has weight %v", seq, w)
		}
	}
}

// TestRepeats checks the detection of duplicate, reordered and too late batches, and that a new stream resets it.
func TestRepeats(t *testing.T) {
	in := New(settings())
	in.Join(1, 0)
	var got []Cause
	for _, seq := range []uint32{1, 2, 2, 5, 4, 4, 200, 150, 130, 201, 0, 0} {
		b := batch(1, seq, second, record(1, 1, 0))
		in.AddBatch(second, b)
		c := in.Counts()
		for cause, n := range c {
			if n != 0 && Cause(cause) != LostBatches {
				got = append(got, Cause(cause))
			}
		}
	}
	want := []Cause{Kept, Kept, Repeated, Kept, Kept, Repeated, Kept, Kept, TooLate, Kept, Kept, Kept}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	in.Join(1, 0)
	in.AddBatch(second, batch(1, 1, second, record(1, 1, 0)))
	if c := in.Counts(); c[Kept] != 1 {
		t.Error("a new stream's first batch is counted as", c)
	}
}

// TestFlood has one sender exceed its quota a hundredfold: the estimates for the others must not change, and the excess records
// must be counted.
func TestFlood(t *testing.T) {
	totals := func(flood bool) (others [2]float64, counts Counts) {
		s := settings()
		s.Budget = 2000
		in := New(s)
		for p := range 20 {
			in.Join(rules.ProxyID(p), 0)
		}
		for p := 1; p < 20; p++ {
			for i := uint32(0); flood && i < 50; i++ {
				var records []Record
				for r := range 20 {
					records = append(records, record(100+r, 1, 1))
				}
				in.AddBatch(second, batch(0, 0, second, records...))
			}
			for r := range 10 {
				in.AddBatch(second, batch(p, 0, second, record(r, p, 0)))
			}
		}
		byReplica, _ := in.Totals()
		for r := range rules.ReplicaID(10) {
			others[0] += byReplica[r][0]
		}
		_, byProxy := in.Totals()
		for p := rules.ProxyID(1); p < 20; p++ {
			others[1] += byProxy[p][0]
		}
		return others, in.Counts()
	}
	calm, _ := totals(false)
	flooded, counts := totals(true)
	if want := 10 * 19 * 20 / 2.0; math.Abs(calm[0]-want) > 1e-6 || flooded != calm {
		t.Errorf("without the flood %v, want %v; with the flood %v", calm, want, flooded)
	}
	if counts[OverQuota] < 15_000 {
		t.Errorf("of 19,000 records %d are counted as over the quota", counts[OverQuota])
	}
}

// TestOldLoadDoesNotLookIdle guards against replicas that appear idle for lack of reports: an old report of low load has little
// effect, while a report of high load applies at once.
func TestOldLoadDoesNotLookIdle(t *testing.T) {
	s := settings()
	s.StatsFromRecords = true
	in := New(s)
	in.Join(1, 0)
	util := func(at rules.Time, records ...Record) float64 {
		in.AddBatch(at, batch(1, 0, at, records...))
		for _, e := range in.Flush(at) {
			if s, is := e.(rules.EndpointStats); is && s.Replica == 1 {
				return s.Report.Utilization
			}
		}
		return math.NaN()
	}
	report := func(load float64, age time.Duration) Record {
		r := record(1, 5, 0)
		r.Report.Utilization, r.Report.InFlight, r.ReportAge = load, 2, age
		return r
	}
	if got := util(10*second, report(0.6, 0)); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("fresh: %v", got)
	}
	if got := util(11*second, report(0, 2*time.Second)); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("low load, older than the last report: %v", got)
	}
	if got := util(13*second, report(0.1, time.Second)); got < 0.2 || got > 0.3 {
		t.Errorf("low load, 1 s old, after 0.6: %v", got)
	}
	if got := util(14*second, report(0.9, 0)); math.Abs(got-0.9) > 1e-9 {
		t.Errorf("high load: %v", got)
	}
	last := 0.0
	for at := 15 * second; at <= 24*second; at += second {
		got := util(at, record(1, 5, 0))
		if got < last {
			t.Errorf("utilization falls without reports: %v after %v", got, last)
		}
		last = got
	}
	if got := util(26*second, record(1, 5, 0)); got != rules.Absent {
		t.Errorf("report older than MaxAge: %v", got)
	}
}
