package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Load is the number of requests per second by key, for all keys. A nil Load means that nothing is known.
type Load []float32

// Tuning holds the ratios by which moves are planned. The weight of keys is their load plus a small amount for each key, or their number if there
// is no load. The level of a replica is the weight of its keys per slot.
type Tuning struct {
	OverloadRatio       float64 // a replica is overloaded if its level exceeds this multiple of the mean
	OverloadFloor       float64 // requests per second and slot up to which no replica is overloaded, and no mean makes a replica underloaded
	OverloadUtilization float64 // share of busy slots up to which no replica is overloaded, if the service time is known
	GoalRatio           float64 // an overloaded replica gives keys away until its level is this multiple of the mean, or as far below the floor
	AcceptRatio         float64 // replicas that receive keys of an overloaded one are filled to this multiple of the mean
	UnderloadRatio      float64 // a replica is underloaded if its level is below this multiple of the mean
	FillRatio           float64 // an underloaded replica, or one without keys, is filled to this multiple of the mean
	FillPieces          int     // number of pieces by which a replica is filled if there are enough moves
	HeirPiece           float64 // keys of an ineligible replica move in pieces of at most this share of the mean weight of a replica
	MinPiece            float64 // smallest weight worth a move, as a share of the mean weight of a replica
	IdleShare           float64 // share of the total load that is added to the weight of all keys in equal parts
	MaxRanges           int     // number of ranges above which small ranges move to the owners of their neighbours, so that Join can join them
	Deviations          float64 // standard deviations of a count of requests by which a replica must differ from the mean to be over- or underloaded
}

// DefaultTuning returns the tuning that PlanMoves uses if none is given.
func DefaultTuning() Tuning {
	return Tuning{
		OverloadRatio: 1.3, OverloadFloor: 1, OverloadUtilization: 0.6, GoalRatio: 1.15, AcceptRatio: 1.1, UnderloadRatio: 0.5, FillRatio: 0.8, FillPieces: 8,
		HeirPiece: 0.25, MinPiece: 0.02, IdleShare: 0.02, MaxRanges: 2000, Deviations: 3,
	}
}

// PlanInput is what moves are planned from.
type PlanInput struct {
	Ranges   []Range   // of the service; a partition of all keys
	Replicas []Replica // eligible to own keys

	// Keeps holds the IDs of replicas that may keep their keys although they are not eligible for more; it may include eligible ones.
	Keeps map[string]bool

	Load        Load          // must not be negative
	LoadWindow  time.Duration // time over which the requests of the load were counted; 0 if the load is exact
	ServiceTime time.Duration // mean time for which a request occupies a slot, without queueing; 0 if it is not known
	MaxMoves    int
	Tuning      Tuning // the zero value stands for DefaultTuning
}

// PlanMoves returns the next moves, at most MaxMoves and the most urgent first: keys of replicas that are not eligible any more, then keys for
// replicas without any or with few, then keys of overloaded replicas, then small ranges if there are too many. Only granted keys move. Keys that are being released count for their
// target.
func PlanMoves(input PlanInput) []Move {
	if len(input.Replicas) == 0 || len(input.Ranges) == 0 {
		return nil
	}
	p := newPlanner(input)
	p.evacuate()
	p.fill()
	p.balance()
	p.joinSmallRanges()
	return p.moves
}

// ChooseTarget returns the eligible replica with the least load per slot, for keys whose planned target is not eligible any more. It returns the
// empty ID if no replica is eligible.
func ChooseTarget(input PlanInput, from, to uint16) string {
	return ChooseTargets(input, []Range{{From: from, To: to}})[0]
}

// ChooseTargets is ChooseTarget for several ranges; each choice takes those before it into account.
func ChooseTargets(input PlanInput, ranges []Range) []string {
	targets := make([]string, len(ranges))
	if len(input.Replicas) == 0 {
		return targets
	}
	p := newPlanner(input)
	for i, r := range ranges {
		keys := piece{from: int(r.From), to: int(r.To)}
		heir := p.heir(keys, nil)
		p.replicas[heir].weight += p.weight(keys)
		p.replicas[heir].keys += keys.size()
		targets[i] = p.replicas[heir].ID
	}
	return targets
}

