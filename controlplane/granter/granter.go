// Package granter decides which calls the control plane makes to the replicas of sharded services: it grants the ranges of the ownership table,
// renews their leases, takes ranges back and determines when a range is free for another replica. See docs/design/shard-ownership.md.
//
// Every member has a Granter, but only the one of the chain's head, with recently confirmed authority, makes calls or proposes changes. The
// package performs no I/O: the caller passes in the time, the committed table and the results of calls, and makes the calls that are returned.
package granter

import (
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
)

const (
	// AuthorityDuration is how long a confirmed read authorizes the head of the chain to make calls, from the start of the read.
	AuthorityDuration = time.Second

	// defaultLease is the duration of a lease unless the deployment allows only shorter ones.
	defaultLease = 3 * time.Second

	// longestLease is the duration of the longest lease that another member may have granted: one with another limit, or of another build. A build
	// with a longer defaultLease may follow only after all members run one that waits for it.
	longestLease = 4 * time.Second

	renewInterval  = 750 * time.Millisecond // of leases that are not shorter than defaultLease
	grantTimeout   = 400 * time.Millisecond
	releaseTimeout = 3 * time.Second
	retryInterval  = 150 * time.Millisecond // between calls to a replica that does not respond

	// leaseMargin is added to a lease when waiting for its end, for delays between the clocks' readings and their use.
	leaseMargin = 100 * time.Millisecond

	// clockRateDivisor bounds the difference between the rates of two clocks to 1/clockRateDivisor.
	clockRateDivisor = 50
)

// Options are the settings of a Granter.
type Options struct {
	MaxLease time.Duration // longest lease that replicas accept; 0 means no limit
}

// Granter is the state of one member. Its methods must not be called concurrently.
type Granter struct {
	lease time.Duration

	// Leadership. A tenure is a sequence of consecutive views with this member as head.
	leading     bool
	view        uint64
	tenureStart time.Duration

	lastCallID uint64
	calls      map[uint64]ownership.Call // without a result yet
	replicas   map[string]*replicaState  // by ID
	services   map[string]*serviceState  // by name
}

// replicaState is what is known of the calls to one replica.
type replicaState struct {
	grantsInFlight int
	failingSince   time.Duration // start of the calls that failed in a row; valid if failures > 0
	failures       int           // calls that failed in a row
	retryAt        time.Duration
	misdirected    bool // another replica responds at the address
}

// serviceState is the state of one sharded service.
type serviceState struct {
	ranges   []ownership.Range // that grants and releases are about
	grants   map[grantID]*grantState
	releases map[releaseID]*releaseState
	leases   *leaseClock
	load     *keyLoad

	replicaCount     int           // greatest number of replicas seen before the first division
	replicaCountedAt time.Duration // when replicaCount was last exceeded
	firstReplicaAt   time.Duration // when replicaCount was first exceeded
	nextPlanAt       time.Duration
}

// grantID identifies a granted range across changes of the table that do not affect it.
type grantID struct {
	from  uint16
	token uint64
}

// grantState is the renewal state of a granted range.
type grantState struct {
	inFlight bool
	renewAt  time.Duration
	accepted bool // the owner has acknowledged the grant
	fenced   bool // the token was refused and must not be used again
}

// releaseID identifies a range that is being released.
type releaseID struct {
	from  uint16
	token uint64
}

// releaseState is the state of a range that is being released.
type releaseState struct {
	owner    string
	inFlight bool
	retryAt  time.Duration
	released bool // acknowledged by the replica
	handover string
}

// New returns a Granter that does not lead.
func New(options Options) *Granter {
	lease := defaultLease
	if options.MaxLease > 0 {
		lease = min(lease, options.MaxLease)
	}
	return &Granter{
		lease:    lease,
		calls:    map[uint64]ownership.Call{},
		replicas: map[string]*replicaState{},
		services: map[string]*serviceState{},
	}
}

// Input is the state of the member that a step is based on.
type Input struct {
	View            uint64        // number of the current view
	Head            bool          // this member is the head of the chain in that view
	AuthorizedUntil time.Duration // end of the authority confirmed in that view

	Table           ownership.Table  // committed
	Services        []string         // sharded services of the committed configuration, sorted
	Instances       []fleet.Instance // of sharded services, including those deregistered recently; ordered by ID
	EvacuatedZones  []string
	Bootstrapping   bool // the member may not know all instances yet
	ProposalPending bool // an earlier proposal has no result yet
}

