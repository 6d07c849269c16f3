package router

import (
	"slices"
	"time"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
)

const (
	observationInterval  = 400 * time.Millisecond // minimum time between observations of the same endpoint
	maxObservedEndpoints = 1024                   // endpoints whose last observation is remembered
)

// PickRequest asks for an endpoint for an attempt.
type PickRequest struct {
	Service   string            `cbor:"1,keyasint"`
	Attempted []string          `cbor:"2,keyasint,omitempty"` // IDs of endpoints that were already tried
	Admission admission.Request `cbor:"3,keyasint"`
	OnlyIdle  bool              `cbor:"4,keyasint,omitempty"` // pick only a healthy endpoint with free slots

	// Sharded limits the pick to the owner of Key, whether or not it was already tried.
	Sharded bool   `cbor:"5,keyasint,omitempty"`
	Key     uint16 `cbor:"6,keyasint,omitempty"`
}

// PickResult is the endpoint that was picked, if any. If there is one, the attempt must be ended with EndAttempt.
type PickResult struct {
	AttemptID  uint64        `cbor:"1,keyasint,omitempty"`
	EndpointID string        `cbor:"2,keyasint,omitempty"` // empty if no endpoint was picked
	Addr       string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"` // if no endpoint was picked: when the client should retry

	NoEndpointKnown bool `cbor:"5,keyasint,omitempty"` // no endpoint was picked because the service has none

	// OwnerPending reports that no endpoint was picked because the shard key has no owner that can be reached: the key is being
	// moved, or will be. The request does not count as rejected.
	OwnerPending bool `cbor:"6,keyasint,omitempty"`
	MoveOverdue  bool `cbor:"7,keyasint,omitempty"` // with OwnerPending: the key will probably have no owner for some time

	Token uint64 `cbor:"8,keyasint,omitempty"` // fencing token of the shard key's range; 0 if there is none
}

// AttemptResult is the outcome of an attempt.
type AttemptResult struct {
	AttemptID         uint64              `cbor:"1,keyasint"` // from PickResult
	Result            loadbalancer.Result `cbor:"2,keyasint,omitempty"`
	Latency           time.Duration       `cbor:"3,keyasint,omitempty"`
	ConnectionRefused bool                `cbor:"4,keyasint,omitempty"` // the address refused the connection
	Misdirected       bool                `cbor:"5,keyasint,omitempty"` // another instance responded at the address
	Load              loadbalancer.Load   `cbor:"6,keyasint,omitempty"`
}

// AttemptEffects holds what must be reported to the control plane immediately after an attempt.
type AttemptEffects struct {
	Observation         *fleet.Observation `cbor:"1,keyasint,omitempty"` // nil if there is nothing to report
	MisdirectedEndpoint string             `cbor:"2,keyasint,omitempty"` // ID of an endpoint whose address is in use by another instance
}

// attempt is an attempt in flight.
type attempt struct {
	endpoint    *loadbalancer.Endpoint
	service     string
	utilization float64 // utilization of the endpoint at the start of the attempt
}

// Pick selects an endpoint and starts an attempt at it. If no endpoint can take the request, the request counts as rejected.
func (r *Router) Pick(now time.Duration, request PickRequest) (result PickResult) {
	r.expireWarmupRates(now)
	r.updateIsolation(now)
	controller := r.admission(request.Service)
	attempted := func(id string) bool { return slices.Contains(request.Attempted, id) }
	var endpoint *loadbalancer.Endpoint
	if request.Sharded {
		if endpoint, result = r.pickOwner(now, request, controller.MaxQueueDepth(request.Admission)); result.OwnerPending {
			return result
		}
	} else if request.OnlyIdle {
		endpoint = r.balancer.PickIdle(now, request.Service, attempted, r.random)
	} else {
		endpoint = r.balancer.Pick(now, request.Service, attempted, controller.MaxQueueDepth(request.Admission), r.random)
	}
	if endpoint == nil {
		result.RetryAfter = controller.Reject(request.Admission, r.random())
		result.NoEndpointKnown = !r.balancer.KnowsService(request.Service)
		return result
	}
	invariant.Check(invariant.EndpointAcceptsRequests, r.balancer.AcceptsRequests(endpoint), func() string {
		return "endpoint " + endpoint.ID + " is draining, or its zone " + endpoint.Zone + " is evacuated"
	})
	controller.RecordAdmission()
	r.lastAttemptID++
	r.attempts[r.lastAttemptID] = attempt{endpoint, request.Service, endpoint.Utilization(now)}
	r.balancer.StartAttempt(now, endpoint)
	result.AttemptID, result.EndpointID, result.Addr = r.lastAttemptID, endpoint.ID, endpoint.Addr
	return result
}

// EndAttempt records the outcome of an attempt. It ignores attempts that are not in flight.
func (r *Router) EndAttempt(now time.Duration, result AttemptResult) (effects AttemptEffects) {
	ended, ok := r.attempts[result.AttemptID]
	if !ok {
		return effects
	}
	delete(r.attempts, result.AttemptID)
	endpoint := ended.endpoint
	r.balancer.EndAttempt(now, endpoint, result.Result, result.Latency)
	switch result.Result {
	case loadbalancer.Success:
		r.admission(ended.service).RecordResponse(result.Latency, ended.utilization)
	case loadbalancer.NoResponse, loadbalancer.ConnectFailed:
		effects.Observation = r.observe(now, fleet.Observation{Replica: endpoint.ID, ConnectionRefused: result.ConnectionRefused})
	}
	if result.Misdirected && r.balancer.RemoveMisdirected(now, endpoint.ID) {
		effects.MisdirectedEndpoint = endpoint.ID
	}
	if result.Load.Slots > 0 {
		endpoint.RecordLoad(now, result.Load)
	}
	return effects
}

// observe returns the observation if it is to be reported to the control plane, or nil if one of the same endpoint was
// reported within observationInterval.
func (r *Router) observe(now time.Duration, observation fleet.Observation) *fleet.Observation {
	if at, ok := r.observedAt[observation.Replica]; ok && now-at < observationInterval {
		return nil
	}
	if len(r.observedAt) > maxObservedEndpoints {
		clear(r.observedAt)
	}
	r.observedAt[observation.Replica] = now
	return &observation
}
