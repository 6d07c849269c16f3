// Package loadbalancer selects the endpoint for each attempt, based on the endpoint table from the control plane and on the
// gateway's own observations.
//
// It prefers endpoints in the gateway's zone while they have free slots, and selects among them by weighted power of two
// choices. Endpoints that are warming up receive at most their warm-up rate. Ejected and unhealthy endpoints are used only if
// no others are available.
//
// The package performs no I/O; callers pass in the time and random numbers.
package loadbalancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/messages"
)

const (
	localConnectionShare = 0.8 // share of a replica's connections that is divided among the gateways in its zone
	minConnectionShare   = 2   // connections
)

// Balancer holds the endpoints of all services. It is not safe for concurrent use.
type Balancer struct {
	zone      string                 // zone of the gateway
	endpoints map[string]*Endpoint   // by ID
	byService map[string][]*Endpoint // sorted by ID

	evacuatedZones   map[string]bool
	zoneRestoredAt   map[string]time.Duration // when the last evacuation of a zone ended
	warmupDurations  map[string]time.Duration // by service
	warmupRates      map[string]float64       // requests per second, by endpoint ID
	maxInFlight      map[string]int           // limit per endpoint, by service
	minSendIntervals map[string]time.Duration // between requests to the same endpoint, by service
	removedAt        map[string]time.Duration // endpoints that stale updates must not add again, by ID
}

// New returns a balancer without endpoints for a gateway in the given zone.
func New(zone string) *Balancer {
	return &Balancer{
		zone:           zone,
		endpoints:      map[string]*Endpoint{},
		byService:      map[string][]*Endpoint{},
		evacuatedZones: map[string]bool{},
		zoneRestoredAt: map[string]time.Duration{},
		warmupRates:    map[string]float64{},
		removedAt:      map[string]time.Duration{},
	}
}

// Get returns an endpoint by its ID, or nil.
func (b *Balancer) Get(id string) *Endpoint { return b.endpoints[id] }

// KnowsService reports whether a service has any endpoint, regardless of its state.
func (b *Balancer) KnowsService(service string) bool { return len(b.byService[service]) > 0 }

// All returns all endpoints, sorted by ID.
func (b *Balancer) All() []*Endpoint {
	return slices.SortedFunc(maps.Values(b.endpoints), compareIDs)
}

func compareIDs(x, y *Endpoint) int { return cmp.Compare(x.ID, y.ID) }

// SetWeight sets an endpoint's weight. An endpoint with weight 0 is used only if no others are available.
func (b *Balancer) SetWeight(id string, weight float64) {
	if endpoint := b.endpoints[id]; endpoint != nil {
		endpoint.Weight = weight
	}
}

// SetPairEjections starts or ends ejections that apply to this gateway only. A full update first ends all of them.
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

// SetWarmupDurations sets how long the endpoints of each service warm up.
func (b *Balancer) SetWarmupDurations(durations map[string]time.Duration) {
	b.warmupDurations = durations
}

// SetMaxInFlight sets the maximum number of this gateway's requests in flight at one endpoint, by service. The limit is the
// gateway's share of the connections that a replica accepts.
func (b *Balancer) SetMaxInFlight(limits map[string]int) { b.maxInFlight = limits }

// ConnectionShare returns one gateway's share of the connections that a replica accepts. It assumes that the gateways are
// spread evenly over the zones and that most of a replica's requests come from gateways in its zone.
func ConnectionShare(connections, gateways, zones int) int {
	gatewaysInZone := (gateways + zones - 1) / max(zones, 1)
	return max(int(localConnectionShare*float64(connections))/max(gatewaysInZone, 1), minConnectionShare)
}

// SetMinSendIntervals sets the minimum time between requests of this gateway to the same endpoint, by service; nil removes the
// limit. It is used while no control-plane member is reachable: any endpoint may be warming up, and other isolated gateways
// may send to it as well.
func (b *Balancer) SetMinSendIntervals(intervals map[string]time.Duration) {
	b.minSendIntervals = intervals
}
