package weighting

import (
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// service is the governor of one service, with the mapping between names and the numeric IDs that package rules uses for replicas,
// gateways (proxies) and tables.
type service struct {
	governor         rules.Governor
	publishedVersion uint16 // acknowledged by the next report of each gateway
	pendingEvents    []rules.Event
	intake           *intake.Aggregator // detects gateway-replica pairs with failing attempts

	nextReplicaID rules.ReplicaID
	replicaIDs    map[string]rules.ReplicaID // by instance
	replicaNames  map[rules.ReplicaID]string

	tables       map[rules.TableID]map[rules.ReplicaID]float64
	tableByProxy map[rules.ProxyID]rules.TableID

	timerSet       bool
	timerExpiresAt time.Duration
	timerID        uint64
}

func newService(options Options) *service {
	return &service{
		intake: intake.New(intake.Settings{
			Seed:     options.RandomSeed,
			Period:   ReportPeriod,
			Budget:   maxRecordsPerPeriod,
			HalfLife: recordHalfLife,
			MaxAge:   maxRecordAge,
			MaxPairs: maxFailingPairs,
			Zones:    max(len(options.Zones), 1),
		}),
		nextReplicaID: 1,
		replicaIDs:    map[string]rules.ReplicaID{},
		replicaNames:  map[rules.ReplicaID]string{},
		tables:        map[rules.TableID]map[rules.ReplicaID]float64{},
		tableByProxy:  map[rules.ProxyID]rules.TableID{},
	}
}

// replicaID returns the numeric ID of an instance. It assigns one to an unknown instance, unless that is already deregistered.
func (s *service) replicaID(instance fleet.Instance) (rules.ReplicaID, bool) {
	if id, known := s.replicaIDs[instance.ID]; known {
		return id, true
	}
	if instance.Deregistered {
		return 0, false
	}
	id := s.nextReplicaID
	s.nextReplicaID++
	s.replicaIDs[instance.ID] = id
	s.replicaNames[id] = instance.ID
	return id, true
}

// removeReplica releases a numeric ID and removes its replica from all tables.
func (s *service) removeReplica(id rules.ReplicaID) {
	s.intake.Forget(id)
	for _, table := range s.tables {
		delete(table, id)
	}
	delete(s.replicaIDs, s.replicaNames[id])
	delete(s.replicaNames, id)
}

// setWeight sets a weight in a table. Zero weights are stored too, because a gateway that joins later may hold a weight from another member.
func (s *service) setWeight(table rules.TableID, id rules.ReplicaID, weight float64) {
	if s.tables[table] == nil {
		s.tables[table] = map[rules.ReplicaID]float64{}
	}
	s.tables[table][id] = weight
}

// takeEvents returns and clears the events for the governor's next step.
func (s *service) takeEvents(now time.Duration) []rules.Event {
	events := s.pendingEvents
	s.pendingEvents = nil
	if s.timerSet && now >= s.timerExpiresAt {
		s.timerSet = false
		events = append(events, rules.Wake{TimerID: s.timerID})
	}
	if s.intake.FlushDue(governorTime(now)) {
		events = append(events, s.intake.Flush(governorTime(now))...)
	}
	return events
}

// step steps the governor of a service and queues the resulting changes for the gateways.
func (m *Manager) step(now time.Duration, service *service, events []rules.Event) {
	for _, output := range service.governor.Step(governorTime(now), events) {
		switch output := output.(type) {
		case rules.WakeAfter:
			service.timerSet = true
			service.timerExpiresAt = now + output.After
			service.timerID = output.TimerID
		case rules.AckRequest:
			service.publishedVersion = output.Version
		case rules.EndpointWeight:
			service.setWeight(output.Table, output.Replica, output.Weight)
			m.queueWeight(service, output.Table, output.Replica, output.Weight)
		case rules.ClearTable:
			for id := range service.tables[output.Table] {
				m.queueWeight(service, output.Table, id, 0)
			}
			delete(service.tables, output.Table)
		case rules.Bind:
			service.tableByProxy[output.Proxy] = output.Table
			m.queueTable(service, output.Proxy)
		case rules.PairEjection:
			m.queueEjection(service, output)
		case rules.Forget:
			service.removeReplica(output.Replica)
		}
	}
}
