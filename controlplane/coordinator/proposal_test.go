package coordinator

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
)

// TestConflictingConfigurationsOfOneVersion guards against two configurations being acknowledged under the same version. A
// repeated proposal of the accepted configuration succeeds on every member, even after newer versions.
func TestConflictingConfigurationsOfOneVersion(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.propose("a", "one", config(7, "one"))
	cluster.propose("b", "two", config(7, "two"))
	cluster.advance(time.Second)
	got := []int{cluster.responses["one"].Status, cluster.responses["two"].Status}
	slices.Sort(got)
	if !slices.Equal(got, []int{http.StatusOK, http.StatusConflict}) {
		t.Fatalf("statuses of the two proposals: %v, want one success and one conflict", got)
	}
	won, lost := "one", "two"
	if cluster.responses["two"].Status == http.StatusOK {
		won, lost = lost, won
	}
	cluster.propose("b", "nine", config(9, "nine"))
	cluster.advance(time.Second)
	for _, addr := range []string{"a", "b", "c"} {
		cluster.propose(addr, "again "+addr, config(7, won))
		cluster.propose(addr, "other "+addr, config(7, lost))
		cluster.propose(addr, "eight "+addr, config(8, "eight of "+addr))
		cluster.read(addr, "read "+addr)
		cluster.advance(time.Second)
		cluster.expectStatus("again "+addr, http.StatusOK)
		cluster.expectStatus("other "+addr, http.StatusConflict)
		if response := cluster.responses["read "+addr]; string(response.Body) != "nine" {
			t.Errorf("%s: read %q, want %q", addr, response.Body, "nine")
		}
	}
	cluster.expectStatus("eight a", http.StatusOK) // outdated, but claims its version
	cluster.expectStatus("eight b", http.StatusConflict)
	cluster.expectStatus("eight c", http.StatusConflict)
}

// TestCommandAppliesOnce guards against a command taking effect again when it is proposed to a second head: a finished
// evacuation would be restarted.
func TestCommandAppliesOnce(t *testing.T) {
	begin, end := chainreplication.Command{ID: 1, Zone: "z", Evacuated: true}, chainreplication.Command{ID: 2, Zone: "z"}
	register := chainreplication.Register{}.Apply(begin).Apply(end)
	if again := register.Apply(begin); again.EvacuatedZones["z"] || again.Sequence != register.Sequence {
		t.Error("a repeated command took effect again")
	}
	for i := range uint64(500) {
		register = register.Apply(chainreplication.Command{ID: 10 + i, Version: 1 + i, Body: []byte(fmt.Sprint(i))})
	}
	if len(register.AppliedCommands) > 64 || len(register.Claims) > 64 {
		t.Errorf("%d command IDs and %d claims after 500 changes, want at most 64 each", len(register.AppliedCommands), len(register.Claims))
	}
	// Many lower versions must not evict the claim on the highest one.
	high := chainreplication.Register{}.Apply(config(9000, "one"))
	for i := range uint64(200) {
		high = high.Apply(config(8000+i, fmt.Sprint(i)))
	}
	high = high.Apply(config(9001, "next"))
	if !high.ConflictsWith(config(9000, "two")) || high.ConflictsWith(config(9000, "one")) || len(high.Claims) > 64 {
		t.Errorf("the claim on the highest version was evicted by 200 lower versions")
	}
}

// TestDelayedProposalHasNoEffect guards against a delayed command taking effect after its caller was told that it failed, and
// overriding commands acknowledged since.
func TestDelayedProposalHasNoEffect(t *testing.T) {
	for delay := 50 * time.Millisecond; delay < 1500*time.Millisecond; delay += 50 * time.Millisecond {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.messageDelay = func(from, to string, message Message) time.Duration {
			if message.ProposeRequest != nil && from == "c" {
				return delay
			}
			return time.Millisecond
		}
		cluster.propose("c", "start", chainreplication.Command{Zone: "z", Evacuated: true})
		for range 20 { // wait until the proposal fails; the caller then retries on another member and reverts the command
			if cluster.advance(50 * time.Millisecond); cluster.responses["start"].Status != 0 {
				break
			}
		}
		cluster.propose("b", "start again", chainreplication.Command{Zone: "z", Evacuated: true})
		cluster.advance(20 * time.Millisecond)
		cluster.expectStatus("start again", http.StatusOK)
		cluster.propose("b", "finish", chainreplication.Command{Zone: "z"})
		cluster.advance(20 * time.Millisecond)
		cluster.expectStatus("finish", http.StatusOK)
		cluster.advance(2 * time.Second)
		if register, _ := cluster.members["a"].coordinator.Register(); register.EvacuatedZones["z"] {
			t.Errorf("a command delayed by %v overrode a later one", delay)
		}
	}
}

