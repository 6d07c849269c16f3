package loadbalancer

import (
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

// removedRetention is how long a removed endpoint's ID is remembered, against stale updates.
const removedRetention = time.Minute

// UpdateInstances takes in what an update says of instances; a full one names all that there are. It returns the endpoints
// to which no connection is wanted any more: removed and draining ones.
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
	b.forgetRemoved(now)
	return append(missing, ended...)
}

// removeMissing removes the endpoints that a full update does not name, and returns them. The member may not know them
// yet, so they may come back.
func (b *Balancer) removeMissing(instances []fleet.Instance) (missing []string) {
	named := map[string]bool{}
	for _, instance := range instances {
		named[instance.ID] = true
	}
	for id := range b.endpoints {
		if !named[id] {
			b.remove(id)
			missing = append(missing, id)
		}
	}
	return missing
}

// updateInstance takes in what an update says of one instance. It tells whether that ended the endpoint: it was removed, or
// has begun to drain.
func (b *Balancer) updateInstance(now time.Duration, instance fleet.Instance) (ended bool) {
	endpoint := b.endpoints[instance.ID]
	if instance.Deregistered {
		if endpoint != nil {
			b.remove(instance.ID)
		}
		return endpoint != nil
	}
	if endpoint == nil {
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
	if instance.Draining && !endpoint.Draining { // draining is final
		endpoint.Draining = true
		ended = true
	}
	endpoint.HeartbeatTimedOut = instance.HeartbeatTimedOut
	endpoint.warmup.update(now, instance)
	return ended
}

// forgetRemoved forgets removed endpoints after removedRetention.
func (b *Balancer) forgetRemoved(now time.Duration) {
	for id, at := range b.removedAt {
		if b.endpoints[id] == nil && now-at > removedRetention {
			delete(b.removedAt, id)
		}
	}
}

// RemoveMisdirected removes an endpoint at whose address another instance has answered. It tells whether that is new.
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
