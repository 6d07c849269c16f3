package eventqueue

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// recorder implements Clients and Discovery and records the calls.
type recorder struct{ calls []string }

func (r *recorder) record(format string, a ...any) {
	r.calls = append(r.calls, fmt.Sprintf(format, a...))
}
func (r *recorder) Accept(Input) bool                   { return false }
func (r *recorder) Execute(orders []rules.Order)        { r.record("execute %+v", orders) }
func (r *recorder) Forget(id rules.ReplicaID)           { r.record("forget %d", id) }
func (r *recorder) Watch(on bool)                       { r.record("watch %v", on) }
func (r *recorder) Fetch()                              { r.record("fetch") }
func (r *recorder) ID([]byte) (rules.ReplicaID, bool)   { return 0, false }
func (r *recorder) Name(rules.ReplicaID) (string, bool) { return "", false }

// TestDispatch checks that a replica's removal is executed before its name is released, when both are ordered in one step.
func TestDispatch(t *testing.T) {
	q, components := New(1), &recorder{}
	q.Connect(components, components)
	own := q.Dispatch([]rules.Order{rules.WatchList{On: true}, rules.EndpointWeight{Replica: 4}, rules.Forget{Replica: 4}, rules.WakeAfter{TimerID: 1}, rules.FetchList{}})
	want := []string{"watch true", "fetch", "execute [{Table:0 Replica:4 Weight:0}]", "forget 4", "forget 4"}
	if d := cmp.Diff(want, components.calls); d != "" || len(own) != 2 {
		t.Error(d, own)
	}
}

// TestReportsDelayNothingElse fills the queue of reports: another report is rejected, while joins, leaves, acknowledgements
// and the endpoint list still have room.
func TestReportsDelayNothingElse(t *testing.T) {
	q := New(4)
	for q.TryPost(Input{Batch: &intake.Batch{}}) {
	}
	if q.TryPost(Input{Event: rules.EndpointStats{}}) || q.TryPost(Input{Event: rules.GroupTraffic{}}) {
		t.Error("a report was accepted by a full queue")
	}
	for _, event := range []rules.Event{rules.Joined{}, rules.Left{}, rules.Applied{}, rules.List{}} {
		q.Post(Input{Event: event}) // blocks forever if reports take the room
	}
	if len(q.Urgent()) != 4 || len(q.Reports()) != 4 {
		t.Error(len(q.Urgent()), len(q.Reports()))
	}
}
