// Package ownership holds the replicated table of sharded services: which replica owns which range of shard keys, and under which fencing
// token. A replica runs requests only on keys that it was granted for a limited time (a lease).
//
// Every change of the table is committed through the replicated register before the call to a replica that follows from it. Fencing tokens
// come from the table alone and only rise. The package performs no I/O.
package ownership

import (
	"errors"
	"fmt"
	"slices"
)

// MaxKey is the greatest shard key; the smallest is 0.
const MaxKey = 65535

// Phase is the state of a range.
type Phase uint8

// Phases of a range. A range alternates between the two once it has its first owner.
const (
	// PhaseGranted means that the owner may hold the range: its lease is renewed with the same token.
	PhaseGranted Phase = iota + 1

	// PhaseReleasing means that the range is being taken from its owner: the lease is no longer renewed, and the range may be granted to another
	// replica once the owner has acknowledged the release or its lease has expired.
	PhaseReleasing
)

// Range is a contiguous range of keys with a single owner.
type Range struct {
	From, To uint16 // inclusive
	Owner    string // ID of the replica
	Token    uint64 // fencing token of the grant or, while releasing, of the release
	Phase    Phase
	Target   string // intended next owner; set only while releasing, and possibly empty
	Handover string // handover of the previous owner; empty if there is none
}

// Contains reports whether a key lies in the range.
func (r Range) Contains(key uint16) bool { return r.From <= key && key <= r.To }

// Size is the number of keys in the range.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Table is the ownership of all sharded services. It is immutable: changes return a new table.
type Table struct {
	LastToken uint64             // greatest token ever issued
	Services  map[string][]Range // by service; sorted, and together covering all keys exactly once
}

// ErrNotPartition means that the ranges of a service do not cover every key exactly once.
var ErrNotPartition = errors.New("ranges do not cover every key exactly once")

// CheckPartition returns an error that wraps ErrNotPartition unless the ranges are sorted and cover every key exactly once.
func CheckPartition(ranges []Range) error {
	next := 0
	for _, r := range ranges {
		if int(r.From) != next || r.To < r.From {
			return fmt.Errorf("%w: range %d to %d, want one from %d", ErrNotPartition, r.From, r.To, next)
		}
		next = int(r.To) + 1
	}
	if next != MaxKey+1 {
		return fmt.Errorf("%w: the last range ends before key %d", ErrNotPartition, next)
	}
	return nil
}

// Find returns the index of the range that contains the key. The ranges must cover every key.
func Find(ranges []Range, key uint16) int {
	i, found := slices.BinarySearchFunc(ranges, key, func(r Range, key uint16) int { return int(r.From) - int(key) })
	if found {
		return i
	}
	return i - 1
}
