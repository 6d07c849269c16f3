// Package loadbalancer chooses the endpoint that a request goes to, from the endpoint table that the control plane sends
// and from what this gateway observes itself.
//
// The choice prefers endpoints of the own zone while they have free slots, and the less loaded of two drawn by weight
// among them (the power of two choices). Endpoints that are warming up get no more than their warm-up rate; ejected and
// unhealthy ones are the last choice, as somebody must serve where all are so.
//
// The package is free of I/O: the time and the randomness are parameters.
package loadbalancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/messages"
)

const (
	localConnectionShare = 0.8 // of the connections that a replica accepts, for gateways of its zone
	minConnectionShare   = 2
)

// Balancer holds the endpoints of all services. It is not safe for concurrent use.
type Balancer struct {
	zone      string // of the gateway
	endpoints map[string]*Endpoint
	byService map[string][]*Endpoint // in the order of their IDs

	evacuatedZones   map[string]bool
	warmupRates      map[string]float64       // by endpoint, requests a second
	maxInFlight      map[string]int           // at one endpoint, by service
	minSendIntervals map[string]time.Duration // between two requests to one endpoint, by service
	removedAt        map[string]time.Duration // endpoints that are not to come back: stale updates may still name them
}

// New makes a balancer without endpoints for a gateway in a zone.
func New(zone string) *Balancer {
	return &Balancer{
		zone:           zone,
		endpoints:      map[string]*Endpoint{},
		byService:      map[string][]*Endpoint{},
		evacuatedZones: map[string]bool{},
		warmupRates:    map[string]float64{},
		removedAt:      map[string]time.Duration{},
	}
}

// Get returns an endpoint by its ID, or nil.
func (b *Balancer) Get(id string) *Endpoint { return b.endpoints[id] }

// KnowsService tells whether any endpoint of a service is known, whatever its state.
func (b *Balancer) KnowsService(service string) bool { return len(b.byService[service]) > 0 }

// All returns the endpoints in the order of their IDs.
func (b *Balancer) All() []*Endpoint {
	return slices.SortedFunc(maps.Values(b.endpoints), compareIDs)
}

func compareIDs(x, y *Endpoint) int { return cmp.Compare(x.ID, y.ID) }

// SetWeight sets an endpoint's weight in the endpoint table; 0 makes it a last choice.
func (b *Balancer) SetWeight(id string, weight float64) {
	if endpoint := b.endpoints[id]; endpoint != nil {
		endpoint.Weight = weight
	}
}

// SetPairEjections ejects endpoints for this gateway alone, or ends that. A full update begins with none ejected.
func (b *Balancer) SetPairEjections(full bool, ejections []messages.PairEjection) {
	if full {
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

// SetMaxInFlight sets how many requests this gateway may have in flight at one endpoint, by service: its share of the
// connections that a replica accepts from all gateways.
func (b *Balancer) SetMaxInFlight(limits map[string]int) { b.maxInFlight = limits }

// ConnectionShare is a gateway's share of the connections that a replica accepts, among a number of gateways over a number
// of zones: most of a replica's requests come from its own zone.
func ConnectionShare(connections, gateways, zones int) int {
	gatewaysInZone := (gateways + zones - 1) / max(zones, 1)
	return max(int(localConnectionShare*float64(connections))/max(gatewaysInZone, 1), minConnectionShare)
}

// SetMinSendIntervals sets the time between two requests of this gateway to one endpoint, by service; nil: none. It is for
// a gateway that hears no control-plane member: any endpoint may be warming up, and other gateways that know no more send
// to it too.
func (b *Balancer) SetMinSendIntervals(intervals map[string]time.Duration) {
	b.minSendIntervals = intervals
}
