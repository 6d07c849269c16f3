package coordinator

import (
	"net/http"
	"testing"
	"time"
)

// TestResponseToFormerIncarnation guards against an order that is acknowledged and that nobody has: a member is killed after it has
// forwarded its caller's order, and its next process numbers its requests from 1 again. The head's answer, which waited for the
// head's disk, must not be taken for one to the order that the new process has forwarded under the same number.
func TestResponseToFormerIncarnation(t *testing.T) {
	t.Run("numbers", requestIDsDifferBetweenIncarnations)
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.writeDelay = 380 * time.Millisecond // the head's disk is slow, and not yet unhealthy
	forwarded := 0
	cluster.messageDelay = func(from, _ string, message Message) time.Duration {
		if from == "b" && message.ProposeRequest != nil {
			if forwarded++; forwarded > 1 {
				return time.Hour // the second order is lost on its way
			}
		}
		return time.Millisecond
	}
	cluster.propose("b", "seven", config(7, "seven"))
	cluster.advance(3 * time.Millisecond) // the head has it, and writes
	cluster.writeDelay = time.Millisecond
	cluster.members["b"].up = false
	cluster.start("b", false)
	cluster.advance(20 * time.Millisecond) // b is in contact again
	cluster.propose("b", "nine", config(9, "nine"))
	cluster.advance(3 * time.Second)
	if forwarded < 2 {
		t.Fatal("the second order was not forwarded")
	}
	if response := cluster.responses["nine"]; response.Status == http.StatusOK {
		t.Error("an order is acknowledged that never left its member")
	}
	cluster.read("a", "read")
	cluster.advance(time.Second)
	if body := string(cluster.responses["read"].Body); body != "seven" {
		t.Errorf("read %q, want the first order's", body)
	}
}

// requestIDsDifferBetweenIncarnations guards the same for reads: a voter's confirmation that a former process asked for must not
// confirm a read of the present one.
func requestIDsDifferBetweenIncarnations(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	seen := map[uint64]bool{}
	for range 5 {
		member := cluster.members["b"]
		for range 4 {
			id, actions := member.coordinator.Read(cluster.local(member))
			cluster.perform(member, actions)
			if seen[id] {
				t.Errorf("request %d was numbered so before a restart", id)
			}
			seen[id] = true
		}
		member.up = false
		cluster.start("b", false)
		cluster.advance(time.Second)
	}
}
