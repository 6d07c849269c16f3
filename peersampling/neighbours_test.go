package peersampling

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// crowd is many nodes whose datagrams arrive within a round, but for those that are lost.
type crowd struct {
	r     *rand.Rand
	nodes map[string]*PartialView
	order []string
	dead  map[string]bool
	cut   func(a, b string) bool
	loss  float64
}

func newCrowd(combs, foragers int) *crowd {
	c := &crowd{r: rand.New(rand.NewPCG(5, 6)), nodes: map[string]*PartialView{}, dead: map[string]bool{}, loss: 0.02}
	for i := range combs {
		c.add(fmt.Sprintf("c%d", i), RoleControlPlane)
	}
	for i := range foragers {
		c.add(fmt.Sprintf("f%d", i), RoleGateway)
	}
	return c
}

func (c *crowd) add(addr string, k Role) {
	c.nodes[addr] = New(Descriptor{Addr: addr, Role: k}, []string{"c0", "c1", "c2"}, c.r.IntN)
	c.order = append(c.order, addr)
}

func (c *crowd) reaches(a, b string) bool {
	return c.nodes[b] != nil && !c.dead[a] && !c.dead[b] && c.r.Float64() >= c.loss && (c.cut == nil || !c.cut(a, b))
}

func (c *crowd) round() {
	for _, a := range c.order {
		if c.dead[a] {
			continue
		}
		to, offer, ok := c.nodes[a].BeginRound()
		if !ok || !c.reaches(a, to) {
			continue
		}
		if answer := c.nodes[to].HandleOffer(offer); c.reaches(to, a) {
			c.nodes[a].HandleReply(answer)
		}
	}
}

// reach counts the living nodes that one can come to by asking on.
func (c *crowd) reach(from string) int {
	seen := map[string]bool{from: true}
	for todo := []string{from}; len(todo) > 0; {
		v := c.nodes[todo[0]]
		todo = todo[1:]
		for _, k := range []Role{RoleControlPlane, RoleGateway} {
			for _, n := range v.Peers(k) {
				if !seen[n.Addr] && !c.dead[n.Addr] {
					seen[n.Addr] = true
					todo = append(todo, n.Addr)
				}
			}
		}
	}
	return len(seen)
}

// knowing counts the living nodes that know one.
func (c *crowd) knowing(addr string) (n int) {
	for a, v := range c.nodes {
		if c.dead[a] {
			continue
		}
		for _, k := range []Role{RoleControlPlane, RoleGateway} {
			for _, o := range v.Peers(k) {
				if o.Addr == addr {
					n++
				}
			}
		}
	}
	return n
}

func TestCrowds(t *testing.T) {
	for _, size := range []struct{ combs, foragers int }{{3, 0}, {3, 10}, {5, 90}, {7, 1000}} {
		Convey(fmt.Sprintf("Given %d combs and %d foragers", size.combs, size.foragers), t, func() {
			c := newCrowd(size.combs, size.foragers)
			for range 20 {
				c.round()
			}
			all := size.combs + size.foragers
			So(c.reach(c.order[len(c.order)-1]), ShouldEqual, all)
			Convey("everyone knows a comb", func() {
				for _, a := range c.order {
					So(len(c.nodes[a].Peers(RoleControlPlane)), ShouldBeGreaterThan, 0)
				}
			})
			Convey("a newcomer is known to several within a few rounds", func() {
				c.add("new", RoleGateway)
				for range 6 {
					c.round()
				}
				So(c.knowing("new"), ShouldBeGreaterThanOrEqualTo, 2)
			})
			Convey("a dead one is forgotten", func() {
				last := c.order[len(c.order)-1]
				c.dead[last] = true
				for range maxAge + 5 {
					c.round()
				}
				So(c.knowing(last), ShouldEqual, 0)
			})
			Convey("with a tenth dying every other round those who live stay connected", func() {
				if size.foragers < 50 {
					return
				}
				for range 6 {
					for i, a := range c.order[size.combs:] {
						if !c.dead[a] && (i+c.r.IntN(10))%10 == 0 {
							c.dead[a] = true
						}
					}
					c.round()
					c.round()
				}
				for range 10 {
					c.round()
				}
				So(c.reach("c0"), ShouldEqual, len(c.order)-len(c.dead))
			})
			Convey("a zone that was cut off for a while finds the others again", func() {
				if size.combs < 5 {
					return
				}
				far := func(a string) bool { return (len(a)+int(a[len(a)-1]))%3 == 0 }
				c.cut = func(a, b string) bool { return far(a) != far(b) }
				for range 25 {
					c.round()
				}
				c.cut = nil
				for range 25 {
					c.round()
				}
				So(c.reach("c0"), ShouldEqual, all)
			})
		})
	}
}
