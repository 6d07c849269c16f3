package shardreplica

import (
	"fmt"
	"net/http"
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
		overlaps = append(overlaps, FindOverlaps(service, holds, executions)...)
	}
	return overlaps
}

// FindOverlaps returns the violations of exclusive ownership among the holds of one service.
func FindOverlaps(service string, holds []Hold, executions []Execution) (overlaps []Overlap) {
	for i, first := range holds {
		for _, second := range holds[i+1:] {
			if overlap, found := findOverlap(service, first, second, executions); found {
				overlaps = append(overlaps, overlap)
			}
		}
	}
	return overlaps
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
