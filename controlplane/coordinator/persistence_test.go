package coordinator

import (
	"reflect"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// TestDiskRecovers verifies that the disk health recovers after failed or slow writes without any further state change.
func TestDiskRecovers(t *testing.T) {
	for _, test := range []struct {
		name     string
		set      func(cluster *testCluster)
		recovers func(cluster *testCluster)
	}{
		{"full",
			func(cluster *testCluster) { cluster.members["a"].diskFull = true },
			func(cluster *testCluster) { cluster.members["a"].diskFull = false }},
		{"slow",
			func(cluster *testCluster) { cluster.writeDelay = slowWriteThreshold + 100*time.Millisecond },
			func(cluster *testCluster) { cluster.writeDelay = time.Millisecond }},
	} {
		cluster := newTestCluster(t, "a")
		cluster.advance(time.Second)
		a := cluster.members["a"]
		health := func() string { return a.coordinator.Status(cluster.localTime(a)).DiskHealth }
		test.set(cluster)
		cluster.propose("a", "command", config(1, "one"))
		cluster.advance(2 * time.Second)
		if got := health(); got != statusDiskUnhealthy {
			t.Errorf("%s: disk health %q, want %q", test.name, got, statusDiskUnhealthy)
		}
		test.recovers(cluster)
		cluster.advance(2 * time.Second)
		if got := health(); got != statusDiskHealthy {
			t.Errorf("%s: disk health %q after recovery, want %q", test.name, got, statusDiskHealthy)
		}
	}
}

// TestMemberCatchesUpAfterLostCommit verifies that a member that lost all Commit messages catches up through heartbeats.
func TestMemberCatchesUpAfterLostCommit(t *testing.T) {
	cluster := newTestCluster(t, "a", "b", "c")
	cluster.advance(3 * time.Second)
	cluster.messageDelay = func(_, to string, message Message) time.Duration {
		if to == "b" && message.Chain != nil && message.Chain.Kind == chainreplication.Commit {
			return time.Hour
		}
		return time.Millisecond
	}
	cluster.propose("a", "command", config(1, "one"))
	cluster.advance(2 * time.Second)
	if register, known := cluster.members["b"].coordinator.Register(); !known || string(register.Body) != "one" {
		t.Errorf("b: committed %v, body %q; want %q", known, register.Body, "one")
	}
}

// changingHints reports a new revision on each call.
type changingHints struct{ revision uint64 }

func (h *changingHints) Revision() uint64 { h.revision++; return h.revision }

func (h *changingHints) Instances() []fleet.Instance { return nil }

// TestHintsWriteInterval bounds the rate of writes caused by hints alone.
func TestHintsWriteInterval(t *testing.T) {
	var state PersistentState
	state.Initialize("a", []string{"a"}, true, "")
	self := fleet.Member{ID: state.DiskID, Addr: "a"}
	c := New(self, state, []string{"a"}, func() float64 { return 0.5 }, &changingHints{})
	now := time.Millisecond
	writes := 0
	perform := func(actions Actions) {
		for actions.StateToPersist != nil {
			if writes++; writes > 100 {
				t.Fatal("writing the hints causes further writes without end")
			}
			actions = c.StatePersisted(now, "")
		}
	}
	perform(c.Start(now))
	writes = 0
	for ; now < 10*time.Second; now += 100 * time.Millisecond {
		perform(c.Tick(now))
	}
	if writes < 8 || writes > 10 {
		t.Errorf("%d writes in 10 s, want 8 to 10", writes)
	}
}

// TestInitialize verifies the identity and the view of empty and initialized disks.
func TestInitialize(t *testing.T) {
	seeds := []string{"b", "a", "b"}
	initial := membership.View{
		Number: 1,
		Voters: []fleet.Member{{ID: "a/0", Addr: "a"}, {ID: "b/0", Addr: "b"}},
		Chain:  []string{"a/0", "b/0"},
	}
	for _, test := range []struct {
		name       string
		address    string
		diskID     string
		firstStart bool
		wantDiskID string
		wantView   membership.View
	}{
		{"a seed at the very first start", "a", "", true, "a/0", initial},
		{"another member at the very first start", "d", "", true, "d/0", membership.View{}},
		{"a disk that was lost", "a", "", false, "a/x", membership.View{}},
		{"a disk with an identity", "a", "a/0", true, "a/0", membership.View{}},
	} {
		state := PersistentState{DiskID: test.diskID}
		state.Initialize(test.address, seeds, test.firstStart, "x")
		if state.DiskID != test.wantDiskID || !reflect.DeepEqual(state.View.View, test.wantView) {
			t.Errorf("%s: disk ID %q, view %+v", test.name, state.DiskID, state.View.View)
		}
	}
}
