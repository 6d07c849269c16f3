package clients

import (
	"maps"
	"slices"

	"zincloft.example/zincloft/rules"
)

// ejectionChanges returns what a bound proxy is to eject or restore, beside the parts of its message. A replica that it may
// have ejected without our knowledge is restored when it first gets a weight for it.
func (s *routingState) ejectionChanges(proxy *proxyState, parts []assignment) (changes assignment) {
	if len(proxy.table) == 0 {
		return changes
	}
	restore := s.unknownEjections(proxy, parts)
	for replica := range proxy.ejected {
		restore[replica] = restore[replica] || !s.isEjected(proxy, replica)
	}
	for _, replica := range slices.Sorted(maps.Keys(restore)) {
		if restore[replica] {
			changes.restore = append(changes.restore, replica)
		}
	}
	ejected := maps.Clone(s.withdrawn)
	maps.Copy(ejected, proxy.ejections)
	for _, replica := range slices.Sorted(maps.Keys(ejected)) {
		if !proxy.ejected[replica] {
			changes.eject = append(changes.eject, replica)
		}
	}
	proxy.ejected = ejected
	return changes
}

// unknownEjections returns the replicas that the parts are the first to give the proxy a weight for, and whether each is to
// be restored.
func (s *routingState) unknownEjections(proxy *proxyState, parts []assignment) map[rules.ReplicaID]bool {
	restore := map[rules.ReplicaID]bool{}
	if proxy.seen == nil {
		return restore
	}
	for _, part := range parts {
		for _, w := range part.weights {
			if w.value > 0 && !proxy.seen[w.replica] {
				proxy.seen[w.replica] = true
				restore[w.replica] = !s.isEjected(proxy, w.replica)
			}
		}
	}
	return restore
}

// isEjected reports whether a proxy must not use a replica.
func (s *routingState) isEjected(proxy *proxyState, replica rules.ReplicaID) bool {
	return s.withdrawn[replica] || proxy.ejections[replica]
}
