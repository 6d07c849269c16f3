package peersampling

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// network is many processes whose datagrams arrive within a round, but for those that are lost.
type network struct {
	random    *rand.Rand
	views     map[string]*PartialView
	addresses []string // in the order in which they joined
	dead      map[string]bool
	cut       func(a, b string) bool // nil: none
	loss      float64                // share of datagrams
}

func newNetwork(members, gateways int) *network {
	n := &network{random: rand.New(rand.NewPCG(5, 6)), views: map[string]*PartialView{}, dead: map[string]bool{}, loss: 0.02}
	for i := range members {
		n.join(fmt.Sprintf("c%d", i), RoleControlPlane)
	}
	for i := range gateways {
		n.join(fmt.Sprintf("f%d", i), RoleGateway)
	}
	return n
}

func (n *network) join(addr string, role Role) {
	n.views[addr] = New(Descriptor{Addr: addr, Role: role}, []string{"c0", "c1", "c2"}, n.random.IntN)
	n.addresses = append(n.addresses, addr)
}

func (n *network) delivers(from, to string) bool {
	return n.views[to] != nil && !n.dead[from] && !n.dead[to] && n.random.Float64() >= n.loss && (n.cut == nil || !n.cut(from, to))
}

func (n *network) round() {
	for _, addr := range n.addresses {
		if n.dead[addr] {
			continue
		}
		shuffle, ok := n.views[addr].BeginRound()
		if !ok || !n.delivers(addr, shuffle.To) {
			continue
		}
		if reply := n.views[shuffle.To].HandleOffer(shuffle.Offer); n.delivers(shuffle.To, addr) {
			n.views[addr].HandleReply(reply)
		}
	}
}

func (n *network) rounds(count int) {
	for range count {
		n.round()
	}
}

func allPeers(view *PartialView) []Descriptor {
	return slices.Concat(view.Peers(RoleControlPlane), view.Peers(RoleGateway))
}

// reachable counts the living processes that one reaches by following views.
func (n *network) reachable(from string) int {
	seen := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; {
		view := n.views[queue[0]]
		queue = queue[1:]
		for _, peer := range allPeers(view) {
			if !seen[peer.Addr] && !n.dead[peer.Addr] {
				seen[peer.Addr] = true
				queue = append(queue, peer.Addr)
			}
		}
	}
	return len(seen)
}

// knownBy counts the living processes that have one in their views.
func (n *network) knownBy(addr string) int {
	count := 0
	for other, view := range n.views {
		if n.dead[other] {
			continue
		}
		for _, peer := range allPeers(view) {
			if peer.Addr == addr {
				count++
			}
		}
	}
	return count
}

func TestShuffling(t *testing.T) {
	for _, size := range []struct{ members, gateways int }{{3, 0}, {3, 10}, {5, 90}, {7, 1000}} {
		Convey(fmt.Sprintf("Given %d control-plane members and %d gateways", size.members, size.gateways), t, func() {
			n := newNetwork(size.members, size.gateways)
			n.rounds(20)
			all := size.members + size.gateways
			So(n.reachable(n.addresses[len(n.addresses)-1]), ShouldEqual, all)
			Convey("every process knows a member", func() {
				for _, addr := range n.addresses {
					So(len(n.views[addr].Peers(RoleControlPlane)), ShouldBeGreaterThan, 0)
				}
			})
			Convey("a newcomer is known to several within a few rounds", func() {
				n.join("new", RoleGateway)
				n.rounds(6)
				So(n.knownBy("new"), ShouldBeGreaterThanOrEqualTo, 2)
			})
			Convey("a dead process is forgotten", func() {
				last := n.addresses[len(n.addresses)-1]
				n.dead[last] = true
				n.rounds(maxAge + 5)
				So(n.knownBy(last), ShouldEqual, 0)
			})
			Convey("with a tenth dying every other round the living stay connected", func() {
				if size.gateways < 50 {
					return
				}
				for range 6 {
					for i, addr := range n.addresses[size.members:] {
						if !n.dead[addr] && (i+n.random.IntN(10))%10 == 0 {
							n.dead[addr] = true
						}
					}
					n.rounds(2)
				}
				n.rounds(10)
				So(n.reachable("c0"), ShouldEqual, len(n.addresses)-len(n.dead))
			})
			Convey("a zone that was partitioned for a while finds the others again", func() {
				if size.members < 5 {
					return
				}
				far := func(addr string) bool { return (len(addr)+int(addr[len(addr)-1]))%3 == 0 }
				n.cut = func(a, b string) bool { return far(a) != far(b) }
				n.rounds(25)
				n.cut = nil
				n.rounds(25)
				So(n.reachable("c0"), ShouldEqual, all)
			})
		})
	}
}
