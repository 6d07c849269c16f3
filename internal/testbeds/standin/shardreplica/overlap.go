package shardreplica

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// DoubleHold is a stretch of time during which two replicas held the same keys.
type DoubleHold struct {
	First, Second string // replicas
	From, To      int    // inclusive
	Begin, End    time.Duration
}

func (d DoubleHold) String() string {
	return fmt.Sprintf("%s and %s both held keys %d to %d from %v to %v", d.First, d.Second, d.From, d.To, d.Begin, d.End)
}

// FindDoubleHolds returns the times during which two replicas held the same keys, sorted by replicas and time. The holds are of one service.
func FindDoubleHolds(holds []Hold) (found []DoubleHold) {
	holds = slices.Clone(holds)
	slices.SortStableFunc(holds, func(a, b Hold) int { return cmp.Or(cmp.Compare(a.Begin, b.Begin), cmp.Compare(a.Replica, b.Replica)) })
	for i, first := range holds {
		for _, second := range holds[i+1:] {
			if second.Begin >= first.End {
				break
			}
			both := DoubleHold{
				First: min(first.Replica, second.Replica), Second: max(first.Replica, second.Replica),
				From: max(first.From, second.From), To: min(first.To, second.To),
				Begin: second.Begin, End: min(first.End, second.End),
			}
			if first.Replica != second.Replica && both.From <= both.To && both.Begin < both.End {
				found = append(found, both)
			}
		}
	}
	slices.SortStableFunc(found, func(a, b DoubleHold) int {
		return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Second, b.Second), cmp.Compare(a.Begin, b.Begin))
	})
	return found
}

// Overlap is a violation of exclusive ownership: during one stretch of time, two replicas held the same keys, and both began to execute
// requests on them.
type Overlap struct {
	Service string
	Holds   []DoubleHold // of the same replicas, overlapping in time
	First   Execution
	Second  Execution
}

func (o Overlap) String() string {
	return fmt.Sprintf("%s: %v (%d ranges); %s began key %d at %v for %s, %s began key %d at %v for %s", o.Service, o.Holds[0], len(o.Holds),
		o.First.Replica, o.First.Key, o.First.Begin, o.First.Attempt, o.Second.Replica, o.Second.Key, o.Second.Begin, o.Second.Attempt)
}

// Overlaps returns the violations of exclusive ownership until now.
func (r *Record) Overlaps() (overlaps []Overlap) {
	executions := r.Executions()
	for service, holds := range r.Holds() {
		overlaps = append(overlaps, FindOverlaps(service, holds, executions)...)
	}
	return overlaps
}

// FindOverlaps returns the violations of exclusive ownership among the holds of one service.
func FindOverlaps(service string, holds []Hold, executions []Execution) (overlaps []Overlap) {
	for _, group := range groupByTime(FindDoubleHolds(holds)) {
		overlap := Overlap{Service: service, Holds: group}
		for _, execution := range executions {
			overlap.add(execution)
		}
		if overlap.First.Replica != "" && overlap.Second.Replica != "" {
			overlaps = append(overlaps, overlap)
		}
	}
	return overlaps
}

// groupByTime joins double holds of the same replicas whose times overlap.
func groupByTime(sorted []DoubleHold) (groups [][]DoubleHold) {
	var end time.Duration // of the last group
	for i, hold := range sorted {
		if i == 0 || sorted[i-1].First != hold.First || sorted[i-1].Second != hold.Second || hold.Begin >= end {
			groups = append(groups, nil)
			end = 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], hold)
		end = max(end, hold.End)
	}
	return groups
}

// add stores an execution that a replica began on keys that both held, if it is the first one of that replica.
func (o *Overlap) add(execution Execution) {
	key := int(execution.Key)
	inside := slices.ContainsFunc(o.Holds, func(d DoubleHold) bool {
		return key >= d.From && key <= d.To && execution.Begin >= d.Begin && execution.Begin < d.End
	})
	switch {
	case !inside || execution.Service != o.Service:
	case execution.Replica == o.Holds[0].First && o.First.Replica == "":
		o.First = execution
	case execution.Replica == o.Holds[0].Second && o.Second.Replica == "":
		o.Second = execution
	}
}

// ReplayHolds returns the holds of a replica that follow from calls to it, in the order of their effect, until end. Calls may be left out, for
// checks that do not count them.
func ReplayHolds(replica string, calls []Call, end time.Duration) []Hold {
	leases := newLeaseTable(replica)
	for _, call := range calls {
		switch {
		case call.Path == releasePath:
			leases.release(call.From, call.To, call.Fence, call.At)
		case call.Status == http.StatusOK:
			leases.grant(lease{from: call.From, to: call.To, fence: call.Fence, arrival: call.At, until: call.Until})
		}
	}
	leases.endAll(end)
	return leases.ended
}
