package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

const second = time.Second

// newHeartbeat returns a heartbeat of a ready replica. All replicas but i2 share one address.
func newHeartbeat(id string, sequence uint64) fleet.Instance {
	addr := "10.0.0.1:80"
	if id == "i2" {
		addr = "10.0.0.2:80"
	}
	return fleet.Instance{ID: id, Service: "svc", Addr: addr, Zone: "a", Slots: 4, Sequence: sequence}
}

func lookup(r *Registry, now time.Duration, id string) (found fleet.Instance, ok bool) {
	for _, instance := range r.ChangesSince(now, AllRevisions) {
		if instance.ID == id {
			return instance, true
		}
	}
	return
}

func TestChangesSince(t *testing.T) {
	Convey("Given a registry with one instance", t, func() {
		registry := New(5 * second)
		registry.Heartbeat(1*second, newHeartbeat("i1", 1))
		Convey("only changes after the given revision are returned", func() {
			revision := registry.Revision()
			registry.Heartbeat(2*second, newHeartbeat("i2", 1))
			So(len(registry.ChangesSince(2*second, revision)), ShouldEqual, 1)
		})
	})
}
