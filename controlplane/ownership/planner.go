package ownership

import (
	"cmp"
	"slices"
	"sort"
)

const (
	// improvementRatio bounds the level of a replica that receives keys of an overloaded one, as a multiple of the level of the latter.
	improvementRatio = 0.95

	// busyKeyShare is the weight from which a key of an overloaded replica is a piece of its own, as a share of the mean weight of a replica.
	busyKeyShare = 0.25

	// minTrimmedKeys and maxTrimmedShare say when idle keys at the outer end of a piece stay with the owner: the number of keys, and their share
	// of the piece's weight.
	minTrimmedKeys  = 64
	maxTrimmedShare = 0.05
)

// piece is a contiguous set of keys; it is empty if to is less than from.
type piece struct {
	from, to int // inclusive
}

func (k piece) size() int { return k.to - k.from + 1 }

// replicaState is an eligible replica in the course of planning.
type replicaState struct {
	Replica

	slots  float64
	weight float64 // of the keys that it owns after the planned moves, including those being released to it
	keys   int     // number of these keys
	pieces []piece // keys that can be moved away, the densest first once ordered is set

	ordered  bool
	isolated bool // very busy keys are pieces of their own
}

func (r *replicaState) level() float64 { return r.weight / r.slots }

// planner holds the state of planning.
type planner struct {
	PlanInput
	Tuning

	sums       []float64 // sums[k] is the weight of all keys less than k
	hasLoad    bool
	replicas   []replicaState // sorted by ID
	orphans    []piece        // granted keys whose owners are not eligible
	meanLevel  float64        // weight of all keys per slot
	fairLevel  float64        // level to which overloaded replicas are compared: at least the mean
	meanWeight float64        // weight of all keys per replica
	moves      []Move
}

func newPlanner(input PlanInput) *planner {
	p := &planner{PlanInput: input, Tuning: input.Tuning}
	if p.Tuning == (Tuning{}) {
		p.Tuning = DefaultTuning()
		p.MaxRanges = RangeLimit(len(input.Replicas))
	}
	p.sumWeights()
	index := make(map[string]int, len(input.Replicas))
	slots := 0.0
	for i, replica := range sortedByID(input.Replicas) {
		index[replica.ID] = i
		p.replicas = append(p.replicas, replicaState{Replica: replica, slots: float64(replica.slots())})
		slots += float64(replica.slots())
	}
	total := p.sums[MaxKey+1]
	p.meanLevel, p.meanWeight = total/slots, total/float64(len(p.replicas))
	p.fairLevel = max(p.meanLevel, p.overloadFloor()/p.OverloadRatio)
	for _, r := range input.Ranges {
		keys := piece{from: int(r.From), to: int(r.To)}
		owner := r.Owner
		if r.Phase == PhaseReleasing {
			owner = r.Target
		}
		i, eligible := index[owner]
		switch {
		case eligible:
			p.replicas[i].weight += p.weight(keys)
			p.replicas[i].keys += keys.size()
			if r.Phase == PhaseGranted {
				p.replicas[i].pieces = append(p.replicas[i].pieces, keys)
			}
		case r.Phase == PhaseGranted && !input.Keeps[owner]:
			p.orphans = append(p.orphans, keys)
		}
	}
	return p
}

// sumWeights computes the prefix sums of the weights of all keys.
func (p *planner) sumWeights() {
	total := 0.0
	for _, load := range p.Load {
		total += float64(load)
	}
	p.hasLoad = len(p.Load) == MaxKey+1 && total > 0
	p.sums = make([]float64, MaxKey+2)
	sum, perKey := 0.0, 1.0
	if p.hasLoad {
		perKey = total * p.IdleShare / (MaxKey + 1)
	}
	for key := range MaxKey + 1 {
		if p.hasLoad {
			sum += float64(p.Load[key])
		}
		sum += perKey
		p.sums[key+1] = sum
	}
}

func (p *planner) weight(keys piece) float64 { return p.sums[keys.to+1] - p.sums[keys.from] }

func (p *planner) movesLeft() int { return p.MaxMoves - len(p.moves) }

// overloadFloor is the level up to which no replica is overloaded.
func (p *planner) overloadFloor() float64 {
	if p.ServiceTime <= 0 {
		return p.OverloadFloor
	}
	return max(p.OverloadFloor, p.OverloadUtilization/p.ServiceTime.Seconds())
}

// move plans to move keys to a replica. They are not moved again in the same plan.
func (p *planner) move(keys piece, receiver int) {
	to := &p.replicas[receiver]
	p.moves = append(p.moves, Move{From: uint16(keys.from), To: uint16(keys.to), Target: to.ID})
	to.weight += p.weight(keys)
	to.keys += keys.size()
}

// heir returns the replica that has the lowest level with the keys among those that the filter accepts, or -1. A nil filter accepts all.
func (p *planner) heir(keys piece, filter func(i int) bool) int {
	best, bestLevel := -1, 0.0
	for i := range p.replicas {
		if filter != nil && !filter(i) {
			continue
		}
		replica := &p.replicas[i]
		level := (replica.weight + p.weight(keys)) / replica.slots
		if best < 0 || level < bestLevel || level == bestLevel && replica.keys < p.replicas[best].keys {
			best, bestLevel = i, level
		}
	}
	return best
}

// leastLoaded returns the replica with the lowest level that is none of the excluded, or -1.
func (p *planner) leastLoaded(excluded ...int) int {
	best := -1
	for i := range p.replicas {
		if !slices.Contains(excluded, i) && (best < 0 || p.replicas[i].level() < p.replicas[best].level()) {
			best = i
		}
	}
	return best
}

