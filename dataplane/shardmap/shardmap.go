// Package shardmap provides the table that maps the shard keys of a service to the replicas that own them, as published by
// the control plane. The package performs no I/O.
//
// A Table is immutable: applying an update returns a new one. A look-up is a binary search that allocates nothing.
//
// Invariant: a table never goes back to a lower fencing token. Updates with a lower last token than the table's are ignored,
// complete ones included, as a gateway may change to a control-plane member that lags behind.
package shardmap

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/messages"
)

// keyCount is the number of shard keys of a service.
const keyCount = 1 << 16

// Errors of Apply. They leave the table unchanged.
var (
	ErrInvalidRange = errors.New("invalid range of shard keys")
	ErrUnknownOwner = errors.New("range of shard keys has an owner that the update does not list")
	ErrOverlap      = errors.New("overlapping ranges of shard keys")
	ErrIncomplete   = errors.New("ranges do not cover all shard keys")
	ErrNoBase       = errors.New("difference without an earlier complete update")
)

// Range is a range of shard keys with a common owner.
type Range struct {
	From, To uint16 // inclusive
	Owner    string // ID of a replica
	Token    uint64 // fencing token of the owner's grant or, while moving, of its release
	Moving   bool   // the owner no longer accepts requests on these keys, and the next owner does not yet

	Since time.Duration // when this gateway learned of the token
}

// continues reports whether r directly follows previous and differs from it in its keys only.
func (r Range) continues(previous Range) bool {
	previous.From, previous.To, r.To = r.From, r.From, r.From
	return r == previous
}

// Table is the ownership of the shard keys of one service. The nil table knows no owners.
type Table struct {
	lastToken uint64
	ranges    []Range  // sorted; they cover all keys
	starts    []uint16 // first keys of ranges, searched by Lookup
}

// LastToken returns the greatest fencing token that had been issued when the last applied update was made.
func (t *Table) LastToken() uint64 {
	if t == nil {
		return 0
	}
	return t.lastToken
}

// Ranges returns a copy of all ranges in the order of their keys.
func (t *Table) Ranges() []Range {
	if t == nil {
		return nil
	}
	return slices.Clone(t.ranges)
}

// Lookup returns the range of a key. It returns false if the table is nil.
func (t *Table) Lookup(key uint16) (Range, bool) {
	if t == nil {
		return Range{}, false
	}
	i, found := slices.BinarySearch(t.starts, key)
	if !found {
		i-- // the first range starts at key 0, so there is a range before the position
	}
	return t.ranges[i], true
}

// Apply returns the table after an update. It returns t itself if the update is older than the table, and t and an error if
// the update is invalid.
func (t *Table) Apply(now time.Duration, update messages.ServiceOwnership) (*Table, error) {
	if t != nil && update.LastToken < t.lastToken {
		return t, nil
	}
	changes, err := decodeRanges(now, update)
	if err != nil {
		return t, err
	}
	switch {
	case update.Complete:
		if !coversAllKeys(changes) {
			return t, ErrIncomplete
		}
	case t == nil:
		return t, ErrNoBase
	}
	var base []Range
	if t != nil {
		t.keepSince(changes)
		base = t.ranges
	}
	return newTable(update.LastToken, overlay(base, changes)), nil
}

// Equal reports whether two tables map all keys to the same ranges.
func (t *Table) Equal(other *Table) bool {
	if t == nil || other == nil {
		return t == other
	}
	return slices.Equal(t.ranges, other.ranges)
}

func newTable(lastToken uint64, ranges []Range) *Table {
	table := &Table{lastToken: lastToken, ranges: ranges, starts: make([]uint16, len(ranges))}
	for i, r := range ranges {
		table.starts[i] = r.From
	}
	return table
}

// decodeRanges returns the valid, sorted ranges of an update.
func decodeRanges(now time.Duration, update messages.ServiceOwnership) ([]Range, error) {
	ranges := make([]Range, 0, len(update.Ranges))
	for _, owned := range update.Ranges {
		if owned.From > owned.To {
			return nil, fmt.Errorf("%w: %d to %d", ErrInvalidRange, owned.From, owned.To)
		}
		if uint64(owned.Owner) >= uint64(len(update.Owners)) {
			return nil, fmt.Errorf("%w: %d of %d", ErrUnknownOwner, owned.Owner, len(update.Owners))
		}
		ranges = append(ranges, Range{
			From:   owned.From,
			To:     owned.To,
			Owner:  update.Owners[owned.Owner],
			Token:  owned.Token,
			Moving: owned.Moving,
			Since:  now,
		})
	}
	slices.SortFunc(ranges, func(x, y Range) int { return int(x.From) - int(y.From) })
	for i := 1; i < len(ranges); i++ {
		if ranges[i].From <= ranges[i-1].To {
			return nil, fmt.Errorf("%w: %d is in two", ErrOverlap, ranges[i].From)
		}
	}
	return ranges, nil
}

// coversAllKeys reports whether sorted ranges without overlaps cover all keys.
func coversAllKeys(ranges []Range) bool {
	keys := 0
	for _, r := range ranges {
		keys += int(r.To) - int(r.From) + 1
	}
	return keys == keyCount
}

// keepSince sets the Since of changes that repeat a range of the table, such as those of a complete update.
func (t *Table) keepSince(changes []Range) {
	for i, change := range changes {
		known, _ := t.Lookup(change.From)
		if known.Token == change.Token && known.Owner == change.Owner && known.Moving == change.Moving {
			changes[i].Since = known.Since
		}
	}
}

// overlay returns the sorted ranges of base with the keys of changes replaced.
func overlay(base, changes []Range) []Range {
	merged := make([]Range, 0, len(base)+2*len(changes))
	add := func(r Range) {
		if last := len(merged) - 1; last >= 0 && r.continues(merged[last]) {
			merged[last].To = r.To
			return
		}
		merged = append(merged, r)
	}
	nextKey, next := 0, 0 // first key that merged lacks, and index of the first range of base that may contain it
	addBaseBefore := func(end int) {
		for nextKey < end && next < len(base) && int(base[next].From) < end {
			if int(base[next].To) >= nextKey {
				part := base[next]
				part.From, part.To = uint16(max(int(part.From), nextKey)), uint16(min(int(part.To), end-1))
				add(part)
			}
			if int(base[next].To) >= end {
				return
			}
			next++
		}
	}
	for _, change := range changes {
		addBaseBefore(int(change.From))
		add(change)
		nextKey = int(change.To) + 1
	}
	addBaseBefore(keyCount)
	return merged
}
