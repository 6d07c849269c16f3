package simulation

import (
	"slices"
	"time"
)

// faultBudget limits how many members are unavailable at once. Each element is the time until which one unit is
// reserved.
type faultBudget []time.Duration

// reserve reserves one unit if one is free at the given time.
func (b faultBudget) reserve(at, until time.Duration) bool {
	i := slices.IndexFunc(b, func(reserved time.Duration) bool { return reserved <= at })
	if i >= 0 {
		b[i] = until
	}
	return i >= 0
}

// reserveAll reserves all units if they are free at the given time.
func (b faultBudget) reserveAll(at, until time.Duration) bool {
	if slices.Max(b) > at {
		return false
	}
	for i := range b {
		b[i] = until
	}
	return true
}
