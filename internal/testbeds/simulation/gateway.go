package simulation

import (
	"fmt"
	"time"

	"zincloft.example/zincloft/dataplane/router"
)

const (
	gatewayRestartTime = 20 * time.Millisecond
	gatewayRetryRatio  = 0.02 // so that the slack, which restarts could multiply, is most of what is allowed
	gatewayRetrySlack  = 600
)

// gatewayNode is a machine at the edge with its gateway.
type gatewayNode struct {
	process
	index         int
	id            string // by which it makes itself known
	router        *router.Router
	seedAddresses []string

	member         *member // whose stream it has; nil: none
	stream         uint64  // its token
	hasSnapshot    bool
	lastReceivedAt time.Duration
	nextCandidate  int     // of the router's candidates, the index of the one to call next
	nextMember     *member // if set, it is called instead

	version  uint64 // of the configuration in force; in this incarnation the newest ever
	sequence uint64 // of the register, the same
	idleAt   time.Duration
}

func newGatewayNode(index int) *gatewayNode {
	return &gatewayNode{process: process{name: fmt.Sprintf("gateway %d", index)}, index: index, id: gatewayName(index)}
}

// gatewayName is the name by which a gateway makes itself known. It must not change: the control plane chooses by a hash of
// it which gateways call a replica, so that histories and kept schedules rest on it.
func gatewayName(index int) string { return fmt.Sprintf("forager %d", index) }

// startGateway begins a new incarnation of a gateway, which looks for a member to follow and sends requests.
func (c *cluster) startGateway(g *gatewayNode) {
	c.startProcess(&g.process)
	g.router = router.New(router.Settings{Zone: c.zoneName(g.index), Zones: c.zoneCount(), RetryRatio: gatewayRetryRatio, RetrySlack: gatewayRetrySlack,
		WarmupOverage: warmupBurstFactor, WarmupSlack: warmupSlack, Seed: c.random.Uint64()})
	g.member, g.stream, g.version, g.sequence, g.nextCandidate = nil, 0, 0, 0, 0
	g.seedAddresses = c.seedAddresses(false)
	incarnation := g.incarnation
	c.after(c.randomMilliseconds(followJitter), func() { c.followRepeatedly(g, incarnation) })
	c.after(time.Second, func() { c.requestRepeatedly(g, incarnation) })
}

// injectGatewayFault strikes one gateway.
func (c *cluster) injectGatewayFault(g *gatewayNode, fault Fault) {
	switch fault.Kind {
	case KillGateway:
		if g.up {
			c.killGateway(g)
			c.after(fault.For, func() { c.startGateway(g) })
		}
	case PauseGateway:
		c.pause(&g.process, fault.For)
	case IsolateGateway:
		var links []link
		for _, m := range c.members {
			links = append(links, link{g.name, m.name}, link{m.name, g.name})
		}
		c.cutFor(links, fault.For)
	}
}

// killGateway ends a gateway's process, and with it the stream that it has.
func (c *cluster) killGateway(g *gatewayNode) {
	g.up = false
	if g.member != nil {
		m, stream := g.member, g.stream
		c.sendReliably(&g.process, &m.process, func() { c.streamClosed(m, stream) })
	}
}

// reconnectGatewayTo has a random gateway begin a new incarnation and call a certain member first.
func (c *cluster) reconnectGatewayTo(m *member) {
	g := c.gateways[c.random.IntN(len(c.gateways))]
	if !g.up || c.finished {
		return
	}
	c.killGateway(g)
	c.after(gatewayRestartTime, func() {
		if !g.up {
			c.startGateway(g)
			g.nextMember = m
		}
	})
}
