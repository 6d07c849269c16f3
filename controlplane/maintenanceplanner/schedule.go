package maintenanceplanner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Schedule assigns a window to each node of the window requests.
type Schedule struct {
	Assignments []Assignment // sorted by start
	Makespan    int          // slots from the earliest allowed start to the last end
	Optimal     bool         // proven to be the shortest schedule
}

// Assignment is the scheduled window of one node.
type Assignment struct {
	Window string `json:"window"`
	Node   string `json:"node"`
	Start  int    `json:"from"` // first slot
	End    int    `json:"to"`   // first slot after the window
}

// covers reports whether the node is out in a slot.
func (a Assignment) covers(slot int) bool { return a.Start <= slot && slot < a.End }

func (r *Request) assignment(placed placement, start int) Assignment {
	return Assignment{
		Window: r.Windows[placed.window].Name,
		Node:   r.Nodes[placed.node].Name,
		Start:  start,
		End:    start + placed.duration,
	}
}

// finish sorts the assignments and computes the makespan.
func (s Schedule) finish(r *Request) Schedule {
	slices.SortStableFunc(s.Assignments, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), strings.Compare(a.Node, b.Node))
	})
	first, _ := r.bounds()
	s.Makespan = max(s.end()-first, 0)
	return s
}

// end returns the first slot after all assignments.
func (s Schedule) end() int {
	end := 0
	for _, assignment := range s.Assignments {
		end = max(end, assignment.End)
	}
	return end
}

// InfeasibleError reports a node's window that cannot be scheduled.
type InfeasibleError struct {
	Window, Node string
	Reason       string
	Suggestion   string // a change that would make the window fit; may be empty
	Proven       bool   // no schedule exists; otherwise the search was not exhaustive
}

func (e *InfeasibleError) Error() string {
	text := fmt.Sprintf("window %s of node %s cannot be scheduled: %s", e.Window, e.Node, e.Reason)
	if !e.Proven {
		text += " (the search was not exhaustive)"
	}
	if e.Suggestion != "" {
		text += "; " + e.Suggestion
	}
	return text
}
