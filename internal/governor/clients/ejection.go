package clients

import (
	"maps"
	"slices"

	"zincloft.example/zincloft/rules"
)

// ejectionChanges returns the replicas that a bound proxy must eject or restore, given the other parts of its message. A
// replica that the proxy may have ejected earlier is restored when the proxy first gets a weight for it.
func (s *routingState) ejectionChanges(proxy *proxyState, parts []assignment) (changes assignment) {
	if len(proxy.table) == 0 {
		return changes
	}
	restore := s.unknownEjections(proxy, parts)
	for replica := range proxy.sentEjections {
		restore[replica] = restore[replica] || !s.isEjected(proxy, replica)
	}
	for _, replica := range slices.Sorted(maps.Keys(restore)) {
		if restore[replica] {
			changes.restore = append(changes.restore, replica)
		}
	}
	ejected := maps.Clone(s.fleetEjections)
	maps.Copy(ejected, proxy.pairEjections)
	for _, replica := range slices.Sorted(maps.Keys(ejected)) {
		if !proxy.sentEjections[replica] {
			changes.eject = append(changes.eject, replica)
		}
	}
	proxy.sentEjections = ejected
	return changes
}

// unknownEjections returns the replicas for which these parts give the proxy its first weight, and whether each must be
// restored.
func (s *routingState) unknownEjections(proxy *proxyState, parts []assignment) map[rules.ReplicaID]bool {
	restore := map[rules.ReplicaID]bool{}
	if proxy.weighted == nil {
		return restore
	}
	for _, part := range parts {
		for _, w := range part.weights {
			if w.value > 0 && !proxy.weighted[w.replica] {
				proxy.weighted[w.replica] = true
				restore[w.replica] = !s.isEjected(proxy, w.replica)
			}
		}
	}
	return restore
}

// isEjected reports whether a proxy must not use a replica.
func (s *routingState) isEjected(proxy *proxyState, replica rules.ReplicaID) bool {
	return s.fleetEjections[replica] || proxy.pairEjections[replica]
}
