// Package router is what a proxy governor decides: which replica a request goes to, whether to another one, what is
// refused, and what it holds in force of what its control-plane governor tells. It joins dataplane/loadbalancer, dataplane/admission and
// dataplane/retry. It is free of I/O; clock and chance are handed in, and the same calls always bring the same results.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/capacity"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/messages"
)

const (
	observationInterval  = 400 * time.Millisecond // between two words of the same replica
	maxObservedEndpoints = 1024
	minGateways          = 8 // foragers that a budget's part is by, until it is known how many there are
)

// WarmupRateLifetime is how long rights to call cold replicas hold after the last word of the comb that dealt them. It is also the
// longest silence between two words of one stream: after more, this node or the comb was held up, and what still comes is old.
const WarmupRateLifetime = time.Second

// isolatedAfter is how long a forager that hears no comb sends to replicas as it likes: as late as any word of coldness may be.
const isolatedAfter = 2 * time.Second

// isolatedRateShare is the part of what a cold replica may be sent that foragers which hear no comb together send to any.
const isolatedRateShare = 0.9

// staleAfter is how long a forager that heard no comb trusts what it knows of replicas enough to tell it on as new.
const staleAfter = 3 * time.Second

// ReadinessPropagation is how long after readiness has fallen the platform has noticed and looked elsewhere.
const ReadinessPropagation = 2500 * time.Millisecond

// Settings are what a forager is told at its start.
type Settings struct {
	Zone       string  `cbor:"1,keyasint"`
	Zones      int     `cbor:"2,keyasint"`
	RetryRatio float64 `cbor:"3,keyasint"` // further tries for each request, over all foragers
	RetrySlack float64 `cbor:"4,keyasint"` // further tries beyond the ratio in a window, over all foragers
	Seed       uint64  `cbor:"5,keyasint"` // of its chance

	WarmupOverage float64 `cbor:"6,keyasint,omitempty"` // times what it bears that a cold replica may be sent in a second, over all foragers
	WarmupSlack   float64 `cbor:"7,keyasint,omitempty"` // requests beyond that
}

// PickRequest is a request that looks for a replica.
type PickRequest struct {
	Service   string            `cbor:"1,keyasint"`
	Attempted []string          `cbor:"2,keyasint,omitempty"` // replicas that it was at
	Admission admission.Request `cbor:"3,keyasint"`
	OnlyIdle  bool              `cbor:"4,keyasint,omitempty"` // only one with free slots will do
}

// PickResult is a replica for a request; each one that has an ID must be ended by End.
type PickResult struct {
	AttemptID  uint64        `cbor:"1,keyasint,omitempty"`
	EndpointID string        `cbor:"2,keyasint,omitempty"` // empty: there is none
	Addr       string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"` // where there is none: when to come back
}

// AttemptResult is a try's end.
type AttemptResult struct {
	AttemptID         uint64              `cbor:"1,keyasint"` // of Picked
	Result            loadbalancer.Result `cbor:"2,keyasint,omitempty"`
	Latency           time.Duration       `cbor:"3,keyasint,omitempty"`
	ConnectionRefused bool                `cbor:"4,keyasint,omitempty"` // nobody listens there
	Misdirected       bool                `cbor:"5,keyasint,omitempty"` // another replica answered there
	Load              [3]int              `cbor:"6,keyasint,omitempty"` // running, waiting, slots by the replica's word; no slots: not told
}

// AttemptEffects is what follows from a try's end for others.
type AttemptEffects struct {
	Observation         *outlier.Observation `cbor:"1,keyasint,omitempty"` // the comb is to know at once
	MisdirectedEndpoint string               `cbor:"2,keyasint,omitempty"` // likewise: this replica's address is another's
}

