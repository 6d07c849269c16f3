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

func record(r, tries, dropped int) Record {
	return Record{Replica: rules.ReplicaID(r), Attempts: tries, Dropped: dropped, MeanLatency: 50 * time.Millisecond, Report: unreported}
}

func batch(p int, seq uint32, read rules.Time, records ...Record) *Batch {
	return &Batch{Proxy: rules.ProxyID(p), Sequence: seq, Window: time.Second, ReceivedAt: read, Records: records}
}

// estimate is a figure under many seeds.
type estimate struct{ n, sum, squares float64 }

func (e *estimate) add(v float64) { e.n, e.sum, e.squares = e.n+1, e.sum+v, e.squares+v*v }

// off tells whether the mean is further from the truth than its standard error allows.
func (e *estimate) off(truth float64) bool {
	mean := e.sum / e.n
	return math.Abs(mean-truth) > 5*math.Sqrt(max(e.squares/e.n-mean*mean, 0)/e.n)+1e-9
}

// TestTotalsUnbiased keeps an eighth of what comes and asks of every stratum, of both kinds, that its estimate is right
// on average: tries and drops, of busy replicas and of one that a single proxy met once.
func TestTotalsUnbiased(t *testing.T) {
	const proxies, replicas = 60, 20
	chance := rand.New(rand.NewPCG(1, 2))
	var batches []*Batch
	truth, dropped, of := map[rules.ReplicaID]float64{}, map[rules.ReplicaID]float64{}, map[rules.ProxyID]float64{}
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
			of[rules.ProxyID(p)] += float64(r.Attempts)
		}
		batches = append(batches, batch(p, 0, second, records...))
	}
	tries, drops, sent := make([]estimate, replicas+1), make([]estimate, replicas+1), make([]estimate, proxies)
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
			tries[r].add(byReplica[r][0])
			drops[r].add(byReplica[r][1])
		}
		for p := range rules.ProxyID(proxies) {
			sent[p].add(byProxy[p][0])
		}
		if c := in.Counts(); c[SampledOut] < 200 {
			t.Fatal("hardly any record is sampled out: ", c)
		}
	}
	for r := range rules.ReplicaID(replicas + 1) {
		if tries[r].off(truth[r]) || drops[r].off(dropped[r]) {
			t.Errorf("replica %d: %+v tries for %v, %+v drops for %v", r, tries[r], truth[r], drops[r], dropped[r])
		}
	}
	for p := range rules.ProxyID(proxies) {
		if sent[p].off(of[p]) {
			t.Errorf("proxy %d: %+v tries for %v", p, sent[p], of[p])
		}
	}
}

// TestAnyOrder hands over batches of many proxies in any order, some of them twice, old ones, of strangers and over
// their share: each record is counted once under one cause, what is kept stays within the budget, no replica and no
// proxy that was heard vanishes, and the same again gives the same.
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
		play := func() (counts Counts, events []rules.Event) {
			in := New(s)
			for p := range proxies { // the one with the highest number is a stranger
				in.Join(rules.ProxyID(p), rules.ZoneID(p%2))
			}
			heardAt, heardOf := map[rules.ReplicaID]bool{}, map[rules.ProxyID]bool{}
			came := 0
			for _, b := range batches {
				came += len(b.Records)
				before := in.counts[Kept] + in.counts[SampledOut]
				in.AddBatch(2*second, b)
				for _, r := range b.Records[:in.counts[Kept]+in.counts[SampledOut]-before] {
					heardAt[r.Replica], heardOf[b.Proxy] = true, true
				}
			}
			byReplica, byProxy := in.Totals()
			if len(byReplica) != len(heardAt) || len(byProxy) != len(heardOf) {
				t.Fatalf("of %d replicas and %d proxies heard, %d and %d are left", len(heardAt), len(heardOf), len(byReplica), len(byProxy))
			}
			held, _, pairs := in.Sizes()
			if least := minRoom * (len(heardAt) + len(heardOf)); held > s.Budget+least || pairs > s.MaxPairs {
				t.Fatalf("%d records held with a budget of %d, %d pairs", held, s.Budget, pairs)
			}
			events = in.Flush(2 * second)
			counts = in.Counts()
			told := 0
			for _, c := range []Cause{Kept, SampledOut, Repeated, TooLate, TooOld, OverQuota, NotJoined} {
				told += counts[c]
			}
			if told != came {
				t.Fatalf("%d records came and %d are counted: %v", came, told, counts)
			}
			return counts, events
		}
		counts, events := play()
		again, same := play()
		if counts != again || !slices.Equal(events, same) {
			t.Fatalf("the same again differs: %v, %v", events, same)
		}
	})
}

