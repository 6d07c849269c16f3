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

// Role of a governor.
type Role uint8

const (
	RoleControlPlane Role = iota + 1
	RoleGateway
)

// Descriptor is a governor as it is told from neighbour to neighbour.
type Descriptor struct {
	Addr string `cbor:"1,keyasint"`
	Role Role   `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint,omitempty"`
	Age  uint16 `cbor:"4,keyasint,omitempty"` // rounds since it spoke itself
}

const (
	// MaxViewSize bounds each of the two views.
	MaxViewSize = 10

	shuffleLength = 4  // of each view, in one shuffle
	maxAge        = 60 // what nobody has heard of for so many rounds is not told on
)

// PartialView is one node's knowledge. Its calls are not made side by side.
type PartialView struct {
	self       Descriptor
	seeds      []Descriptor
	peers      [2][]Descriptor // combs, foragers
	randomIntN func(n int) int
	round      int
	lastOffer  []string
}

// New makes a view. Seeds are called for as long as nobody else is known.
func New(self Descriptor, seeds []string, chance func(n int) int) *PartialView {
	v := &PartialView{self: self, randomIntN: chance}
	for _, a := range seeds {
		if a != self.Addr {
			v.seeds = append(v.seeds, Descriptor{Addr: a, Role: RoleControlPlane})
		}
	}
	return v
}

// BeginRound lets a round pass. It returns whom to call and what to offer; ok is false where there is nobody.
func (view *PartialView) BeginRound() (to string, offer []Descriptor, ok bool) {
	for k := range view.peers {
		for i := range view.peers[k] {
			view.peers[k][i].Age++
		}
		view.peers[k] = slices.DeleteFunc(view.peers[k], func(n Descriptor) bool { return n.Age > maxAge })
	}
	view.round++
	k := view.round % 2
	if len(view.peers[k]) == 0 {
		k = 1 - k
	}
	if len(view.peers[0]) == 0 && (len(view.peers[1]) == 0 || view.round%3 == 0) { // nobody knows a comb: begin again
		if len(view.seeds) == 0 {
			return "", nil, false
		}
		to = view.seeds[view.randomIntN(len(view.seeds))].Addr
	} else {
		oldest := slices.MaxFunc(view.peers[k], func(a, b Descriptor) int { return cmp.Compare(a.Age, b.Age) })
		to = oldest.Addr
		view.remove(to)
	}
	offer = append([]Descriptor{view.self}, view.sample(to)...)
	view.lastOffer = addresses(offer)
	return to, offer, true
}

func addresses(nodes []Descriptor) (out []string) {
	for _, n := range nodes {
		out = append(out, n.Addr)
	}
	return out
}

func (view *PartialView) remove(addr string) {
	for k := range view.peers {
		view.peers[k] = slices.DeleteFunc(view.peers[k], func(n Descriptor) bool { return n.Addr == addr })
	}
}

// sample draws what is told to another one.
func (view *PartialView) sample(but string) (out []Descriptor) {
	for k := range view.peers {
		all := slices.DeleteFunc(slices.Clone(view.peers[k]), func(n Descriptor) bool { return n.Addr == but })
		for i := range all {
			j := i + view.randomIntN(len(all)-i)
			all[i], all[j] = all[j], all[i]
		}
		out = append(out, all[:min(shuffleLength, len(all))]...)
	}
	return out
}

// HandleOffer takes an offer and returns the answer to it.
func (view *PartialView) HandleOffer(offer []Descriptor) []Descriptor {
	from := ""
	if len(offer) > 0 {
		from = offer[0].Addr
	}
	answer := append([]Descriptor{view.self}, view.sample(from)...)
	view.merge(offer, addresses(answer))
	return answer
}

// HandleReply takes the answer to this node's own offer.
func (view *PartialView) HandleReply(answer []Descriptor) { view.merge(answer, view.lastOffer) }

// merge takes nodes in; where a view is full they take the places of those that were just told to the other side, which
// thereby stay known to somebody.
func (view *PartialView) merge(nodes []Descriptor, told []string) {
	for _, n := range nodes {
		if n.Addr == view.self.Addr || n.Role < RoleControlPlane || n.Role > RoleGateway || n.Addr == "" || n.Age > maxAge {
			continue
		}
		list := &view.peers[n.Role-1]
		if i := slices.IndexFunc(*list, func(o Descriptor) bool { return o.Addr == n.Addr }); i >= 0 {
			if n.Age < (*list)[i].Age {
				(*list)[i] = n
			}
			continue
		}
		if len(*list) < MaxViewSize {
			*list = append(*list, n)
			continue
		}
		if i := slices.IndexFunc(*list, func(o Descriptor) bool { return slices.Contains(told, o.Addr) }); i >= 0 {
			(*list)[i] = n
		} else if i := oldestIndex(*list); n.Age < (*list)[i].Age {
			(*list)[i] = n
		}
	}
}

func oldestIndex(list []Descriptor) int {
	worst := 0
	for i, n := range list {
		if n.Age > list[worst].Age {
			worst = i
		}
	}
	return worst
}

// Peers lists the nodes of a kind, those heard of last first.
func (view *PartialView) Peers(k Role) []Descriptor {
	out := slices.Clone(view.peers[k-1])
	slices.SortStableFunc(out, func(a, b Descriptor) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Addr, b.Addr)) })
	return out
}
