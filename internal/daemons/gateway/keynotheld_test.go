package gateway

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

// TestReplicaThatRejectsKeyStaysRegistered guards against a 421 for a shard key that is taken for the loss of the replica's address.
func TestReplicaThatRejectsKeyStaysRegistered(t *testing.T) {
	Convey("A replica that rejects a request for its shard key is not reported as gone, and serves later requests", t, func() {
		f := newFixture("safe", 1)
		f.setBehaviours(upstream.KeyNotHeld)
		f.do("GET", "/x/", "")
		So(len(f.gateway.misdirected), ShouldEqual, 0)
		So(f.do("GET", "/x/", "").Code, ShouldEqual, http.StatusOK)
	})
}

// TestReplicaWithoutItsAddressIsReported is the counterpart: a 421 with the ID of another instance proves that the replica is gone.
func TestReplicaWithoutItsAddressIsReported(t *testing.T) {
	Convey("A replica whose address belongs to another instance is reported as gone, and receives no later requests", t, func() {
		f := newFixture("safe", 1)
		gone := instanceOf(f.replicas[0])
		gone.ID = "gone"
		f.gateway.applyUpdate(&messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: testConfig(1, "safe"), Instances: []fleet.Instance{gone}})
		So(f.do("GET", "/x/", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		So(f.lastRequestExecutions(), ShouldEqual, 0)
		So(len(f.gateway.misdirected), ShouldEqual, 1)
		So(<-f.gateway.misdirected, ShouldEqual, "gone")
		requests := len(f.replicas[0].Requests())
		So(f.do("GET", "/x/", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		So(f.replicas[0].Requests(), ShouldHaveLength, requests)
	})
}