// TestClockStallExpiresProposals guards against a command that waited in the socket of a suspended machine overriding later
// ones, if both clocks of the machine were stopped and only the clocks of other members reveal the suspension.
func TestClockStallExpiresProposals(t *testing.T) {
	for _, readOrder := range []string{"before", "after"} { // whether the socket is read before or after the messages of other members
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		for _, addr := range []string{"b", "c", "a"} {
			member := cluster.members[addr]
			member.suspended = true
			late := func() { cluster.propose(addr, "late "+addr, chainreplication.Command{Zone: "z", Evacuated: true}) }
			if readOrder == "before" {
				cluster.deliver(member, member.incarnation, late)
			}
			cluster.advance(20 * time.Second)
			if readOrder == "after" {
				cluster.deliver(member, member.incarnation, late)
			}
			member.clockLag += 20 * time.Second
			cluster.resume(addr)
			cluster.advance(3 * time.Second)
			if register, _ := cluster.members["a"].coordinator.Register(); register.EvacuatedZones["z"] {
				t.Errorf("%s: a command delayed by 20 s in the socket of %s took effect", readOrder, addr)
			}
			if cluster.responses["late "+addr].Status == http.StatusOK {
				t.Errorf("%s: a command delayed by 20 s in the socket of %s was acknowledged", readOrder, addr)
			}
			cluster.advance(3 * time.Second)
		}
	}
}

// TestHeadKilledBeforePersisting guards against a head that restarts within the same view assigning the sequence of an
// unpersisted command to another command, whose commit would then acknowledge the lost one.
func TestHeadKilledBeforePersisting(t *testing.T) {
	for at := 2 * time.Millisecond; at < 30*time.Millisecond; at += time.Millisecond {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.writeDelay = 10 * time.Millisecond
		cluster.propose("b", "lost", chainreplication.Command{Zone: "z", Evacuated: true})
		cluster.advance(at)
		cluster.start("a", false)
		cluster.propose("c", "other", config(1, "one"))
		cluster.advance(900 * time.Millisecond)
		register, _ := cluster.members["a"].coordinator.Register()
		if cluster.responses["lost"].Status == http.StatusOK && !register.EvacuatedZones["z"] {
			t.Fatalf("head killed after %v: a command that no member has was acknowledged", at)
		}
	}
}

// TestCatchUpBeforeViewIsDecided guards against a partitioned head that catches up with a later view's register, before it
// learns of that view, treating the register as a commit of its own commands.
func TestCatchUpBeforeViewIsDecided(t *testing.T) {
	for after := time.Duration(0); after < 400*time.Millisecond; after += 9 * time.Millisecond {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.isolate("a", true)
		cluster.advance(1300 * time.Millisecond)
		for i := range 20 {
			cluster.propose("b", fmt.Sprint("b", i), config(uint64(i+1), fmt.Sprint(i)))
			cluster.advance(20 * time.Millisecond)
		}
		cluster.messageDelay = func(_, to string, message Message) time.Duration {
			if to == "a" && message.View != nil && message.View.Kind == membership.Decided {
				return 300 * time.Millisecond
			}
			return time.Millisecond
		}
		cluster.isolate("a", false)
		cluster.advance(after)
		cluster.propose("a", "old head's", chainreplication.Command{Zone: "z", Evacuated: true})
		cluster.advance(2 * time.Second)
		register, _ := cluster.members["b"].coordinator.Register()
		if cluster.responses["old head's"].Status == http.StatusOK && !register.EvacuatedZones["z"] {
			t.Fatalf("%v after the partition: a command that the other members do not have was acknowledged", after)
		}
	}
}
