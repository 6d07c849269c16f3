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

// TestConflictingConfigurationsOfOneVersion guards against two operators who are both told that their configuration holds: of
// two contents under one version, proposed at two members in the same moment or later, one is confirmed; the other is refused,
// once the first is certain to last. The same content again is always confirmed, by every member, also after newer versions.
func TestConflictingConfigurationsOfOneVersion(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.propose("a", "one", config(7, "one"))
	cluster.propose("b", "two", config(7, "two"))
	cluster.advance(time.Second)
	got := []int{cluster.responses["one"].Status, cluster.responses["two"].Status}
	slices.Sort(got)
	if !slices.Equal(got, []int{http.StatusOK, http.StatusConflict}) {
		t.Fatalf("the two proposals get %v", got)
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
			t.Errorf("%s answers the read with %q", addr, response.Body)
		}
	}
	cluster.expectStatus("eight a", http.StatusOK) // overtaken, but its version is claimed all the same
	cluster.expectStatus("eight b", http.StatusConflict)
	cluster.expectStatus("eight c", http.StatusConflict)
}

// TestCommandAppliesOnce guards against a command that is proposed to a second head after its first had taken it: an evacuation
// was begun again although its end had been acknowledged in between.
func TestCommandAppliesOnce(t *testing.T) {
	begin, end := chainreplication.Command{ID: 1, Zone: "z", Evacuated: true}, chainreplication.Command{ID: 2, Zone: "z"}
	register := chainreplication.Register{}.Apply(begin).Apply(end)
	if again := register.Apply(begin); again.EvacuatedZones["z"] || again.Sequence != register.Sequence {
		t.Error("a command that was applied takes effect again")
	}
	for i := range uint64(500) {
		register = register.Apply(chainreplication.Command{ID: 10 + i, Version: 1 + i, Body: []byte(fmt.Sprint(i))})
	}
	if len(register.AppliedCommands) > 64 || len(register.Claims) > 64 {
		t.Errorf("%d commands and %d versions are remembered after 500 changes", len(register.AppliedCommands), len(register.Claims))
	}
	// Guards a version that many lower ones, which come after it and change nothing, would push out. Found by the simulation.
	high := chainreplication.Register{}.Apply(config(9000, "one"))
	for i := range uint64(200) {
		high = high.Apply(config(8000+i, fmt.Sprint(i)))
	}
	high = high.Apply(config(9001, "next"))
	if !high.ConflictsWith(config(9000, "two")) || high.ConflictsWith(config(9000, "one")) || len(high.Claims) > 64 {
		t.Errorf("the highest version is forgotten after 200 lower ones")
	}
}

// TestDelayedProposalHasNoEffect guards against a command that takes effect after its caller was refused: delayed on its way to
// the head, it undid what was acknowledged meanwhile.
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
		for range 20 { // once refused, the caller turns to another member, and then undoes the command
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
			t.Errorf("a command that was %v on its way undid a newer one", delay)
		}
	}
}

// TestClockStallExpiresProposals guards against an operator's command that waited in the socket of a machine that was suspended
// together with its monotonic clock and its time of day: on waking it took effect over something newer. Only the other members'
// clocks show it. Found by the simulation.
func TestClockStallExpiresProposals(t *testing.T) {
	for _, readOrder := range []string{"before", "after"} { // the socket's content is read before or after the other members' messages
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		for _, addr := range []string{"b", "c", "a"} {
			member := cluster.members[addr]
			member.frozen = true
			late := func() { cluster.propose(addr, "late "+addr, chainreplication.Command{Zone: "z", Evacuated: true}) }
			if readOrder == "before" {
				cluster.deliver(member, member.incarnation, late)
			}
			cluster.advance(20 * time.Second)
			if readOrder == "after" {
				cluster.deliver(member, member.incarnation, late)
			}
			member.clockLag += 20 * time.Second
			cluster.thaw(addr)
			cluster.advance(3 * time.Second)
			if register, _ := cluster.members["a"].coordinator.Register(); register.EvacuatedZones["z"] {
				t.Errorf("%s: a command that waited 20 s in the socket of %s takes effect", readOrder, addr)
			}
			if cluster.responses["late "+addr].Status == http.StatusOK {
				t.Errorf("%s: a command that waited 20 s in the socket of %s is acknowledged", readOrder, addr)
			}
			cluster.advance(3 * time.Second)
		}
	}
}

// TestHeadKilledBeforePersisting guards against a command that is acknowledged by another one's sequence: the head answered with
// the position before it was on its disk, was killed, restarted within the same view and gave the position to another command.
// Found by the simulation.
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
			t.Fatalf("killed after %v: a command that no member holds is acknowledged", at)
		}
	}
}

// TestRegisterLearnedBeforeViewDecided guards against a command that is acknowledged by a register of a newer view: a head that
// was cut off took a command in its old view, caught up with the others' register before it learned of their view, and counted
// that as its own commit. Found by the simulation.
func TestRegisterLearnedBeforeViewDecided(t *testing.T) {
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
			t.Fatalf("%v after the partition: a command is acknowledged that the others do not hold", after)
		}
	}
}
