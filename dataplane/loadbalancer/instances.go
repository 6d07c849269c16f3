package loadbalancer

import (
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

// removedRetention is how long the ID of a removed endpoint is kept, so that stale updates cannot add the endpoint again.
const removedRetention = time.Minute

// UpdateInstances applies the instances of an update. A full update lists all instances. It returns the IDs of endpoints that
// were removed or started draining; connections to them should be closed.
func (b *Balancer) UpdateInstances(now time.Duration, full bool, instances []fleet.Instance) []string {
	var missing []string
	if full {
		missing = b.removeMissing(instances)
	}
	var ended []string
	for _, instance := range instances {
		if b.updateInstance(now, instance) {
			ended = append(ended, instance.ID)
		}
	}
	for _, id := range ended {
		b.removedAt[id] = now
	}
	b.expireRemoved(now)
	return append(missing, ended...)
}

// removeMissing removes the endpoints that a full update does not list and returns their IDs. Later updates may add them
// again, as the member may not have learned of them yet.
func (b *Balancer) removeMissing(instances []fleet.Instance) (missing []string) {
	listed := map[string]bool{}
	for _, instance := range instances {
		listed[instance.ID] = true
	}
	for id := range b.endpoints {
		if !listed[id] {
			b.remove(id)
			missing = append(missing, id)
		}
	}
	return missing
}

// updateInstance applies an update of one instance. It reports whether the endpoint was removed or started draining.
func (b *Balancer) updateInstance(now time.Duration, instance fleet.Instance) (ended bool) {
	endpoint := b.endpoints[instance.ID]
	if instance.Deregistered {
		if endpoint != nil {
			b.remove(instance.ID)
		}
		return endpoint != nil
	}
	added := endpoint == nil
	if added {
		if _, removed := b.removedAt[instance.ID]; removed || instance.Addr == "" {
			return false
		}
		endpoint = &Endpoint{ID: instance.ID, Weight: 1, warmup: warmup{rate: b.warmupRates[instance.ID], tokensAt: now}}
		b.endpoints[instance.ID] = endpoint
	}
	if endpoint.Service != instance.Service {
		b.moveToService(endpoint, instance.Service)
	}
	endpoint.Addr, endpoint.Zone, endpoint.Slots = instance.Addr, instance.Zone, max(instance.Slots, 1)
	if instance.Draining && !endpoint.Draining { // draining cannot be undone
		endpoint.Draining = true
		ended = true
	}
	if added {
		b.holdWarmup(endpoint)
	}
	endpoint.HeartbeatTimedOut = instance.HeartbeatTimedOut
	endpoint.warmup.update(now, instance)
	return ended
}

// expireRemoved deletes the IDs of endpoints that were removed longer than removedRetention ago.
func (b *Balancer) expireRemoved(now time.Duration) {
	for id, at := range b.removedAt {
		if b.endpoints[id] == nil && now-at > removedRetention {
			delete(b.removedAt, id)
		}
	}
}

// RemoveMisdirected removes an endpoint whose address is in use by another instance. It reports whether the endpoint existed.
func (b *Balancer) RemoveMisdirected(now time.Duration, id string) bool {
	if b.endpoints[id] == nil {
		return false
	}
	b.remove(id)
	b.removedAt[id] = now
	return true
}

func (b *Balancer) remove(id string) {
	endpoint := b.endpoints[id]
	b.removeFromService(endpoint)
	delete(b.endpoints, id)
}

func (b *Balancer) moveToService(endpoint *Endpoint, service string) {
	b.removeFromService(endpoint)
	endpoint.Service = service
	b.byService[service] = append(b.byService[service], endpoint)
	slices.SortFunc(b.byService[service], compareIDs)
}

func (b *Balancer) removeFromService(endpoint *Endpoint) {
	service := endpoint.Service
	b.byService[service] = slices.DeleteFunc(b.byService[service], func(x *Endpoint) bool { return x == endpoint })
	if len(b.byService[service]) == 0 {
		delete(b.byService, service)
	}
}
