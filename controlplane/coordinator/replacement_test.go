package coordinator

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// TestMemberLostAfterReplacement guards against a replaced member remaining a voter, which would leave no quorum after the next
// loss.
func TestMemberLostAfterReplacement(t *testing.T) {
	for _, lost := range []string{"a", "b", "d"} {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.propose("a", "first", config(1, "one"))
		cluster.advance(time.Second)
		cluster.expectStatus("first", http.StatusOK)
		cluster.members["c"].running = false
		cluster.start("d", false)
		cluster.advance(4 * time.Second) // time for the replacement
		if voters := cluster.voters("a"); !slices.Equal(voters, []string{"a", "b", "d"}) {
			t.Fatalf("voters %v, want a, b and d", voters)
		}
		cluster.members[lost].running = false
		cluster.advance(3 * time.Second)
		for _, addr := range []string{"a", "b", "d"} {
			if addr != lost {
				cluster.propose(addr, "second "+addr, config(2, "two"))
				cluster.advance(time.Second)
				cluster.expectStatus("second "+addr, http.StatusOK)
				cluster.read(addr, "read "+addr)
				cluster.advance(time.Second)
				if response := cluster.responses["read "+addr]; string(response.Body) != "two" {
					t.Errorf("%s lost: read on %s returned %d %q", lost, addr, response.Status, response.Body)
				}
			}
		}
	}
}

// TestManyReplacements replaces each member by one at a new address, one after the other. A former voter that returns with its
// disk has no quorum contact until it has joined again as a new member.
func TestManyReplacements(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	current := []string{"a", "b", "c"}
	for i, next := range []string{"d", "e", "f", "g", "h", "i"} {
		cluster.members[current[0]].running = false
		current = append(current[1:], next)
		cluster.seeds = current // service discovery follows the replacements
		cluster.start(next, false)
		cluster.advance(4 * time.Second)
		name := "command " + next
		cluster.propose(next, name, config(uint64(i+1), name))
		cluster.advance(time.Second)
		cluster.expectStatus(name, http.StatusOK)
		if voters := cluster.voters(next); !slices.Equal(voters, current) {
			t.Fatalf("voters %v, want %v", voters, current)
		}
	}
	returning := cluster.start("c", false)
	if returning.coordinator.HasQuorumContact(cluster.localTime(returning)) {
		t.Error("a removed voter has contact with a quorum")
	}
	cluster.advance(4 * time.Second)
	if voters := cluster.voters("i"); !slices.Equal(voters, []string{"c", "g", "h", "i"}) {
		t.Errorf("voters %v, want c, g, h and i", voters)
	}
	cluster.read("c", "read")
	cluster.advance(time.Second)
	if response := cluster.responses["read"]; string(response.Body) != "command i" {
		t.Errorf("read on the returning member returned %d %q", response.Status, response.Body)
	}
}

// TestMemberLostDuringReplacement stops the new member, or the remaining member that is not the head, at different times of a
// replacement. Committed state is kept, and proposals succeed once the member has restarted.
func TestMemberLostDuringReplacement(t *testing.T) {
	for _, lost := range []string{"b", "d"} {
		for at := time.Duration(0); at < 2500*time.Millisecond; at += 47 * time.Millisecond {
			cluster := newTestCluster(t, "a", "b", "c")
			cluster.advance(3 * time.Second)
			cluster.propose("b", "first", config(1, "one"))
			cluster.advance(time.Second)
			cluster.members["c"].running = false
			cluster.start("d", false)
			cluster.advance(at)
			cluster.members[lost].running = false
			cluster.advance(3 * time.Second)
			cluster.start(lost, false)
			cluster.advance(5 * time.Second)
			cluster.propose(lost, "second", config(2, "two"))
			cluster.advance(time.Second)
			cluster.expectStatus("second", http.StatusOK)
			if voters := cluster.voters("a"); !slices.Equal(voters, []string{"a", "b", "d"}) {
				t.Fatalf("%s lost after %v: voters %v, want a, b and d", lost, at, voters)
			}
		}
	}
}

// newFiveMemberCluster starts five members that state how many machines may be lost at the same time, and lets them become
// voters.
func newFiveMemberCluster(t *testing.T, tolerated int) *testCluster {
	t.Helper()
	cluster := newTestCluster(t)
	cluster.seeds, cluster.tolerance.Machines = []string{"a", "b", "c"}, tolerated
	for _, addr := range cluster.seeds {
		cluster.start(addr, true)
	}
	cluster.start("d", false)
	cluster.start("e", false)
	cluster.advance(6 * time.Second)
	if voters := cluster.voters("a"); len(voters) != 5 {
		t.Fatalf("voters %v, want 5", voters)
	}
	return cluster
}

// TestConfigurationSurvivesDisksLostBesideStoppedMembers guards against the loss of an acknowledged configuration: two of five
// members are stopped for longer than failed voters are kept where fewer losses are tolerated, a configuration is acknowledged, and
// two others lose their disks.
func TestConfigurationSurvivesDisksLostBesideStoppedMembers(t *testing.T) {
	for _, down := range []time.Duration{time.Second, 6 * time.Second, 16 * time.Second, time.Minute} {
		cluster := newFiveMemberCluster(t, 2)
		cluster.members["d"].running, cluster.members["e"].running = false, false
		cluster.advance(down)
		cluster.propose("c", "command", config(1, "one"))
		cluster.advance(time.Second)
		cluster.expectStatus("command", http.StatusOK)
		for _, addr := range []string{"a", "b"} {
			cluster.members[addr].running, cluster.members[addr].disk = false, nil
		}
		cluster.advance(time.Second)
		for _, addr := range []string{"a", "b", "d", "e"} {
			cluster.start(addr, false)
		}
		cluster.advance(6 * time.Second)
		for _, addr := range []string{"a", "b", "c", "d", "e"} {
			cluster.read(addr, "read "+addr)
			cluster.advance(time.Second)
			if response := cluster.responses["read "+addr]; string(response.Body) != "one" {
				t.Errorf("down for %v: read on %s returned %d %q", down, addr, response.Status, response.Body)
			}
		}
		if voters := cluster.voters("c"); len(voters) != 5 {
			t.Errorf("down for %v: voters %v, want 5", down, voters)
		}
	}
}

