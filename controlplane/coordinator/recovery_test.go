package coordinator

import (
	"net/http"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
)

// newUnsyncedCluster returns a cluster in which b has lost its power and a has just joined the chain of c, which has forwarded
// nothing to a yet. A configuration was acknowledged while a was away.
func newUnsyncedCluster(t *testing.T) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.members["a"].running = false
	cluster.advance(2 * time.Second)
	cluster.propose("b", "first", config(1, "one"))
	cluster.advance(time.Second)
	cluster.expectStatus("first", http.StatusOK)
	cluster.messageDelay = func(from, to string, message Message) time.Duration {
		if message.Chain != nil && from == "c" && to == "a" {
			return time.Hour
		}
		return time.Millisecond
	}
	cluster.members["b"].running = false
	cluster.start("a", false)
	for range 400 {
		cluster.advance(10 * time.Millisecond)
		if view := cluster.members["c"].coordinator.View(); len(view.Unsynced) == 1 && view.Position("b/0") < 0 {
			return cluster
		}
	}
	t.Fatalf("no view with a as an unsynced member: %+v", cluster.members["c"].coordinator.View())
	return nil
}

// TestSyncedMemberLosesDiskBesideUnsyncedMembers guards against a control plane that never forms again, and against the loss of what was
// acknowledged: the only synced member of the chain loses its disk, and the member that has all that was acknowledged is not in the chain.
func TestSyncedMemberLosesDiskBesideUnsyncedMembers(t *testing.T) {
	for _, returnsFirst := range []string{"b", "c"} {
		cluster := newUnsyncedCluster(t)
		cluster.members["c"].running, cluster.members["c"].disk = false, nil
		cluster.messageDelay = func(string, string, Message) time.Duration { return time.Millisecond }
		cluster.advance(time.Second)
		cluster.start(returnsFirst, false)
		cluster.advance(2 * time.Second)
		for _, addr := range []string{"b", "c"} {
			if addr != returnsFirst {
				cluster.start(addr, false)
			}
		}
		cluster.advance(6 * time.Second)
		for _, addr := range []string{"a", "b", "c"} {
			cluster.read(addr, "read "+addr)
			cluster.advance(time.Second)
			if response := cluster.responses["read "+addr]; string(response.Body) != "one" {
				t.Errorf("%s returns first: read on %s returned %d %q", returnsFirst, addr, response.Status, response.Body)
			}
		}
		if voters := cluster.voters("a"); len(voters) != 3 {
			t.Errorf("%s returns first: voters %v, want 3", returnsFirst, voters)
		}
	}
}

// TestUnsyncedMembersServeWithoutHead checks that two of three members serve while the only synced member of the chain is away.
func TestUnsyncedMembersServeWithoutHead(t *testing.T) {
	cluster := newUnsyncedCluster(t)
	cluster.members["c"].running = false
	cluster.messageDelay = func(string, string, Message) time.Duration { return time.Millisecond }
	cluster.start("b", false)
	cluster.advance(4 * time.Second)
	cluster.propose("a", "second", config(2, "two"))
	cluster.advance(time.Second)
	cluster.expectStatus("second", http.StatusOK)
	cluster.start("c", false)
	cluster.advance(4 * time.Second)
	cluster.read("c", "read")
	cluster.advance(time.Second)
	if response := cluster.responses["read"]; string(response.Body) != "two" {
		t.Errorf("read on the returning member returned %d %q", response.Status, response.Body)
	}
}

// TestRecoveredViewIsRefusedByLaterRegister guards against a head that lacks what was acknowledged: a voter whose register is later
// than that of the proposed head does not accept the view, and one that has accepted it takes no forwarded register.
func TestRecoveredViewIsRefusedByLaterRegister(t *testing.T) {
	cluster := newUnsyncedCluster(t)
	a := cluster.members["a"]
	view := a.coordinator.View()
	own := a.coordinator.position()
	accept := func(round uint64, position membership.ReplicaPosition) bool {
		next := view
		next.Number, next.Recovered = view.Number+1, &position
		message := &membership.Message{Kind: membership.AcceptRecovered, ViewNumber: next.Number, Ballot: membership.Ballot{Round: round}, View: &next}
		a.coordinator.Step(cluster.localTime(a), view.Voters[1], Message{View: message})
		return a.coordinator.membership.HasAcceptedRecovery()
	}
	if own.SyncedView == 0 {
		t.Fatal("precondition: a was synced in an earlier view")
	}
	if accept(100, membership.ReplicaPosition{SyncedView: own.SyncedView - 1, Sequence: own.Sequence + 1}) {
		t.Error("accepted a head that was synced in an earlier view")
	}
	if !accept(101, own) {
		t.Error("did not accept a head with the same position")
	}
	register := a.coordinator.chain.Latest()
	register.Sequence += 5
	forward := &chainreplication.Message{Kind: chainreplication.Forward, From: view.Chain[0], ViewNumber: view.Number, Sequence: register.Sequence, Register: &register}
	a.coordinator.Step(cluster.localTime(a), view.Voters[2], Message{Chain: forward})
	if got := a.coordinator.position(); got != own {
		t.Errorf("took a forwarded register after accepting the view: position %+v, was %+v", got, own)
	}
}
