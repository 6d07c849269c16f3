package controller

import (
	"fmt"
	"testing"

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
