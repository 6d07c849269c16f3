// Package weighting has the decision module of the governor in service (rules) steer the gateway: one governor a service,
// fed with the lives of replicas and with what foragers report, whose tables go to the foragers. It is free of I/O
// and decides nothing itself; it translates.
//
// Load is second-hand: a forager reports the newest word of each replica that answered it. A replica that no
// forager of this comb has met counts as busy as the fleet, and so does one that tells no load. Combs do not
// exchange tables or loads: each has the foragers of its zone, whose requests stay there while there is room, so its
// own foragers meet what matters to them; where they spill over, their reports tell of the others.
package weighting

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/rules"
)

const (
	// ReportPeriod is the report period.
	ReportPeriod = time.Second

	endpointWeightBytes    = 40      // of a line on the wire, with its part of the frame
	linkShare              = 0.1     // of a forager's link, for tables
	maxWeightsPerSecond    = 20000.0 // lines a second that a channel is taken to drain at the most
	messageOverheadWeights = 2       // lines that a message costs besides its own
	maxPropagationDelay    = 300 * time.Millisecond
	maxWarmupDuration      = 10 * time.Second // design: the ramp's length
	warmupInitialShare     = 0.3              // share of its capacity with which a replica starts
	overloadMultiple       = 2.0              // it falls over under so many times its present capacity
	overloadTimeout        = time.Second
	maxEmptyTableDuration  = 5 * time.Second
	instanceListTTL        = time.Hour // the list is pushed, never asked for

	maxRecordsPerPeriod = 4096 // of reports that are searched for failing pairs, a service and period
	maxFailingPairs     = 512  // failing pairs that are remembered, a service
	recordHalfLife      = 2 * ReportPeriod
	maxRecordAge        = 10 * ReportPeriod
)

// Options is what all fleets of a comb share.
type Options struct {
	RandomSeed uint64
	Zone       string
	Zones      []string // in order
	Members    int
	LinkMbps   float64
	DrainGrace time.Duration
}

type serviceGovernor struct {
	governor      rules.Governor
	replicaIDs    map[string]rules.ReplicaID
	replicaNames  map[rules.ReplicaID]string
	nextReplicaID rules.ReplicaID
	tables        map[rules.TableID]map[rules.ReplicaID]float64
	tableByProxy  map[rules.ProxyID]rules.TableID
	wakeAt        time.Duration
	wakeMark      uint64
	wakePending   bool
	version       uint16
	pending       []rules.Event
	intake        *intake.Intake // finds pairs of a forager and a replica that fail
}

// Manager is one comb's part. Its calls are not made side by side.
type Manager struct {
	options          Options
	services         map[string]*serviceGovernor
	proxyIDs         map[string]rules.ProxyID
	gatewayByProxy   map[rules.ProxyID]string
	zoneIDs          map[string]rules.ZoneID
	nextProxyID      rules.ProxyID
	pendingWeights   map[string]map[string]float64 // by forager and replica: weights to be told
	pendingEjections map[string]map[string]bool    // likewise: shut out at that forager alone, or let in again
	joined           map[string]rules.Joined
}

// New makes one without services.
func New(options Options) *Manager {
	m := &Manager{options: options, services: map[string]*serviceGovernor{}, proxyIDs: map[string]rules.ProxyID{}, gatewayByProxy: map[rules.ProxyID]string{},
		zoneIDs: map[string]rules.ZoneID{}, pendingWeights: map[string]map[string]float64{}, pendingEjections: map[string]map[string]bool{}, joined: map[string]rules.Joined{}}
	for i, z := range options.Zones {
		m.zoneIDs[z] = rules.ZoneID(i)
	}
	return m
}

func governorTime(now time.Duration) rules.Time { return rules.Time(now + time.Hour) } // a governor's clock does not start at nothing

