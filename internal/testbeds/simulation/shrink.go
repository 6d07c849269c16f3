package simulation

import "slices"

// longSchedule is the number of faults and actions above which a schedule is shrunk in one round only.
const longSchedule = 60

// Shrink removes faults (but not spares), actions, gateways and replicas from a schedule while it still violates an
// invariant.
func Shrink(schedule Schedule) (Schedule, Result) {
	return ShrinkWith(schedule, func(candidate Schedule) (Result, bool) {
		result := Run(candidate)
		return result, len(result.Violations) > 0
	})
}

// ShrinkWith is like Shrink with a custom check, which runs a schedule and reports whether it still fails.
func ShrinkWith(schedule Schedule, check func(Schedule) (Result, bool)) (Schedule, Result) {
	s := &shrinker{schedule: schedule, check: check}
	s.result, _ = check(schedule)
	for smaller := true; smaller; {
		smaller = s.dropFaults()
		smaller = s.dropActions() || smaller
		smaller = s.dropNodes(func(s *Schedule) *int { return &s.Gateways }) || smaller
		smaller = s.dropNodes(func(s *Schedule) *int { return &s.Replicas }) || smaller
		if len(s.schedule.Faults)+len(s.schedule.Actions) > longSchedule {
			break
		}
	}
	return s.schedule, s.result
}

// shrinker holds the smallest failing schedule so far and its result.
type shrinker struct {
	schedule Schedule
	result   Result
	check    func(Schedule) (Result, bool)
}

// try keeps a candidate if it still fails, and reports whether it does.
func (s *shrinker) try(candidate Schedule) bool {
	result, fails := s.check(candidate)
	if fails {
		s.schedule, s.result = candidate, result
	}
	return fails
}

// dropFaults removes single faults. Spares stay, as removing one could exceed the number of members that may be lost.
func (s *shrinker) dropFaults() (smaller bool) {
	for i := 0; i < len(s.schedule.Faults); i++ {
		if s.schedule.Faults[i].Kind == AddSpareMember {
			continue
		}
		candidate := s.schedule
		candidate.Faults = slices.Delete(slices.Clone(s.schedule.Faults), i, i+1)
		if s.try(candidate) {
			smaller = true
			i--
		}
	}
	return smaller
}

// dropActions removes runs of actions of decreasing length.
func (s *shrinker) dropActions() (smaller bool) {
	for length := len(s.schedule.Actions) / 2; length > 0; length /= 2 {
		for i := 0; i+length <= len(s.schedule.Actions); {
			candidate := s.schedule
			candidate.Actions = slices.Delete(slices.Clone(s.schedule.Actions), i, i+length)
			if s.try(candidate) {
				smaller = true
			} else {
				i += length
			}
		}
	}
	return smaller
}

// dropNodes decreases a number of nodes.
func (s *shrinker) dropNodes(count func(*Schedule) *int) (smaller bool) {
	for *count(&s.schedule) > 0 {
		candidate := s.schedule
		*count(&candidate)--
		if !s.try(candidate) {
			break
		}
		smaller = true
	}
	return smaller
}
