// Package weighting publishes endpoint weights: it runs the governors of the decision module (package rules), one a service, feeds them
// with registered instances and with the gateways' load reports, and hands their tables to the gateways. It is free of I/O and decides
// nothing itself; it translates.
//
// Load is known at second hand: a gateway relays the load that each replica reports in its responses. A replica that no gateway of this
// member has met counts as busy as the fleet, and so does one that reports no load. Members do not exchange tables or load: each serves
// the gateways of its zone, whose requests stay there while there is capacity, so its own gateways meet the replicas that matter to them;
// where requests overflow to another zone, their reports tell of the replicas there.
package weighting

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/rules"
)

// Options are what all services of a member share.
type Options struct {
	RandomSeed uint64
	Zone       string   // the member's own
	Zones      []string // in an order that all members share
	Members    int      // of the control plane
	LinkMbps   float64
	DrainGrace time.Duration
}

// Manager runs the governors of one control-plane member. Its methods must not be called concurrently.
type Manager struct {
	options  Options
	services map[string]*service
	zoneIDs  map[string]rules.ZoneID

	nextProxyID    rules.ProxyID
	proxyIDs       map[string]rules.ProxyID // by gateway
	gatewayByProxy map[rules.ProxyID]string
	joined         map[string]rules.Joined // by gateway: as it was introduced to the governors

	pendingWeights   map[string]map[string]float64 // by gateway and replica: not yet published
	pendingEjections map[string]map[string]bool    // by gateway and replica: ejected there, or readmitted; not yet published
}

// New makes a manager without services.
func New(options Options) *Manager {
	m := &Manager{
		options:          options,
		services:         map[string]*service{},
		zoneIDs:          map[string]rules.ZoneID{},
		proxyIDs:         map[string]rules.ProxyID{},
		gatewayByProxy:   map[rules.ProxyID]string{},
		joined:           map[string]rules.Joined{},
		pendingWeights:   map[string]map[string]float64{},
		pendingEjections: map[string]map[string]bool{},
	}
	for i, zone := range options.Zones {
		m.zoneIDs[zone] = rules.ZoneID(i)
	}
	return m
}

// clockOffset is added to a governor's clock, which must not start at zero.
const clockOffset = time.Hour

// governorTime is a moment on a governor's clock.
func governorTime(now time.Duration) rules.Time { return rules.Time(now + clockOffset) }

// Configure starts a governor for each service that has none, and drops those of services that the configuration no longer has.
// gatewayCount is the number of gateways over all members.
func (m *Manager) Configure(now time.Duration, config *gatewayconfig.Config, gatewayCount int) {
	for name := range m.services {
		if _, ok := config.Services[name]; !ok {
			delete(m.services, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		if m.services[name] == nil {
			m.startService(now, config, name, gatewayCount)
		}
	}
}

// startService starts the governor of a service and introduces the gateways to it.
func (m *Manager) startService(now time.Duration, config *gatewayconfig.Config, name string, gatewayCount int) {
	started := newService(m.options)
	m.services[name] = started
	events := []rules.Event{
		rules.Start{Seed: m.options.RandomSeed, Settings: m.governorSettings(config, name, gatewayCount)},
		rules.List{Scope: rules.Full},
	}
	for _, gateway := range slices.Sorted(maps.Keys(m.joined)) {
		joined := m.joined[gateway]
		events = append(events, joined)
		started.intake.Join(joined.Proxy, joined.Zone)
	}
	m.step(now, started, events)
}

// UpdateInstances takes in what changed of the instances.
func (m *Manager) UpdateInstances(now time.Duration, instances []fleet.Instance) {
	entries := map[string][]rules.Entry{}
	for _, instance := range instances {
		service := m.services[instance.Service]
		if service == nil {
			continue
		}
		id, ok := service.replicaID(instance)
		if !ok {
			continue
		}
		entries[instance.Service] = append(entries[instance.Service], m.listEntry(now, id, instance))
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		m.step(now, m.services[name], []rules.Event{rules.List{Scope: rules.Changes, Entries: entries[name]}})
	}
}

// listEntry is an instance as a governor's instance list has it.
func (m *Manager) listEntry(now time.Duration, id rules.ReplicaID, instance fleet.Instance) rules.Entry {
	entry := rules.Entry{
		Replica: id,
		Zone:    m.zoneIDs[instance.Zone],
		State:   rules.Ready,
		Listed:  float64(max(instance.Slots, 1)),
	}
	switch {
	case instance.Deregistered:
		entry.State = rules.Deregistered
	case instance.Draining || instance.HeartbeatTimedOut:
		entry.State = rules.Draining
	}
	if instance.WarmupMillis > 0 || instance.WarmthUnknown {
		entry.StartedAt = governorTime(now) // the warm-up rate protects it; its weight only ramps up
	}
	return entry
}

// AddGateway takes in a gateway, which holds no weights yet.
func (m *Manager) AddGateway(now time.Duration, gateway, zone string) {
	m.RemoveGateway(now, gateway)
	m.nextProxyID++
	id := m.nextProxyID
	joined := rules.Joined{Proxy: id, Zone: m.zoneIDs[zone], FlowRate: 1, Fresh: true}
	m.proxyIDs[gateway] = id
	m.gatewayByProxy[id] = gateway
	m.pendingWeights[gateway] = map[string]float64{}
	m.joined[gateway] = joined
	m.stepAll(now, func(service *service) []rules.Event {
		service.intake.Join(id, joined.Zone)
		return []rules.Event{joined}
	})
}

// RemoveGateway drops a gateway and whatever was still to be published to it.
func (m *Manager) RemoveGateway(now time.Duration, gateway string) {
	id, ok := m.proxyIDs[gateway]
	if !ok {
		return
	}
	delete(m.proxyIDs, gateway)
	delete(m.gatewayByProxy, id)
	delete(m.pendingWeights, gateway)
	delete(m.pendingEjections, gateway)
	delete(m.joined, gateway)
	m.stepAll(now, func(service *service) []rules.Event {
		delete(service.tableByProxy, id)
		service.intake.Leave(id)
		return []rules.Event{rules.Left{Proxy: id}}
	})
}

// Tick lets time pass: reports recorded since the last tick reach the governors.
func (m *Manager) Tick(now time.Duration) {
	m.stepAll(now, func(service *service) []rules.Event { return service.takePending(now) })
}

// stepAll steps each service that has events, in the order of their names.
func (m *Manager) stepAll(now time.Duration, eventsFor func(*service) []rules.Event) {
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		service := m.services[name]
		if events := eventsFor(service); len(events) > 0 {
			m.step(now, service, events)
		}
	}
}
