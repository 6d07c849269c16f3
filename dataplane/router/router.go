// Package router decides everything for a gateway: which endpoint a request goes to, whether it is retried, what is
// rejected, and which configuration and endpoint table are in force. It joins dataplane/loadbalancer, dataplane/admission
// and dataplane/retry with what the control plane sends.
//
// It is a state machine without I/O: the time is a parameter of every call, randomness comes from a seed, and the same
// calls always have the same results. internal/daemons/gateway gives it sockets and a clock, internal/testbeds/simulation drives it with
// neither.
package router

import (
	"math/rand/v2"
	"time"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
)

// ReadinessPropagation is how long after readiness has fallen the platform has noticed and sends its clients elsewhere.
const ReadinessPropagation = 2500 * time.Millisecond

// minGateways is the least number of gateways that a share is computed with: few are known at first.
const minGateways = 8

// Settings are what a gateway is given at its start. Bounds hold over all gateways together.
type Settings struct {
	Zone       string  `cbor:"1,keyasint"`
	Zones      int     `cbor:"2,keyasint"` // of the site
	RetryRatio float64 `cbor:"3,keyasint"` // retries for each request
	RetrySlack float64 `cbor:"4,keyasint"` // retries beyond the ratio in a window
	Seed       uint64  `cbor:"5,keyasint"` // of the random choices

	WarmupOverage float64 `cbor:"6,keyasint,omitempty"` // how many times its warm-up rate a replica that is warming up may be sent in a second
	WarmupSlack   float64 `cbor:"7,keyasint,omitempty"` // requests beyond that

	RetryWindow time.Duration `cbor:"8,keyasint,omitempty"` // in which the bounds of retries hold; 0: defaultRetryWindow
}

// Router is the state of one gateway. It is not safe for concurrent use.
type Router struct {
	settings Settings
	source   rand.PCG
	random   func() float64 // from 0 to 1, of source

	// What the control plane sent.
	config              *gatewayconfig.Config // nil until the first one
	sequence            uint64                // of the replicated register in force
	members             []fleet.Member        // of the control plane
	gateways            int                   // known over all members; 0: not known yet
	mostGateways        int                   // that were ever known
	gatewaysKnownSince  time.Duration         // when their number was first told
	hasTable            bool                  // a full update was applied
	lastUpdateAt        time.Duration
	updateCount         uint64        // updates applied so far
	streaming           bool          // a stream is held that began with a full update
	silenceBeforeStream time.Duration // how long no member was heard before the stream at hand
	hasWarmupRates      bool          // some warm-up rate has not expired yet
	isolated            bool          // no member was heard for long: endpoints are sent less

	// Requests and attempts.
	balancer      *loadbalancer.Balancer
	admissions    map[string]*admission.Controller // by service
	retryBudgets  map[string]*retry.Budget         // by service
	attempts      map[uint64]attempt               // in flight, by ID
	lastAttemptID uint64
	inFlight      int                      // requests of clients
	requestCounts map[string]int           // by service, since the last report
	observedAt    map[string]time.Duration // when an endpoint's failure was last reported to the control plane

	// Maintenance windows.
	maintenanceEnabled bool
	phase              fleet.Phase
	fencingToken       uint64 // of the window last applied
	drainingSince      time.Duration
	meter              capacity.Meter
	groupRequests      map[string]int // by capacity group, since the last report
}

// New makes a router that holds no configuration and no endpoints.
func New(settings Settings) *Router {
	r := &Router{
		settings:      settings,
		source:        *rand.NewPCG(settings.Seed, 1),
		balancer:      loadbalancer.New(settings.Zone),
		admissions:    map[string]*admission.Controller{},
		retryBudgets:  map[string]*retry.Budget{},
		attempts:      map[uint64]attempt{},
		requestCounts: map[string]int{},
		observedAt:    map[string]time.Duration{},
		phase:         fleet.PhaseServing,
		groupRequests: map[string]int{},
	}
	r.random = rand.New(&r.source).Float64
	return r
}

// Members returns the control-plane members that were last sent.
func (r *Router) Members() []fleet.Member { return r.members }

// Sequence returns the number of the replicated register in force.
func (r *Router) Sequence() uint64 { return r.sequence }

// UpdateCount returns how many updates were applied: the number of the one in force.
func (r *Router) UpdateCount() uint64 { return r.updateCount }

// LastUpdateAt returns when the last update was applied.
func (r *Router) LastUpdateAt() time.Duration { return r.lastUpdateAt }

// Config returns the configuration in force; nil: none yet.
func (r *Router) Config() *gatewayconfig.Config { return r.config }

// Balancer returns the endpoints, to look at.
func (r *Router) Balancer() *loadbalancer.Balancer { return r.balancer }
