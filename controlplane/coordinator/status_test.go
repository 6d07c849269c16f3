package coordinator

import (
	"testing"
	"time"
)

// TestStatusCountsDisks verifies the number of up-to-date disks in the status as members fail.
func TestStatusCountsDisks(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.propose("a", "command", config(0x2a, "one"))
	cluster.advance(time.Second)
	a := cluster.members["a"]
	expect := func(disks int, faultTolerant bool) Status {
		t.Helper()
		status := a.coordinator.Status(cluster.localTime(a))
		if status.UpToDateDisks != disks || status.FaultTolerant != faultTolerant {
			t.Errorf("%d up-to-date disks, fault tolerant %v; want %d, %v", status.UpToDateDisks, status.FaultTolerant, disks, faultTolerant)
		}
		if status.FaultTolerant != (status.Shortfall == "") {
			t.Errorf("fault tolerant %v, but shortfall %q", status.FaultTolerant, status.Shortfall)
		}
		return status
	}
	status := expect(3, true)
	if status.ConfigVersion != "0000002a" || status.CommittedSequence != 1 || status.LatestSequence != 1 || !status.HasQuorumContact {
		t.Errorf("unexpected status %+v", status)
	}
	cluster.members["c"].running = false
	cluster.advance(3 * time.Second)
	expect(2, true)
	cluster.members["b"].running = false
	cluster.advance(3 * time.Second)
	if expect(1, false).HasQuorumContact {
		t.Error("one of three members has contact with a quorum")
	}
}
