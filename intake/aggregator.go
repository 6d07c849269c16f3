// Package intake ingests the reports of proxies, collectors and machines for package rules. It samples the records of
// single proxies within a budget, weights them by age, tells repeated batches from late ones, limits each sender to a
// quota, and finds pairs of a proxy and a replica that fail.
//
// It does no I/O and reads no clock: every time is an argument, and random draws are a hash of the seed and a counter, so
// the same calls always give the same events. What follows for a replica or a pair is decided by package rules. An
// Aggregator is not safe for concurrent use.
package intake

import (
	"cmp"
	"math"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// Settings configure an Aggregator.
type Settings struct {
	Seed             uint64
	Period           time.Duration // reports are gathered, and flushed, at this interval
	Budget           int           // records kept in a period, over all senders
	HalfLife         time.Duration // a record of this age counts for half of a fresh one
	MaxAge           time.Duration // an older one counts for nothing
	MaxPairs         int           // failing pairs that are kept
	Zones            int
	StatsFromRecords bool // records make the fleet's statistics, and those of collectors are ignored
}

// Aggregator holds the reports of the present period and what is kept of earlier ones. New makes one.
type Aggregator struct {
	settings           Settings
	senders            map[rules.ProxyID]*sender
	byReplica, byProxy sampler
	pairs              pairTable
	reports            map[rules.ReplicaID]reportedLoad
	machineLoads       map[rules.ReplicaID]*[metricCount]machineValue // the last values of machines
	lastUtilization    map[rules.ReplicaID]float64                    // as last delivered, where machines report too
	counts             Counts
	flushAt            rules.Time // end of the period; 0: none yet
}

// New returns an empty Aggregator.
func New(s Settings) *Aggregator {
	return &Aggregator{settings: s, senders: map[rules.ProxyID]*sender{}, reports: map[rules.ReplicaID]reportedLoad{},
		machineLoads: map[rules.ReplicaID]*[metricCount]machineValue{}, lastUtilization: map[rules.ReplicaID]float64{},
		byReplica: newSampler(s.Seed, s.Budget/2), byProxy: newSampler(s.Seed+1, s.Budget/2), pairs: newPairTable(s.MaxPairs, pairHalfLifePeriods*s.Period)}
}

// Join begins a proxy's stream, with sequence numbers of its own.
func (in *Aggregator) Join(p rules.ProxyID, z rules.ZoneID) {
	in.senders[p] = &sender{zone: z, quota: in.senderQuota() * burstPeriods}
}

// Leave ends a proxy's stream. The counts of its pairs decay.
func (in *Aggregator) Leave(p rules.ProxyID) { delete(in.senders, p) }

// Forget drops all that is kept of a deregistered replica.
func (in *Aggregator) Forget(r rules.ReplicaID) {
	delete(in.reports, r)
	delete(in.machineLoads, r)
	delete(in.lastUtilization, r)
	in.pairs.forgetReplica(r)
}

// AddBatch takes in a batch, or counts why not.
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
	n := min(len(b.Records), s.quota, in.senderQuota()*burstPeriods) // its quota was larger before others joined
	s.quota = min(s.quota, in.senderQuota()*burstPeriods) - n
	in.counts[OverQuota] += len(b.Records) - n
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

// AdjustStats weights a collector's statistics by the time since they were read, puts in what machines reported, and
// reports whether anything of them is left.
func (in *Aggregator) AdjustStats(now, read rules.Time, s rules.EndpointStats) (rules.EndpointStats, bool) {
	if in.settings.StatsFromRecords {
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

// FlushDue reports whether the period is over.
func (in *Aggregator) FlushDue(now rules.Time) bool { return in.flushAt == 0 || now >= in.flushAt }

// Flush ends a period and returns its events, in an order that depends on nothing but what came: EndpointStats, where
// records make them, then PairStats.
func (in *Aggregator) Flush(now rules.Time) []rules.Event {
	in.flushAt = now + rules.Time(in.settings.Period)
	in.pairs.advance(now)
	var out []rules.Event
	if in.settings.StatsFromRecords {
		out = in.makeStats(now)
	}
	in.byReplica.each(func(_ uint32, it *sampledRecord, stands float64) {
		attempts, dropped := it.counts(stands)
		in.pairs.addReplica(it.replica, attempts, dropped)
	})
	in.byProxy.each(func(_ uint32, it *sampledRecord, stands float64) {
		attempts, dropped := it.counts(stands)
		in.pairs.addProxy(it.proxy, it.replica, attempts, dropped)
		if attempts, dropped = it.counts(1); in.pairs.add(it.proxy, it.replica, attempts, dropped) {
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

// makeStats estimates statistics by replica and zone from the records kept.
func (in *Aggregator) makeStats(now rules.Time) []rules.Event {
	type key struct {
		replica rules.ReplicaID
		zone    rules.ZoneID
	}
	type sum struct{ attempts, dropped, latency, successes, window float64 }
	sums := map[key]*sum{}
	in.byReplica.each(func(_ uint32, it *sampledRecord, stands float64) {
		k := key{it.replica, it.zone}
		s := sums[k]
		if s == nil {
			s = &sum{}
			sums[k] = s
		}
		attempts, dropped := it.counts(stands)
		s.attempts, s.dropped, s.window = s.attempts+attempts, s.dropped+dropped, s.window+attempts*it.window.Seconds()
		s.successes, s.latency = s.successes+attempts-dropped, s.latency+(attempts-dropped)*it.meanLatency.Seconds()
	})
	var out []rules.Event
	for k, s := range sums {
		e := rules.EndpointStats{Replica: k.replica, Zone: k.zone, Attempts: int(math.Round(s.attempts)), Report: in.currentReport(now, k.replica),
			Window: time.Duration(s.window / s.attempts * float64(time.Second))}
		e.Dropped = min(int(math.Round(s.dropped)), e.Attempts)
		if s.successes > 0 {
			e.MeanLatency = time.Duration(s.latency / s.successes * float64(time.Second))
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

// ageWeight is the weight of a record of an age, from 1 if fresh to 0 past MaxAge. It never rises with age.
func (in *Aggregator) ageWeight(age time.Duration) float64 {
	if age > in.settings.MaxAge {
		return 0
	}
	return math.Exp2(-float64(max(age, 0)) / float64(in.settings.HalfLife))
}

// Totals returns the attempts and drops of the present period by replica and by proxy, estimated from what is kept.
func (in *Aggregator) Totals() (byReplica map[rules.ReplicaID][2]float64, byProxy map[rules.ProxyID][2]float64) {
	byReplica, byProxy = map[rules.ReplicaID][2]float64{}, map[rules.ProxyID][2]float64{}
	in.byReplica.each(func(_ uint32, it *sampledRecord, stands float64) {
		t := byReplica[it.replica]
		attempts, dropped := it.counts(stands)
		byReplica[it.replica] = [2]float64{t[0] + attempts, t[1] + dropped}
	})
	in.byProxy.each(func(_ uint32, it *sampledRecord, stands float64) {
		t := byProxy[it.proxy]
		attempts, dropped := it.counts(stands)
		byProxy[it.proxy] = [2]float64{t[0] + attempts, t[1] + dropped}
	})
	return byReplica, byProxy
}

// Counts returns what was counted since the last call.
func (in *Aggregator) Counts() Counts {
	c := in.counts
	in.counts = Counts{}
	return c
}

// Sizes returns how much is kept: records of this period, senders, failing pairs.
func (in *Aggregator) Sizes() (records, senders, pairs int) {
	return in.byReplica.kept + in.byProxy.kept, len(in.senders), len(in.pairs.pairs)
}
