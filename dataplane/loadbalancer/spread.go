// Package loadbalancer chooses the replica that a request goes to, from the tables that a control-plane governor sends and
// what this proxy governor meets itself. It is free of I/O; clock and chance are handed in.
package loadbalancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/messages"
)

const (
	baseEjectionTime     = 400 * time.Millisecond // a replica that cannot be called is left for so long, twice as long each time
	maxEjectionTime      = 6 * time.Second
	loadReportLifetime   = 1500 * time.Millisecond // what others have under way at a replica is believed less with time
	spareUtilization     = 0.85                    // replicas of the own zone are used while their slots are filled less than this
	fullUtilization      = 1.5                     // a replica with so many requests to each slot counts as full
	maxFailureRate       = 0.5                     // of the newest tries spoilt, from which a replica gets only what others cannot take
	minCanceledLatency   = 300 * time.Millisecond  // a replica left before this was not slow
	localConnectionShare = 0.8                     // of a replica's connections, for those of its zone
	minConnectionShare   = 2
	removedRetention     = time.Minute
	maxWarmthUnknown     = 10 * time.Second
	restoredZoneWarmup   = 3 * time.Second // two beats of a replica in a zone that was given back, at the usual interval
)

// Endpoint is one life of a replica as this governor sees it.
type Endpoint struct {
	ID, Service, Addr, Zone              string
	Slots                                int
	Draining, Removed, HeartbeatTimedOut bool
	Weight                               float64 // from the table; 0: held out

	warmupUntil        time.Duration
	warmthUnknown      bool
	warmthUnknownSince uint64        // of the word that brought it
	warmthUnknownUntil time.Duration // where no word settles it: its combs have lost it
	stale              bool          // never known but from an old word
	sequence           uint64        // of the newest word
	warmupRate         float64       // requests a second while cold
	warmupTokens       float64
	warmupTokensAt     time.Duration

	hasSent             bool
	lastSentAt          time.Duration // a request, last
	inFlight            int
	inFlightOfOthers    float64 // requests that others had there when it last told
	loadReportedAt      time.Duration
	ejectedUntil        time.Duration
	fleetEjectedUntil   time.Duration // the part of it that others told of
	pairEjected         bool          // fails this governor alone, as its comb judges
	consecutiveFailures int
	failureRate         float64 // moving share of tries that brought nothing

	// Since the last report.
	Attempts, Failures              int
	TotalLatency                    time.Duration // of the good ones, summed
	Successes                       int
	Running, Waiting, ReportedSlots int
}

// Balancer holds the replicas. Its calls are not made side by side.
type Balancer struct {
	zone             string
	endpoints        map[string]*Endpoint
	byService        map[string][]*Endpoint
	evacuatedZones   map[string]bool
	warmupRates      map[string]float64
	maxInFlight      map[string]int           // requests at once at one replica of a service, so that connections suffice for all
	minSendIntervals map[string]time.Duration // between two requests to one replica of a service
	removedAt        map[string]time.Duration // ids that are not to come back: stale words of them may still arrive
}

// New makes an empty one for a governor in a zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, endpoints: map[string]*Endpoint{}, byService: map[string][]*Endpoint{}, evacuatedZones: map[string]bool{}, warmupRates: map[string]float64{},
		removedAt: map[string]time.Duration{}}
}

// Get returns a replica by id, or nil.
func (b *Balancer) Get(id string) *Endpoint { return b.endpoints[id] }

// All lists the replicas in the order of their ids.
func (b *Balancer) All() []*Endpoint {
	return slices.SortedFunc(maps.Values(b.endpoints), func(x, y *Endpoint) int { return cmp.Compare(x.ID, y.ID) })
}

