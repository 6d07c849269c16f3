package shardreplica

import (
	"fmt"
	"time"
)

// Overlap is a violation of exclusive ownership: during one stretch of time, two replicas held the same keys, and both began to execute
// requests on them.
type Overlap struct {
	Service    string
	From, To   int // keys that both held
	Begin, End time.Duration
	First      Execution
	Second     Execution
}

func (o Overlap) String() string {
	return fmt.Sprintf("%s: from %v to %v, %s and %s both held keys %d to %d; %s began key %d at %v, %s began key %d at %v", o.Service, o.Begin, o.End,
		o.First.Replica, o.Second.Replica, o.From, o.To, o.First.Attempt, o.First.Key, o.First.Begin, o.Second.Attempt, o.Second.Key, o.Second.Begin)
}

// Overlaps returns the violations of exclusive ownership until now.
func (r *Record) Overlaps() (overlaps []Overlap) {
	executions := r.Executions()
	for service, holds := range r.Holds() {
		for i, first := range holds {
			for _, second := range holds[i+1:] {
				if overlap, found := findOverlap(service, first, second, executions); found {
					overlaps = append(overlaps, overlap)
				}
			}
		}
	}
	return overlaps
}

func findOverlap(service string, first, second Hold, executions []Execution) (overlap Overlap, found bool) {
	overlap = Overlap{
		Service: service,
		From:    max(first.From, second.From), To: min(first.To, second.To),
		Begin: max(first.Begin, second.Begin), End: min(first.End, second.End),
	}
	if first.Replica == second.Replica || overlap.From > overlap.To || overlap.Begin >= overlap.End {
		return overlap, false
	}
	for _, execution := range executions {
		key := int(execution.Key)
		inside := key >= overlap.From && key <= overlap.To && execution.Begin >= overlap.Begin && execution.Begin < overlap.End
		switch {
		case !inside || execution.Service != service:
		case execution.Replica == first.Replica && overlap.First.Replica == "":
			overlap.First = execution
		case execution.Replica == second.Replica && overlap.Second.Replica == "":
			overlap.Second = execution
		}
	}
	return overlap, overlap.First.Replica != "" && overlap.Second.Replica != ""
}
