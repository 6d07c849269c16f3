package coordinator

import (
	"net/http"
	"testing"
	"time"
)

// TestResponseToFormerIncarnation guards against a delayed response to a request of a member's former process being matched
// with a request of its current process, which would acknowledge a command that was never proposed.
func TestResponseToFormerIncarnation(t *testing.T) {
	t.Run("numbers", requestIDsDifferBetweenIncarnations)
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.writeDelay = 380 * time.Millisecond // just below slowWriteThreshold
	forwarded := 0
	cluster.messageDelay = func(from, _ string, message Message) time.Duration {
		if from == "b" && message.ProposeRequest != nil {
			if forwarded++; forwarded > 1 {
				return time.Hour // the second request is lost
			}
		}
		return time.Millisecond
	}
	cluster.propose("b", "seven", config(7, "seven"))
	cluster.advance(3 * time.Millisecond) // the head has received the command and is writing it
	cluster.writeDelay = time.Millisecond
	cluster.members["b"].running = false
	cluster.start("b", false)
	cluster.advance(20 * time.Millisecond) // b has contact with a quorum again
	cluster.propose("b", "nine", config(9, "nine"))
	cluster.advance(3 * time.Second)
	if forwarded < 2 {
		t.Fatal("the second command was not forwarded")
	}
	if response := cluster.responses["nine"]; response.Status == http.StatusOK {
		t.Error("a command that never reached the head was acknowledged")
	}
	cluster.read("a", "read")
	cluster.advance(time.Second)
	if body := string(cluster.responses["read"].Body); body != "seven" {
		t.Errorf("read %q, want the first command's configuration", body)
	}
}

// requestIDsDifferBetweenIncarnations guards against a confirmation requested by a former process being counted for a read of
// the current one.
func requestIDsDifferBetweenIncarnations(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	seen := map[uint64]bool{}
	for range 5 {
		member := cluster.members["b"]
		for range 4 {
			id, actions := member.coordinator.Read(cluster.localTime(member))
			cluster.perform(member, actions)
			if seen[id] {
				t.Errorf("request ID %d was used before a restart", id)
			}
			seen[id] = true
		}
		member.running = false
		cluster.start("b", false)
		cluster.advance(time.Second)
	}
}
