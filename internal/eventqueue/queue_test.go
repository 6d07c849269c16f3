package eventqueue

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// sides stands for both and writes down what is asked of them.
type sides struct{ asked []string }

func (s *sides) note(format string, a ...any)        { s.asked = append(s.asked, fmt.Sprintf(format, a...)) }
func (s *sides) Accept(Event) bool                   { return false }
func (s *sides) Execute(o []rules.Order)             { s.note("carry %+v", o) }
func (s *sides) Forget(r rules.ReplicaID)            { s.note("forget %d", r) }
func (s *sides) Watch(on bool)                       { s.note("observe %v", on) }
func (s *sides) Fetch()                              { s.note("fetch") }
func (s *sides) ID([]byte) (rules.ReplicaID, bool)   { return 0, false }
func (s *sides) Name(rules.ReplicaID) (string, bool) { return "", false }

// TestDeliver has a replica's last removal in the Step that forgets it: it is written before its name goes.
func TestDeliver(t *testing.T) {
	x, s := New(1), &sides{}
	x.Connect(s, s)
	own := x.Dispatch([]rules.Order{rules.Observe{On: true}, rules.EndpointWeight{Replica: 4}, rules.Forget{Replica: 4}, rules.WakeAfter{TimerID: 1}, rules.FetchList{}})
	want := []string{"observe true", "fetch", "carry [{Table:0 Replica:4 Weight:0}]", "forget 4", "forget 4"}
	if d := cmp.Diff(want, s.asked); d != "" || len(own) != 2 {
		t.Error(d, own)
	}
}

// TestNothingWaitsBehindReports fills the lane of reports: joins, leaves, marks and the list still find room, and come
// out first; a report that is offered does not.
func TestNothingWaitsBehindReports(t *testing.T) {
	x := New(4)
	for x.TryPost(Event{Batch: &intake.Batch{}}) {
	}
	if x.TryPost(Event{Fact: rules.EndpointStats{}}) || x.TryPost(Event{Fact: rules.GroupTraffic{}}) {
		t.Error("there is room for reports in a lane that is full")
	}
	for _, fact := range []rules.Event{rules.Joined{}, rules.Left{}, rules.Applied{}, rules.List{}} {
		x.Post(Event{Fact: fact}) // would wait for ever
	}
	if len(x.Urgent()) != 4 || len(x.Reports()) != 4 {
		t.Error(len(x.Urgent()), len(x.Reports()))
	}
}
