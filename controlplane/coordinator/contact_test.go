package coordinator

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// quorumLossBound is within which time a member that is cut off must know it.
const quorumLossBound = time.Second

// TestFrozenMemberHasNoQuorumOnWaking guards against contact by messages that waited in a socket: a member that was frozen for
// 20 s, while the others went on, counted itself in contact for 0.4 s, and could answer with what it knew before, or take
// commands that were undone since.
func TestFrozenMemberHasNoQuorumOnWaking(t *testing.T) {
	for i := range 4 {
		clockStopped, alone := i%2 == 1, i/2 == 1 // alone: nothing reaches it while it is frozen, either
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.propose("a", "first", config(1, "one"))
		cluster.advance(time.Second)
		c := cluster.members["c"]
		c.frozen = true
		cluster.isolate("c", alone)
		cluster.advance(5 * time.Second)
		cluster.propose("a", "second", config(2, "two"))
		cluster.advance(15 * time.Second)
		cluster.expectStatus("second", http.StatusOK)
		cluster.isolate("c", true) // nobody answers any more
		if clockStopped {
			c.clockLag = 20 * time.Second
		}
		cluster.thaw("c") // all that it was sent meanwhile arrives now
		if clockStopped {
			c.coordinator.ResetContact(cluster.local(c)) // as the server detects by the time of day
		}
		for step := range 20 {
			if c.coordinator.HasQuorumContact(cluster.local(c)) {
				t.Fatalf("clock stopped %v, alone %v: has contact with a quorum %d ms after it woke, with nobody to answer",
					clockStopped, alone, step*50)
			}
			cluster.advance(50 * time.Millisecond)
		}
		cluster.isolate("c", false)
		cluster.advance(time.Second)
		if !c.coordinator.HasQuorumContact(cluster.local(c)) {
			t.Error("no contact with a quorum a second after its links are back")
		}
	}
}

// TestIsolatedMemberLosesQuorum bounds for how long a member that nobody hears, or that hears nobody, can believe that it is in
// contact with a quorum.
func TestIsolatedMemberLosesQuorum(t *testing.T) {
	for _, direction := range []string{"both", "in", "out"} {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		for _, other := range []string{"a", "b"} {
			cluster.cut[[2]string{"c", other}] = direction != "in"
			cluster.cut[[2]string{other, "c"}] = direction != "out"
		}
		cluster.advance(quorumLossBound)
		c := cluster.members["c"]
		if c.coordinator.HasQuorumContact(cluster.local(c)) {
			t.Errorf("cut %s: still in contact with a quorum after %v", direction, quorumLossBound)
		}
		cluster.read("c", "read")
		cluster.propose("c", "command", config(9, "nine"))
		cluster.advance(time.Second)
		cluster.expectStatus("read", http.StatusServiceUnavailable)
		cluster.expectStatus("command", http.StatusServiceUnavailable)
	}
}

// TestSingleLinkCutIsStable guards against views that follow one another without end: only the link between two members is cut,
// one of them drops the other, and the one that hears both takes it in again, so that the chain is broken part of the time.
func TestSingleLinkCutIsStable(t *testing.T) {
	for _, link := range [][2]string{{"a", "b"}, {"b", "c"}, {"a", "c"}} {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.cut[link], cluster.cut[[2]string{link[1], link[0]}] = true, true
		cluster.advance(3 * time.Second)
		before, committed := cluster.members["a"].coordinator.View(), 0
		for i := range 20 {
			what := fmt.Sprint("command ", i)
			cluster.propose(before.Chain[i%2][:1], what, config(uint64(i+1), what))
			if cluster.advance(time.Second); cluster.responses[what].Status == http.StatusOK {
				committed++
			}
		}
		if views := cluster.members["a"].coordinator.View().Number - before.Number; views > 0 || committed < 20 {
			t.Errorf("link %v is cut: %d views in 20 s, %d of 20 proposals committed", link, views, committed)
		}
	}
}

// TestMembersRejoinAfterLongPartition guards against members that forget each other: two that are no seeds, and did not hear
// each other for as long as a non-member is remembered, never contacted each other again, and one stayed out for good. Found by
// the simulation.
func TestMembersRejoinAfterLongPartition(t *testing.T) {
	for _, duration := range []time.Duration{10 * time.Second, 21 * time.Second, 60 * time.Second} {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.start("d", false)
		cluster.start("e", false)
		cluster.advance(6 * time.Second)
		cluster.isolate("e", true)
		cluster.advance(duration)
		cluster.isolate("e", false)
		cluster.advance(3 * time.Second)
		cluster.propose("e", "command", config(1, "one"))
		cluster.advance(time.Second)
		cluster.expectStatus("command", http.StatusOK)
		if e := cluster.members["e"].coordinator; e.View().Position(e.Self().ID) < 0 {
			t.Errorf("isolated for %v: not in the chain 4 s after", duration)
		}
	}
}
