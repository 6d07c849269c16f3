package ownership

import (
	"cmp"
	"slices"
)

// deal is the place of a range in the order in which the first division deals out ranges.
type deal struct {
	replica  int    // index
	position uint64 // the whole order is split into as many equal turns as the replica has ranges; each turn has one of them
}

// Divide returns a table in which a service that has no ranges yet is divided among replicas: all keys, in ranges as even as possible, granted
// with one new token. A replica with an average number of slots gets rangesPerReplica ranges, the others a number in proportion to their slots.
//
// The ranges are dealt out in turns whose order differs, so that neighbouring ranges belong to different replicas, and two replicas are
// neighbours in few places. If all have the same number of slots, some half of the replicas lie between two ranges of the same one.
func Divide(table Table, service string, replicas []Replica, rangesPerReplica int) Table {
	if len(replicas) == 0 || len(table.Services[service]) > 0 {
		return table
	}
	replicas = sortedByID(replicas)
	replicas = replicas[:min(len(replicas), MaxKey+1)]
	deals := dealRanges(replicas, max(1, min(rangesPerReplica, (MaxKey+1)/len(replicas))))
	token := table.LastToken + 1
	ranges := make([]Range, len(deals))
	for i, d := range deals {
		ranges[i] = Range{
			From:  uint16(i * (MaxKey + 1) / len(deals)),
			To:    uint16((i+1)*(MaxKey+1)/len(deals) - 1),
			Owner: replicas[d.replica].ID, Token: token, Phase: PhaseGranted,
		}
	}
	return withRanges(table, service, ranges, token)
}

// dealRanges returns which replica gets each range, in the order of the keys.
func dealRanges(replicas []Replica, rangesPerReplica int) []deal {
	counts := rangeCounts(replicas, rangesPerReplica)
	var deals []deal
	for replica, count := range counts {
		half := uint64(0) // within a turn, the first half of the replicas precedes the second
		if replica >= len(replicas)/2 {
			half = 1
		}
		for turn := range count {
			shuffle := mix(uint64(turn)<<32|uint64(replica)) >> 32
			deals = append(deals, deal{replica: replica, position: (uint64(turn)<<33 | half<<32 | shuffle) / uint64(count)})
		}
	}
	slices.SortFunc(deals, func(a, b deal) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.replica, b.replica))
	})
	return deals
}

// rangeCounts returns the number of ranges of each replica: at least one, otherwise in proportion to its slots.
func rangeCounts(replicas []Replica, rangesPerReplica int) []int {
	slots := 0
	for _, replica := range replicas {
		slots += replica.slots()
	}
	total := len(replicas) * rangesPerReplica
	counts := make([]int, len(replicas))
	left, slotsLeft := total, slots
	for i, replica := range replicas {
		fair := (left*replica.slots() + slotsLeft/2) / slotsLeft
		counts[i] = max(1, min(fair, left-(len(replicas)-1-i)))
		left -= counts[i]
		slotsLeft -= replica.slots()
	}
	return counts
}

// slots returns the number of slots for proportions: a replica that states none counts as one slot.
func (r Replica) slots() int { return max(1, r.Slots) }

func sortedByID(replicas []Replica) []Replica {
	return slices.SortedFunc(slices.Values(replicas), func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
}

// mix returns a number that depends on all bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
