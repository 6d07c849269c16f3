package coordinator

import (
	"net/http"
	"testing"
	"time"
)

// TestReadWithoutConfiguration reads before any configuration is committed.
func TestReadWithoutConfiguration(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.read("b", "read")
	cluster.advance(time.Second)
	cluster.expectStatus("read", http.StatusNotFound)
}

// TestReadNeedsConfirmations guards against a member that answers with what it last knew: one that was cut off just now still
// believes in its contact with a quorum, but nobody confirms its view.
func TestReadNeedsConfirmations(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.propose("a", "command", config(1, "one"))
	cluster.advance(time.Second)
	cluster.expectStatus("command", http.StatusOK)
	cluster.isolate("c", true)
	c := cluster.members["c"]
	if !c.coordinator.HasQuorumContact(cluster.local(c)) {
		t.Fatal("contact is lost at once")
	}
	cluster.read("c", "read")
	cluster.advance(requestTimeout / 2)
	if response := cluster.responses["read"]; response.Status == http.StatusOK {
		t.Errorf("an isolated member answers the read with %q", response.Body)
	}
	cluster.advance(requestTimeout)
	cluster.expectStatus("read", http.StatusServiceUnavailable)
}

// TestReadOutsideTheChainIsRedirected reads at a voter that the chain does without because its disk fails.
func TestReadOutsideTheChainIsRedirected(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.members["c"].diskFull = true
	cluster.propose("a", "command", config(1, "one"))
	cluster.advance(3 * time.Second)
	cluster.read("c", "read")
	cluster.expectStatus("read", http.StatusTemporaryRedirect)
	if to := cluster.responses["read"].RedirectTo; to != "b" {
		t.Errorf("redirected to %q, want the tail, b", to)
	}
}
