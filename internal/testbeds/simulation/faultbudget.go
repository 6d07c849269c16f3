package simulation

import (
	"slices"
	"time"
)

// faultBudget is how many members may be lost at once: for each of them, until when it is reserved.
type faultBudget []time.Duration

// reserve takes one that is free at a time, if there is one.
func (b faultBudget) reserve(at, until time.Duration) bool {
	i := slices.IndexFunc(b, func(reserved time.Duration) bool { return reserved <= at })
	if i >= 0 {
		b[i] = until
	}
	return i >= 0
}

// reserveAll takes the whole budget, if all of it is free at a time.
func (b faultBudget) reserveAll(at, until time.Duration) bool {
	if slices.Max(b) > at {
		return false
	}
	for i := range b {
		b[i] = until
	}
	return true
}
