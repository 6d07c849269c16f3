package peersampling

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// network simulates processes that exchange datagrams, which arrive within the round or are lost.
type network struct {
	random      *rand.Rand
	views       map[string]*PartialView
	addresses   []string // in the order in which the processes joined
	failed      map[string]bool
	partitioned func(a, b string) bool // nil if there is no partition
	loss        float64                // share of lost datagrams
}

func newNetwork(members, gateways int) *network {
	n := &network{random: rand.New(rand.NewPCG(5, 6)), views: map[string]*PartialView{}, failed: map[string]bool{}, loss: 0.02}
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
	return n.views[to] != nil && !n.failed[from] && !n.failed[to] && n.random.Float64() >= n.loss &&
		(n.partitioned == nil || !n.partitioned(from, to))
}

func (n *network) round() {
	for _, addr := range n.addresses {
		if n.failed[addr] {
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

// reachable counts the running processes that can be reached from one process by following views, including itself.
func (n *network) reachable(from string) int {
	seen := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; {
		view := n.views[queue[0]]
		queue = queue[1:]
		for _, peer := range allPeers(view) {
			if !seen[peer.Addr] && !n.failed[peer.Addr] {
				seen[peer.Addr] = true
				queue = append(queue, peer.Addr)
			}
		}
	}
	return len(seen)
}

// knownBy counts the running processes that have the given address in their views.
func (n *network) knownBy(addr string) int {
	count := 0
	for other, view := range n.views {
		if n.failed[other] {
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
			total := size.members + size.gateways
			So(n.reachable(n.addresses[len(n.addresses)-1]), ShouldEqual, total)
			Convey("every process knows a control-plane member", func() {
				for _, addr := range n.addresses {
					So(len(n.views[addr].Peers(RoleControlPlane)), ShouldBeGreaterThan, 0)
				}
			})
			Convey("a new process is known to several others within a few rounds", func() {
				n.join("new", RoleGateway)
				n.rounds(6)
				So(n.knownBy("new"), ShouldBeGreaterThanOrEqualTo, 2)
			})
			Convey("a failed process is removed from all views", func() {
				last := n.addresses[len(n.addresses)-1]
				n.failed[last] = true
				n.rounds(maxAge + 5)
				So(n.knownBy(last), ShouldEqual, 0)
			})
			Convey("the running processes stay connected if a tenth fails every other round", func() {
				if size.gateways < 50 {
					return
				}
				for range 6 {
					for i, addr := range n.addresses[size.members:] {
						if !n.failed[addr] && (i+n.random.IntN(10))%10 == 0 {
							n.failed[addr] = true
						}
					}
					n.rounds(2)
				}
				n.rounds(10)
				So(n.reachable("c0"), ShouldEqual, len(n.addresses)-len(n.failed))
			})
			Convey("the overlay becomes connected again after a partition", func() {
				if size.members < 5 {
					return
				}
				isolated := func(addr string) bool { return (len(addr)+int(addr[len(addr)-1]))%3 == 0 }
				n.partitioned = func(a, b string) bool { return isolated(a) != isolated(b) }
				n.rounds(25)
				n.partitioned = nil
				n.rounds(25)
				So(n.reachable("c0"), ShouldEqual, total)
			})
		})
	}
}
