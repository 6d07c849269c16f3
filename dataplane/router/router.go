// Package router makes the decisions of a gateway: which endpoint receives a request, whether a request is retried or
// rejected, and which configuration and endpoint table are in force. It combines dataplane/loadbalancer, dataplane/admission
// and dataplane/retry with the updates from the control plane.
//
// It is a deterministic state machine without I/O: the time is a parameter of each call, random numbers come from a seeded
// generator, and the same sequence of calls always has the same results. It is used by internal/daemons/gateway, which adds
// sockets and a clock, and by internal/testbeds/simulation.
package router

import (
	"math/rand/v2"
	"time"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/dataplane/shardmap"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
)

// ReadinessPropagation is the time that the platform needs to redirect clients after a gateway has become unready.
const ReadinessPropagation = 2500 * time.Millisecond

// minGateways is a lower bound on the number of gateways that shares are computed for, as only a few are known initially.
const minGateways = 8

// Settings are the fixed settings of a gateway. Limits apply to all gateways together.
type Settings struct {
	Zone       string  `cbor:"1,keyasint"`
	Zones      int     `cbor:"2,keyasint"` // number of zones in the site
	RetryRatio float64 `cbor:"3,keyasint"` // retries per request
	RetrySlack float64 `cbor:"4,keyasint"` // retries per window in addition to the ratio
	Seed       uint64  `cbor:"5,keyasint"` // seed of the random number generator

	WarmupOverage float64 `cbor:"6,keyasint,omitempty"` // maximum requests per second to a replica that is warming up, as a multiple of its warm-up rate
	WarmupSlack   float64 `cbor:"7,keyasint,omitempty"` // requests per second in addition to that maximum

	RetryWindow time.Duration `cbor:"8,keyasint,omitempty"` // window of the retry limits; 0 means defaultRetryWindow
}

// Router is the state of one gateway. It is not safe for concurrent use.
type Router struct {
	settings Settings
	source   rand.PCG
	random   func() float64 // returns numbers in [0, 1) from source

	// State from the control plane.
	config             *gatewayconfig.Config // nil until one is received
	sequence           uint64                // sequence number of the replicated register in force
	members            []fleet.Member        // control-plane members
	gateways           int                   // number of gateways connected to all members together; 0 if unknown
	maxGateways        int                   // greatest value of gateways so far
	gatewaysKnownSince time.Duration         // when the number of gateways was first received
	hasTable           bool                  // a full update was applied
	lastUpdateAt       time.Duration
	updateCount        uint64        // number of applied updates
	streaming          bool          // the current stream began with a full update
	gapBeforeStream    time.Duration // time without updates before the current stream
	hasWarmupRates     bool          // some warm-up rate has not expired
	isolated           bool          // no member is reachable, so send rates are limited; see updateIsolation

	ownership map[string]*shardmap.Table // by sharded service

	// Requests and attempts.
	balancer      *loadbalancer.Balancer
	admissions    map[string]*admission.Controller // by service
	retryBudgets  map[string]*retry.Budget         // by service
	attempts      map[uint64]attempt               // attempts in flight, by ID
	lastAttemptID uint64
	inFlight      int                      // client requests
	requestCounts map[string]int           // requests since the last report, by service
	keyCounts     map[string]keyCounts     // requests since the last report, by sharded service
	observedAt    map[string]time.Duration // time of the last reported observation, by endpoint ID

	// Maintenance windows.
	maintenanceEnabled bool
	phase              fleet.Phase
	fencingToken       uint64 // fencing token of the last applied window
	drainingSince      time.Duration
	meter              capacity.Meter
	groupRequests      map[string]int // requests since the last report, by capacity group
}

// New returns a router without a configuration or endpoints.
func New(settings Settings) *Router {
	r := &Router{
		settings:      settings,
		source:        *rand.NewPCG(settings.Seed, 1),
		balancer:      loadbalancer.New(settings.Zone),
		admissions:    map[string]*admission.Controller{},
		retryBudgets:  map[string]*retry.Budget{},
		attempts:      map[uint64]attempt{},
		requestCounts: map[string]int{},
		keyCounts:     map[string]keyCounts{},
		ownership:     map[string]*shardmap.Table{},
		observedAt:    map[string]time.Duration{},
		phase:         fleet.PhaseServing,
		groupRequests: map[string]int{},
	}
	r.random = rand.New(&r.source).Float64
	return r
}

// Members returns the control-plane members from the last update that listed them.
func (r *Router) Members() []fleet.Member { return r.members }

// Sequence returns the sequence number of the replicated register in force.
func (r *Router) Sequence() uint64 { return r.sequence }

// UpdateCount returns the number of updates that were applied.
func (r *Router) UpdateCount() uint64 { return r.updateCount }

// LastUpdateAt returns when the last update was applied.
func (r *Router) LastUpdateAt() time.Duration { return r.lastUpdateAt }

// Config returns the configuration in force, or nil if none was received.
func (r *Router) Config() *gatewayconfig.Config { return r.config }

// Balancer returns the load balancer, for inspection only.
func (r *Router) Balancer() *loadbalancer.Balancer { return r.balancer }
