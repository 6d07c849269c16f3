package controller

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// TestInstancesOnDisk is a regression test: a member died right after an evacuation had finished, and nothing on its disk told that the zone's replicas may be cold.
func TestInstancesOnDisk(t *testing.T) {
	Convey("Given a member that wrote its state as an evacuation finished", t, func() {
		c := newCluster()
		c.heartbeat(0, 1, 0)
		c.command(chainreplication.Command{Zone: "a", Evacuated: true})
		c.command(chainreplication.Command{Zone: "a"})
		for i := range 3 {
			var given coordinator.PersistentState
			for _, raw := range c.writes[i] {
				persisted, err := coordinator.DecodePersistentState(raw)
				So(err, ShouldBeNil)
				if persisted.Register.Sequence == 3 && given.DiskID == "" {
					given = persisted
				}
			}
			So(given.Register.EvacuatedZones, ShouldBeEmpty)
			Convey(fmt.Sprint("it starts with its instances as stale, member ", i), func() {
				self := c.controllers[i].Coordinator().Self()
				restarted := New(0, c.controllers[i].options, self, given)
				instance, ok := restarted.registry.Get(0, "i1")
				So(ok, ShouldBeTrue)
				So(instance.Stale, ShouldBeTrue)
				restarted.registry.Merge(0, []fleet.Instance{{ID: "i1", Sequence: 1, WarmthUnknown: true}})
				instance, _ = restarted.registry.Get(0, "i1")
				So(instance.Stale, ShouldBeFalse)
				So(instance.WarmthUnknown, ShouldBeTrue)
			})
		}
	})
}
