package coordinator

import (
	"net/http"
	"testing"
	"time"
)

// TestReadWithoutConfiguration verifies the response to a read before any configuration is committed.
func TestReadWithoutConfiguration(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.read("b", "read")
	cluster.advance(time.Second)
	cluster.expectStatus("read", http.StatusNotFound)
}

// TestReadNeedsConfirmations guards against outdated reads on a member that was just isolated: its contact lease is still
// valid, but no other voter confirms its view.
func TestReadNeedsConfirmations(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.propose("a", "command", config(1, "one"))
	cluster.advance(time.Second)
	cluster.expectStatus("command", http.StatusOK)
	cluster.isolate("c", true)
	c := cluster.members["c"]
	if !c.coordinator.HasQuorumContact(cluster.localTime(c)) {
		t.Fatal("contact with the quorum was lost immediately")
	}
	cluster.read("c", "read")
	cluster.advance(requestTimeout / 2)
	if response := cluster.responses["read"]; response.Status == http.StatusOK {
		t.Errorf("an isolated member answered the read with %q", response.Body)
	}
	cluster.advance(requestTimeout)
	cluster.expectStatus("read", http.StatusServiceUnavailable)
}

// TestReadOutsideChainIsRedirected reads from a voter that was removed from the chain because its disk fails.
func TestReadOutsideChainIsRedirected(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.members["c"].diskFull = true
	cluster.propose("a", "command", config(1, "one"))
	cluster.advance(3 * time.Second)
	cluster.read("c", "read")
	cluster.expectStatus("read", http.StatusTemporaryRedirect)
	if to := cluster.responses["read"].RedirectTo; to != "b" {
		t.Errorf("redirected to %q, want the tail b", to)
	}
}