// TestOlderNeverCountsMore has one record at two ages: the older one's part of the totals is never the larger.
func TestOlderNeverCountsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		young := time.Duration(rapid.IntRange(0, 12_000).Draw(t, "young")) * time.Millisecond
		old := young + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "more"))*time.Millisecond
		said := rapid.Float64Range(0, 1).Draw(t, "said")
		count := func(age time.Duration) float64 {
			in := New(settings())
			in.Join(1, 0)
			b := batch(1, 0, 100*second, record(1, 10, 2))
			b.Age = time.Duration(said * float64(age)) // the rest of it has waited here
			in.AddBatch(100*second+rules.Time(age-b.Age), b)
			all, _ := in.Totals()
			return all[1][0]
		}
		a, b := count(young), count(old)
		if b > a || young == 0 && a != 10 || old > settings().MaxAge && b != 0 {
			t.Fatalf("10 tries count %v at %v and %v at %v", a, young, b, old)
		}
	})
}

// TestClocks has senders whose clocks are an hour off either way, one that is set back by an hour, and one whose
// batches are a second late on their way: only the last two count for less, and the one set back recovers.
func TestClocks(t *testing.T) {
	in := New(settings())
	worth := func(p int, seq uint32, off, late time.Duration) float64 {
		b := batch(p, seq, rules.Time(1000+int(seq))*second, record(p, 8, 0))
		b.SentAt = b.ReceivedAt + rules.Time(off-late)
		s := in.senders[rules.ProxyID(p)]
		return in.ageWeight(s.extraDelay(b.SentAt, b.ReceivedAt))
	}
	for p := range 4 {
		in.Join(rules.ProxyID(p), 0)
	}
	for seq := uint32(1); seq <= 60; seq++ {
		for p, off := range []time.Duration{time.Hour, -time.Hour} {
			if w := worth(p, seq, off, 0); w != 1 {
				t.Fatalf("batch %d of a clock that is %v off counts %v", seq, off, w)
			}
		}
		late := time.Duration(0)
		if seq%2 == 0 {
			late = 2 * time.Second
		}
		if w := worth(2, seq, 0, late); late > 0 && math.Abs(w-0.5) > 1e-9 || late == 0 && w != 1 {
			t.Fatalf("batch %d, %v late, counts %v", seq, late, w)
		}
		back := time.Duration(0)
		if seq > 20 {
			back = -time.Hour
		}
		if w := worth(3, seq, back, 0); seq <= 20 && w != 1 || seq == 21 && w != 0 || seq > 21+2*clockGroupBatches && w != 1 {
			t.Fatalf("batch %d of a clock that was set back counts %v", seq, w)
		}
	}
}

// TestRepeats tells repeated batches from late ones, and from those too far behind, and a new stream from both.
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
		t.Error("a new stream's first batch counts as", c)
	}
}

// TestFlood has one sender bring a hundred times its share, before the others and between them: their estimates are
// the same as without it, and what is over its share is counted.
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
		t.Errorf("without the flood %v of %v, with it %v", calm, want, flooded)
	}
	if counts[OverQuota] < 15_000 {
		t.Errorf("of 19,000 records %d are counted as flooding", counts[OverQuota])
	}
}

// TestOldLoadDoesNotLookIdle has a replica say that it is idle and then nothing: as its word grows old it counts for
// less and less, and in the end for nothing. A word that it is busier counts at once.
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
	with := func(load float64, heard time.Duration) Record {
		r := record(1, 5, 0)
		r.Report.Utilization, r.Report.InFlight, r.ReportAge = load, 2, heard
		return r
	}
	if got := util(10*second, with(0.6, 0)); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("fresh: %v", got)
	}
	if got := util(11*second, with(0, 2*time.Second)); math.Abs(got-0.6) > 1e-9 {
		t.Errorf("an idle word that is older than the last one: %v", got)
	}
	if got := util(13*second, with(0.1, time.Second)); got < 0.2 || got > 0.3 {
		t.Errorf("an idle word 1 s old after 0.6: %v", got)
	}
	if got := util(14*second, with(0.9, 0)); math.Abs(got-0.9) > 1e-9 {
		t.Errorf("a busy word: %v", got)
	}
	last := 0.0
	for at := 15 * second; at <= 24*second; at += second {
		got := util(at, record(1, 5, 0))
		if got < last {
			t.Errorf("with nothing heard it looks idler: %v after %v", got, last)
		}
		last = got
	}
	if got := util(26*second, record(1, 5, 0)); got != rules.Absent {
		t.Errorf("past the bound: %v", got)
	}
}
