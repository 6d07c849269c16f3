package controller

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

const configurationBody = `{"version":"00000002","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":10}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
	`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

// cluster is three members on perfect links and disks.
type cluster struct {
	controllers   []*Controller
	addrs         []string
	now           time.Duration
	isolated      map[int]bool                     // by member: it reaches nobody
	updates       map[uint64]*messages.StateUpdate // by stream: the newest, with the warm-up rates in force
	closedStreams map[uint64]bool
	writes        [3][][]byte // by member: every state it wrote
	lastToken     uint64
	responses     map[uint64]Response // by token
	diskFull      map[int]bool        // by member: its writes fail

	onSend func(from int, to string, message *Message) // is called for each message; nil: nobody looks
}

// newCluster starts a cluster and gives it a configuration.
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
	c.command(chainreplication.Command{Version: 2, Body: []byte(configurationBody)})
	return c
}

// command has the first member take an operator's command, and waits for it to be committed.
func (c *cluster) command(command chainreplication.Command) {
	c.lastToken++
	c.step(0, Event{Token: c.lastToken, Command: &command})
	c.run(2 * time.Second)
}

// step has a member take an event, and carries out its actions at once.
func (c *cluster) step(member int, event Event) {
	actions := c.controllers[member].Step(c.now, event)
	for _, publication := range actions.Publish {
		for _, stream := range publication.Streams {
			c.receive(stream, publication.Update)
		}
	}
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

// receive is a gateway that takes an update.
func (c *cluster) receive(stream uint64, update messages.StateUpdate) {
	if previous := c.updates[stream]; previous != nil && !update.WarmupRatesComplete {
		update.WarmupRates = previous.WarmupRates
	}
	c.updates[stream] = &update
}

// run lets time pass at all members.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += TickInterval
		for i := range c.controllers {
			c.step(i, Event{})
		}
	}
}

// heartbeat has the replica i1 send a heartbeat to a member.
func (c *cluster) heartbeat(member int, sequence uint64, warmupMillis int64) {
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

// join has a gateway, named after the number of its stream, join a member.
func (c *cluster) join(member int, stream uint64) {
	c.step(member, Event{GatewayJoined: &GatewayJoined{Stream: stream, Gateway: fmt.Sprint("f", stream), Zone: "a"}})
}

// joinUntilAdmitted has a gateway join, again and again, until the member lets it in, and returns its stream. A member that was isolated lets
// gateways in once it is in the chain again and a quorum has answered it.
func (c *cluster) joinUntilAdmitted(member int, stream uint64) uint64 {
	for c.updates[stream] == nil {
		c.step(member, Event{GatewayLeft: stream})
		stream += 10
		c.join(member, stream)
		c.run(10 * time.Millisecond)
	}
	return stream
}

// warmupRate is the rate at which a gateway may call the replica while that is warming up.
func (c *cluster) warmupRate(stream uint64) float64 {
	if update := c.updates[stream]; update != nil && len(update.WarmupRates) > 0 {
		return float64(update.WarmupRates[0].WarmupRate)
	}
	return 0
}
