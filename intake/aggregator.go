// Package intake aggregates the reports of proxies, collectors and machines into events for package rules. It samples the
// records of proxies within a budget, weights them by age, detects repeated batches, limits each sender to a quota, and
// detects pairs of a proxy and a replica that fail.
//
// It does no I/O and reads no clock: times are arguments, and random numbers are a hash of the seed and a counter, so the
// same calls always return the same events. An Aggregator is not safe for concurrent use.
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
	Period           time.Duration // interval at which reports are aggregated and flushed
	Budget           int           // records kept per period, over all senders
	HalfLife         time.Duration // age at which a record has half the weight of a fresh one
	MaxAge           time.Duration // age above which records are ignored
	MaxPairs         int           // largest number of failing pairs kept
	Zones            int
	StatsFromRecords bool // derive statistics from records and ignore those of collectors
}

// Aggregator holds the reports of the current period and the state kept from earlier ones. Use New to create one.
type Aggregator struct {
	settings           Settings
	senders            map[rules.ProxyID]*sender
	byReplica, byProxy sampler
	pairs              pairTable
	reports            map[rules.ReplicaID]reportedLoad
	machineLoads       map[rules.ReplicaID]*[metricCount]machineValue // last readings of machines
	lastUtilization    map[rules.ReplicaID]float64                    // as last delivered, for replicas with machine readings
	counts             Counts
	flushAt            rules.Time // end of the period; 0: no period has begun
}

// New returns an empty Aggregator.
func New(s Settings) *Aggregator {
	return &Aggregator{settings: s, senders: map[rules.ProxyID]*sender{}, reports: map[rules.ReplicaID]reportedLoad{},
		machineLoads: map[rules.ReplicaID]*[metricCount]machineValue{}, lastUtilization: map[rules.ReplicaID]float64{},
		byReplica: newSampler(s.Seed, s.Budget/2), byProxy: newSampler(s.Seed+1, s.Budget/2), pairs: newPairTable(s.MaxPairs, pairHalfLifePeriods*s.Period)}
}

// Join begins a proxy's stream, whose sequence numbers start anew.
func (a *Aggregator) Join(p rules.ProxyID, z rules.ZoneID) {
	a.senders[p] = &sender{zone: z, quota: a.senderQuota() * burstPeriods}
}

// Leave ends a proxy's stream. The counts of its pairs remain and decay.
func (a *Aggregator) Leave(p rules.ProxyID) { delete(a.senders, p) }

// Forget deletes the state of a deregistered replica.
func (a *Aggregator) Forget(r rules.ReplicaID) {
	delete(a.reports, r)
	delete(a.machineLoads, r)
	delete(a.lastUtilization, r)
	a.pairs.forgetReplica(r)
}

// AddBatch adds the records of a batch and counts them by Cause.
func (a *Aggregator) AddBatch(now rules.Time, b *Batch) {
	s := a.senders[b.Proxy]
	if s == nil {
		a.counts[NotJoined] += len(b.Records)
		return
	}
	a.counts[UnknownReplica] += b.UnknownReplicas
	cause, lost := s.classify(b.Sequence)
	if a.counts[LostBatches] += lost; cause != Kept {
		a.counts[cause] += len(b.Records)
		return
	}
	age := max(b.Age, 0) + s.extraDelay(b.SentAt, b.ReceivedAt) + max(time.Duration(now-b.ReceivedAt), 0)
	w := a.ageWeight(age)
	if w == 0 {
		a.counts[TooOld] += len(b.Records)
		return
	}
	n := min(len(b.Records), s.quota, a.senderQuota()*burstPeriods) // others may have joined since the quota was set
	s.quota = min(s.quota, a.senderQuota()*burstPeriods) - n
	a.counts[OverQuota] += len(b.Records) - n
	for i := range b.Records[:n] {
		r := &b.Records[i]
		if r.Attempts <= 0 || r.Dropped < 0 || r.Dropped > r.Attempts {
			continue // the decoder rejects such records
		}
		a.recordReport(now, age, r)
		sampled := sampledRecord{replica: r.Replica, proxy: b.Proxy, zone: s.zone, attempts: int32(min(r.Attempts, math.MaxInt32)),
			dropped: int32(min(r.Dropped, math.MaxInt32)), meanLatency: r.MeanLatency, ageWeight: w, window: b.Window}
		first := a.byReplica.offer(uint32(r.Replica), sampled)
		second := a.byProxy.offer(uint32(b.Proxy), sampled)
		if first || second {
			a.counts[Kept]++
		} else {
			a.counts[SampledOut]++
		}
	}
}

// AdjustStats weights a collector's statistics by the time since they were received, merges machine readings, and reports
// whether any attempts remain.
func (a *Aggregator) AdjustStats(now, received rules.Time, s rules.EndpointStats) (rules.EndpointStats, bool) {
	if a.settings.StatsFromRecords {
		a.counts[Superseded]++
		return s, false
	}
	w := a.ageWeight(time.Duration(now - received))
	if w == 0 {
		a.counts[TooOld]++
		return s, false
	}
	a.applyMachineLoad(now, &s, time.Duration(now-received)+s.Window/2)
	s.Attempts, s.Dropped = int(math.Round(float64(s.Attempts)*w)), int(math.Round(float64(s.Dropped)*w))
	return s, s.Attempts > 0
}