// mostLoaded returns the replica with the highest level among the candidates, or -1.
func (p *planner) mostLoaded(candidates []bool) int {
	best := -1
	for i := range p.replicas {
		if candidates[i] && (best < 0 || p.replicas[i].level() > p.replicas[best].level()) {
			best = i
		}
	}
	return best
}

// prefix returns the longest part at the start of the piece that weighs at most limit, but at least one key.
func (p *planner) prefix(keys piece, limit float64) piece {
	count := sort.Search(keys.size()-1, func(i int) bool { return p.weight(piece{keys.from, keys.from + i + 1}) > limit })
	return piece{keys.from, keys.from + count}
}

// suffix returns the longest part at the end of the piece that weighs at most limit, but at least one key.
func (p *planner) suffix(keys piece, limit float64) piece {
	count := sort.Search(keys.size()-1, func(i int) bool { return p.weight(piece{keys.to - i - 1, keys.to}) > limit })
	return piece{keys.to - count, keys.to}
}

// take removes keys from those that a replica can give away, and returns them: from the densest piece of which a part weighs little less than
// want, otherwise from the densest of which a part weighs at most limit.
func (p *planner) take(donor int, want, limit float64) (piece, bool) {
	state := &p.replicas[donor]
	p.orderPieces(state)
	least := p.MinPiece * p.meanWeight
	want = max(want, 2*least) // a cut may weigh half of what is wanted
	for _, bounds := range [][2]float64{{max(least, want/4), min(want, limit)}, {least, limit}} {
		for i, keys := range state.pieces {
			if p.weight(keys) < bounds[0] {
				continue
			}
			part := p.cut(keys, want, bounds[1])
			if weight := p.weight(part); weight < bounds[0] || weight > bounds[1] {
				continue
			}
			rest := make([]piece, 0, 2)
			for _, side := range []piece{{keys.from, part.from - 1}, {part.to + 1, keys.to}} {
				if side.size() > 0 {
					rest = append(rest, side)
				}
			}
			state.pieces = slices.Replace(state.pieces, i, i+1, rest...)
			state.keys -= part.size()
			state.ordered = false
			return part, true
		}
	}
	return piece{}, false
}

// orderPieces sorts the pieces of a replica by density, the densest first.
func (p *planner) orderPieces(state *replicaState) {
	if state.ordered {
		return
	}
	density := func(keys piece) float64 { return p.weight(keys) / float64(keys.size()) }
	slices.SortFunc(state.pieces, func(a, b piece) int {
		return cmp.Or(cmp.Compare(density(b), density(a)), cmp.Compare(a.from, b.from))
	})
	state.ordered = true
}

// cut returns a part of a piece that weighs about want, and at most limit if possible: the whole piece if it weighs no more than want, otherwise
// the part at the end of the piece at which fewer keys have the weight.
func (p *planner) cut(keys piece, want, limit float64) piece {
	if p.weight(keys) <= want {
		return keys
	}
	first, last := p.prefix(keys, want), p.suffix(keys, want)
	if p.weight(first) < want/2 && p.weight(piece{first.from, first.to + 1}) <= limit {
		first.to++
	}
	if p.weight(last) < want/2 && p.weight(piece{last.from - 1, last.to}) <= limit {
		last.from--
	}
	firstWeight, lastWeight := p.weight(first), p.weight(last)
	useFirst := first.size() <= last.size()
	switch {
	case firstWeight > limit || lastWeight > limit:
		useFirst = firstWeight <= lastWeight
	case firstWeight < want/2 || lastWeight < want/2:
		useFirst = firstWeight >= lastWeight
	}
	if useFirst {
		first.from += p.idleKeys(first, func(count int) piece { return piece{first.from, first.from + count - 1} })
		return first
	}
	last.to -= p.idleKeys(last, func(count int) piece { return piece{last.to - count + 1, last.to} })
	return last
}

// idleKeys returns the number of keys at the outer end of a part that stay with the owner. The function outer returns a number of keys there.
func (p *planner) idleKeys(part piece, outer func(count int) piece) int {
	limit := maxTrimmedShare * p.weight(part)
	count := sort.Search(part.size()-1, func(i int) bool { return p.weight(outer(i+1)) > limit })
	if count < minTrimmedKeys || count < part.size()/2 {
		return 0
	}
	return count
}

// isolateBusyKeys makes each very busy key of a replica a piece of its own.
func (p *planner) isolateBusyKeys(state *replicaState) {
	if state.isolated {
		return
	}
	busyWeight := busyKeyShare * p.meanWeight
	var pieces []piece
	for _, keys := range state.pieces {
		if p.weight(keys) < busyWeight {
			pieces = append(pieces, keys)
			continue
		}
		for key := keys.from; key <= keys.to; key++ {
			single := piece{key, key}
			if p.weight(single) < busyWeight {
				continue
			}
			if keys.from < key {
				pieces = append(pieces, piece{keys.from, key - 1})
			}
			pieces = append(pieces, single)
			keys.from = key + 1
		}
		if keys.size() > 0 {
			pieces = append(pieces, keys)
		}
	}
	state.pieces, state.ordered, state.isolated = pieces, false, true
}

// retainBusiestKey keeps the busiest key of a replica where it is, if it alone is as much as the replica should have. The other keys have to go.
func (p *planner) retainBusiestKey(state *replicaState) {
	busiest, busiestWeight := -1, p.GoalRatio*p.fairLevel*state.slots
	for i, keys := range state.pieces {
		if weight := p.weight(keys); keys.size() == 1 && weight > busiestWeight {
			busiest, busiestWeight = i, weight
		}
	}
	if busiest >= 0 {
		state.pieces = slices.Delete(state.pieces, busiest, busiest+1)
	}
}
