package controller

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// TestPersistedInstancesAreStaleAfterEvacuation guards against a member that crashes right after the end of an evacuation and, after its restart,
// treats the zone's replicas as warm.
func TestPersistedInstancesAreStaleAfterEvacuation(t *testing.T) {
	Convey("Given a member that persisted its state when an evacuation ended", t, func() {
		c := newCluster()
		c.sendHeartbeat(0, 1, 0)
		c.execute(chainreplication.Command{Zone: "a", Evacuated: true})
		c.execute(chainreplication.Command{Zone: "a"})
		for i := range 3 {
			var evacuationEnd coordinator.PersistentState
			for _, raw := range c.writes[i] {
				persisted, err := coordinator.DecodePersistentState(raw)
				So(err, ShouldBeNil)
				if persisted.Register.Sequence == 3 && evacuationEnd.DiskID == "" {
					evacuationEnd = persisted
				}
			}
			So(evacuationEnd.Register.EvacuatedZones, ShouldBeEmpty)
			Convey(fmt.Sprint("it restarts with its instances marked as stale, member ", i), func() {
				self := c.controllers[i].Coordinator().Self()
				restarted := New(0, c.controllers[i].options, self, evacuationEnd)
				instance, ok := restarted.registry.Get(0, "i1")
				So(ok, ShouldBeTrue)
				So(instance.Stale, ShouldBeTrue)
				restarted.registry.Merge(0, []fleet.Instance{{ID: "i1", Sequence: 1, WarmupStateUnknown: true}})
				instance, _ = restarted.registry.Get(0, "i1")
				So(instance.Stale, ShouldBeFalse)
				So(instance.WarmupStateUnknown, ShouldBeTrue)
			})
		}
	})
}

// TestLateHeartbeatAfterEvacuation guards against gateways that send at full rate to replicas that became cold shortly before the end
// of an evacuation: a heartbeat that was sent before arrives at one member after it, and the others hear of it. A member that crashes
// meanwhile does not forget it.
func TestLateHeartbeatAfterEvacuation(t *testing.T) {
	c := newCluster()
	c.sendHeartbeat(0, 1, 0)
	c.run(2 * time.Second)
	c.execute(chainreplication.Command{Zone: "a", Evacuated: true})
	c.run(5 * time.Second)
	restoredAt := c.now
	c.execute(chainreplication.Command{Zone: "a"})
	for i, late := range []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 2700 * time.Millisecond} {
		c.run(late - (c.now - restoredAt))
		c.sendHeartbeat(i, uint64(10*i+10), 0)
		for j, member := range c.controllers {
			instance, _ := member.registry.Get(c.now, "i1")
			if !warmingUp(instance) {
				t.Errorf("member %d considers the replica warm %v after the end of the evacuation", j, c.now-restoredAt)
			}
		}
	}
	persisted, err := coordinator.DecodePersistentState(c.writes[0][len(c.writes[0])-1])
	if err != nil {
		t.Fatal(err)
	}
	restarted := New(0, c.controllers[0].options, c.controllers[0].Coordinator().Self(), persisted)
	restarted.registry.SetWarmupDurations(c.controllers[0].config.WarmupDurations())
	restarted.registry.Heartbeat(time.Second, fleet.Instance{ID: "i1", Service: "svc", Addr: "10.9.0.1:80", Zone: "a", Slots: 4, Sequence: 40})
	if instance, _ := restarted.registry.Get(time.Second, "i1"); !warmingUp(instance) {
		t.Error("a member that restarted considers the replica warm after a heartbeat")
	}
	c.run(time.Second)
	for j, member := range c.controllers {
		if instance, _ := member.registry.Get(c.now, "i1"); warmingUp(instance) {
			t.Errorf("member %d: the replica still warms up %v after the end of the evacuation: %+v", j, c.now-restoredAt, instance)
		}
	}
}