// UpdateResult is what follows from a comb's word.
type UpdateResult struct {
	RemovedEndpoints []string              `cbor:"1,keyasint,omitempty"` // replicas to which no connection is wanted any more
	Config           *gatewayconfig.Config `cbor:"-"`                    // another one is in force; nil: the same as before
	ConfigError      string                `cbor:"3,keyasint,omitempty"` // of a configuration that was not taken
	FullTable        bool                  `cbor:"4,keyasint,omitempty"` // a whole state came
	Late             bool                  `cbor:"5,keyasint,omitempty"` // the stream is to be left; nothing was taken from it
}

type attempt struct {
	endpoint    *loadbalancer.Endpoint
	service     string
	utilization float64 // requests to a slot that it had
}

// Router is one proxy governor's part. Its calls are not made side by side.
type Router struct {
	settings            Settings
	source              rand.PCG
	random              func() float64
	config              *gatewayconfig.Config
	balancer            *loadbalancer.Balancer
	retryBudgets        map[string]*retry.Budget
	admissions          map[string]*admission.Controller
	requestCounts       map[string]int
	observedAt          map[string]time.Duration // when the comb was told of a replica that broke
	attempts            map[uint64]attempt
	lastAttemptID       uint64
	sequence            uint64 // of the register in force
	members             []membership.Member
	gateways            int
	hasTable            bool
	lastUpdateAt        time.Duration // a comb, last
	silenceBeforeStream time.Duration // before the stream at hand
	streaming           bool          // a stream is held, whole
	hasWarmupRates      bool          // rights are held
	isolated            bool          // no comb was heard for long

	maintenanceEnabled bool // windows are used
	meter              capacity.Meter
	groupRequests      map[string]int
	inFlight           int
	phase              maintenance.Phase
	fencingToken       uint64
	drainingSince      time.Duration
}

// New makes one that holds nothing.
func New(settings Settings) *Router {
	r := &Router{settings: settings, source: *rand.NewPCG(settings.Seed, 1), balancer: loadbalancer.New(settings.Zone), retryBudgets: map[string]*retry.Budget{}, admissions: map[string]*admission.Controller{},
		requestCounts: map[string]int{}, observedAt: map[string]time.Duration{}, attempts: map[uint64]attempt{}, groupRequests: map[string]int{}, phase: maintenance.Serving}
	r.random = rand.New(&r.source).Float64
	return r
}

// Pick chooses a replica and counts the request there.
func (r *Router) Pick(now time.Duration, request PickRequest) PickResult {
	r.expireWarmupRates(now)
	r.updateIsolation(now)
	admission := r.admission(request.Service)
	attempted := func(id string) bool { return slices.Contains(request.Attempted, id) }
	var endpoint *loadbalancer.Endpoint
	if request.OnlyIdle {
		endpoint = r.balancer.PickIdle(now, request.Service, attempted, r.random)
	} else {
		endpoint = r.balancer.Pick(now, request.Service, attempted, admission.MaxQueueDepth(request.Admission), r.random)
	}
	if endpoint == nil {
		return PickResult{RetryAfter: admission.Reject(request.Admission, r.random())}
	}
	admission.RecordAdmission()
	r.lastAttemptID++
	r.attempts[r.lastAttemptID] = attempt{endpoint, request.Service, endpoint.Utilization(now)}
	r.balancer.StartAttempt(now, endpoint)
	return PickResult{AttemptID: r.lastAttemptID, EndpointID: endpoint.ID, Addr: endpoint.Addr}
}

// expireWarmupRates drops the rights of a comb that has been silent.
func (r *Router) expireWarmupRates(now time.Duration) {
	if r.hasWarmupRates && now-r.lastUpdateAt > WarmupRateLifetime {
		r.setWarmupRates(now, nil)
	}
}

