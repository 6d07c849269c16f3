package scalerun

import (
	"sync"

	"zincloft.example/zincloft/controlplane/registry"
)

// sharedInstances are the replicas of the largest full state so far. All synthetic gateways of a process share them in place of
// each holding its own.
type sharedInstances struct {
	mu        sync.Mutex
	instances []registry.Instance
	byZone    map[string][]registry.Instance
}

// update takes in the instances of a full state.
func (s *sharedInstances) update(instances []registry.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(instances) < len(s.instances) {
		return
	}
	s.instances, s.byZone = nil, map[string][]registry.Instance{}
	for _, instance := range instances {
		if instance.Deregistered || instance.Addr == "" {
			continue
		}
		known := registry.Instance{
			ID:            instance.ID,
			Service:       instance.Service,
			Addr:          instance.Addr,
			Zone:          instance.Zone,
			Slots:         instance.Slots,
			Draining:      instance.Draining,
			WarmthUnknown: instance.WarmthUnknown,
			WarmupMillis:  instance.WarmupMillis,
		}
		s.instances = append(s.instances, known)
		s.byZone[known.Zone] = append(s.byZone[known.Zone], known)
	}
}

func (s *sharedInstances) all() []registry.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances
}

func (s *sharedInstances) inZone(zone string) []registry.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byZone[zone]
}
