package peersampling

import (
	"cmp"
	"slices"
)

const (
	// MaxViewSize bounds the peers of each role.
	MaxViewSize = 10

	shuffleLength = 4  // peers of each role in one offer or reply
	maxAge        = 60 // rounds after which a descriptor is dropped and not passed on
	seedInterval  = 3  // rounds from one contact of a seed to the next, where no control-plane member is known
)

// PartialView is what one process knows of its peers. It must not be used by several goroutines at once.
type PartialView struct {
	self       Descriptor
	seeds      []string
	peers      [roleCount][]Descriptor // by role, see indexOf
	randomIntN func(n int) int
	round      int
	lastOffer  []string // addresses
}

// Shuffle is an offer and the peer that it is to be sent to.
type Shuffle struct {
	To    string
	Offer []Descriptor
}

// New returns an empty view. Seeds are addresses of control-plane members; they are contacted while no member is known.
// RandomIntN returns a random number of [0, n).
func New(self Descriptor, seeds []string, randomIntN func(n int) int) *PartialView {
	view := &PartialView{self: self, randomIntN: randomIntN}
	for _, seed := range seeds {
		if seed != self.Addr {
			view.seeds = append(view.seeds, seed)
		}
	}
	return view
}

func indexOf(role Role) int { return int(role - RoleControlPlane) }

// BeginRound begins the next round. It returns false where there is nobody to contact.
func (v *PartialView) BeginRound() (Shuffle, bool) {
	v.agePeers()
	v.round++
	to, ok := v.nextContact()
	if !ok {
		return Shuffle{}, false
	}
	offer := append([]Descriptor{v.self}, v.sample(to)...)
	v.lastOffer = addresses(offer)
	return Shuffle{To: to, Offer: offer}, true
}

// HandleOffer merges a peer's offer and returns the reply to it.
func (v *PartialView) HandleOffer(offer []Descriptor) []Descriptor {
	from := ""
	if len(offer) > 0 {
		from = offer[0].Addr
	}
	reply := append([]Descriptor{v.self}, v.sample(from)...)
	v.merge(offer, addresses(reply))
	return reply
}

// HandleReply merges the reply to this process's own last offer.
func (v *PartialView) HandleReply(reply []Descriptor) { v.merge(reply, v.lastOffer) }

// Peers lists the known peers of a role, those most recently heard of first.
func (v *PartialView) Peers(role Role) []Descriptor {
	peers := slices.Clone(v.peers[indexOf(role)])
	slices.SortStableFunc(peers, func(a, b Descriptor) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Addr, b.Addr))
	})
	return peers
}

func (v *PartialView) agePeers() {
	for role := range v.peers {
		for i := range v.peers[role] {
			v.peers[role][i].Age++
		}
		v.peers[role] = slices.DeleteFunc(v.peers[role], func(peer Descriptor) bool { return peer.Age > maxAge })
	}
}

// nextContact chooses the peer to contact: the oldest of one role, the roles taking turns. The peer is removed, and comes
// back with its reply. While no control-plane member is known a seed is contacted now and then.
func (v *PartialView) nextContact() (string, bool) {
	members, gateways := v.peers[indexOf(RoleControlPlane)], v.peers[indexOf(RoleGateway)]
	if len(members) == 0 && (len(gateways) == 0 || v.round%seedInterval == 0) {
		if len(v.seeds) == 0 {
			return "", false
		}
		return v.seeds[v.randomIntN(len(v.seeds))], true
	}
	role := v.round % roleCount
	if len(v.peers[role]) == 0 {
		role = 1 - role
	}
	peers := v.peers[role]
	addr := peers[oldestIndex(peers)].Addr
	v.remove(addr)
	return addr, true
}

func (v *PartialView) remove(addr string) {
	for role := range v.peers {
		v.peers[role] = slices.DeleteFunc(v.peers[role], withAddress(addr))
	}
}

// sample draws the peers that are passed on to another one, which need not learn of itself.
func (v *PartialView) sample(recipient string) []Descriptor {
	var sampled []Descriptor
	for role := range v.peers {
		candidates := slices.DeleteFunc(slices.Clone(v.peers[role]), withAddress(recipient))
		for i := range candidates { // Fisher-Yates
			j := i + v.randomIntN(len(candidates)-i)
			candidates[i], candidates[j] = candidates[j], candidates[i]
		}
		sampled = append(sampled, candidates[:min(shuffleLength, len(candidates))]...)
	}
	return sampled
}

// merge takes received descriptors in. Where the view is full they replace the peers that were just passed on to the other
// side, which thereby stay known to somebody.
func (v *PartialView) merge(received []Descriptor, passedOn []string) {
	for _, descriptor := range received {
		if descriptor.Addr != v.self.Addr && descriptor.valid() {
			v.insert(descriptor, passedOn)
		}
	}
}

func (v *PartialView) insert(descriptor Descriptor, passedOn []string) {
	peers := &v.peers[indexOf(descriptor.Role)]
	if known := slices.IndexFunc(*peers, withAddress(descriptor.Addr)); known >= 0 {
		if descriptor.Age < (*peers)[known].Age {
			(*peers)[known] = descriptor
		}
		return
	}
	if len(*peers) < MaxViewSize {
		*peers = append(*peers, descriptor)
		return
	}
	wasPassedOn := func(peer Descriptor) bool { return slices.Contains(passedOn, peer.Addr) }
	if replaced := slices.IndexFunc(*peers, wasPassedOn); replaced >= 0 {
		(*peers)[replaced] = descriptor
		return
	}
	if oldest := oldestIndex(*peers); descriptor.Age < (*peers)[oldest].Age {
		(*peers)[oldest] = descriptor
	}
}