// updateIsolation has this node, where it has heard no comb for long, send each replica no more than its part of what a cold one may be
// sent: it has no word of those that turn cold.
func (r *Router) updateIsolation(now time.Duration) {
	isolated := r.hasTable && r.config != nil && now-r.lastUpdateAt > isolatedAfter
	if isolated == r.isolated {
		return
	}
	r.isolated = isolated
	if !isolated {
		r.balancer.SetMinSendIntervals(nil)
		return
	}
	intervals := map[string]time.Duration{}
	for name, svc := range r.config.Services {
		if rate := isolatedRateShare * (svc.WarmupRate*r.settings.WarmupOverage + r.settings.WarmupSlack); svc.WarmupRate > 0 && rate > 0 {
			intervals[name] = time.Duration(float64(max(r.gateways, minGateways)) / rate * float64(time.Second))
		}
	}
	r.balancer.SetMinSendIntervals(intervals)
}

// WarmupRate is what this node may send to a replica while it is cold, a second.
func (r *Router) WarmupRate(now time.Duration, id string) float64 {
	r.expireWarmupRates(now)
	return r.balancer.WarmupRate(id)
}

func (r *Router) admission(service string) *admission.Controller {
	if r.admissions[service] == nil {
		r.admissions[service] = admission.New()
	}
	return r.admissions[service]
}

func (r *Router) retryBudget(service string) *retry.Budget {
	budget := r.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(r.settings.RetryRatio/2, max(r.settings.RetrySlack/float64(max(r.gateways, minGateways))/2, 1))
		r.retryBudgets[service] = budget
	}
	return budget
}

// StartRequest counts a client's request; it must be ended by Done.
func (r *Router) StartRequest(service string) {
	r.requestCounts[service]++
	r.inFlight++
	r.retryBudget(service).Deposit()
}

// EndRequest counts the end of a client's request: of a safe route or not, and whether this node itself held it up for long.
func (r *Router) EndRequest(now time.Duration, safe, late bool) {
	r.inFlight--
	if r.maintenanceEnabled {
		group := capacity.Orders
		if safe {
			group = capacity.Lookups
		}
		r.meter.RecordServed(group, late)
		r.groupRequests[group]++
	}
}

// InFlight is how many requests of clients are not at their end.
func (r *Router) InFlight() int { return r.inFlight }

// IsServing tells whether this node calls itself ready, as far as its window goes; Refuses, whether it turns requests away:
// by then the platform has had the time to look elsewhere.
func (r *Router) IsServing() bool { return r.phase == maintenance.Serving }
func (r *Router) RejectsRequests(now time.Duration) bool {
	return r.phase != maintenance.Serving && now-r.drainingSince > ReadinessPropagation
}

// updateMaintenance takes the word on this node's window. Only a newer one counts; one that is not there any more is over.
func (r *Router) updateMaintenance(now time.Duration, window messages.MaintenanceWindow) {
	switch {
	case window.Phase == "" || window.Phase == maintenance.Returning:
		if r.phase, r.fencingToken = maintenance.Serving, max(window.FencingToken, r.fencingToken); window.Phase == "" {
			r.fencingToken = 0
		}
	case window.FencingToken > r.fencingToken || r.phase == maintenance.Serving && window.FencingToken == r.fencingToken:
		if r.fencingToken = window.FencingToken; r.phase == maintenance.Serving {
			r.phase, r.drainingSince = maintenance.Draining, now
		}
	}
}

// gatewayStatus is what this node tells of itself. It says that it is drained once nothing is under way and nobody has come for
// as long as the platform takes to look elsewhere.
func (r *Router) gatewayStatus(now, over time.Duration, busy float64) *messages.GatewayStatus {
	if r.phase == maintenance.Draining && r.inFlight == 0 && now-r.drainingSince > ReadinessPropagation {
		r.phase = maintenance.Drained
	}
	status := &messages.GatewayStatus{Ready: r.config != nil && r.hasTable, Phase: r.phase, FencingToken: r.fencingToken, CapacityByGroup: r.meter.Sample(over, busy), LoadByGroup: map[string]float64{}}
	for group, n := range r.groupRequests {
		status.LoadByGroup[group] = float64(n) / max(over.Seconds(), 0.1)
	}
	clear(r.groupRequests)
	return status
}

