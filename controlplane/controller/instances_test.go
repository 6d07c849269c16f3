package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// call sends a call to a member and returns the response status, or 0 if there was none within a second.
func (c *cluster) call(member int, event Event) int {
	c.lastToken++
	event.Token = c.lastToken
	c.step(member, event)
	c.run(time.Second)
	return c.responses[event.Token].Status
}

// countDisks counts the members whose latest persisted state has a replica i1 that satisfies the predicate.
func (c *cluster) countDisks(t *testing.T, satisfies func(fleet.Instance) bool) (count int) {
	t.Helper()
	for _, writes := range c.writes {
		if len(writes) == 0 {
			continue
		}
		state, err := coordinator.DecodePersistentState(writes[len(writes)-1])
		if err != nil {
			t.Fatal(err)
		}
		for _, instance := range state.Instances {
			if instance.ID == "i1" && satisfies(instance) {
				count++
			}
		}
	}
	return count
}

func isDeregistered(instance fleet.Instance) bool { return instance.Deregistered }

func isDraining(instance fleet.Instance) bool { return instance.Draining }

// drainHeartbeat returns a heartbeat by which i1 reports that it is draining.
func drainHeartbeat(sequence uint64) Event {
	return Event{Heartbeat: &fleet.Instance{ID: "i1", Service: "svc", Addr: "10.9.0.1:80", Zone: "a", Slots: 4, Sequence: sequence, Draining: true}}
}

// TestAcknowledgedRemovalIsPersistedByQuorum guards against the loss of an acknowledged drain or deregistration when the member that
// acknowledged it fails, or when all members lose power: the replica would receive requests again.
func TestAcknowledgedRemovalIsPersistedByQuorum(t *testing.T) {
	t.Run("without quorum", testRemovalNotAcknowledgedWithoutQuorum)
	const quorum = 2
	for _, test := range []struct {
		name  string
		event Event
		check func(fleet.Instance) bool
	}{
		{"deregistration", Event{Deregister: "i1"}, isDeregistered},
		{"drain", drainHeartbeat(9), isDraining},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster()
			c.sendHeartbeat(0, 1, 0)
			c.run(3 * time.Second)
			c.lastToken++
			event := test.event
			event.Token = c.lastToken
			c.step(1, event)
			if c.responses[event.Token].Status == http.StatusOK && c.countDisks(t, test.check) < quorum {
				t.Errorf("acknowledged while persisted by %d members, want at least %d", c.countDisks(t, test.check), quorum)
			}
			c.run(time.Second)
			if status := c.responses[event.Token].Status; status != http.StatusOK {
				t.Errorf("status = %d with all members connected, want 200", status)
			}
		})
	}
}

// testRemovalNotAcknowledgedWithoutQuorum covers a member that was just cut off and has not noticed yet, a retry of the same call there, and
// members whose disks reject writes.
func testRemovalNotAcknowledgedWithoutQuorum(t *testing.T) {
	for name, event := range map[string]Event{"deregistration": {Deregister: "i1"}, "drain": drainHeartbeat(9)} {
		t.Run(name, func(t *testing.T) {
			c := newCluster()
			c.sendHeartbeat(0, 1, 0)
			c.run(3 * time.Second)
			c.isolated[0] = true
			if status := c.call(0, event); status == http.StatusOK {
				t.Error("acknowledged by an isolated member")
			}
			if status := c.call(0, event); status == http.StatusOK {
				t.Error("retry acknowledged by an isolated member")
			}
			if status := c.call(1, event); status != http.StatusOK {
				t.Errorf("status = %d from a member with a quorum, want 200", status)
			}
			c.diskFull[1], c.diskFull[2] = true, true
			other := event
			if event.Deregister != "" {
				other.Deregister = "i2"
			} else {
				heartbeat := *event.Heartbeat
				heartbeat.ID, heartbeat.Addr = "i2", "10.9.0.2:80"
				other.Heartbeat = &heartbeat
			}
			if status := c.call(1, other); status == http.StatusOK {
				t.Error("acknowledged although no other disk accepts writes")
			}
		})
	}
}

// TestRemovalIsSentOnce guards against sending a removal to each other member twice: as a change and as a request to persist it.
func TestRemovalIsSentOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		event Event
	}{{"deregistration", Event{Deregister: "i1"}}, {"drain", drainHeartbeat(9)}} {
		c := newCluster()
		c.sendHeartbeat(0, 1, 0)
		c.run(3 * time.Second)
		c.lastToken++
		event := test.event
		event.Token = c.lastToken
		sent := map[string]int{}
		c.onSend = func(from int, to string, message *Message) {
			for _, instance := range message.Instances {
				if from == 1 && instance.ID == "i1" && (instance.Draining || instance.Deregistered) {
					sent[to]++
				}
			}
		}
		c.step(1, event)
		for to, times := range sent {
			if times != 1 {
				t.Errorf("%s: sent %d times to %s", test.name, times, to)
			}
		}
		if len(sent) != 2 {
			t.Errorf("%s: sent to %d members", test.name, len(sent))
		}
	}
}

// TestTrackedInstancesAreBounded guards a member's memory against calls with ever new instance IDs.
func TestTrackedInstancesAreBounded(t *testing.T) {
	const limit = 5
	c := newCluster()
	for _, member := range c.controllers {
		member.options.MaxInstances = limit
	}
	heartbeat := func(id string) int {
		return c.call(0, Event{Heartbeat: &fleet.Instance{ID: id, Service: "svc", Addr: "10.9.0.1:" + id, Zone: "a", Slots: 4, Sequence: 1}})
	}
	for i := range limit {
		if status := heartbeat(fmt.Sprint(100 + i)); status != http.StatusOK {
			t.Fatalf("heartbeat of instance %d: status = %d, want 200", i, status)
		}
	}
	if status := heartbeat("200"); status != http.StatusServiceUnavailable {
		t.Errorf("heartbeat beyond the limit: status = %d, want 503", status)
	}
	if status := c.call(0, Event{Deregister: "201"}); status != http.StatusServiceUnavailable {
		t.Errorf("deregistration of an unknown instance: status = %d, want 503", status)
	}
	if status := heartbeat("100"); status != http.StatusOK {
		t.Errorf("heartbeat of a known instance: status = %d, want 200", status)
	}
	if status := c.call(0, Event{Deregister: "101"}); status != http.StatusOK {
		t.Errorf("deregistration of a known instance: status = %d, want 200", status)
	}
	if tracked := c.controllers[0].Metrics(c.now).TrackedInstances; tracked != limit {
		t.Errorf("TrackedInstances = %d, want %d", tracked, limit)
	}
}
