// Package intake stands between what proxies and collectors report and the decisions on it. It holds what single
// proxies tell within a budget of records, lets old words count for less, tells repeated records from late ones,
// keeps a sender that floods to its share, and finds pairs of a proxy and a replica that fail.
//
// It does no I/O and reads no clock: every time is handed in, and chance is a hash of the seed and a counter, so the
// same calls always give the same events. What follows for a replica or a pair is decided by package rules. One
// goroutine uses an Intake.
package intake

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"zincloft.example/zincloft/rules"
)

// Settings are what an Intake is told at its start.
type Settings struct {
	Seed      uint64
	Period    time.Duration // reports are gathered, and cut, this often
	Budget    int           // records a period that are kept, over all senders
	HalfLife  time.Duration // a record of this age counts for half of a fresh one
	MaxAge    time.Duration // an older one counts for nothing
	MaxPairs  int           // failing pairs that are remembered
	Zones     int
	MakeStats bool // records make the fleet's sums, and those of collectors count for nothing
}

// Record is what a proxy met at a replica.
type Record struct {
	Replica     rules.ReplicaID
	Attempts    int
	Dropped     int              // tries without a good answer
	MeanLatency time.Duration    // mean time of the good ones; 0: none
	Report      rules.LoadReport // the replica's last word on its load; Absent figures where there is none
	ReportAge   time.Duration    // how long before the end of the window that word was heard
}

// Batch is what one message of a proxy tells.
type Batch struct {
	Proxy           rules.ProxyID
	Sequence        uint32        // grows by one from batch to batch of a stream; 0: not told
	SentAt          rules.Time    // by the sender's clock, as it wrote; 0: not told
	Age             time.Duration // from the end of its window until it was written, as the sender says
	Window          time.Duration // its window
	ReceivedAt      rules.Time    // by our clock, as it came
	Records         []Record
	UnknownReplicas int // records of replicas that are not known, which are left out
}

var batches = sync.Pool{New: func() any { return new(Batch) }}

// NewBatch returns an empty Batch. One that is done with may be given back by Free.
func NewBatch() *Batch { return batches.Get().(*Batch) }

// Free gives a Batch back. Nothing of it may be used after that.
func (b *Batch) Free() {
	*b = Batch{Records: b.Records[:0]}
	batches.Put(b)
}

// Cause is why records were not kept. Causes are few and hold no word of a peer.
type Cause int

// Causes, by what they are counted under.
const (
	Kept           Cause = iota
	SampledOut           // over the budget; those kept stand for them
	Repeated             // told before
	TooLate              // so far behind later ones that it can't be said whether it was told before
	TooOld               // past the bound of age
	Flooded              // over the sender's share
	NotJoined            // of a proxy that has left, or never joined
	Superseded           // sums of collectors where records make the sums
	PairsEvicted         // pairs that were let go for ones with more evidence
	PairsOmitted         // pairs that were not told of in a period for others
	InFuture             // of the future, by the sender's clock
	Impossible           // figures that no load can be
	UnknownReplica       // of replicas that are not known
	LostBatches          // batches that never came, by the numbers of those that did
	causeCount
)

var causeNames = [causeCount]string{"kept", "sampled out", "repeated", "too late", "too old", "flooded", "not joined",
	"superseded", "pairs full", "evidence full", "of the future", "impossible", "unknown replica", "lost batches"}

func (c Cause) String() string { return causeNames[c] }

// PathName is a cause's name as one word.
func (c Cause) PathName() string { return strings.ReplaceAll(causeNames[c], " ", "_") }

// Counts are records by cause.
type Counts [causeCount]int

// Aggregator is the state. New makes one.
type Aggregator struct {
	settings           Settings
	senders            map[rules.ProxyID]*sender
	byReplica, byProxy sampler
	pairs              pairTable
	reports            map[rules.ReplicaID]reportedLoad
	machineLoads       map[rules.ReplicaID]*[metricCount]machineValue // of machines
	lastUtilization    map[rules.ReplicaID]float64                    // share busy as told last, where machines tell too
	counts             Counts
	flushAt            rules.Time // the next cut; 0: none yet
}

