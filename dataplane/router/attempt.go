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
	observationInterval  = 400 * time.Millisecond // between two observations of the same endpoint
	maxObservedEndpoints = 1024                   // remembered at once
)

// PickRequest is a request that looks for an endpoint.
type PickRequest struct {
	Service   string            `cbor:"1,keyasint"`
	Attempted []string          `cbor:"2,keyasint,omitempty"` // endpoints that it has been at
	Admission admission.Request `cbor:"3,keyasint"`
	OnlyIdle  bool              `cbor:"4,keyasint,omitempty"` // only an endpoint with free slots will do
}

// PickResult is the endpoint of an attempt. An attempt that has one must be ended by EndAttempt.
type PickResult struct {
	AttemptID  uint64        `cbor:"1,keyasint,omitempty"`
	EndpointID string        `cbor:"2,keyasint,omitempty"` // empty: there is none
	Addr       string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"` // where there is none: when the client is to come back

	NoEndpointKnown bool `cbor:"5,keyasint,omitempty"` // there is none as no endpoint of the service is known
}

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	AttemptID         uint64              `cbor:"1,keyasint"` // of the PickResult
	Result            loadbalancer.Result `cbor:"2,keyasint,omitempty"`
	Latency           time.Duration       `cbor:"3,keyasint,omitempty"`
	ConnectionRefused bool                `cbor:"4,keyasint,omitempty"` // nobody listens at the address
	Misdirected       bool                `cbor:"5,keyasint,omitempty"` // another instance answered there
	Load              loadbalancer.Load   `cbor:"6,keyasint,omitempty"`
}

// AttemptEffects is what the control plane must hear of an attempt's end at once.
type AttemptEffects struct {
	Observation         *fleet.Observation `cbor:"1,keyasint,omitempty"` // nil: none
	MisdirectedEndpoint string             `cbor:"2,keyasint,omitempty"` // whose address is another instance's; empty: none
}

// attempt is an attempt in flight.
type attempt struct {
	endpoint    *loadbalancer.Endpoint
	service     string
	utilization float64 // of the endpoint, when the attempt began
}

// Pick chooses an endpoint and counts the attempt there.
func (r *Router) Pick(now time.Duration, request PickRequest) PickResult {
	r.expireWarmupRates(now)
	r.updateIsolation(now)
	controller := r.admission(request.Service)
	attempted := func(id string) bool { return slices.Contains(request.Attempted, id) }
	var endpoint *loadbalancer.Endpoint
	if request.OnlyIdle {
		endpoint = r.balancer.PickIdle(now, request.Service, attempted, r.random)
	} else {
		endpoint = r.balancer.Pick(now, request.Service, attempted, controller.MaxQueueDepth(request.Admission), r.random)
	}
	if endpoint == nil {
		return PickResult{RetryAfter: controller.Reject(request.Admission, r.random()), NoEndpointKnown: !r.balancer.KnowsService(request.Service)}
	}
	invariant.Check(invariant.EndpointAcceptsRequests, r.balancer.AcceptsRequests(endpoint), func() string {
		return endpoint.ID + " in zone " + endpoint.Zone + " drains or is evacuated"
	})
	controller.RecordAdmission()
	r.lastAttemptID++
	r.attempts[r.lastAttemptID] = attempt{endpoint, request.Service, endpoint.Utilization(now)}
	r.balancer.StartAttempt(now, endpoint)
	return PickResult{AttemptID: r.lastAttemptID, EndpointID: endpoint.ID, Addr: endpoint.Addr}
}

// EndAttempt takes an attempt's end in. The end of an attempt that is not in flight changes nothing.
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

// observe returns the observation where the control plane is to hear of it: not again within observationInterval.
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
