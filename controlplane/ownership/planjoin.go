package ownership

import (
	"cmp"
	"slices"
)

// maxRangesPerReplica bounds the ranges of a service with many replicas.
const maxRangesPerReplica = 16

// RangeLimit returns the number of ranges of a service above which small ones are joined.
func RangeLimit(replicas int) int {
	return max(DefaultTuning().MaxRanges, maxRangesPerReplica*replicas)
}

// joinSmallRanges moves small ranges without much load to the owner of a neighbouring range if there are more than MaxRanges. It moves at most as
// many as there are too many.
func (p *planner) joinSmallRanges() {
	excess := len(p.Ranges) - p.MaxRanges
	if excess <= 0 || p.movesLeft() == 0 {
		return
	}
	index := make(map[string]int, len(p.replicas))
	for i, replica := range p.replicas {
		index[replica.ID] = i
	}
	settled := p.settledRanges(index)
	for _, i := range p.smallRanges(settled) {
		if p.movesLeft() == 0 || excess == 0 {
			return
		}
		if !settled[i] {
			continue
		}
		neighbour := p.joinTarget(i, settled, index)
		if neighbour < 0 {
			continue
		}
		keys := piece{int(p.Ranges[i].From), int(p.Ranges[i].To)}
		p.replicas[index[p.Ranges[i].Owner]].weight -= p.weight(keys)
		p.move(keys, index[p.Ranges[neighbour].Owner])
		settled[i], settled[neighbour] = false, false
		excess--
	}
}

// settledRanges reports which ranges are granted to an eligible replica and untouched by the planned moves.
func (p *planner) settledRanges(index map[string]int) []bool {
	settled := make([]bool, len(p.Ranges))
	for i, r := range p.Ranges {
		_, eligible := index[r.Owner]
		settled[i] = eligible && r.Phase == PhaseGranted
	}
	for _, move := range p.moves {
		settled[Find(p.Ranges, move.From)] = false
	}
	return settled
}

// smallRanges returns the settled ranges that are too light to be worth a move by load, the ones with the fewest keys first.
func (p *planner) smallRanges(settled []bool) []int {
	var small []int
	for i, r := range p.Ranges {
		if settled[i] && p.weight(piece{int(r.From), int(r.To)}) < p.MinPiece*p.meanWeight {
			small = append(small, i)
		}
	}
	slices.SortStableFunc(small, func(a, b int) int { return cmp.Compare(p.Ranges[a].Size(), p.Ranges[b].Size()) })
	return small
}

// joinTarget returns the neighbour of a range whose owner can receive its keys, the less loaded one of two, or -1. A range that can be joined where
// it is has none.
func (p *planner) joinTarget(i int, settled []bool, index map[string]int) int {
	best := -1
	for _, neighbour := range []int{i - 1, i + 1} {
		if neighbour < 0 || neighbour >= len(p.Ranges) || !settled[neighbour] {
			continue
		}
		if p.Ranges[neighbour].Owner == p.Ranges[i].Owner {
			return -1
		}
		owner := &p.replicas[index[p.Ranges[neighbour].Owner]]
		if owner.level() > p.AcceptRatio*p.meanLevel {
			continue
		}
		if best < 0 || owner.level() < p.replicas[index[p.Ranges[best].Owner]].level() {
			best = neighbour
		}
	}
	return best
}
