package gateway

import (
	"context"
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

// TestFailureNamesKindOfMisdirection guards against failure records in which the two kinds of 421, the shard key or its owner cannot be told.
func TestFailureNamesKindOfMisdirection(t *testing.T) {
	Convey("A replica that does not hold the key is recorded with the key and the token of its ownership", t, func() {
		f := newShardFixture("unsafe", 1)
		lines := f.captureLog()
		f.publish(0, false)
		So(f.send(context.Background(), "POST", "7").Code, ShouldEqual, http.StatusServiceUnavailable)
		failed := f.gateway.failures.newest()[0]
		So(*failed.ShardKey, ShouldEqual, 7)
		So(failed.OwnerToken, ShouldEqual, 1)
		attempt := failed.Attempts[0]
		So(attempt.Endpoint, ShouldEqual, "i0")
		So([]any{attempt.KeyNotHeld, attempt.OtherInstance, attempt.OwnerToken}, ShouldResemble, []any{true, "", uint64(1)})
		So(lines.String(), ShouldContainSubstring, "shard_key=7 owner_token=1")
		So(lines.String(), ShouldContainSubstring, "rejected_421 owner_token=1 key_not_held")
	})
	Convey("Another instance at the address is recorded with its ID", t, func() {
		f := newFixture("safe", 1)
		lines := f.captureLog()
		f.replicas[0].ID = "other"
		So(f.do("GET", "/x/", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		attempt := f.gateway.failures.newest()[0].Attempts[0]
		So([]any{attempt.KeyNotHeld, attempt.OtherInstance}, ShouldResemble, []any{false, "other"})
		So(lines.String(), ShouldContainSubstring, "event=endpoint_misdirected replica=i0")
		So(lines.String(), ShouldContainSubstring, "other_instance=other")
	})
}