// TestTwoFailedVotersAreRemoved guards against permanently failed voters reducing the number of tolerated losses: two of five
// fail without replacement, and then a third, where one loss is to be tolerated.
func TestTwoFailedVotersAreRemoved(t *testing.T) {
	cluster := newFiveMemberCluster(t, 1)
	cluster.members["d"].running, cluster.members["e"].running = false, false
	cluster.advance(16 * time.Second)
	cluster.members["a"].running = false
	cluster.advance(3 * time.Second)
	cluster.propose("b", "command", config(1, "one"))
	cluster.advance(time.Second)
	cluster.expectStatus("command", http.StatusOK)
	for _, addr := range []string{"a", "d", "e"} {
		cluster.start(addr, false)
	}
	cluster.advance(6 * time.Second)
	if voters := cluster.voters("b"); len(voters) != 5 {
		t.Errorf("all members run again: voters %v, want 5", voters)
	}
}

// TestMemberWithFullDiskIsReplaced guards against a member whose writes fail remaining a voter because it still sends
// heartbeats, which would leave no quorum after the next loss.
func TestMemberWithFullDiskIsReplaced(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.members["c"].diskFull = true
	cluster.propose("a", "first", config(1, "one"))
	cluster.advance(2 * time.Second)
	cluster.start("d", false)
	cluster.advance(4 * time.Second)
	cluster.members["b"].running = false
	cluster.advance(3 * time.Second)
	cluster.propose("a", "second", config(2, "two"))
	cluster.advance(time.Second)
	cluster.expectStatus("second", http.StatusOK)
	cluster.members["c"].diskFull = false
	cluster.start("b", false)
	cluster.advance(6 * time.Second)
	if voters := cluster.voters("a"); !slices.Equal(voters, []string{"a", "b", "c", "d"}) {
		t.Errorf("all members are healthy: voters %v, want a, b, c and d", voters)
	}
}

// TestRemovedVoterHasNoQuorum restarts a member that was removed while it was stopped. It is a voter in its outdated view, but
// must not gain quorum contact before it learns of the latest one.
func TestRemovedVoterHasNoQuorum(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.start("d", false)
	cluster.advance(5 * time.Second)
	if voters := cluster.voters("a"); len(voters) != 4 {
		t.Fatalf("voters %v, want 4", voters)
	}
	cluster.members["d"].running = false
	cluster.advance(4 * time.Second)
	if voters := cluster.voters("a"); len(voters) != 3 {
		t.Fatalf("voters %v, want 3", voters)
	}
	d := cluster.start("d", false)
	for range 3000 {
		cluster.advance(time.Millisecond)
		view := cluster.members["a"].coordinator.View()
		if d.coordinator.HasQuorumContact(cluster.localTime(d)) && !view.HasVoter(d.coordinator.Self().ID) {
			t.Fatalf("contact with a quorum %v after the start, in view %d; the other members are in view %d",
				cluster.now-d.startedAt, d.coordinator.View().Number, view.Number)
		}
	}
	if !d.coordinator.HasQuorumContact(cluster.localTime(d)) {
		t.Error("no contact with a quorum within 3 s")
	}
}

// TestNoViewWithoutMajorityOfDisks documents a limit: after a loss of a majority of the disks, no view is formed automatically
// and the remaining members reject requests.
func TestNoViewWithoutMajorityOfDisks(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(40 * time.Millisecond)
		for i, addr := range cluster.seeds {
			cluster.members[addr].running = false
			if i < lost {
				cluster.members[addr].disk = nil
			}
		}
		for _, addr := range cluster.seeds {
			cluster.start(addr, false)
		}
		cluster.advance(5 * time.Second)
		cluster.propose("b", "command", config(1, "one"))
		cluster.advance(time.Second)
		want := http.StatusServiceUnavailable
		if lost == 1 {
			want = http.StatusOK
		}
		cluster.expectStatus("command", want)
	}
}

// TestHeadLostBeforeFirstCommitOfView guards against consecutive view changes before the head has forwarded its register.
// Members that had already synced would be marked as unsynced again, and none of them could become the head.
func TestHeadLostBeforeFirstCommitOfView(t *testing.T) {
	for at := time.Duration(0); at < 1200*time.Millisecond; at += 7 * time.Millisecond {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.propose("a", "first", config(1, "one"))
		cluster.advance(time.Second)
		cluster.members["b"].running, cluster.members["c"].running = false, false
		cluster.advance(time.Second)
		cluster.start("b", false)
		cluster.start("c", false)
		cluster.start("d", false)
		cluster.advance(at)
		cluster.members["a"].running = false
		cluster.advance(6 * time.Second)
		cluster.propose("b", "second", config(2, "two"))
		cluster.advance(time.Second)
		cluster.expectStatus("second", http.StatusOK)
		if t.Failed() {
			t.Fatalf("a stopped after %v", at)
		}
	}
}
