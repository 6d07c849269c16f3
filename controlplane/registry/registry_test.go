package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

const second = time.Second

// heartbeatFrom makes a heartbeat of a ready replica; i2 has an address of its own.
func heartbeatFrom(id string, sequence uint64) fleet.Instance {
	addr := "10.0.0.1:80"
	if id == "i2" {
		addr = "10.0.0.2:80"
	}
	return fleet.Instance{ID: id, Service: "svc", Addr: addr, Zone: "a", Slots: 4, Sequence: sequence}
}

func findInstance(r *Registry, now time.Duration, id string) (found fleet.Instance, ok bool) {
	for _, x := range r.ChangesSince(now, AllRevisions) {
		if x.ID == id {
			return x, true
		}
	}
	return
}

func TestChangesSince(t *testing.T) {
	Convey("Given a registry with one instance", t, func() {
		registry := New(5 * second)
		registry.Heartbeat(1*second, heartbeatFrom("i1", 1))
		Convey("changes are listed from a revision on", func() {
			rev := registry.Revision()
			registry.Heartbeat(2*second, heartbeatFrom("i2", 1))
			So(len(registry.ChangesSince(2*second, rev)), ShouldEqual, 1)
		})
	})
}
