package simulation

import (
	"fmt"
	"time"

	"zincloft.example/zincloft/dataplane/router"
)

const (
	gatewayRestartTime = 20 * time.Millisecond
	gatewayRetryRatio  = 0.02 // low, so that most of the allowance is the slack, which restarts might multiply
	gatewayRetrySlack  = 600
)

// gatewayNode is a machine with a gateway process.
type gatewayNode struct {
	process
	index         int
	id            string // under which it registers with the control plane
	router        *router.Router
	seedAddresses []string

	member         *member // the peer of its stream; nil: none
	stream         uint64  // token of the stream
	hasSnapshot    bool
	lastReceivedAt time.Duration
	nextCandidate  int     // index of the router's candidate to connect to next
	nextMember     *member // if set, takes precedence over nextCandidate

	version  uint64 // highest version applied in this incarnation
	sequence uint64 // highest register sequence number applied in this incarnation
	idleAt   time.Duration
}

func newGatewayNode(index int) *gatewayNode {
	return &gatewayNode{process: process{name: fmt.Sprintf("gateway %d", index)}, index: index, id: gatewayName(index)}
}

// gatewayName returns the name of a gateway. It must not change: the control plane assigns replicas to gateways by a
// hash of it, so history checksums and the schedules under testdata depend on it.
func gatewayName(index int) string { return fmt.Sprintf("forager %d", index) }

// startGateway starts a new incarnation of a gateway, which connects to a member and receives requests.
func (c *cluster) startGateway(g *gatewayNode) {
	c.startProcess(&g.process)
	g.router = router.New(router.Settings{Zone: c.zoneName(g.index), Zones: c.zoneCount(), RetryRatio: gatewayRetryRatio, RetrySlack: gatewayRetrySlack,
		WarmupOverage: warmupBurstFactor, WarmupSlack: warmupSlack, Seed: c.random.Uint64()})
	g.member, g.stream, g.version, g.sequence, g.nextCandidate = nil, 0, 0, 0, 0
	g.seedAddresses = c.seedAddresses(false)
	incarnation := g.incarnation
	c.after(c.randomMilliseconds(streamCheckJitter), func() { c.maintainStreamRepeatedly(g, incarnation) })
	c.after(time.Second, func() { c.requestRepeatedly(g, incarnation) })
	if c.schedule.ShardedReplicas > 0 {
		c.after(time.Second, func() { c.requestKeysRepeatedly(g, incarnation) })
	}
}

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

// killGateway kills a gateway's process, which closes its stream.
func (c *cluster) killGateway(g *gatewayNode) {
	g.up = false
	if g.member != nil {
		m, stream := g.member, g.stream
		c.sendReliably(&g.process, &m.process, func() { c.streamClosed(m, stream) })
	}
}

// reconnectGatewayTo restarts a random gateway, which then connects to the given member first.
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
