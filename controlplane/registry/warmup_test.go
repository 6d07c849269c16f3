package registry

import (
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
)

// newWarmupRegistry returns a registry of instances that warm up for 3 s.
func newWarmupRegistry() *Registry {
	registry := New(5 * second)
	registry.SetWarmupDurations(map[string]time.Duration{"svc": 3 * second})
	return registry
}

// expectWarmup checks the remaining warm-up of i1.
func expectWarmup(t *testing.T, r *Registry, now, want time.Duration) {
	t.Helper()
	got, ok := lookup(r, now, "i1")
	if !ok || got.Warmup() != want {
		t.Errorf("at %v the remaining warm-up is %v, want %v", now, got.Warmup(), want)
	}
}

// TestHeartbeatAfterEvacuationProvesNothing guards against full load on cold replicas: heartbeats that were sent before the end of
// an evacuation arrive at any time after it, with any sequence, from the replica or through another member.
func TestHeartbeatAfterEvacuationProvesNothing(t *testing.T) {
	for _, late := range []time.Duration{10 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 2900 * time.Millisecond} {
		for _, sequence := range []uint64{2, 3, 9} {
			registry := newWarmupRegistry()
			registry.Heartbeat(9*second, newHeartbeat("i1", 1))
			registry.MarkWarmupStateUnknown(10*second, "a")
			registry.Heartbeat(10*second+late, newHeartbeat("i1", sequence))
			expectWarmup(t, registry, 10*second+late, 3*second-late)
			registry.Merge(10*second+late, []fleet.Instance{newHeartbeat("i1", sequence+2)})
			expectWarmup(t, registry, 10*second+late, 3*second-late)
			expectWarmup(t, registry, 13*second, 0)
		}
	}
}

// TestHeartbeatExtendsHeldWarmup checks that a heartbeat that reports a longer warm-up applies, and one that reports a shorter one
// does not.
func TestHeartbeatExtendsHeldWarmup(t *testing.T) {
	registry := newWarmupRegistry()
	registry.Heartbeat(9*second, newHeartbeat("i1", 1))
	registry.MarkWarmupStateUnknown(10*second, "a")
	heartbeat := newHeartbeat("i1", 2)
	heartbeat.WarmupMillis = 200
	registry.Heartbeat(11*second, heartbeat)
	expectWarmup(t, registry, 11*second, 2*second)
	heartbeat.Sequence, heartbeat.WarmupMillis = 3, 2500
	registry.Heartbeat(12*second, heartbeat)
	expectWarmup(t, registry, 12*second, 2500*time.Millisecond)
}

// TestInstanceAddedAfterEvacuationMayBeCold guards against the same for a replica that the member did not know when the evacuation
// ended.
func TestInstanceAddedAfterEvacuationMayBeCold(t *testing.T) {
	registry := newWarmupRegistry()
	registry.MarkWarmupStateUnknown(10*second, "a")
	registry.Heartbeat(10*second+400*time.Millisecond, newHeartbeat("i1", 7))
	expectWarmup(t, registry, 11*second, 2*second)
	other := newHeartbeat("i2", 7)
	other.Zone = "b"
	registry.Heartbeat(11*second, other)
	if got, _ := lookup(registry, 11*second, "i2"); got.WarmupMillis != 0 {
		t.Errorf("an instance of another zone warms up for %v", got.Warmup())
	}
}

// TestHeldWarmupIsAdopted guards against a member that missed an evacuation: it adopts the held warm-up of others with any
// sequence, and a late heartbeat does not end it.
func TestHeldWarmupIsAdopted(t *testing.T) {
	informed, isolated := newWarmupRegistry(), newWarmupRegistry()
	for _, registry := range []*Registry{informed, isolated} {
		registry.Heartbeat(9*second, newHeartbeat("i1", 1))
	}
	isolated.Heartbeat(9*second, newHeartbeat("i1", 5))
	informed.MarkWarmupStateUnknown(10*second, "a")
	informed.Heartbeat(11*second, newHeartbeat("i1", 2)) // late
	if change := isolated.Merge(12*second, informed.ChangesSince(12*second, AllRevisions)); !change.Changed {
		t.Error("the held warm-up is not reported as a change")
	}
	isolated.Heartbeat(12*second+100*time.Millisecond, newHeartbeat("i1", 6))
	expectWarmup(t, isolated, 12*second+100*time.Millisecond, 900*time.Millisecond)
	expectWarmup(t, isolated, 13*second, 0)
	if change := informed.Merge(12*second+5*time.Millisecond, isolated.ChangesSince(12*second, AllRevisions)); change.Changed {
		t.Error("members report the same held warm-up to each other as a change")
	}
}

// TestStaleInstanceMayBeColdAfterHeartbeat guards against a member that restarted from disk and may have missed the end of an
// evacuation: a heartbeat that it receives may have been sent before. Other members know better.
func TestStaleInstanceMayBeColdAfterHeartbeat(t *testing.T) {
	persisted := newHeartbeat("i1", 1)
	persisted.Stale = true
	registry := newWarmupRegistry()
	registry.Merge(1*second, []fleet.Instance{persisted})
	registry.Heartbeat(2*second, newHeartbeat("i1", 2))
	expectWarmup(t, registry, 2*second, 2*second)
	registry = newWarmupRegistry()
	registry.Merge(1*second, []fleet.Instance{persisted})
	registry.Merge(2*second, []fleet.Instance{newHeartbeat("i1", 2)})
	expectWarmup(t, registry, 2*second, 0)
}

// TestReplicaCannotHoldItsWarmup checks that the held warm-up is not taken from a replica's heartbeat.
func TestReplicaCannotHoldItsWarmup(t *testing.T) {
	registry := newWarmupRegistry()
	heartbeat := newHeartbeat("i1", 1)
	heartbeat.WarmupHeldMillis = 60000
	registry.Heartbeat(1*second, heartbeat)
	expectWarmup(t, registry, 1*second, 0)
}