// TryRetry takes one further try from the budget, if there is one.
func (r *Router) TryRetry(service string) bool { return r.retryBudget(service).TryWithdraw() }

// EndAttempt books what became of a try.
func (r *Router) EndAttempt(now time.Duration, result AttemptResult) (effects AttemptEffects) {
	attempt, ok := r.attempts[result.AttemptID]
	if !ok {
		return
	}
	delete(r.attempts, result.AttemptID)
	r.balancer.EndAttempt(now, attempt.endpoint, result.Result, result.Latency)
	if result.Result == loadbalancer.Success {
		r.admission(attempt.service).RecordAnswer(result.Latency, attempt.utilization)
	}
	if result.Result == loadbalancer.NoResponse || result.Result == loadbalancer.ConnectFailed {
		effects.Observation = r.observe(now, outlier.Observation{Replica: attempt.endpoint.ID, ConnectionRefused: result.ConnectionRefused})
	}
	if result.Misdirected && r.balancer.RemoveMisdirected(now, attempt.endpoint.ID) {
		effects.MisdirectedEndpoint = attempt.endpoint.ID
	}
	if result.Load[2] > 0 {
		attempt.endpoint.RecordLoad(now, result.Load[0], result.Load[1], result.Load[2])
	}
	return effects
}

// observe has the comb told of a replica that broke, once in a while.
func (r *Router) observe(now time.Duration, observation outlier.Observation) *outlier.Observation {
	if at, ok := r.observedAt[observation.Replica]; ok && now-at < observationInterval {
		return nil
	}
	if len(r.observedAt) > maxObservedEndpoints {
		clear(r.observedAt)
	}
	r.observedAt[observation.Replica] = now
	return &observation
}

// Apply puts in force what a comb tells. Within a life nothing goes back: an older register is passed over.
func (r *Router) Apply(now time.Duration, update *messages.StateUpdate) (result UpdateResult) {
	switch {
	case update.Full:
		r.streaming, r.silenceBeforeStream = true, now-r.lastUpdateAt
	case r.streaming && now-r.lastUpdateAt > WarmupRateLifetime:
		r.StreamEnded(now)
		return UpdateResult{Late: true}
	}
	r.lastUpdateAt = now
	if len(update.Config) > 0 && (r.config == nil || r.config.Version < update.ConfigVersion) {
		c, err := gatewayconfig.Parse(update.Config)
		if err != nil {
			result.ConfigError = err.Error()
		} else {
			r.config, result.Config = c, c
		}
	}
	result.FullTable = update.Full
	r.hasTable = r.hasTable || update.Full
	result.RemovedEndpoints = r.balancer.UpdateInstances(now, update.Full && !update.Bootstrapping, update.Instances)
	if update.Sequence > 0 && update.Sequence >= r.sequence {
		r.sequence = update.Sequence
		r.balancer.SetEvacuatedZones(now, update.EvacuatedZones)
		r.maintenanceEnabled = update.MaintenanceEnabled
		r.updateMaintenance(now, update.Maintenance)
	}
	for _, l := range update.Weights {
		r.balancer.SetWeight(l.Replica, float64(l.Weight))
	}
	r.balancer.SetPairEjections(update.Full, update.PairEjections)
	if update.WarmupRatesComplete || update.Full { // nothing that another comb, or this one in a former life, dealt holds on
		grants := map[string]float64{}
		for _, l := range update.WarmupRates {
			grants[l.Replica] = float64(l.WarmupRate)
		}
		r.setWarmupRates(now, grants)
	}
	for _, o := range update.Ejections {
		r.balancer.Eject(now, o.Replica, time.Duration(o.Milliseconds)*time.Millisecond)
	}
	if len(update.Members) > 0 {
		r.members = update.Members
	}
	if update.GatewayCount > 0 {
		r.gateways = update.GatewayCount
	}
	if r.config != nil && (result.Config != nil || update.GatewayCount > 0) {
		caps := map[string]int{}
		for name, svc := range r.config.Services {
			if svc.MaxConnections > 0 {
				caps[name] = loadbalancer.ConnectionShare(svc.MaxConnections, r.gateways, r.settings.Zones)
			}
		}
		r.balancer.SetMaxInFlight(caps)
	}
	return result
}

