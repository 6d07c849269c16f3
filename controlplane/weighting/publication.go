package weighting

import (
	"cmp"
	"maps"
	"slices"

	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/rules"
)

// queueWeight queues a changed weight for the gateways on its table.
func (m *Manager) queueWeight(service *service, table rules.TableID, id rules.ReplicaID, weight float64) {
	name, ok := service.replicaNames[id]
	if !ok {
		return
	}
	for proxy, bound := range service.tableByProxy {
		if pending := m.pendingWeights[m.gatewayByProxy[proxy]]; bound == table && pending != nil {
			pending[name] = weight
		}
	}
}

// queueTable queues a complete table for a gateway that was bound to it.
func (m *Manager) queueTable(service *service, proxy rules.ProxyID) {
	pending := m.pendingWeights[m.gatewayByProxy[proxy]]
	if pending == nil {
		return
	}
	table := service.tables[service.tableByProxy[proxy]]
	for id, name := range service.replicaNames {
		if weight, ok := table[id]; ok {
			pending[name] = weight
		}
	}
}

// queueEjection queues for one gateway that a replica is ejected or readmitted there.
func (m *Manager) queueEjection(service *service, shun rules.PairEjection) {
	name := service.replicaNames[shun.Replica]
	gateway := m.gatewayByProxy[shun.Proxy]
	if name == "" || gateway == "" {
		return
	}
	if m.pendingEjections[gateway] == nil {
		m.pendingEjections[gateway] = map[string]bool{}
	}
	m.pendingEjections[gateway][name] = shun.Ejected
}

// TakeWeightChanges returns and clears the weights that are to be published to a gateway, in the order of the replicas' names.
func (m *Manager) TakeWeightChanges(gateway string) []messages.EndpointWeight {
	pending := m.pendingWeights[gateway]
	if len(pending) == 0 {
		return nil
	}
	changes := make([]messages.EndpointWeight, 0, len(pending))
	for name, weight := range pending {
		changes = append(changes, messages.EndpointWeight{Replica: name, Weight: float32(weight)})
	}
	slices.SortFunc(changes, func(a, b messages.EndpointWeight) int { return cmp.Compare(a.Replica, b.Replica) })
	clear(pending)
	return changes
}

// TakePairEjections returns and clears which replicas are to be ejected, or readmitted, at a gateway alone, in the order of their names.
func (m *Manager) TakePairEjections(gateway string) []messages.PairEjection {
	pending := m.pendingEjections[gateway]
	if len(pending) == 0 {
		return nil
	}
	ejections := make([]messages.PairEjection, 0, len(pending))
	for _, name := range slices.Sorted(maps.Keys(pending)) {
		ejections = append(ejections, messages.PairEjection{Replica: name, Ejected: pending[name]})
	}
	clear(pending)
	return ejections
}

// Weights returns the weights above 0 of the table that a gateway is on, by instance.
func (m *Manager) Weights(serviceName, gateway string) map[string]float64 {
	weights := map[string]float64{}
	service := m.services[serviceName]
	if service == nil {
		return weights
	}
	for id, weight := range service.tables[service.tableByProxy[m.proxyIDs[gateway]]] {
		if weight > 0 {
			weights[service.replicaNames[id]] = weight
		}
	}
	return weights
}
