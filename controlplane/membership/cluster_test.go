package membership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
)

const (
	tickInterval = 50 * time.Millisecond
	linkDelay    = 5 * time.Millisecond
)

// cluster runs nodes connected by simulated links in virtual time. Replication is simulated too: a view is committed once all
// members of its chain have installed it.
type cluster struct {
	t            *testing.T
	now          Time
	random       *rand.Rand
	nodes        map[string]*Node // Running nodes, by ID.
	saved        map[string]DurableState
	cut          map[[2]string]bool // Links that drop messages, by the addresses of sender and receiver.
	inFlight     []inFlightMessage
	decided      map[uint64]View
	tolerance    FaultTolerance
	delay        func() Time
	dropsMessage func() bool
}

type inFlightMessage struct {
	at      Time
	from    string // Address of the sender.
	to      fleet.Member
	message Message
}

// newCluster starts the given number of members, named a, b, c, ..., in an initial view.
func newCluster(t *testing.T, members int) *cluster {
	c := &cluster{
		t:            t,
		random:       rand.New(rand.NewPCG(1, 2)),
		nodes:        map[string]*Node{},
		saved:        map[string]DurableState{},
		cut:          map[[2]string]bool{},
		decided:      map[uint64]View{},
		delay:        func() Time { return linkDelay },
		dropsMessage: func() bool { return false },
	}
	first := View{Number: 1}
	for i := range members {
		m := testMember(string(rune('a' + i)))
		first.Voters = append(first.Voters, m)
		first.Chain = append(first.Chain, m.ID)
	}
	for _, m := range first.Voters {
		c.start(m, DurableState{View: first})
	}
	return c
}

// testMember returns the member at an address with its initial disk.
func testMember(addr string) fleet.Member { return fleet.Member{ID: addr + "/0", Addr: addr} }

// start starts a node with the seeds a, b and c.
func (c *cluster) start(m fleet.Member, state DurableState) *Node {
	node := New(m, state, []string{"a", "b", "c"}, c.random.Float64)
	node.SetFaultTolerance(c.tolerance)
	c.nodes[m.ID], c.saved[m.ID] = node, state
	return node
}

// tolerate states what the deployment may lose at the same time, for all nodes.
func (c *cluster) tolerate(tolerance FaultTolerance) {
	c.tolerance = tolerance
	for _, node := range c.nodes {
		node.SetFaultTolerance(tolerance)
	}
}

// wipe restarts a stopped member with an empty disk, and so with another ID.
func (c *cluster) wipe(addr string) {
	c.start(fleet.Member{ID: addr + "/1", Addr: addr}, DurableState{})
}

func (c *cluster) node(addr string) *Node {
	c.t.Helper()
	node := c.nodes[testMember(addr).ID]
	if node == nil {
		c.t.Fatalf("%s is not running", addr)
	}
	return node
}

func (c *cluster) kill(addr string) { delete(c.nodes, testMember(addr).ID) }

func (c *cluster) restart(addr string) *Node {
	return c.start(testMember(addr), c.saved[testMember(addr).ID])
}

// cutLink cuts the link between two addresses in one direction.
func (c *cluster) cutLink(from, to string) { c.cut[[2]string{from, to}] = true }

func (c *cluster) run(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.now += linkDelay
		c.deliver()
		if c.now%tickInterval == 0 {
			c.tick()
		}
	}
}

func (c *cluster) tick() {
	for _, id := range c.running() {
		c.markSynced(c.nodes[id])
		c.handle(c.nodes[id], c.nodes[id].Tick(c.now))
	}
}

// running returns the sorted IDs of the running nodes.
func (c *cluster) running() []string {
	ids := make([]string, 0, len(c.nodes))
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// markSynced marks a node's view as committed and synced once all members of its chain have installed it.
func (c *cluster) markSynced(node *Node) {
	v := node.View()
	for _, id := range v.Chain {
		if member := c.nodes[id]; member == nil || member.View().Number != v.Number {
			return
		}
	}
	node.SetCommittedView(v.Number)
	node.SetSyncedView(v.Number)
}

func (c *cluster) deliver() {
	slices.SortStableFunc(c.inFlight, func(a, b inFlightMessage) int { return int(a.at - b.at) })
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		next := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		for _, id := range c.running() {
			node := c.nodes[id]
			addressed := next.to.ID == id || next.to.ID == "" && next.to.Addr == node.Self().Addr
			if addressed && !c.cut[[2]string{next.from, node.Self().Addr}] {
				c.handle(node, node.Step(c.now, next.message))
			}
		}
	}
}

// handle saves the node's state, sends its messages, and verifies that each view number has a single decision.
func (c *cluster) handle(node *Node, ready Ready) {
	id := node.Self().ID
	if ready.MustSave {
		c.saved[id] = node.State()
	} else if !reflect.DeepEqual(c.saved[id], node.State()) {
		c.t.Fatalf("%s changed its state without setting MustSave", id)
	}
	if ready.ViewInstalled {
		v := node.View()
		if other, known := c.decided[v.Number]; known && !reflect.DeepEqual(other, v) {
			c.t.Fatalf("view %d was decided both as %+v and as %+v", v.Number, other, v)
		}
		c.decided[v.Number] = v
	}
	for _, out := range ready.Messages {
		if !c.dropsMessage() {
			c.inFlight = append(c.inFlight, inFlightMessage{c.now + c.delay(), node.Self().Addr, out.To, out.Message})
		}
	}
}

// wantView verifies the chain and the voters in the current views of some nodes. All are given as concatenated addresses.
func (c *cluster) wantView(addresses, chain, voters string) {
	c.t.Helper()
	for _, addr := range addresses {
		v := c.node(string(addr)).View()
		var gotChain, gotVoters string
		for _, id := range v.Chain {
			gotChain += id[:1]
		}
		for _, m := range v.Voters {
			gotVoters += m.Addr
		}
		if gotChain != chain || gotVoters != voters {
			c.t.Errorf("%c: view %d has chain %s and voters %s, want %s and %s", addr, v.Number, gotChain, gotVoters, chain, voters)
		}
	}
}

// TestAgreement runs clusters with message loss, delays, restarts and link cuts. No two nodes may install different views with
// the same number (checked by cluster.handle), and all members must rejoin the chain after the faults have ended.
func TestAgreement(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, 5)
			c.random = rand.New(rand.NewPCG(seed, 1))
			c.dropsMessage = func() bool { return c.random.IntN(10) == 0 }
			c.delay = func() Time { return linkDelay + Time(c.random.IntN(int(200*time.Millisecond))) }
			for range 40 {
				addr := string(rune('a' + c.random.IntN(5)))
				switch {
				case c.nodes[testMember(addr).ID] == nil:
					c.restart(addr)
				case c.random.IntN(2) == 0:
					c.kill(addr)
				default:
					c.cutLink(addr, string(rune('a'+c.random.IntN(5))))
				}
				c.run(time.Duration(c.random.IntN(int(time.Second))))
				if c.random.IntN(3) == 0 {
					clear(c.cut)
				}
			}
			clear(c.cut)
			c.dropsMessage = func() bool { return false }
			for _, addr := range []string{"a", "b", "c", "d", "e"} {
				if c.nodes[testMember(addr).ID] == nil {
					c.restart(addr)
				}
			}
			c.run(10 * time.Second)
			for _, id := range c.running() {
				if v := c.nodes[id].View(); len(v.Chain) != len(v.Voters) || !reflect.DeepEqual(v, c.node("a").View()) {
					t.Errorf("%s: view %+v, want the view of a with all voters in the chain", id, v)
				}
			}
		})
	}
}