// StreamEnded tells that the stream has ended: what its comb dealt is dealt to others now.
func (r *Router) StreamEnded(now time.Duration) {
	r.streaming = false
	r.setWarmupRates(now, nil)
}

func (r *Router) setWarmupRates(now time.Duration, rates map[string]float64) {
	r.hasWarmupRates = len(rates) > 0
	r.balancer.SetWarmupRates(now, rates)
}

// Report is what was met since the last one, so long ago, and how busy this node was meanwhile, from 0 to 1.
func (r *Router) Report(now, over time.Duration, busy float64) *messages.LoadReport {
	report := &messages.LoadReport{PeriodMillis: over.Milliseconds(), Requests: r.requestCounts}
	if r.maintenanceEnabled {
		report.Status = r.gatewayStatus(now, over, busy)
	}
	r.requestCounts = map[string]int{}
	for _, endpoint := range r.balancer.All() {
		if endpoint.Attempts == 0 && endpoint.Successes == 0 && endpoint.Failures == 0 {
			continue
		}
		stats := messages.EndpointStats{Replica: endpoint.ID, Attempts: endpoint.Successes + endpoint.Failures, Dropped: endpoint.Failures, Running: endpoint.Running, Waiting: endpoint.Waiting, Slots: endpoint.ReportedSlots}
		if endpoint.Successes > 0 {
			stats.MeanLatencyMicros = (endpoint.TotalLatency / time.Duration(endpoint.Successes)).Microseconds()
		}
		endpoint.Attempts, endpoint.Failures, endpoint.Successes, endpoint.TotalLatency, endpoint.ReportedSlots = 0, 0, 0, 0, 0
		report.Endpoints = append(report.Endpoints, stats)
	}
	return report
}

// InitialReport is what a comb that may have lost it is told at the beginning of a stream. That a replica is cold is told too:
// else a comb that knows of it by us alone has all foragers take it for warm until it beats again.
func (r *Router) InitialReport(now time.Duration) *messages.LoadReport {
	report := &messages.LoadReport{Sequence: r.sequence}
	for _, endpoint := range r.balancer.All() {
		instance := endpoint.Instance(now)
		instance.Stale = instance.Stale || r.silenceBeforeStream > staleAfter
		report.Instances = append(report.Instances, instance)
	}
	return report
}

// Candidates are the addresses of combs to call, best first: those of the own zone, then all others by chance, also those
// that the caller knows of besides.
func (r *Router) Candidates(also []string) []string {
	var near, far []string
	for _, m := range r.members {
		if m.Zone == r.settings.Zone {
			near = append(near, m.Addr)
		} else {
			far = append(far, m.Addr)
		}
	}
	for _, a := range also {
		if !slices.Contains(near, a) && !slices.Contains(far, a) {
			far = append(far, a)
		}
	}
	for i := range far {
		j := i + int(r.random()*float64(len(far)-i))
		far[i], far[j] = far[j], far[i]
	}
	return append(near, far...)
}

// Members lists the combs that were told of. Seq is the number of the register in force, and Config the configuration;
// nil: none yet. Spread is the replicas' part, to look at.
func (r *Router) Members() []membership.Member     { return r.members }
func (r *Router) Sequence() uint64                 { return r.sequence }
func (r *Router) Config() *gatewayconfig.Config    { return r.config }
func (r *Router) Balancer() *loadbalancer.Balancer { return r.balancer }
