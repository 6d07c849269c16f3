package coordinator

import (
	"net/http"
	"testing"
	"time"
)

// TestLeavingMemberWaitsForReplicas guards against a member leaving while too few other members have persisted the committed
// state: c has lost its disk and is being synced while a leaves.
func TestLeavingMemberWaitsForReplicas(t *testing.T) {
	for at := time.Duration(0); at < 2*time.Second; at += 61 * time.Millisecond {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.members["c"].running = false
		cluster.advance(2 * time.Second)
		cluster.propose("b", "command", config(1, "one"))
		cluster.advance(time.Second)
		cluster.expectStatus("command", http.StatusOK)
		cluster.members["c"].disk = nil
		cluster.start("c", false)
		cluster.advance(at)
		a := cluster.members["a"]
		a.coordinator.BeginLeave()
		for range 60 {
			if cluster.advance(100 * time.Millisecond); a.coordinator.LeaveComplete(cluster.localTime(a)) {
				break
			}
		}
		if !a.coordinator.LeaveComplete(cluster.localTime(a)) {
			t.Fatalf("left %v after the restart of c: not complete within 6 s", at)
		}
		copies := 0
		for _, addr := range []string{"b", "c"} {
			if state, err := DecodePersistentState(cluster.members[addr].disk); err == nil && string(state.Register.Body) == "one" {
				copies++
			}
		}
		if copies < 2 {
			t.Errorf("left %v after the restart of c: %d other members have the committed configuration, want 2", at, copies)
		}
		a.running, a.disk = false, nil
		cluster.advance(2 * time.Second)
		cluster.read("b", "read")
		cluster.advance(time.Second)
		if response := cluster.responses["read"]; string(response.Body) != "one" {
			t.Errorf("left %v after the restart of c: the read returned %d %q", at, response.Status, response.Body)
		}
	}
}

// TestAllMembersLeaveAtOnce guards against members waiting for each other when all of them leave.
func TestAllMembersLeaveAtOnce(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	for _, member := range cluster.members {
		member.coordinator.BeginLeave()
	}
	cluster.advance(time.Second)
	for addr, member := range cluster.members {
		if !member.coordinator.LeaveComplete(cluster.localTime(member)) {
			t.Errorf("%s waits for members that are leaving too", addr)
		}
	}
}

// TestLeavingMemberKeepsOddVoters guards against a member stopping while it is still one of an even number of voters: the loss
// of one more member would leave two of four.
func TestLeavingMemberKeepsOddVoters(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("d", false)
	cluster.advance(5 * time.Second)
	a := cluster.members["a"]
	a.coordinator.BeginLeave()
	for range 600 {
		if cluster.advance(10 * time.Millisecond); a.coordinator.LeaveComplete(cluster.localTime(a)) {
			break
		}
	}
	a.running, cluster.members["b"].running = false, false
	cluster.advance(3 * time.Second)
	cluster.propose("c", "command", config(1, "one"))
	cluster.advance(time.Second)
	cluster.expectStatus("command", http.StatusOK)
}

// TestLeavingMemberStopsAsVoterThatIsNotRemoved guards against a leaving member waiting until it is killed: one of four voters is
// not removed where three could not lose two disks.
func TestLeavingMemberStopsAsVoterThatIsNotRemoved(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.seeds, cluster.tolerance.Machines = []string{"a", "b", "c"}, 2
	for _, addr := range cluster.seeds {
		cluster.start(addr, true)
	}
	cluster.start("d", false)
	cluster.advance(5 * time.Second)
	a := cluster.members["a"]
	a.coordinator.BeginLeave()
	cluster.advance(2 * time.Second)
	if !a.coordinator.LeaveComplete(cluster.localTime(a)) {
		t.Errorf("not complete within 2 s; voters %v", cluster.voters("b"))
	}
	if voters := cluster.voters("b"); len(voters) != 4 {
		t.Errorf("voters %v, want 4", voters)
	}
}
