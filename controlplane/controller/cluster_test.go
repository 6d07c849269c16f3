package controller

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

const configurationBody = `{"version":"00000002","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":10}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
	`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

// cluster runs three members over an in-memory network without delays or losses.
type cluster struct {
	controllers   []*Controller
	addrs         []string
	now           time.Duration
	isolated      map[int]bool                     // by member: cut off from the other members
	updates       map[uint64]*messages.StateUpdate // by stream: the latest update, with the warm-up rates in effect
	closedStreams map[uint64]bool
	writes        [3][][]byte // by member: all states written
	lastToken     uint64
	responses     map[uint64]Response // by token
	diskFull      map[int]bool        // by member: writes fail
	calls         []ownership.Call    // to replicas, which accept them

	logged [3][]LogEvent // by member

	onSend func(from int, to string, message *Message) // called for each message if not nil
}

// newCluster starts a cluster and commits a configuration.
func newCluster() *cluster {
	c := &cluster{isolated: map[int]bool{}, updates: map[uint64]*messages.StateUpdate{}, closedStreams: map[uint64]bool{}, responses: map[uint64]Response{}, diskFull: map[int]bool{}}
	for i := range 3 {
		c.addrs = append(c.addrs, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for i := range 3 {
		var persisted coordinator.PersistentState
		persisted.Initialize(c.addrs[i], c.addrs, true, "x")
		options := Options{
			Zone:              "a",
			Zones:             []string{"a"},
			Seeds:             c.addrs,
			LinkMbps:          1000,
			HeartbeatInterval: 1500 * time.Millisecond,
			RandomSeed:        uint64(i),
		}
		self := fleet.Member{ID: persisted.DiskID, Addr: c.addrs[i], Zone: "a", APIAddr: c.addrs[i]}
		c.controllers = append(c.controllers, New(0, options, self, persisted))
	}
	for i := range c.controllers {
		c.step(i, Event{Start: true})
	}
	c.run(4 * time.Second)
	c.execute(chainreplication.Command{Version: 2, Body: []byte(configurationBody)})
	return c
}

// execute submits an operator's command to the first member and waits for its commit.
func (c *cluster) execute(command chainreplication.Command) {
	c.lastToken++
	c.step(0, Event{Token: c.lastToken, Command: &command})
	c.run(2 * time.Second)
}

// step passes an event to a member and performs the resulting actions.
func (c *cluster) step(member int, event Event) {
	actions := c.controllers[member].Step(c.now, event)
	for _, publication := range actions.Publish {
		for _, stream := range publication.Streams {
			c.receive(stream, publication.Update)
		}
	}
	c.logged[member] = append(c.logged[member], actions.LogEvents...)
	for _, stream := range actions.CloseStreams {
		c.closedStreams[stream] = true
	}
	for _, response := range actions.Responses {
		c.responses[response.Token] = response
	}
	if actions.Write != nil && c.diskFull[member] {
		c.step(member, Event{WriteResult: &WriteResult{Error: "no space"}})
	} else if actions.Write != nil {
		c.writes[member] = append(c.writes[member], actions.Write)
		c.step(member, Event{WriteResult: &WriteResult{}})
	}
	for _, call := range actions.Calls {
		c.calls = append(c.calls, call)
		c.step(member, Event{CallResult: &ownership.CallResult{ID: call.ID, Outcome: ownership.CallAccepted}})
	}
	for _, send := range actions.Send {
		if c.onSend != nil {
			c.onSend(member, send.To, &send.Message)
		}
		to := slices.Index(c.addrs, send.To)
		if to >= 0 && !c.isolated[member] && !c.isolated[to] {
			from := c.controllers[member].Coordinator().Self()
			c.step(to, Event{From: &from, Message: &send.Message})
		}
	}
}

// receive applies an update at a gateway.
func (c *cluster) receive(stream uint64, update messages.StateUpdate) {
	if previous := c.updates[stream]; previous != nil && !update.WarmupRatesComplete {
		update.WarmupRates = previous.WarmupRates
	}
	c.updates[stream] = &update
}

// run advances the time and ticks all members.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += TickInterval
		for i := range c.controllers {
			c.step(i, Event{})
		}
	}
}

// sendHeartbeat sends a heartbeat of replica i1 to a member.
func (c *cluster) sendHeartbeat(member int, sequence uint64, warmupMillis int64) {
	c.lastToken++
	c.step(member, Event{Token: c.lastToken, Heartbeat: &fleet.Instance{
		ID:           "i1",
		Service:      "svc",
		Addr:         "10.9.0.1:80",
		Zone:         "a",
		Slots:        4,
		Sequence:     sequence,
		WarmupMillis: warmupMillis,
	}})
}

// join connects a gateway, named after its stream ID, to a member.
func (c *cluster) join(member int, stream uint64) {
	c.step(member, Event{GatewayJoined: &GatewayJoined{Stream: stream, Gateway: fmt.Sprint("f", stream), Zone: "a"}})
}

// joinUntilAdmitted reconnects a gateway until the member admits it, and returns the ID of the admitted stream. A member that was isolated admits
// gateways once it has rejoined the chain and regained a quorum.
func (c *cluster) joinUntilAdmitted(member int, stream uint64) uint64 {
	for c.updates[stream] == nil {
		c.step(member, Event{GatewayLeft: stream})
		stream += 10
		c.join(member, stream)
		c.run(10 * time.Millisecond)
	}
	return stream
}

// warmupRate returns the rate at which a gateway may send requests to the replica while it warms up.
func (c *cluster) warmupRate(stream uint64) float64 {
	if update := c.updates[stream]; update != nil && len(update.WarmupRates) > 0 {
		return float64(update.WarmupRates[0].WarmupRate)
	}
	return 0
}
