package peersampling

import (
	"cmp"
	"slices"
)

const (
	// MaxViewSize is the maximum number of peers per role in a view.
	MaxViewSize = 10

	shuffleLength = 4  // maximum number of peers per role in an offer or reply
	maxAge        = 60 // rounds after which a descriptor is dropped
	seedInterval  = 3  // rounds between contacts of seeds while gateways but no control-plane members are known
)

// PartialView is a process's partial view of its peers. It is not safe for concurrent use.
type PartialView struct {
	self       Descriptor
	seeds      []string
	peers      [roleCount][]Descriptor // by role, see roleIndex
	randomIntN func(n int) int
	round      int
	lastOffer  []string // addresses in the last offer
}

// Shuffle is an offer and its recipient.
type Shuffle struct {
	To    string
	Offer []Descriptor
}

// New returns an empty view. Seeds are the addresses of control-plane members that are contacted while no member is known.
// RandomIntN returns a random number in [0, n).
func New(self Descriptor, seeds []string, randomIntN func(n int) int) *PartialView {
	view := &PartialView{self: self, randomIntN: randomIntN}
	for _, seed := range seeds {
		if seed != self.Addr {
			view.seeds = append(view.seeds, seed)
		}
	}
	return view
}

func roleIndex(role Role) int { return int(role - RoleControlPlane) }

// BeginRound starts the next round and returns the offer to send. It returns false if there is no peer to contact.
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

// HandleOffer merges an offer from a peer and returns the reply.
func (v *PartialView) HandleOffer(offer []Descriptor) []Descriptor {
	from := ""
	if len(offer) > 0 {
		from = offer[0].Addr
	}
	reply := append([]Descriptor{v.self}, v.sample(from)...)
	v.merge(offer, addresses(reply))
	return reply
}

// HandleReply merges the reply to the last offer.
func (v *PartialView) HandleReply(reply []Descriptor) { v.merge(reply, v.lastOffer) }

// Peers returns the known peers of a role, sorted by age and address.
func (v *PartialView) Peers(role Role) []Descriptor {
	peers := slices.Clone(v.peers[roleIndex(role)])
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

// nextContact removes the oldest peer of a role from the view and returns its address; the roles alternate. The peer's reply
// adds it to the view again. While no control-plane member is known, it returns a seed every seedInterval rounds, or in each
// round if no gateway is known either.
func (v *PartialView) nextContact() (string, bool) {
	members, gateways := v.peers[roleIndex(RoleControlPlane)], v.peers[roleIndex(RoleGateway)]
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
		v.peers[role] = slices.DeleteFunc(v.peers[role], hasAddress(addr))
	}
}

// sample returns a random sample of the view for a recipient, without the recipient itself.
func (v *PartialView) sample(recipient string) []Descriptor {
	var sampled []Descriptor
	for role := range v.peers {
		candidates := slices.DeleteFunc(slices.Clone(v.peers[role]), hasAddress(recipient))
		for i := range candidates { // Fisher-Yates
			j := i + v.randomIntN(len(candidates)-i)
			candidates[i], candidates[j] = candidates[j], candidates[i]
		}
		sampled = append(sampled, candidates[:min(shuffleLength, len(candidates))]...)
	}
	return sampled
}

// merge adds received descriptors to the view. If the view is full they replace the peers that were just sent to the other
// side, so that these remain known to at least one process.
func (v *PartialView) merge(received []Descriptor, sent []string) {
	for _, descriptor := range received {
		if descriptor.Addr != v.self.Addr && descriptor.valid() {
			v.insert(descriptor, sent)
		}
	}
}

func (v *PartialView) insert(descriptor Descriptor, sent []string) {
	peers := &v.peers[roleIndex(descriptor.Role)]
	if known := slices.IndexFunc(*peers, hasAddress(descriptor.Addr)); known >= 0 {
		if descriptor.Age < (*peers)[known].Age {
			(*peers)[known] = descriptor
		}
		return
	}
	if len(*peers) < MaxViewSize {
		*peers = append(*peers, descriptor)
		return
	}
	wasSent := func(peer Descriptor) bool { return slices.Contains(sent, peer.Addr) }
	if replaced := slices.IndexFunc(*peers, wasSent); replaced >= 0 {
		(*peers)[replaced] = descriptor
		return
	}
	if oldest := oldestIndex(*peers); descriptor.Age < (*peers)[oldest].Age {
		(*peers)[oldest] = descriptor
	}
}
