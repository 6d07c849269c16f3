package coordinator

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// quorumLossBound is the time within which an isolated member must detect that it has lost contact with the quorum.
const quorumLossBound = time.Second

// TestResumedMemberHasNoQuorumContact guards against a resumed member counting messages that were delayed in its sockets as
// contact with the quorum, which would let it serve outdated reads and accept outdated commands.
func TestResumedMemberHasNoQuorumContact(t *testing.T) {
	for i := range 4 {
		clockStopped, isolated := i%2 == 1, i/2 == 1 // isolated: while it is suspended, the member receives nothing
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.propose("a", "first", config(1, "one"))
		cluster.advance(time.Second)
		c := cluster.members["c"]
		c.suspended = true
		cluster.isolate("c", isolated)
		cluster.advance(5 * time.Second)
		cluster.propose("a", "second", config(2, "two"))
		cluster.advance(15 * time.Second)
		cluster.expectStatus("second", http.StatusOK)
		cluster.isolate("c", true)
		if clockStopped {
			c.clockLag = 20 * time.Second
		}
		cluster.resume("c") // delivers the messages sent in the meantime
		if clockStopped {
			c.coordinator.ResetContact(cluster.localTime(c)) // the server detects this case by the wall clock
		}
		for step := range 20 {
			if c.coordinator.HasQuorumContact(cluster.localTime(c)) {
				t.Fatalf("clock stopped %v, isolated %v: an unreachable member has contact with a quorum %d ms after it was resumed",
					clockStopped, isolated, step*50)
			}
			cluster.advance(50 * time.Millisecond)
		}
		cluster.isolate("c", false)
		cluster.advance(time.Second)
		if !c.coordinator.HasQuorumContact(cluster.localTime(c)) {
			t.Error("no contact with a quorum 1 s after the links were restored")
		}
	}
}

// TestIsolatedMemberLosesQuorum bounds how long a member believes in its quorum contact after its links were cut in one or both
// directions.
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
		if c.coordinator.HasQuorumContact(cluster.localTime(c)) {
			t.Errorf("links cut in direction %s: still in contact with a quorum after %v", direction, quorumLossBound)
		}
		cluster.read("c", "read")
		cluster.propose("c", "command", config(9, "nine"))
		cluster.advance(time.Second)
		cluster.expectStatus("read", http.StatusServiceUnavailable)
		cluster.expectStatus("command", http.StatusServiceUnavailable)
	}
}

// TestSingleLinkCutIsStable guards against endless view changes while the link between two members is cut and a third member
// reaches both.
func TestSingleLinkCutIsStable(t *testing.T) {
	for _, link := range [][2]string{{"a", "b"}, {"b", "c"}, {"a", "c"}} {
		cluster := newTestCluster(t, "a", "b", "c")
		cluster.advance(3 * time.Second)
		cluster.cut[link], cluster.cut[[2]string{link[1], link[0]}] = true, true
		cluster.advance(3 * time.Second)
		before, committed := cluster.members["a"].coordinator.View(), 0
		for i := range 20 {
			name := fmt.Sprint("command ", i)
			cluster.propose(before.Chain[i%2][:1], name, config(uint64(i+1), name))
			if cluster.advance(time.Second); cluster.responses[name].Status == http.StatusOK {
				committed++
			}
		}
		if views := cluster.members["a"].coordinator.View().Number - before.Number; views > 0 || committed < 20 {
			t.Errorf("link %v cut: %d views in 20 s, %d of 20 proposals committed", link, views, committed)
		}
	}
}

// TestMembersRejoinAfterLongPartition guards against two members that are not seeds never contacting each other again after a
// partition longer than forgetTimeout of package membership.
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
			t.Errorf("isolated for %v: not in the chain 4 s after the links were restored", duration)
		}
	}
}
