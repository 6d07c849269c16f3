package soak

import (
	"context"
	"slices"
)

// shardPosition returns the position of a sharded replica by number.
func (f *fleet) shardPosition(number int) int {
	return len(plainPositions) + number%(len(f.layout)-len(plainPositions))
}

func (f *fleet) at(position int) *replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[position]
}

// sharded returns the sharded replicas that are not leaving.
func (f *fleet) sharded() []*replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(slices.Clone(f.replicas[len(plainPositions):]), f.extras...)
}

// addShardReplicas adds sharded replicas, which drain when ctx ends.
func (f *fleet) addShardReplicas(ctx, running context.Context) error {
	var added []*replica
	for i := range addedShardReplicas {
		r, err := f.addShardReplica(running, zoneAt(i))
		if err != nil {
			return err
		}
		added = append(added, r)
	}
	<-ctx.Done()
	for _, r := range added {
		f.mu.Lock()
		f.extras = slices.DeleteFunc(f.extras, func(extra *replica) bool { return extra == r })
		f.mu.Unlock()
		r.stop()
		f.depart(r, departureDrain)
	}
	return nil
}

func (f *fleet) addShardReplica(running context.Context, zone string) (*replica, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, err := f.start(running, position{shardedService, zone})
	if err == nil {
		f.extras = append(f.extras, r)
	}
	return r, err
}