// Configure starts a governor for each service that has none, and ends those of services that are gone.
func (m *Manager) Configure(now time.Duration, config *gatewayconfig.Config, gatewayCount int) {
	for name := range m.services {
		if _, ok := config.Services[name]; !ok {
			delete(m.services, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(config.Services)) {
		if m.services[name] != nil {
			continue
		}
		governor := &serviceGovernor{replicaIDs: map[string]rules.ReplicaID{}, replicaNames: map[rules.ReplicaID]string{}, nextReplicaID: 1,
			tables: map[rules.TableID]map[rules.ReplicaID]float64{}, tableByProxy: map[rules.ProxyID]rules.TableID{},
			intake: intake.New(intake.Settings{Seed: m.options.RandomSeed, Period: ReportPeriod, Budget: maxRecordsPerPeriod, HalfLife: recordHalfLife, MostAge: maxRecordAge, Pairs: maxFailingPairs,
				Zones: max(len(m.options.Zones), 1)})}
		m.services[name] = governor
		in := []rules.Event{rules.Start{Seed: m.options.RandomSeed, Settings: m.governorSettings(config, name, gatewayCount)}, rules.List{Scope: rules.Whole}}
		for _, gateway := range slices.Sorted(maps.Keys(m.joined)) {
			in = append(in, m.joined[gateway])
			governor.intake.Join(m.joined[gateway].Proxy, m.joined[gateway].Zone)
		}
		m.step(now, governor, in)
	}
}

func (m *Manager) governorSettings(config *gatewayconfig.Config, service string, gatewayCount int) rules.Settings {
	svc := config.Services[service]
	budget, expiry := 2*time.Second, 10*time.Second
	for _, r := range config.RoutesToService(service) {
		if r.LatencyTarget > 0 {
			budget = min(budget, r.LatencyTarget)
		}
		if r.Timeout > 0 {
			expiry = min(expiry, r.Timeout)
		}
	}
	pace := min(m.options.LinkMbps*1e6/8*linkShare/endpointWeightBytes, maxWeightsPerSecond)
	return rules.Settings{
		Groups:    []rules.TrafficGroup{{Name: service, LatencyBudget: budget, Expiry: expiry, Utility: 1, Effect: rules.Retriable}},
		Governors: m.options.Members, Proxies: max(gatewayCount, 1), Zone: m.zoneIDs[m.options.Zone], Zones: max(len(m.options.Zones), 1),
		Levels: rules.LevelIgnored, Period: ReportPeriod, LinePace: pace, LineCap: pace, HeadLines: messageOverheadWeights, TravelMost: maxPropagationDelay,
		MessageSpan: 10 * time.Second, FirstWait: 1, LinksLeast: float64(svc.MaxConnections), LinkIdle: 10 * time.Second,
		BareMost: maxEmptyTableDuration, DrainGrace: m.options.DrainGrace, AskWithin: instanceListTTL, WarmAfter: max(min(svc.WarmupDuration, maxWarmupDuration), ReportPeriod),
		ColdFrom: warmupInitialShare, FallMultiple: overloadMultiple, FallAfter: overloadTimeout,
	}
}

// UpdateInstances takes in word of replicas.
func (m *Manager) UpdateInstances(now time.Duration, instances []registry.Instance) {
	entries := map[string][]rules.Entry{}
	for _, instance := range instances {
		governor := m.services[instance.Service]
		if governor == nil {
			continue
		}
		id, known := governor.replicaIDs[instance.ID]
		if !known {
			if instance.Deregistered {
				continue
			}
			id = governor.nextReplicaID
			governor.nextReplicaID++
			governor.replicaIDs[instance.ID], governor.replicaNames[id] = id, instance.ID
		}
		entry := rules.Entry{Replica: id, Zone: m.zoneIDs[instance.Zone], State: rules.Ready, Listed: float64(max(instance.Slots, 1))}
		switch {
		case instance.Deregistered:
			entry.State = rules.Gone
		case instance.Draining || instance.HeartbeatTimedOut:
			entry.State = rules.Draining
		}
		if instance.WarmupMillis > 0 || instance.WarmthUnknown {
			entry.StartedAt = governorTime(now) // it is spared by its grant; here it only ramps
		}
		entries[instance.Service] = append(entries[instance.Service], entry)
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		m.step(now, m.services[name], []rules.Event{rules.List{Scope: rules.Changes, Entries: entries[name]}})
	}
}

// AddGateway takes in a forager, which holds nothing.
func (m *Manager) AddGateway(now time.Duration, gateway, zone string) {
	m.RemoveGateway(now, gateway)
	m.nextProxyID++
	id := m.nextProxyID
	m.proxyIDs[gateway], m.gatewayByProxy[id] = id, gateway
	m.pendingWeights[gateway] = map[string]float64{}
	m.joined[gateway] = rules.Joined{Proxy: id, Zone: m.zoneIDs[zone], Rate: 1, Fresh: true}
	m.stepAll(now, func(f *serviceGovernor) []rules.Event {
		f.intake.Join(id, m.joined[gateway].Zone)
		return []rules.Event{m.joined[gateway]}
	})
}

// RemoveGateway takes a forager out.
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
	m.stepAll(now, func(f *serviceGovernor) []rules.Event {
		delete(f.tableByProxy, id)
		f.intake.Leave(id)
		return []rules.Event{rules.Left{Proxy: id}}
	})
}

func (m *Manager) stepAll(now time.Duration, eventsFor func(*serviceGovernor) []rules.Event) {
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		governor := m.services[name]
		if e := eventsFor(governor); len(e) > 0 {
			m.step(now, governor, e)
		}
	}
}

