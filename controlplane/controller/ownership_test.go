package controller

import (
	"slices"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// newShardedCluster starts a cluster with a sharded service of two replicas, whose keys are granted, and returns its head.
func newShardedCluster(t *testing.T) (c *cluster, head int) {
	c = newCluster()
	sharded := strings.Replace(configurationBody, `"name":"svc"`, `"name":"svc","sharded":true`, 1)
	c.execute(chainreplication.Command{Version: 3, Body: []byte(strings.Replace(sharded, "00000002", "00000003", 1))})
	for _, id := range []string{"r1", "r2"} {
		for i := range c.controllers {
			c.controllers[i].mergeInstances(c.now, []fleet.Instance{{ID: id, Service: "svc", Addr: id + ":1", Zone: "a", Slots: 4, Sequence: 1}})
		}
	}
	c.run(4 * time.Second)
	head = slices.IndexFunc(c.controllers, func(member *Controller) bool {
		return member.coordinator.View().Position(member.coordinator.Self().ID) == 0
	})
	if table, _ := c.controllers[head].ownershipTable(); len(table.Services["svc"]) == 0 {
		t.Fatal("the keys were not divided")
	}
	return c, head
}

// TestRefusedOwnershipProposalIsNotRepeatedAtOnce guards against a stack overflow of the head while it is isolated.
func TestRefusedOwnershipProposalIsNotRepeatedAtOnce(t *testing.T) {
	c, head := newShardedCluster(t)
	member := c.controllers[head]
	c.isolated[head] = true
	for range 20 {
		c.run(TickInterval)
		if !member.coordinator.HasQuorumContact(c.now) {
			break
		}
	}
	member.isolated, member.reconnectedAt = false, c.now-time.Minute // as in the tick in which the contact is lost
	member.owners.authorityView = member.coordinator.View().Number
	member.owners.authorizedUntil = c.now + time.Second
	before := member.owners.proposalCount
	member.mergeInstances(c.now, []fleet.Instance{{ID: "r1", Service: "svc", Draining: true, Sequence: 2}})
	member.advanceOwnership(c.now)
	if proposed := member.owners.proposalCount - before; proposed != 1 {
		t.Errorf("%d proposals were made at once, want one", proposed)
	}
}

func TestOwnersArePublishedAsDifferences(t *testing.T) {
	c, head := newShardedCluster(t)
	c.step(head, Event{GatewayJoined: &GatewayJoined{Stream: 1, Gateway: "g", Zone: "a"}})
	c.run(time.Second)
	member := c.controllers[head]
	stream := member.findStream(1)
	if stream == nil || len(stream.owners.Services["svc"]) == 0 {
		t.Fatal("the gateway did not receive the owners")
	}
	table, _ := member.ownershipTable()
	whole := serviceOwnership("svc", table, nil)
	if !whole.Complete || len(whole.Ranges) != len(table.Services["svc"]) {
		t.Errorf("%d of %d ranges published to a new gateway", len(whole.Ranges), len(table.Services["svc"]))
	}
	if unchanged := serviceOwnership("svc", table, table.Services["svc"]); len(unchanged.Ranges) > 0 {
		t.Errorf("%d unchanged ranges were published", len(unchanged.Ranges))
	}
}

// TestDeregisteredReplicaReleasesItsKeys guards against keys that nobody serves until their leases end: a replica may deregister first and end later.
func TestDeregisteredReplicaReleasesItsKeys(t *testing.T) {
	c, head := newShardedCluster(t)
	c.calls = nil
	for i := range c.controllers {
		c.controllers[i].mergeInstances(c.now, []fleet.Instance{{ID: "r1", Deregistered: true}})
	}
	c.run(500 * time.Millisecond)
	isRelease := func(call ownership.Call) bool { return call.Kind == ownership.CallRelease && call.Replica == "r1" }
	if !slices.ContainsFunc(c.calls, isRelease) {
		t.Error("the replica was not asked to release its keys")
	}
	table, _ := c.controllers[head].ownershipTable()
	if slices.ContainsFunc(table.Services["svc"], func(r ownership.Range) bool { return r.Owner == "r1" }) {
		t.Error("some keys still belong to the replica")
	}
}

// TestOwnersAreComparedOncePerPublication guards against a comparison of all ranges for each gateway.
func TestOwnersAreComparedOncePerPublication(t *testing.T) {
	c, head := newShardedCluster(t)
	for stream := range uint64(2) {
		c.step(head, Event{GatewayJoined: &GatewayJoined{Stream: stream + 1, Gateway: string(rune('g' + stream)), Zone: "a"}})
	}
	c.run(time.Second)
	member := c.controllers[head]
	published := [][]messages.ServiceOwnership{}
	round := publicationRound{ownership: map[uint64][]messages.ServiceOwnership{}}
	table, _ := member.ownershipTable()
	for _, id := range []uint64{1, 2} {
		stream := member.findStream(id)
		stream.ownersRevision--
		stream.owners = ownership.Retoken(table, "svc", 0, ownership.MaxKey)
		update := messages.StateUpdate{}
		if !member.addOwnership(&update, round, stream) {
			t.Fatal("no changes were published")
		}
		published = append(published, update.Ownership)
	}
	if &published[0][0] != &published[1][0] {
		t.Error("the changes for the second gateway were determined anew")
	}
}
