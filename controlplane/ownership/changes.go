package ownership

import (
	"maps"
	"slices"
)

// Replica is a replica of a sharded service.
type Replica struct {
	ID    string
	Zone  string
	Slots int // requests that the replica runs at once
}

// Move is a decision to move a range of keys to another replica.
type Move struct {
	From, To uint16 // inclusive
	Target   string // ID of the replica that receives the keys
}

// Release returns a table in which the keys of the moves are being released, with the targets of the moves and a new token. It affects
// granted ranges only, and splits them as needed. If moves overlap, the first one decides.
func Release(table Table, service string, moves []Move) Table {
	token := table.LastToken + 1
	targets := make([]segment, 0, len(moves))
	for _, move := range moves {
		targets = append(targets, segment{from: move.From, to: move.To, target: move.Target})
	}
	return replaceRanges(table, service, targets, func(r Range, s segment) Range {
		if r.Phase == PhaseGranted {
			r.Phase, r.Target, r.Token = PhaseReleasing, s.target, token
		}
		return r
	})
}

// Retoken returns a table in which the granted ranges from one key to another have a new token. Ranges are split as needed.
func Retoken(table Table, service string, from, to uint16) Table {
	token := table.LastToken + 1
	return replaceRanges(table, service, []segment{{from: from, to: to}}, func(r Range, _ segment) Range {
		if r.Phase == PhaseGranted {
			r.Token = token
		}
		return r
	})
}

// Grant returns a table in which a single range from one key to another is granted to the owner with a new token. A service that has not been
// divided has nothing to grant.
func Grant(table Table, service string, from, to uint16, owner, handover string) Table {
	ranges := table.Services[service]
	if len(ranges) == 0 || from > to {
		return table
	}
	token := table.LastToken + 1
	changed := make([]Range, 0, len(ranges)+2)
	for _, r := range ranges {
		if r.From < from {
			before := r
			before.To = min(r.To, from-1)
			changed = append(changed, before)
		}
		if r.Contains(from) {
			changed = append(changed, Range{From: from, To: to, Owner: owner, Token: token, Phase: PhaseGranted, Handover: handover})
		}
		if r.To > to {
			r.From = max(r.From, to+1)
			changed = append(changed, r)
		}
	}
	return withRanges(table, service, changed, token)
}

// RemoveServices returns a table without the services that keep rejects. Tokens continue from the same counter.
func RemoveServices(table Table, keep func(service string) bool) Table {
	services := maps.Clone(table.Services)
	maps.DeleteFunc(services, func(service string, _ []Range) bool { return !keep(service) })
	return Table{LastToken: table.LastToken, Services: services}
}

// Merge returns a table in which adjacent ranges of the service that stem from the same grant are a single range, if the service has more than
// maxRanges. Ranges with different tokens, or with a handover, stay apart: a renewal has to repeat the grant of all its keys.
func Merge(table Table, service string, maxRanges int) Table {
	ranges := table.Services[service]
	if len(ranges) <= maxRanges {
		return table
	}
	merged := make([]Range, 0, len(ranges))
	for _, r := range ranges {
		if last := len(merged) - 1; last >= 0 && sameGrant(merged[last], r) {
			merged[last].To = r.To
			continue
		}
		merged = append(merged, r)
	}
	return withRanges(table, service, merged, table.LastToken)
}

// Join returns a table in which adjacent granted ranges of the same owner are a single range with a new token, if the service has more than
// maxRanges. It joins only ranges for which acknowledged returns true: their owner has accepted the grant, and holds the keys without needing the
// handover again.
func Join(table Table, service string, maxRanges int, acknowledged func(Range) bool) Table {
	ranges := table.Services[service]
	if len(ranges) <= maxRanges {
		return table
	}
	joinable := func(r Range) bool { return r.Phase == PhaseGranted && acknowledged(r) }
	joined := make([]Range, 0, len(ranges))
	for i := 0; i < len(ranges); {
		end := i + 1
		for end < len(ranges) && ranges[end].Owner == ranges[i].Owner && joinable(ranges[i]) && joinable(ranges[end]) {
			end++
		}
		r := ranges[i]
		if end > i+1 {
			r.To, r.Token, r.Handover = ranges[end-1].To, table.LastToken+1, ""
		}
		joined = append(joined, r)
		i = end
	}
	if len(joined) == len(ranges) {
		return table
	}
	return withRanges(table, service, joined, table.LastToken+1)
}

func sameGrant(a, b Range) bool {
	return a.Phase == PhaseGranted && b.Phase == PhaseGranted && a.Owner == b.Owner && a.Token == b.Token && a.Handover == "" && b.Handover == ""
}

// segment is a contiguous range of keys to which a change applies.
type segment struct {
	from, to uint16
	target   string
}

// replaceRanges returns a table in which the parts of the service's ranges that lie in a segment are replaced by the result of replace, which
// may use the token after the table's last. If nothing changes, it returns the table itself.
func replaceRanges(table Table, service string, segments []segment, replace func(Range, segment) Range) Table {
	ranges := table.Services[service]
	segments = disjoint(segments)
	changed := make([]Range, 0, len(ranges)+2*len(segments))
	modified := false
	for _, r := range ranges {
		next := int(r.From) // first key of the range that is not yet in changed
		for i := firstReaching(segments, r.From); i < len(segments) && segments[i].from <= r.To; i++ {
			part := r
			part.From, part.To = max(r.From, segments[i].from), min(r.To, segments[i].to)
			replacement := replace(part, segments[i])
			if replacement == part {
				continue
			}
			if next < int(part.From) {
				before := r
				before.From, before.To = uint16(next), part.From-1
				changed = append(changed, before)
			}
			changed = append(changed, replacement)
			next = int(part.To) + 1
			modified = true
		}
		if next <= int(r.To) {
			r.From = uint16(next)
			changed = append(changed, r)
		}
	}
	if !modified {
		return table
	}
	return withRanges(table, service, changed, table.LastToken+1)
}

// disjoint returns the segments in the order of their keys, without those that overlap an earlier one of the list.
func disjoint(segments []segment) []segment {
	sorted := make([]segment, 0, len(segments))
	for _, s := range segments {
		if s.from > s.to {
			continue
		}
		i := firstReaching(sorted, s.from)
		if i == len(sorted) || sorted[i].from > s.to {
			sorted = slices.Insert(sorted, i, s)
		}
	}
	return sorted
}

// firstReaching returns the index of the first of the disjoint, sorted segments that ends at the key or after it.
func firstReaching(segments []segment, key uint16) int {
	i, _ := slices.BinarySearchFunc(segments, key, func(s segment, key uint16) int { return int(s.to) - int(key) })
	return i
}

// withRanges returns a copy of the table with other ranges of a service.
func withRanges(table Table, service string, ranges []Range, lastToken uint64) Table {
	services := make(map[string][]Range, len(table.Services)+1)
	maps.Copy(services, table.Services)
	services[service] = ranges
	return Table{LastToken: lastToken, Services: services}
}