// RecordReport takes what a forager met. It also tells that the forager has applied what it was told before.
func (m *Manager) RecordReport(now time.Duration, gateway string, report *messages.LoadReport) {
	proxyID, ok := m.proxyIDs[gateway]
	if !ok || report.PeriodMillis <= 0 {
		return
	}
	over := time.Duration(report.PeriodMillis) * time.Millisecond
	for name, governor := range m.services {
		governor.pending = append(governor.pending, rules.Applied{Proxy: proxyID, Version: governor.version})
		if n := report.Requests[name]; n > 0 {
			governor.pending = append(governor.pending, rules.Intake{Proxy: proxyID, Flows: n, Over: over})
		}
	}
	batches := map[*serviceGovernor]*intake.Batch{}
	for _, stats := range report.Endpoints {
		for _, governor := range m.services {
			replicaID, ok := governor.replicaIDs[stats.Replica]
			if !ok || stats.Attempts <= 0 {
				continue
			}
			replicaReport := rules.Report{Util: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
			if stats.Slots > 0 {
				replicaReport.Util, replicaReport.InFlight = min(float64(stats.Running)/float64(stats.Slots), 1), float64(stats.Running+stats.Waiting)
			}
			governor.pending = append(governor.pending, rules.Sums{Replica: replicaID, Zone: m.joined[gateway].Zone, Tries: stats.Attempts, Dropped: min(stats.Dropped, stats.Attempts),
				Took: time.Duration(stats.MeanLatencyMicros) * time.Microsecond, Over: over, Report: replicaReport})
			batch := batches[governor]
			if batch == nil {
				batch = &intake.Batch{Proxy: proxyID, Over: over, Read: governorTime(now)}
				batches[governor] = batch
			}
			batch.Records = append(batch.Records, intake.Record{Replica: replicaID, Tries: stats.Attempts, Dropped: min(stats.Dropped, stats.Attempts), Took: time.Duration(stats.MeanLatencyMicros) * time.Microsecond,
				Report: replicaReport})
		}
	}
	for governor, batch := range batches {
		governor.intake.Take(governorTime(now), batch)
	}
}

// Tick lets time pass.
func (m *Manager) Tick(now time.Duration) {
	m.stepAll(now, func(governor *serviceGovernor) []rules.Event {
		in := governor.pending
		governor.pending = nil
		if governor.wakePending && now >= governor.wakeAt {
			governor.wakePending = false
			in = append(in, rules.Wake{Mark: governor.wakeMark})
		}
		if governor.intake.Due(governorTime(now)) {
			in = append(in, governor.intake.Cut(governorTime(now))...)
		}
		return in
	})
}

func (m *Manager) step(now time.Duration, governor *serviceGovernor, in []rules.Event) {
	for _, output := range governor.governor.Step(governorTime(now), in) {
		switch o := output.(type) {
		case rules.WakeAfter:
			governor.wakePending, governor.wakeAt, governor.wakeMark = true, now+o.After, o.Mark
		case rules.Mark:
			governor.version = o.Version
		case rules.Line:
			t := governor.tables[o.Table]
			if t == nil {
				t = map[rules.ReplicaID]float64{}
				governor.tables[o.Table] = t
			}
			t[o.Replica] = o.Weight // also 0: a forager that comes later may hold another comb's weight
			m.queueWeight(governor, o.Table, o.Replica, o.Weight)
		case rules.ClearTable:
			for id := range governor.tables[o.Table] {
				m.queueWeight(governor, o.Table, id, 0)
			}
			delete(governor.tables, o.Table)
		case rules.Bind:
			governor.tableByProxy[o.Proxy] = o.Table
			m.queueTable(governor, o.Proxy)
		case rules.Shun:
			if name, d := governor.replicaNames[o.Replica], m.pendingEjections[m.gatewayByProxy[o.Proxy]]; name != "" && m.gatewayByProxy[o.Proxy] != "" {
				if d == nil {
					d = map[string]bool{}
					m.pendingEjections[m.gatewayByProxy[o.Proxy]] = d
				}
				d[name] = o.Out
			}
		case rules.Forget:
			governor.intake.Forget(o.Replica)
			for _, t := range governor.tables {
				delete(t, o.Replica)
			}
			delete(governor.replicaIDs, governor.replicaNames[o.Replica])
			delete(governor.replicaNames, o.Replica)
		}
	}
}

// queueWeight has a changed line told to the foragers on its table.
func (m *Manager) queueWeight(governor *serviceGovernor, t rules.TableID, id rules.ReplicaID, w float64) {
	name, ok := governor.replicaNames[id]
	if !ok {
		return
	}
	for p, table := range governor.tableByProxy {
		if d := m.pendingWeights[m.gatewayByProxy[p]]; table == t && d != nil {
			d[name] = w
		}
	}
}

// queueTable has a forager told a whole table.
func (m *Manager) queueTable(governor *serviceGovernor, p rules.ProxyID) {
	d := m.pendingWeights[m.gatewayByProxy[p]]
	if d == nil {
		return
	}
	for id, name := range governor.replicaNames {
		if w, ok := governor.tables[governor.tableByProxy[p]][id]; ok {
			d[name] = w
		}
	}
}

// TakeWeightChanges takes what a forager is to be told, in the order of the replicas' names.
func (m *Manager) TakeWeightChanges(gateway string) []messages.EndpointWeight {
	pending := m.pendingWeights[gateway]
	if len(pending) == 0 {
		return nil
	}
	lines := make([]messages.EndpointWeight, 0, len(pending))
	for name, w := range pending {
		lines = append(lines, messages.EndpointWeight{Replica: name, Weight: float32(w)})
	}
	slices.SortFunc(lines, func(a, b messages.EndpointWeight) int { return cmp.Compare(a.Replica, b.Replica) })
	clear(pending)
	return lines
}

// TakePairEjections takes which replicas a forager is to shut out, or to let in again, for itself alone: in the order of their names.
func (m *Manager) TakePairEjections(gateway string) []messages.PairEjection {
	pending := m.pendingEjections[gateway]
	if len(pending) == 0 {
		return nil
	}
	out := make([]messages.PairEjection, 0, len(pending))
	for _, name := range slices.Sorted(maps.Keys(pending)) {
		out = append(out, messages.PairEjection{Replica: name, Ejected: pending[name]})
	}
	clear(pending)
	return out
}

// Weights is the table of a service that a forager is on, by the replicas' ids.
func (m *Manager) Weights(service, gateway string) map[string]float64 {
	out := map[string]float64{}
	if governor := m.services[service]; governor != nil {
		for id, w := range governor.tables[governor.tableByProxy[m.proxyIDs[gateway]]] {
			if w > 0 {
				out[governor.replicaNames[id]] = w
			}
		}
	}
	return out
}