// New returns an Intake that has heard of nobody.
func New(s Settings) *Aggregator {
	return &Aggregator{settings: s, senders: map[rules.ProxyID]*sender{}, reports: map[rules.ReplicaID]reportedLoad{},
		machineLoads: map[rules.ReplicaID]*[metricCount]machineValue{}, lastUtilization: map[rules.ReplicaID]float64{},
		byReplica: newSampler(s.Seed, s.Budget/2), byProxy: newSampler(s.Seed+1, s.Budget/2), pairs: newPairTable(s.MaxPairs, pairHalfLifePeriods*s.Period)}
}

// Join begins a proxy's stream: what an earlier one told is not repeated by it.
func (in *Aggregator) Join(p rules.ProxyID, z rules.ZoneID) {
	in.senders[p] = &sender{zone: z, quota: in.senderQuota() * burstPeriods}
}

// Leave ends a proxy's stream. What is known of its pairs fades.
func (in *Aggregator) Leave(p rules.ProxyID) { delete(in.senders, p) }

// Forget drops what is held of a replica that is gone.
func (in *Aggregator) Forget(r rules.ReplicaID) {
	delete(in.reports, r)
	delete(in.machineLoads, r)
	delete(in.lastUtilization, r)
	in.pairs.forgetReplica(r)
}

// AdjustStats tells what a collector's sums count for that waited here since they were read, and whether for anything.
func (in *Aggregator) AdjustStats(now, read rules.Time, s rules.EndpointStats) (rules.EndpointStats, bool) {
	if in.settings.MakeStats {
		in.counts[Superseded]++
		return s, false
	}
	w := in.ageWeight(time.Duration(now - read))
	if w == 0 {
		in.counts[TooOld]++
		return s, false
	}
	in.applyMachineLoad(now, &s, time.Duration(now-read)+s.Window/2)
	s.Attempts, s.Dropped = int(math.Round(float64(s.Attempts)*w)), int(math.Round(float64(s.Dropped)*w))
	return s, s.Attempts > 0
}

// AddBatch takes in a batch.
func (in *Aggregator) AddBatch(now rules.Time, b *Batch) {
	s := in.senders[b.Proxy]
	if s == nil {
		in.counts[NotJoined] += len(b.Records)
		return
	}
	in.counts[UnknownReplica] += b.UnknownReplicas
	fate, lost := s.classify(b.Sequence)
	if in.counts[LostBatches] += lost; fate != Kept {
		in.counts[fate] += len(b.Records)
		return
	}
	age := max(b.Age, 0) + s.extraDelay(b.SentAt, b.ReceivedAt) + max(time.Duration(now-b.ReceivedAt), 0)
	w := in.ageWeight(age)
	if w == 0 {
		in.counts[TooOld] += len(b.Records)
		return
	}
	n := min(len(b.Records), s.quota, in.senderQuota()*burstPeriods) // its share was larger before others came
	s.quota = min(s.quota, in.senderQuota()*burstPeriods) - n
	in.counts[Flooded] += len(b.Records) - n
	for i := range b.Records[:n] {
		r := &b.Records[i]
		if r.Attempts <= 0 || r.Dropped < 0 || r.Dropped > r.Attempts {
			continue // the decoder lets none through
		}
		in.recordReport(now, age, r)
		it := sampledRecord{replica: r.Replica, proxy: b.Proxy, zone: s.zone, attempts: int32(min(r.Attempts, math.MaxInt32)),
			dropped: int32(min(r.Dropped, math.MaxInt32)), meanLatency: r.MeanLatency, ageWeight: w, window: b.Window}
		first := in.byReplica.offer(uint32(r.Replica), it)
		second := in.byProxy.offer(uint32(b.Proxy), it)
		if first || second {
			in.counts[Kept]++
		} else {
			in.counts[SampledOut]++
		}
	}
}

// FlushDue tells whether a period is over.
func (in *Aggregator) FlushDue(now rules.Time) bool { return in.flushAt == 0 || now >= in.flushAt }

