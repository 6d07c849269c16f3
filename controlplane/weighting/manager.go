// Package weighting computes the endpoint weights that are published to gateways. It runs one governor of package rules per service, feeds
// it the registered instances and the gateways' load reports, and translates its output into weights and ejections per gateway. It performs
// no I/O and makes no decisions of its own.
//
// Load is reported indirectly: a gateway relays the load that each replica includes in its responses. A replica without reported load is
// assumed to have the average load of its service. Members do not exchange weights or load. Each member serves the gateways of its zone,
// whose requests stay in the zone while it has capacity, so their reports cover the replicas that they use; when requests overflow to
// another zone, the reports cover the replicas there as well.
package weighting

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/rules"
)

// Options are the settings shared by all services of a member.
type Options struct {
	RandomSeed uint64
	Zone       string   // zone of the member
	Zones      []string // in the same order at all members
	Members    int      // number of control-plane members
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
	joined         map[string]rules.Joined // by gateway: the event passed to the governors

	pendingWeights   map[string]map[string]float64 // unpublished changes, by gateway and replica
	pendingEjections map[string]map[string]bool    // unpublished changes, by gateway and replica; false readmits the replica
}

// New creates a manager without services.
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

// clockOffset is added to the monotonic time, as a governor's clock must not start at zero.
const clockOffset = time.Hour

// governorTime converts a monotonic time to a governor's clock.
func governorTime(now time.Duration) rules.Time { return rules.Time(now + clockOffset) }

// Configure starts a governor for each new service and removes those of deleted services. gatewayCount is the number of gateways connected
// to all members.
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

// startService starts the governor of a service and adds the connected gateways to it.
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

// UpdateInstances passes changed instances to the governors of their services.
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

// listEntry converts an instance to an entry of a governor's instance list.
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
	if instance.WarmupMillis > 0 || instance.WarmupStateUnknown {
		entry.StartedAt = governorTime(now) // ramp up its weight; the warm-up rate limits requests separately
	}
	return entry
}

// AddGateway adds a gateway that holds no weights yet.
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

// RemoveGateway removes a gateway and its unpublished changes.
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

// Tick passes the reports recorded since the last tick, and expired timers, to the governors.
func (m *Manager) Tick(now time.Duration) {
	m.stepAll(now, func(service *service) []rules.Event { return service.takeEvents(now) })
}

// stepAll steps each service that has events, ordered by name.
func (m *Manager) stepAll(now time.Duration, eventsFor func(*service) []rules.Event) {
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		service := m.services[name]
		if events := eventsFor(service); len(events) > 0 {
			m.step(now, service, events)
		}
	}
}
