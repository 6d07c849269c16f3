package weighting

import (
	"cmp"
	"maps"
	"slices"

	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/rules"
)

// queueWeight queues a changed weight for the gateways bound to its table.
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

// queueTable queues a complete table for a newly bound gateway.
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

// queueEjection queues the ejection or readmission of a replica at one gateway.
func (m *Manager) queueEjection(service *service, ejection rules.PairEjection) {
	name := service.replicaNames[ejection.Replica]
	gateway := m.gatewayByProxy[ejection.Proxy]
	if name == "" || gateway == "" {
		return
	}
	if m.pendingEjections[gateway] == nil {
		m.pendingEjections[gateway] = map[string]bool{}
	}
	m.pendingEjections[gateway][name] = ejection.Ejected
}

// TakeWeightChanges returns and clears a gateway's unpublished weights, ordered by replica.
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

// TakePairEjections returns and clears a gateway's unpublished pair ejections and readmissions, ordered by replica.
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

// Weights returns the positive weights of the table that a gateway is bound to, by instance.
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