// UpdateInstances takes in word of replicas. It returns those to which no connection is wanted any more.
func (b *Balancer) UpdateInstances(now time.Duration, full bool, instances []registry.Instance) (ended []string) {
	var unknown []string
	defer func() {
		for _, id := range ended {
			b.removedAt[id] = now
		}
		ended = append(unknown, ended...)
		for id, at := range b.removedAt {
			if b.endpoints[id] == nil && now-at > removedRetention {
				delete(b.removedAt, id)
			}
		}
	}()
	if full {
		named := map[string]bool{}
		for _, instance := range instances {
			named[instance.ID] = true
		}
		for id := range b.endpoints {
			if !named[id] { // not known there, or not yet: that is no end
				b.remove(id)
				unknown = append(unknown, id)
			}
		}
	}
	for _, instance := range instances {
		endpoint := b.endpoints[instance.ID]
		if instance.Deregistered {
			if endpoint != nil {
				b.remove(instance.ID)
				ended = append(ended, instance.ID)
			}
			continue
		}
		if endpoint == nil {
			if _, left := b.removedAt[instance.ID]; left || instance.Addr == "" {
				continue
			}
			endpoint = &Endpoint{ID: instance.ID, Weight: 1, warmupRate: b.warmupRates[instance.ID], warmupTokensAt: now}
			b.endpoints[instance.ID] = endpoint
		}
		if endpoint.Service != instance.Service {
			b.removeFromService(endpoint)
			endpoint.Service = instance.Service
			b.byService[instance.Service] = append(b.byService[instance.Service], endpoint)
			slices.SortFunc(b.byService[instance.Service], func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
		}
		endpoint.Addr, endpoint.Zone, endpoint.Slots = instance.Addr, instance.Zone, max(instance.Slots, 1)
		if instance.Draining && !endpoint.Draining {
			endpoint.Draining = true
			ended = append(ended, instance.ID)
		}
		endpoint.HeartbeatTimedOut = instance.HeartbeatTimedOut
		endpoint.updateWarmth(now, instance)
	}
	return ended
}

// updateWarmth takes a word of how cold a replica is. One that is older than what is known changes nothing, one of the same beat
// takes nothing back, and one that may be out of date counts only where nothing is known, but for its doubt.
func (e *Endpoint) updateWarmth(now time.Duration, instance registry.Instance) {
	until := now + time.Duration(instance.WarmupMillis)*time.Millisecond
	known := e.sequence > 0 && !e.stale
	if known && instance.Stale {
		e.warmupUntil = max(e.warmupUntil, until)
		if instance.WarmthUnknown { // a comb that has just started may be the one that gives the zone back
			e.warmthUnknown, e.warmthUnknownSince, e.warmthUnknownUntil = true, max(e.sequence, instance.Sequence), now+maxWarmthUnknown
		}
		return
	}
	switch {
	case instance.WarmthUnknown: // its zone was given back: that is of after any beat
		e.warmthUnknown, e.warmthUnknownSince = true, instance.Sequence
	case !known || instance.Sequence == 0 || instance.Sequence > e.warmthUnknownSince:
		e.warmthUnknown = false
	}
	if instance.WarmthUnknown || instance.Stale {
		e.warmthUnknownUntil = now + maxWarmthUnknown
	}
	switch {
	case known && instance.Sequence > 0 && instance.Sequence < e.sequence:
	case known && instance.Sequence == e.sequence:
		e.warmupUntil = max(e.warmupUntil, until)
	default:
		e.warmupUntil, e.stale, e.sequence = until, instance.Stale, instance.Sequence
	}
}

func (b *Balancer) removeFromService(endpoint *Endpoint) {
	b.byService[endpoint.Service] = slices.DeleteFunc(b.byService[endpoint.Service], func(x *Endpoint) bool { return x == endpoint })
	if len(b.byService[endpoint.Service]) == 0 {
		delete(b.byService, endpoint.Service)
	}
}

func (b *Balancer) remove(id string) {
	endpoint := b.endpoints[id]
	endpoint.Removed = true
	b.removeFromService(endpoint)
	delete(b.endpoints, id)
}

// SetEvacuatedZones sets the zones whose replicas get nothing. The replicas of one that is given back may have turned cold; their comb
// may not remember that they were out, as it has just started, so that is doubted here too until they have beaten again.
func (b *Balancer) SetEvacuatedZones(now time.Duration, zones []string) {
	for _, endpoint := range b.endpoints {
		if b.evacuatedZones[endpoint.Zone] && !slices.Contains(zones, endpoint.Zone) && !(endpoint.warmthUnknown && now < endpoint.warmthUnknownUntil) {
			endpoint.warmthUnknown, endpoint.warmthUnknownSince, endpoint.warmthUnknownUntil = true, endpoint.sequence+1, now+restoredZoneWarmup
		}
	}
	clear(b.evacuatedZones)
	for _, zone := range zones {
		b.evacuatedZones[zone] = true
	}
}

// SetWeight sets a weight of the table.
func (b *Balancer) SetWeight(id string, weight float64) {
	if endpoint := b.endpoints[id]; endpoint != nil {
		endpoint.Weight = weight
	}
}

// SetPairEjections shuts replicas out as the last choice, or lets them in again. A whole state begins with none.
func (b *Balancer) SetPairEjections(whole bool, ejections []messages.PairEjection) {
	if whole {
		for _, endpoint := range b.endpoints {
			endpoint.pairEjected = false
		}
	}
	for _, ejection := range ejections {
		if endpoint := b.endpoints[ejection.Replica]; endpoint != nil {
			endpoint.pairEjected = ejection.Ejected
		}
	}
}

// SetWarmupRates sets what this governor may send to cold replicas, a second, in place of all that was granted before.
func (b *Balancer) SetWarmupRates(now time.Duration, rates map[string]float64) {
	b.warmupRates = rates
	for id, endpoint := range b.endpoints {
		endpoint.refillWarmupTokens(now)
		if endpoint.warmupRate = rates[id]; endpoint.warmupRate == 0 {
			endpoint.warmupTokens = 0 // the right is another's now
		}
	}
}

// WarmupRate is what this governor may send to a replica while it is cold, a second.
func (b *Balancer) WarmupRate(id string) float64 { return b.warmupRates[id] }

// RemoveMisdirected takes a replica out whose address another one has answered at. It is told whether that is new.
func (b *Balancer) RemoveMisdirected(now time.Duration, id string) bool {
	if b.endpoints[id] == nil {
		return false
	}
	b.remove(id)
	b.removedAt[id] = now
	return true
}

// SetMinSendIntervals has this governor leave so much time between two requests to one replica, by service; nil: none. It is for one that
// hears no comb: any replica may have turned cold, and others who know no more send to it too.
func (b *Balancer) SetMinSendIntervals(by map[string]time.Duration) { b.minSendIntervals = by }

// SetMaxInFlight sets how many requests this governor may have at one replica at once, by service: its part of the connections
// that a replica accepts from all.
func (b *Balancer) SetMaxInFlight(caps map[string]int) { b.maxInFlight = caps }

func (b *Balancer) atCapacity(endpoint *Endpoint) bool {
	most, ok := b.maxInFlight[endpoint.Service]
	return ok && endpoint.inFlight >= most
}

// ConnectionShare is a governor's part of the connections that a replica accepts, among so many governors over so many zones:
// most of a replica's requests come from its own zone.
func ConnectionShare(connections, governors, zones int) int {
	return max(int(localConnectionShare*float64(connections))/max((governors+zones-1)/max(zones, 1), 1), minConnectionShare)
}

// Instance is what this governor was told of a replica.
func (e *Endpoint) Instance(now time.Duration) registry.Instance {
	return registry.Instance{ID: e.ID, Service: e.Service, Addr: e.Addr, Zone: e.Zone, Slots: e.Slots, Draining: e.Draining, Sequence: e.sequence,
		WarmthUnknown: e.warmthUnknown && now < e.warmthUnknownUntil, Stale: e.stale && now < e.warmthUnknownUntil, WarmupMillis: max((e.warmupUntil - now).Milliseconds(), 0)}
}

// WarmingUp tells whether a replica must be spared.
func (e *Endpoint) WarmingUp(now time.Duration) bool {
	return now < e.warmupUntil || (e.warmthUnknown || e.stale) && now < e.warmthUnknownUntil
}

func (e *Endpoint) refillWarmupTokens(now time.Duration) {
	e.warmupTokens = min(e.warmupTokens+e.warmupRate*(now-e.warmupTokensAt).Seconds(), 1)
	e.warmupTokensAt = now
}

// estimatedLoad estimates the requests that a replica has, running and waiting.
func (e *Endpoint) estimatedLoad(now time.Duration) float64 {
	freshness := 1 - min(float64(now-e.loadReportedAt)/float64(loadReportLifetime), 1)
	return float64(e.inFlight) + e.inFlightOfOthers*freshness
}

// Utilization is how many requests to a slot a replica has by estimate.
func (e *Endpoint) Utilization(now time.Duration) float64 { return e.utilization(now) }

func (e *Endpoint) utilization(now time.Duration) float64 {
	return e.estimatedLoad(now) / float64(max(e.Slots, 1))
}

// classify lists the replicas that a request may go to: warm ones of the own zone and of others, cold ones for which there
// is a token, and those that are doubted.
func (b *Balancer) classify(now time.Duration, service string, tried func(string) bool) (near, far, cold, poor []*Endpoint) {
	for _, endpoint := range b.byService[service] {
		if endpoint.Draining || b.evacuatedZones[endpoint.Zone] || tried(endpoint.ID) || b.atCapacity(endpoint) || endpoint.hasSent && now-endpoint.lastSentAt < b.minSendIntervals[service] {
			continue
		}
		if endpoint.WarmingUp(now) {
			if endpoint.refillWarmupTokens(now); endpoint.warmupTokens >= 1 && now >= endpoint.ejectedUntil {
				cold = append(cold, endpoint)
			}
			continue
		}
		switch {
		case endpoint.HeartbeatTimedOut || now < endpoint.ejectedUntil || endpoint.Weight <= 0 || endpoint.failureRate > maxFailureRate || endpoint.pairEjected:
			poor = append(poor, endpoint)
		case endpoint.Zone == b.zone:
			near = append(near, endpoint)
		default:
			far = append(far, endpoint)
		}
	}
	return near, far, cold, poor
}

// Pick chooses a replica of a service for a request that was not yet at those that tried names, or nil. None is
// chosen that has more requests to a slot than depth.
func (b *Balancer) Pick(now time.Duration, service string, tried func(string) bool, depth float64, chance func() float64) *Endpoint {
	near, far, cold, poor := b.classify(now, service, tried)
	// Exception: bytes between zones cost, so the own zone's replicas go first while they have room. Weights still
	// say how it is shared among them, and all share it by weight once they are full.
	if endpoint := leastLoadedOfTwo(now, near, spareUtilization, chance); endpoint != nil {
		return endpoint
	}
	if endpoint := leastLoadedOfTwo(now, far, spareUtilization, chance); endpoint != nil {
		return endpoint
	}
	warm := append(near, far...)
	if endpoint := leastLoadedOfTwo(now, warm, min(fullUtilization, depth), chance); endpoint != nil {
		return endpoint
	}
	if len(cold) > 0 {
		return cold[int(chance()*float64(len(cold)))%len(cold)]
	}
	if endpoint := leastLoadedOfTwo(now, warm, depth, chance); endpoint != nil {
		return endpoint
	}
	if len(warm) > 0 {
		return nil
	}
	return leastLoadedOfTwo(now, poor, depth, chance) // nothing better is left: those may have come back
}

// PickIdle chooses as Pick does, but only a warm replica with free slots.
func (b *Balancer) PickIdle(now time.Duration, service string, tried func(string) bool, chance func() float64) *Endpoint {
	near, far, _, _ := b.classify(now, service, tried)
	if endpoint := leastLoadedOfTwo(now, near, spareUtilization, chance); endpoint != nil {
		return endpoint
	}
	return leastLoadedOfTwo(now, far, spareUtilization, chance)
}

// leastLoadedOfTwo draws two replicas by weight and takes the less filled, among those filled less than most.
func leastLoadedOfTwo(now time.Duration, from []*Endpoint, most float64, chance func() float64) *Endpoint {
	a, b := weightedRandom(from, chance), weightedRandom(from, chance)
	if a == nil {
		return nil
	}
	if b.utilization(now) < a.utilization(now) {
		a = b
	}
	if a.utilization(now) < most {
		return a
	}
	a = slices.MinFunc(from, func(a, b *Endpoint) int { return cmp.Compare(a.utilization(now), b.utilization(now)) })
	if a.utilization(now) < most {
		return a
	}
	return nil
}

func weightedRandom(from []*Endpoint, chance func() float64) *Endpoint {
	sum := 0.0
	for _, endpoint := range from {
		sum += max(endpoint.Weight, 1e-3)
	}
	left := chance() * sum
	for _, endpoint := range from {
		if left -= max(endpoint.Weight, 1e-3); left < 0 {
			return endpoint
		}
	}
	if len(from) > 0 {
		return from[len(from)-1]
	}
	return nil
}

// StartAttempt counts a request that is about to be sent.
func (b *Balancer) StartAttempt(now time.Duration, endpoint *Endpoint) {
	if endpoint.WarmingUp(now) {
		endpoint.refillWarmupTokens(now)
		endpoint.warmupTokens--
	}
	endpoint.inFlight++
	endpoint.Attempts++
	endpoint.hasSent, endpoint.lastSentAt = true, now
}

// Result is what became of a try.
type Result int

const (
	Success       Result = iota // a whole answer
	Rejected                    // it did not run the request
	BadResponse                 // an answer that is none, or cut short, or a failure of its own
	NoResponse                  // no answer, or the connection broke
	ConnectFailed               // it could not be called
	Canceled                    // the client left
)

// Eject takes the word that a replica broke under somebody: it is the last choice for a while.
func (b *Balancer) Eject(now time.Duration, id string, span time.Duration) {
	if endpoint := b.endpoints[id]; endpoint != nil {
		endpoint.ejectedUntil = max(endpoint.ejectedUntil, now+span)
		endpoint.fleetEjectedUntil = max(endpoint.fleetEjectedUntil, now+span)
	}
}

// EndAttempt counts a try's outcome.
func (b *Balancer) EndAttempt(now time.Duration, endpoint *Endpoint, o Result, took time.Duration) {
	endpoint.inFlight--
	bad := 0.0
	switch o {
	case Success:
		endpoint.consecutiveFailures, endpoint.ejectedUntil = 0, endpoint.fleetEjectedUntil // an answer of before the fall does not undo it
		endpoint.Successes++
		endpoint.TotalLatency += took
	case Canceled: // or beaten by another; a second time without a good answer between tells something
		if took < minCanceledLatency {
			return
		}
		endpoint.consecutiveFailures++
		if endpoint.consecutiveFailures > 1 {
			endpoint.ejectedUntil = now + min(baseEjectionTime<<min(endpoint.consecutiveFailures-2, 5), maxEjectionTime)
		}
		return
	case Rejected:
		endpoint.Failures++
		return
	case BadResponse:
		endpoint.Failures++
		bad = 1
	case NoResponse, ConnectFailed:
		endpoint.Failures++
		bad = 1
		wait := min(baseEjectionTime<<min(endpoint.consecutiveFailures, 5), maxEjectionTime)
		endpoint.consecutiveFailures++
		if o == ConnectFailed || endpoint.consecutiveFailures > 1 {
			endpoint.ejectedUntil = now + wait
		}
	}
	endpoint.failureRate += (bad - endpoint.failureRate) / 8
}

// RecordLoad takes a replica's own word on its load, from an answer.
func (e *Endpoint) RecordLoad(now time.Duration, running, waiting, slots int) {
	e.Running, e.Waiting, e.ReportedSlots = running, waiting, slots
	e.inFlightOfOthers = max(float64(running+waiting-e.inFlight), 0)
	e.loadReportedAt = now
}