// Output is the work that results from a step.
type Output struct {
	Calls    []ownership.Call
	Proposal *ownership.Table // the next table, to be proposed on condition that Input.Table is still current; nil if there is none
	Reason   string           // of the proposal, for logs
}

// Step returns the calls that are due and the next change of the table, if any.
func (g *Granter) Step(now time.Duration, input Input) Output {
	g.observeView(now, input)
	var output Output
	if !g.leading || now >= input.AuthorizedUntil {
		return output
	}
	changes := newChanges(input.Table)
	g.removeServices(now, input, changes)
	for _, name := range input.Services {
		service := g.service(name)
		ranges := input.Table.Services[name]
		if len(ranges) == 0 {
			g.forgetFailures(input, name)
		}
		pool := newReplicaPool(g, now, input, name)
		g.syncRanges(service, ranges)
		if len(ranges) == 0 {
			g.divide(now, service, name, pool, input, changes)
			continue
		}
		g.renewGrants(now, name, service, ranges, pool, input, &output)
		if !input.ProposalPending { // it may grant the replica the keys that a release would end
			g.callReleases(now, name, service, ranges, pool, input, &output)
			g.probeReplicas(now, name, ranges, input, &output)
		}
		g.grantFreeRanges(now, name, service, ranges, pool, changes)
		g.retokenFenced(name, service, ranges, changes)
		g.plan(now, name, service, pool, input, changes)
	}
	if !input.ProposalPending {
		output.Proposal, output.Reason = changes.proposal()
	}
	return output
}

// observeView updates leadership. A member that becomes the head again after another one may have been the head starts a new tenure.
func (g *Granter) observeView(now time.Duration, input Input) {
	if !input.Head {
		g.leading = false
		return
	}
	if g.leading && input.View == g.view {
		return
	}
	if !g.leading || input.View != g.view+1 {
		g.tenureStart = now
		clear(g.replicas)
		clear(g.services)
	}
	g.leading = true
	g.view = input.View
}

// Leading reports whether this member was the head of the chain at the last step, and since when without interruption.
func (g *Granter) Leading() (leading bool, since time.Duration) { return g.leading, g.tenureStart }

// CallsInFlight returns the number of calls without a result yet.
func (g *Granter) CallsInFlight() int { return len(g.calls) }

// Lease returns the duration of the leases that are granted.
func (g *Granter) Lease() time.Duration { return g.lease }

// renewalInterval returns the time between the renewals of a lease.
func (g *Granter) renewalInterval() time.Duration {
	return renewInterval * g.lease / defaultLease
}

func (g *Granter) service(name string) *serviceState {
	state := g.services[name]
	if state == nil {
		state = &serviceState{
			grants:   map[grantID]*grantState{},
			releases: map[releaseID]*releaseState{},
			leases:   &leaseClock{},
			load:     newKeyLoad(),
		}
		g.services[name] = state
	}
	return state
}

func (g *Granter) replica(id string) *replicaState {
	state := g.replicas[id]
	if state == nil {
		state = &replicaState{}
		g.replicas[id] = state
	}
	return state
}

// syncRanges drops the state of ranges that are not in the table any more and adds that of new ranges.
func (g *Granter) syncRanges(service *serviceState, ranges []ownership.Range) {
	if len(ranges) > 0 && len(ranges) == len(service.ranges) && &ranges[0] == &service.ranges[0] {
		return // tables are immutable
	}
	grants := make(map[grantID]*grantState, len(ranges))
	releases := map[releaseID]*releaseState{}
	for _, r := range ranges {
		if r.Phase == ownership.PhaseGranted {
			id := grantID{r.From, r.Token}
			if grants[id] = service.grants[id]; grants[id] == nil {
				grants[id] = &grantState{}
			}
			continue
		}
		id := releaseID{r.From, r.Token}
		if releases[id] = service.releases[id]; releases[id] == nil {
			releases[id] = &releaseState{owner: r.Owner}
		}
	}
	service.ranges, service.grants, service.releases = ranges, grants, releases
}