// FlushDue reports whether the period is over.
func (a *Aggregator) FlushDue(now rules.Time) bool { return a.flushAt == 0 || now >= a.flushAt }

// Flush ends a period and returns its events in a deterministic order: EndpointStats, if derived from records, then
// PairStats.
func (a *Aggregator) Flush(now rules.Time) []rules.Event {
	a.flushAt = now + rules.Time(a.settings.Period)
	a.pairs.advance(now)
	var out []rules.Event
	if a.settings.StatsFromRecords {
		out = a.makeStats(now)
	}
	a.byReplica.each(func(_ uint32, sampled *sampledRecord, weight float64) {
		attempts, dropped := sampled.counts(weight)
		a.pairs.addReplica(sampled.replica, attempts, dropped)
	})
	a.byProxy.each(func(_ uint32, sampled *sampledRecord, weight float64) {
		attempts, dropped := sampled.counts(weight)
		a.pairs.addProxy(sampled.proxy, sampled.replica, attempts, dropped)
		// Only sampled records are evidence on a pair, not the ones that they represent.
		if attempts, dropped = sampled.counts(1); a.pairs.add(sampled.proxy, sampled.replica, attempts, dropped) {
			a.counts[PairsEvicted]++
		}
	})
	evidence, omitted := a.pairs.evidence(max(a.settings.Budget/evidenceBudgetPart, 1), func(p rules.ProxyID) bool { return a.senders[p] != nil })
	a.counts[PairsOmitted] += omitted
	for _, e := range evidence {
		out = append(out, e)
	}
	a.byReplica.reset()
	a.byProxy.reset()
	quota := a.senderQuota()
	for _, s := range a.senders {
		s.quota = min(s.quota+quota, quota*burstPeriods)
	}
	return out
}

// makeStats estimates statistics by replica and zone from the sampled records.
func (a *Aggregator) makeStats(now rules.Time) []rules.Event {
	type key struct {
		replica rules.ReplicaID
		zone    rules.ZoneID
	}
	type sum struct{ attempts, dropped, latency, successes, window float64 }
	sums := map[key]*sum{}
	a.byReplica.each(func(_ uint32, sampled *sampledRecord, weight float64) {
		k := key{sampled.replica, sampled.zone}
		s := sums[k]
		if s == nil {
			s = &sum{}
			sums[k] = s
		}
		attempts, dropped := sampled.counts(weight)
		s.attempts, s.dropped, s.window = s.attempts+attempts, s.dropped+dropped, s.window+attempts*sampled.window.Seconds()
		s.successes, s.latency = s.successes+attempts-dropped, s.latency+(attempts-dropped)*sampled.meanLatency.Seconds()
	})
	var out []rules.Event
	for k, s := range sums {
		e := rules.EndpointStats{Replica: k.replica, Zone: k.zone, Attempts: int(math.Round(s.attempts)), Report: a.currentReport(now, k.replica),
			Window: time.Duration(s.window / s.attempts * float64(time.Second))}
		e.Dropped = min(int(math.Round(s.dropped)), e.Attempts)
		if s.successes > 0 {
			e.MeanLatency = time.Duration(s.latency / s.successes * float64(time.Second))
		}
		if e.Attempts > 0 {
			a.applyMachineLoad(now, &e, time.Duration(now-a.reports[k.replica].heardAt))
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b rules.Event) int {
		x, y := a.(rules.EndpointStats), b.(rules.EndpointStats)
		return cmp.Or(cmp.Compare(x.Replica, y.Replica), cmp.Compare(x.Zone, y.Zone))
	})
	return out
}

// ageWeight is the weight of a record by age: 1 if fresh, decreasing to 0 above MaxAge.
func (a *Aggregator) ageWeight(age time.Duration) float64 {
	if age > a.settings.MaxAge {
		return 0
	}
	return math.Exp2(-float64(max(age, 0)) / float64(a.settings.HalfLife))
}

// Totals returns the attempts and drops of the current period by replica and by proxy, estimated from the sampled records.
func (a *Aggregator) Totals() (byReplica map[rules.ReplicaID][2]float64, byProxy map[rules.ProxyID][2]float64) {
	byReplica, byProxy = map[rules.ReplicaID][2]float64{}, map[rules.ProxyID][2]float64{}
	a.byReplica.each(func(_ uint32, sampled *sampledRecord, weight float64) {
		t := byReplica[sampled.replica]
		attempts, dropped := sampled.counts(weight)
		byReplica[sampled.replica] = [2]float64{t[0] + attempts, t[1] + dropped}
	})
	a.byProxy.each(func(_ uint32, sampled *sampledRecord, weight float64) {
		t := byProxy[sampled.proxy]
		attempts, dropped := sampled.counts(weight)
		byProxy[sampled.proxy] = [2]float64{t[0] + attempts, t[1] + dropped}
	})
	return byReplica, byProxy
}

// Counts returns the counts since the last call.
func (a *Aggregator) Counts() Counts {
	c := a.counts
	a.counts = Counts{}
	return c
}

// Sizes returns the numbers of sampled records, senders and failing pairs.
func (a *Aggregator) Sizes() (records, senders, pairs int) {
	return a.byReplica.kept + a.byProxy.kept, len(a.senders), len(a.pairs.pairs)
}