// evacuate moves the granted keys of replicas that are not eligible. Keys without much weight move in whole ranges; heavy ranges are cut as far
// as the number of moves allows, so that many heirs share their load.
func (p *planner) evacuate() {
	slices.SortFunc(p.orphans, func(a, b piece) int {
		return cmp.Or(cmp.Compare(p.weight(b), p.weight(a)), cmp.Compare(a.from, b.from))
	})
	for i, orphan := range p.orphans {
		for p.movesLeft() > 0 && orphan.size() > 0 {
			part := orphan
			if p.movesLeft() > len(p.orphans)-i {
				part = p.prefix(orphan, p.HeirPiece*p.meanWeight)
			}
			p.move(part, p.heir(part, nil))
			orphan.from = part.to + 1
		}
	}
}

// fill gives keys of the most loaded replicas to replicas without keys and to underloaded ones. All of them get a first piece before any gets a
// second one.
func (p *planner) fill() {
	needy := p.needyReplicas()
	if len(needy) == 0 {
		return
	}
	pieces := max(1, min(p.FillPieces, p.movesLeft()/len(needy)))
	donors := make([]bool, len(p.replicas))
	for i := range p.replicas {
		donors[i] = !slices.Contains(needy, i)
	}
	for range 2 * pieces {
		for _, receiver := range needy {
			if p.movesLeft() == 0 {
				return
			}
			p.fillOnce(receiver, donors, pieces)
		}
	}
}

// needyReplicas returns the replicas without keys and the underloaded ones, the emptiest first.
func (p *planner) needyReplicas() []int {
	var needy []int
	for i, replica := range p.replicas {
		if replica.keys == 0 || p.underloaded(replica) {
			needy = append(needy, i)
		}
	}
	slices.SortStableFunc(needy, func(a, b int) int { return cmp.Compare(p.replicas[a].level(), p.replicas[b].level()) })
	return needy
}

// fillOnce moves one piece from the most loaded donor that has a suitable one to the receiver. Donors without a suitable piece stop being donors.
func (p *planner) fillOnce(receiver int, donors []bool, pieces int) {
	to := &p.replicas[receiver]
	goal := p.FillRatio * p.meanLevel * to.slots
	want := min(goal/float64(pieces), goal-to.weight)
	if want < p.MinPiece*p.meanWeight && to.keys > 0 {
		return
	}
	for {
		donor := p.mostLoaded(donors)
		if donor < 0 {
			return
		}
		from := &p.replicas[donor]
		limit := from.weight - p.meanLevel*from.slots*p.FillRatio
		if to.keys == 0 {
			limit = max(limit, from.weight/2)
		}
		if part, found := p.take(donor, want, min(limit, goal-to.weight)); found {
			p.move(part, receiver)
			from.weight -= p.weight(part)
			return
		}
		donors[donor] = false
	}
}

func (p *planner) underloaded(replica replicaState) bool {
	fair := p.meanLevel * replica.slots
	return p.hasLoad && p.meanLevel > p.OverloadFloor && replica.weight < min(p.UnderloadRatio*fair, fair-p.noise(fair))
}

func (p *planner) overloaded(replica replicaState) bool {
	fair := p.fairLevel * replica.slots
	return p.hasLoad && replica.weight > max(p.OverloadRatio*fair, fair+p.noise(fair))
}

// noise is the difference from the expected weight that counts of requests may show by chance.
func (p *planner) noise(expected float64) float64 {
	if p.LoadWindow <= 0 {
		return 0
	}
	return p.Deviations * math.Sqrt(expected/p.LoadWindow.Seconds())
}