// Flush ends a period. It returns what it comes to, in an order that depends on nothing but what came: sums, where
// records make them, then evidence on pairs.
func (in *Aggregator) Flush(now rules.Time) []rules.Event {
	in.flushAt = now + rules.Time(in.settings.Period)
	in.pairs.advance(now)
	var out []rules.Event
	if in.settings.MakeStats {
		out = in.makeStats(now)
	}
	in.byReplica.each(func(_ uint32, it *sampledRecord, stands float64) {
		tries, dropped := it.counts(stands)
		in.pairs.addReplica(it.replica, tries, dropped)
	})
	in.byProxy.each(func(_ uint32, it *sampledRecord, stands float64) {
		tries, dropped := it.counts(stands)
		in.pairs.addProxy(it.proxy, it.replica, tries, dropped)
		if tries, dropped = it.counts(1); in.pairs.add(it.proxy, it.replica, tries, dropped) {
			in.counts[PairsEvicted]++ // only what was seen counts as evidence on a pair
		}
	})
	evidence, more := in.pairs.evidence(max(in.settings.Budget/evidenceBudgetPart, 1), func(p rules.ProxyID) bool { return in.senders[p] != nil })
	in.counts[PairsOmitted] += more
	for _, e := range evidence {
		out = append(out, e)
	}
	in.byReplica.reset()
	in.byProxy.reset()
	share := in.senderQuota()
	for _, s := range in.senders {
		s.quota = min(s.quota+share, share*burstPeriods)
	}
	return out
}

// makeStats makes the fleet's sums of the records kept, by replica and zone.
func (in *Aggregator) makeStats(now rules.Time) []rules.Event {
	type key struct {
		replica rules.ReplicaID
		zone    rules.ZoneID
	}
	type sum struct{ tries, dropped, took, good, over float64 }
	sums := map[key]*sum{}
	in.byReplica.each(func(_ uint32, it *sampledRecord, stands float64) {
		k := key{it.replica, it.zone}
		s := sums[k]
		if s == nil {
			s = &sum{}
			sums[k] = s
		}
		tries, dropped := it.counts(stands)
		s.tries, s.dropped, s.over = s.tries+tries, s.dropped+dropped, s.over+tries*it.window.Seconds()
		s.good, s.took = s.good+tries-dropped, s.took+(tries-dropped)*it.meanLatency.Seconds()
	})
	var out []rules.Event
	for k, s := range sums {
		e := rules.EndpointStats{Replica: k.replica, Zone: k.zone, Attempts: int(math.Round(s.tries)), Report: in.currentReport(now, k.replica),
			Window: time.Duration(s.over / s.tries * float64(time.Second))}
		e.Dropped = min(int(math.Round(s.dropped)), e.Attempts)
		if s.good > 0 {
			e.MeanLatency = time.Duration(s.took / s.good * float64(time.Second))
		}
		if e.Attempts > 0 {
			in.applyMachineLoad(now, &e, time.Duration(now-in.reports[k.replica].heardAt))
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b rules.Event) int {
		x, y := a.(rules.EndpointStats), b.(rules.EndpointStats)
		return cmp.Or(cmp.Compare(x.Replica, y.Replica), cmp.Compare(x.Zone, y.Zone))
	})
	return out
}

// Totals are the tries and drops of the present period by replica and by proxy, estimated from what is kept.
func (in *Aggregator) Totals() (byReplica map[rules.ReplicaID][2]float64, byProxy map[rules.ProxyID][2]float64) {
	byReplica, byProxy = map[rules.ReplicaID][2]float64{}, map[rules.ProxyID][2]float64{}
	in.byReplica.each(func(_ uint32, it *sampledRecord, stands float64) {
		t := byReplica[it.replica]
		tries, dropped := it.counts(stands)
		byReplica[it.replica] = [2]float64{t[0] + tries, t[1] + dropped}
	})
	in.byProxy.each(func(_ uint32, it *sampledRecord, stands float64) {
		t := byProxy[it.proxy]
		tries, dropped := it.counts(stands)
		byProxy[it.proxy] = [2]float64{t[0] + tries, t[1] + dropped}
	})
	return byReplica, byProxy
}

// Counts returns what was counted since the last call.
func (in *Aggregator) Counts() Counts {
	c := in.counts
	in.counts = Counts{}
	return c
}

// Sizes tells the size of what is remembered: records of this period, senders, failing pairs.
func (in *Aggregator) Sizes() (records, senders, pairs int) {
	return in.byReplica.kept + in.byProxy.kept, len(in.senders), len(in.pairs.pairs)
}
