package maintenanceplanner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Schedule gives each node of the window requests its window.
type Schedule struct {
	Assignments []Assignment // by start
	Makespan    int          // slots from the earliest start that is allowed to the last end
	Optimal     bool         // no shorter schedule exists
}

// Assignment is one node's window.
type Assignment struct {
	Window string `json:"window"`
	Node   string `json:"node"`
	Start  int    `json:"from"` // slot
	End    int    `json:"to"`   // the first slot after it
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

// finish sorts the assignments and calculates the makespan.
func (s Schedule) finish(r *Request) Schedule {
	slices.SortStableFunc(s.Assignments, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), strings.Compare(a.Node, b.Node))
	})
	first, _ := r.bounds()
	s.Makespan = max(s.end()-first, 0)
	return s
}

// end is the first slot after all assignments.
func (s Schedule) end() int {
	end := 0
	for _, assignment := range s.Assignments {
		end = max(end, assignment.End)
	}
	return end
}

// InfeasibleError tells why there is no schedule: a node's window that cannot be placed.
type InfeasibleError struct {
	Window, Node string
	Reason       string // which demand, when, by how much
	Suggestion   string // the nearest change that would do; may be empty
	Proven       bool   // no schedule exists; else none was found
}

func (e *InfeasibleError) Error() string {
	text := fmt.Sprintf("%s of %s cannot be placed: %s", e.Window, e.Node, e.Reason)
	if !e.Proven {
		text += " (none was found; not all ways were tried)"
	}
	if e.Suggestion != "" {
		text += "; " + e.Suggestion
	}
	return text
}
