package coordinator

import (
	"net/http"
	"testing"
	"time"
)

// TestLeaverWaitsForReplicas guards against a member that ends while too few others hold what it holds: c has lost its disk and
// is being synced, and a is told to leave. It waits until both others hold on disk what it holds.
func TestLeaverWaitsForReplicas(t *testing.T) {
	for at := time.Duration(0); at < 2*time.Second; at += 61 * time.Millisecond {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.members["c"].up = false
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
			if cluster.advance(100 * time.Millisecond); a.coordinator.LeaveComplete(cluster.local(a)) {
				break
			}
		}
		if !a.coordinator.LeaveComplete(cluster.local(a)) {
			t.Fatalf("after %v: the others cannot go on without it", at)
		}
		holders := 0
		for _, addr := range []string{"b", "c"} {
			if state, err := DecodePersistentState(cluster.members[addr].disk); err == nil && string(state.Register.Body) == "one" {
				holders++
			}
		}
		if holders < 2 {
			t.Errorf("after %v: it leaves, and %d others hold what it holds", at, holders)
		}
		a.up, a.disk = false, nil
		cluster.advance(2 * time.Second)
		cluster.read("b", "read")
		cluster.advance(time.Second)
		if response := cluster.responses["read"]; string(response.Body) != "one" {
			t.Errorf("after %v: the read is answered with %d %q", at, response.Status, response.Body)
		}
	}
}

// TestAllMembersLeaveAtOnce tells all members to leave at once: none waits for another.
func TestAllMembersLeaveAtOnce(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	for _, member := range cluster.members {
		member.coordinator.BeginLeave()
	}
	cluster.advance(time.Second)
	for addr, member := range cluster.members {
		if !member.coordinator.LeaveComplete(cluster.local(member)) {
			t.Errorf("%s waits for others that leave too", addr)
		}
	}
}

// TestLeaverOfFourKeepsOddVoters guards against a member that leaves while it still makes the number of voters even: the next
// loss left two of four. Found by internal/testbeds/modelcheck/membershipmodel.
func TestLeaverOfFourKeepsOddVoters(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("d", false)
	cluster.advance(5 * time.Second)
	a := cluster.members["a"]
	a.coordinator.BeginLeave()
	for range 600 {
		if cluster.advance(10 * time.Millisecond); a.coordinator.LeaveComplete(cluster.local(a)) {
			break
		}
	}
	a.up, cluster.members["b"].up = false, false
	cluster.advance(3 * time.Second)
	cluster.propose("c", "command", config(1, "one"))
	cluster.advance(time.Second)
	cluster.expectStatus("command", http.StatusOK)
}
