// Package peersampling has governors know each other by partial views that are shuffled between neighbours: nobody holds
// a list of all, and nobody is asked for one. It is free of I/O; chance is handed in.
//
// Each round a node calls the neighbour that it has heard of least lately, leaves it out until it answers, and offers
// itself and some of what it knows; the other answers with some of its own. So a dead node is called once by each that
// knows it and is forgotten, and a newcomer spreads. Combs are few and matter most, so they have a view of their own,
// which the many foragers cannot crowd out.
package peersampling

import (
	"cmp"
	"slices"
)

// Kind of a governor.
type Kind uint8

const (
	Comb Kind = iota + 1
	Forager
)

// Node is a governor as it is told from neighbour to neighbour.
type Node struct {
	Addr string `cbor:"1,keyasint"`
	Kind Kind   `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint,omitempty"`
	Age  uint16 `cbor:"4,keyasint,omitempty"` // rounds since it spoke itself
}

const (
	// Size bounds each of the two views.
	Size = 10

	offered = 4  // of each view, in one shuffle
	ageMost = 60 // what nobody has heard of for so many rounds is not told on
)

// View is one node's knowledge. Its calls are not made side by side.
type View struct {
	self   Node
	seeds  []Node
	known  [2][]Node // combs, foragers
	chance func(n int) int
	turn   int
	sent   []string
}

// New makes a view. Seeds are called for as long as nobody else is known.
func New(self Node, seeds []string, chance func(n int) int) *View {
	v := &View{self: self, chance: chance}
	for _, a := range seeds {
		if a != self.Addr {
			v.seeds = append(v.seeds, Node{Addr: a, Kind: Comb})
		}
	}
	return v
}

// Round lets a round pass. It returns whom to call and what to offer; ok is false where there is nobody.
func (v *View) Round() (to string, offer []Node, ok bool) {
	for k := range v.known {
		for i := range v.known[k] {
			v.known[k][i].Age++
		}
		v.known[k] = slices.DeleteFunc(v.known[k], func(n Node) bool { return n.Age > ageMost })
	}
	v.turn++
	k := v.turn % 2
	if len(v.known[k]) == 0 {
		k = 1 - k
	}
	if len(v.known[0]) == 0 && (len(v.known[1]) == 0 || v.turn%3 == 0) { // nobody knows a comb: begin again
		if len(v.seeds) == 0 {
			return "", nil, false
		}
		to = v.seeds[v.chance(len(v.seeds))].Addr
	} else {
		oldest := slices.MaxFunc(v.known[k], func(a, b Node) int { return cmp.Compare(a.Age, b.Age) })
		to = oldest.Addr
		v.drop(to)
	}
	offer = append([]Node{v.self}, v.some(to)...)
	v.sent = addrs(offer)
	return to, offer, true
}

func addrs(nodes []Node) (out []string) {
	for _, n := range nodes {
		out = append(out, n.Addr)
	}
	return out
}

func (v *View) drop(addr string) {
	for k := range v.known {
		v.known[k] = slices.DeleteFunc(v.known[k], func(n Node) bool { return n.Addr == addr })
	}
}

// some draws what is told to another one.
func (v *View) some(but string) (out []Node) {
	for k := range v.known {
		all := slices.DeleteFunc(slices.Clone(v.known[k]), func(n Node) bool { return n.Addr == but })
		for i := range all {
			j := i + v.chance(len(all)-i)
			all[i], all[j] = all[j], all[i]
		}
		out = append(out, all[:min(offered, len(all))]...)
	}
	return out
}

// Called takes an offer and returns the answer to it.
func (v *View) Called(offer []Node) []Node {
	from := ""
	if len(offer) > 0 {
		from = offer[0].Addr
	}
	answer := append([]Node{v.self}, v.some(from)...)
	v.merge(offer, addrs(answer))
	return answer
}

// Answered takes the answer to this node's own offer.
func (v *View) Answered(answer []Node) { v.merge(answer, v.sent) }

// merge takes nodes in; where a view is full they take the places of those that were just told to the other side, which
// thereby stay known to somebody.
func (v *View) merge(nodes []Node, told []string) {
	for _, n := range nodes {
		if n.Addr == v.self.Addr || n.Kind < Comb || n.Kind > Forager || n.Addr == "" || n.Age > ageMost {
			continue
		}
		list := &v.known[n.Kind-1]
		if i := slices.IndexFunc(*list, func(o Node) bool { return o.Addr == n.Addr }); i >= 0 {
			if n.Age < (*list)[i].Age {
				(*list)[i] = n
			}
			continue
		}
		if len(*list) < Size {
			*list = append(*list, n)
			continue
		}
		if i := slices.IndexFunc(*list, func(o Node) bool { return slices.Contains(told, o.Addr) }); i >= 0 {
			(*list)[i] = n
		} else if i := oldest(*list); n.Age < (*list)[i].Age {
			(*list)[i] = n
		}
	}
}

func oldest(list []Node) int {
	worst := 0
	for i, n := range list {
		if n.Age > list[worst].Age {
			worst = i
		}
	}
	return worst
}

// Known lists the nodes of a kind, those heard of last first.
func (v *View) Known(k Kind) []Node {
	out := slices.Clone(v.known[k-1])
	slices.SortStableFunc(out, func(a, b Node) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Addr, b.Addr)) })
	return out
}
