package weighting

import (
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// service is a governor with what it knows by numbers: the decision module numbers replicas, gateways ("proxies") and tables.
type service struct {
	governor rules.Governor
	version  uint16 // that gateways have applied once they report
	pending  []rules.Event
	intake   *intake.Aggregator // finds pairs of a gateway and a replica between which attempts fail

	nextReplicaID rules.ReplicaID
	replicaIDs    map[string]rules.ReplicaID // by instance
	replicaNames  map[rules.ReplicaID]string

	tables       map[rules.TableID]map[rules.ReplicaID]float64
	tableByProxy map[rules.ProxyID]rules.TableID

	wakePending bool
	wakeAt      time.Duration
	wakeMark    uint64
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

// replicaID is the number of an instance, which gets one unless it has ended before it was known.
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

// forgetReplica gives up the number of an instance.
func (s *service) forgetReplica(id rules.ReplicaID) {
	s.intake.Forget(id)
	for _, table := range s.tables {
		delete(table, id)
	}
	delete(s.replicaIDs, s.replicaNames[id])
	delete(s.replicaNames, id)
}

// setWeight puts a weight into a table. A weight of 0 is kept too: a gateway that comes later may still hold the weight that another
// member gave it.
func (s *service) setWeight(table rules.TableID, id rules.ReplicaID, weight float64) {
	if s.tables[table] == nil {
		s.tables[table] = map[rules.ReplicaID]float64{}
	}
	s.tables[table][id] = weight
}

// takePending returns and clears the events that the governor is to take at a tick.
func (s *service) takePending(now time.Duration) []rules.Event {
	events := s.pending
	s.pending = nil
	if s.wakePending && now >= s.wakeAt {
		s.wakePending = false
		events = append(events, rules.Wake{TimerID: s.wakeMark})
	}
	if s.intake.FlushDue(governorTime(now)) {
		events = append(events, s.intake.Flush(governorTime(now))...)
	}
	return events
}

// step has a governor decide and queues for the gateways what comes of it.
func (m *Manager) step(now time.Duration, service *service, events []rules.Event) {
	for _, output := range service.governor.Step(governorTime(now), events) {
		switch output := output.(type) {
		case rules.WakeAfter:
			service.wakePending = true
			service.wakeAt = now + output.After
			service.wakeMark = output.TimerID
		case rules.AckRequest:
			service.version = output.Version
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
			service.forgetReplica(output.Replica)
		}
	}
}