// balance moves keys of overloaded replicas to the least loaded ones.
func (p *planner) balance() {
	var donors []int
	excess := 0.0
	for i, replica := range p.replicas {
		if p.overloaded(replica) {
			donors = append(donors, i)
			excess += p.excess(i)
		}
	}
	slices.SortStableFunc(donors, func(a, b int) int { return cmp.Compare(p.replicas[b].level(), p.replicas[a].level()) })
	for _, donor := range donors {
		p.isolateBusyKeys(&p.replicas[donor])
		p.retainBusiestKey(&p.replicas[donor])
		for p.movesLeft() > 0 && p.excess(donor) >= p.MinPiece*p.meanWeight {
			moved := p.shed(donor, excess/float64(p.movesLeft()))
			if moved == 0 {
				break
			}
			excess -= moved
		}
	}
}

// excess is the weight that an overloaded replica has to give away.
func (p *planner) excess(donor int) float64 {
	return p.replicas[donor].weight - p.GoalRatio*p.fairLevel*p.replicas[donor].slots
}

// shed moves one piece from an overloaded replica to the least loaded one, and returns the weight of the piece, or 0 if no move helps. Pieces have
// at least the weight share if the receiver stays well below the donor.
func (p *planner) shed(donor int, share float64) float64 {
	from := &p.replicas[donor]
	receiver := p.leastLoaded(donor)
	if receiver < 0 {
		return 0
	}
	to := &p.replicas[receiver]
	want := min(p.excess(donor), max(p.room(receiver), min(share, (from.level()-to.level())*to.slots/2)))
	limit := improvementRatio*from.level()*to.slots - to.weight
	part, found := p.take(donor, want, limit)
	if !found {
		return p.shedBusyKey(donor)
	}
	weight := p.weight(part)
	p.move(part, receiver)
	from.weight -= weight
	return weight
}

// shedBusyKey moves the lightest piece of an overloaded replica that is worth it, and returns its weight, or 0 if no move helps. If no replica has
// room for the piece, the one that is left with the lowest level first gives keys away.
func (p *planner) shedBusyKey(donor int) float64 {
	for i := range p.replicas {
		p.isolateBusyKeys(&p.replicas[i])
	}
	from := &p.replicas[donor]
	var lightest piece
	weight := math.Inf(1)
	for _, keys := range from.pieces {
		if w := p.weight(keys); w >= p.MinPiece*p.meanWeight && w < weight {
			lightest, weight = keys, w
		}
	}
	if math.IsInf(weight, 1) {
		return 0
	}
	room := func(i int) float64 { return improvementRatio*from.level()*p.replicas[i].slots - p.replicas[i].weight }
	receiver := p.heir(lightest, func(i int) bool { return i != donor && weight-room(i) <= p.divisibleWeight(i) })
	if receiver < 0 {
		return 0
	}
	before, movesBefore := slices.Clone(p.replicas), len(p.moves)
	before[receiver].pieces = slices.Clone(before[receiver].pieces)
	p.makeRoom(receiver, donor, weight-room(receiver))
	part, found := p.take(donor, weight, room(receiver))
	if !found { // moves that do not make enough room are of no use
		copy(p.replicas, before)
		p.moves = p.moves[:movesBefore]
		return 0
	}
	p.move(part, receiver)
	from.weight -= p.weight(part)
	return p.weight(part)
}

// room is the weight that a replica may receive from overloaded ones.
func (p *planner) room(receiver int) float64 {
	return p.AcceptRatio*p.fairLevel*p.replicas[receiver].slots - p.replicas[receiver].weight
}

// divisibleWeight is the weight of the keys of a replica that can be moved away in parts.
func (p *planner) divisibleWeight(i int) float64 {
	sum := 0.0
	for _, keys := range p.replicas[i].pieces {
		if keys.size() > 1 {
			sum += p.weight(keys)
		}
	}
	return sum
}

// makeRoom moves keys of the weight needed away from the receiver of a piece of a donor, as far as others have room.
func (p *planner) makeRoom(receiver, donor int, needed float64) {
	for needed > 0 && p.movesLeft() > 1 {
		other := p.leastLoaded(receiver, donor)
		if other < 0 {
			return
		}
		part, found := p.take(receiver, min(needed, p.room(other)), p.room(other))
		if !found {
			return
		}
		p.move(part, other)
		p.replicas[receiver].weight -= p.weight(part)
		needed -= p.weight(part)
	}
}
