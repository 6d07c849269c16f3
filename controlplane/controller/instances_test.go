package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// call has a member take an event that is a call, and returns its status; 0: it was not answered within a second.
func (c *cluster) call(member int, event Event) int {
	c.lastToken++
	event.Token = c.lastToken
	c.step(member, event)
	c.run(time.Second)
	return c.responses[event.Token].Status
}

// disksThat counts the disks whose newest state holds the replica i1 as a condition wants it.
func (c *cluster) disksThat(t *testing.T, holds func(fleet.Instance) bool) (count int) {
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
			if instance.ID == "i1" && holds(instance) {
				count++
			}
		}
	}
	return count
}

func isDeregistered(instance fleet.Instance) bool { return instance.Deregistered }

func isDraining(instance fleet.Instance) bool { return instance.Draining }

// draining is a heartbeat of i1 that says that it drains.
func draining(sequence uint64) Event {
	return Event{Heartbeat: &fleet.Instance{ID: "i1", Service: "svc", Addr: "10.9.0.1:80", Zone: "a", Slots: 4, Sequence: sequence, Draining: true}}
}

// TestAcknowledgedEndIsOnAQuorumOfDisks guards against requests to a replica that was promised none: an acknowledged drain or
// deregistration rested on the member that acknowledged it alone, and was lost with it, or with the power of all members within the
// second in which the list of instances was not yet on disk. A deregistered replica sends no heartbeat that would repeat it.
func TestAcknowledgedEndIsOnAQuorumOfDisks(t *testing.T) {
	t.Run("alone", endIsNotAcknowledgedByOneMemberAlone)
	const quorum = 2
	for _, test := range []struct {
		name  string
		event Event
		holds func(fleet.Instance) bool
	}{
		{"deregistration", Event{Deregister: "i1"}, isDeregistered},
		{"drain", draining(9), isDraining},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster()
			c.heartbeat(0, 1, 0)
			c.run(3 * time.Second)
			c.lastToken++
			event := test.event
			event.Token = c.lastToken
			c.step(1, event)
			if c.responses[event.Token].Status == http.StatusOK && c.disksThat(t, test.holds) < quorum {
				t.Errorf("acknowledged with %d disks that hold it", c.disksThat(t, test.holds))
			}
			c.run(time.Second)
			if status := c.responses[event.Token].Status; status != http.StatusOK {
				t.Errorf("answered %d with all members in contact", status)
			}
		})
	}
}

// endIsNotAcknowledgedByOneMemberAlone guards the same where the member was just cut off and still believes to have a quorum, where
// the others' disks refuse writes, and where the call comes again: what was learnt but not replicated is no acknowledgement.
func endIsNotAcknowledgedByOneMemberAlone(t *testing.T) {
	for name, event := range map[string]Event{"deregistration": {Deregister: "i1"}, "drain": draining(9)} {
		t.Run(name, func(t *testing.T) {
			c := newCluster()
			c.heartbeat(0, 1, 0)
			c.run(3 * time.Second)
			c.isolated[0] = true
			if status := c.call(0, event); status == http.StatusOK {
				t.Error("acknowledged by a member that reaches nobody")
			}
			if status := c.call(0, event); status == http.StatusOK {
				t.Error("acknowledged when it came again")
			}
			if status := c.call(1, event); status != http.StatusOK {
				t.Errorf("answered %d by the others, which are a quorum", status)
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
				t.Error("acknowledged with no disk that takes it")
			}
		})
	}
}

// TestEndIsSentOnce guards the messages between members: the end of an instance that asked for it was sent to each other member twice at once, as
// news and as what it is to have on disk.
func TestEndIsSentOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		event Event
	}{{"deregistration", Event{Deregister: "i1"}}, {"drain", draining(9)}} {
		c := newCluster()
		c.heartbeat(0, 1, 0)
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

// TestRememberedInstancesAreBounded guards a member's memory against calls by ever new names: each was remembered for a minute and a half.
func TestRememberedInstancesAreBounded(t *testing.T) {
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
			t.Fatalf("instance %d: %d", i, status)
		}
	}
	if status := heartbeat("200"); status != http.StatusServiceUnavailable {
		t.Errorf("one more is answered %d", status)
	}
	if status := c.call(0, Event{Deregister: "201"}); status != http.StatusServiceUnavailable {
		t.Errorf("the end of an unknown one is answered %d", status)
	}
	if status := heartbeat("100"); status != http.StatusOK {
		t.Errorf("a known one is answered %d", status)
	}
	if status := c.call(0, Event{Deregister: "101"}); status != http.StatusOK {
		t.Errorf("the end of a known one is answered %d", status)
	}
	if remembered := c.controllers[0].Metrics(c.now).TrackedInstances; remembered != limit {
		t.Error(remembered, "are remembered")
	}
}
