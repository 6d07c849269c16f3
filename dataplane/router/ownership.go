package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/messages"
)

// usualMoveTime is how long most moves of a range take: the former owner completes its running requests. A move that takes
// longer probably waits for the end of the lease of an owner that does not answer.
const usualMoveTime = time.Second

// keyCounts is the number of requests by shard key.
type keyCounts map[uint16]uint32

// applyOwnership applies changes of the owners of shard keys. An invalid table is rejected, and the last one stays in force.
func (r *Router) applyOwnership(now time.Duration, updates []messages.ServiceOwnership) (changed bool, problem string) {
	for _, update := range updates {
		table := r.ownership[update.Service]
		applied, err := table.Apply(now, update)
		if err != nil {
			problem = update.Service + ": " + err.Error()
			continue
		}
		changed = changed || !applied.Equal(table)
		r.ownership[update.Service] = applied
	}
	return changed, problem
}

// pickOwner returns the endpoint that owns the request's shard key, or nil if it cannot take the request. The result tells
// whether the key has no owner that can be reached. It is incomplete if there is an endpoint.
func (r *Router) pickOwner(now time.Duration, request PickRequest, maxUtilization float64) (*loadbalancer.Endpoint, PickResult) {
	owned, known := r.ownership[request.Service].Lookup(request.Key)
	result := PickResult{Token: owned.Token}
	if !known || owned.Moving {
		result.OwnerPending, result.MoveOverdue = true, known && now-owned.Since > usualMoveTime
		return nil, result
	}
	owner, state := r.balancer.CheckOwner(now, request.Service, owned.Owner, maxUtilization)
	switch state {
	case loadbalancer.OwnerAvailable:
		return owner, result
	case loadbalancer.OwnerUnknown, loadbalancer.OwnerLeaving:
		result.OwnerPending = true
	case loadbalancer.OwnerUnreachable: // its keys do not move before its leases have ended
		result.OwnerPending, result.MoveOverdue = true, true
	}
	return nil, result
}

// KeyToken returns the fencing token of a shard key's range, or 0 if it is unknown.
func (r *Router) KeyToken(service string, key uint16) uint64 {
	owned, _ := r.ownership[service].Lookup(key)
	return owned.Token
}

// CountKey counts a client request by its shard key, for the next report.
func (r *Router) CountKey(service string, key uint16) {
	counts := r.keyCounts[service]
	if counts == nil {
		counts = keyCounts{}
		r.keyCounts[service] = counts
	}
	counts[key]++
}

// takeKeyLoads returns the requests by shard key since the last call, sorted by service.
func (r *Router) takeKeyLoads() (loads []messages.ServiceKeyLoad) {
	for _, service := range slices.Sorted(maps.Keys(r.keyCounts)) {
		loads = append(loads, messages.ServiceKeyLoad{Service: service, Keys: r.keyCounts[service].busiest()})
	}
	clear(r.keyCounts)
	return loads
}

// busiest returns the MaxReportedKeys keys with the most requests, sorted by key.
func (k keyCounts) busiest() []messages.KeyCount {
	keys := make([]messages.KeyCount, 0, len(k))
	for key, requests := range k {
		keys = append(keys, messages.KeyCount{Key: key, Requests: requests})
	}
	if len(keys) > messages.MaxReportedKeys {
		slices.SortFunc(keys, func(x, y messages.KeyCount) int {
			return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Key, y.Key))
		})
		keys = keys[:messages.MaxReportedKeys]
	}
	slices.SortFunc(keys, func(x, y messages.KeyCount) int { return cmp.Compare(x.Key, y.Key) })
	return keys
}
