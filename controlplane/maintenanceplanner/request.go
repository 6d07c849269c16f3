// Package maintenanceplanner schedules maintenance windows. It chooses when each node is out of service such that the demand is met
// in every slot, even after the worst failure to be tolerated, and that all windows are over as early as possible. It performs no
// I/O and reads no clocks; time is counted in slots.
//
// The machines that may fail are assumed to be the largest of their region, whether or not they are out at the time. A schedule
// therefore never assumes more capacity than the check before a grant (controlplane/maintenance).
package maintenanceplanner

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"zincloft.example/zincloft/capacity"
)

// Request is the input of the planner.
type Request struct {
	Nodes          []capacity.Node
	FaultTolerance capacity.FaultTolerance
	Demands        []Demand
	Windows        []WindowRequest
	SlotCount      int
}

// WindowRequest requests one window for each of a set of nodes.
type WindowRequest struct {
	Name          string   `json:"window"`
	Nodes         []string `json:"nodes"`
	Earliest      int      `json:"earliest"` // first slot in which a window may begin
	Latest        int      `json:"latest"`   // slot before which all windows must be over
	DurationSlots int      `json:"takes"`    // per node
	MaxConcurrent int      `json:"together"` // maximum number of nodes out at once; 0: unlimited
	After         []string `json:"after"`    // window requests that must be over first
	Conflicts     []string `json:"apart"`    // window requests that must not overlap with this one
}

func (w WindowRequest) conflictsWith(other WindowRequest) bool {
	return slices.Contains(w.Conflicts, other.Name) || slices.Contains(other.Conflicts, w.Name)
}

// Demand is the request rate of a traffic group that a region must be able to serve: the maximum of floor and forecast.
type Demand struct {
	Region, Group string
	Floor         float64   // requests per second
	Forecast      []float64 // requests per second by slot; may cover fewer slots than the request
}

func (d Demand) at(slot int) float64 {
	if slot < len(d.Forecast) {
		return max(d.Floor, d.Forecast[slot])
	}
	return d.Floor
}

// ErrDependencyCycle rejects window requests that depend on one another.
var ErrDependencyCycle = errors.New("windows: after: the dependencies form a cycle")

// Validate returns an error that names the first invalid field of a request.
func (r *Request) Validate() error {
	nodes := map[string]bool{}
	for _, node := range r.Nodes {
		if nodes[node.Name] {
			return fmt.Errorf("nodes: %s is listed twice", node.Name)
		}
		nodes[node.Name] = true
	}
	windows, windowOfNode := map[string]bool{}, map[string]string{}
	for i, window := range r.Windows {
		path := fmt.Sprintf("windows.%d", i)
		if windows[window.Name] && window.Name != "" {
			return fmt.Errorf("%s.window: %s is listed twice", path, window.Name)
		}
		if err := r.validateWindow(path, window); err != nil {
			return err
		}
		windows[window.Name] = true
		for _, node := range window.Nodes {
			if !nodes[node] {
				return fmt.Errorf("%s.nodes: %s is not known", path, node)
			}
			if other, twice := windowOfNode[node]; twice {
				return fmt.Errorf("%s.nodes: %s is already listed in window %s", path, node, other)
			}
			windowOfNode[node] = window.Name
		}
	}
	return r.validateRelations(windows)
}

func (r *Request) validateWindow(path string, window WindowRequest) error {
	switch {
	case window.Name == "":
		return fmt.Errorf("%s.window: is empty", path)
	case len(window.Nodes) == 0:
		return fmt.Errorf("%s.nodes: is empty", path)
	case window.DurationSlots <= 0:
		return fmt.Errorf("%s.takes: is not above zero", path)
	case window.Earliest < 0 || window.Latest > r.SlotCount || window.Earliest+window.DurationSlots > window.Latest:
		return fmt.Errorf("%s.latest: there is no room between earliest and latest for one window", path)
	}
	return nil
}

func (r *Request) validateRelations(windows map[string]bool) error {
	for i, window := range r.Windows {
		for _, other := range slices.Concat(window.After, window.Conflicts) {
			if !windows[other] || other == window.Name {
				return fmt.Errorf("windows.%d: after or apart: %s is not the name of another window", i, other)
			}
		}
	}
	if _, ok := r.topologicalOrder(); !ok {
		return ErrDependencyCycle
	}
	return nil
}

// topologicalOrder returns the indices of the window requests in an order that respects After, with the most urgent first. It
// returns false if the dependencies form a cycle.
func (r *Request) topologicalOrder() (order []int, ok bool) {
	done := map[string]bool{}
	slack := func(window WindowRequest) int {
		return window.Latest - window.Earliest - window.DurationSlots*len(window.Nodes)
	}
	compareUrgency := func(a, b WindowRequest) int {
		return cmp.Or(cmp.Compare(a.Latest, b.Latest), cmp.Compare(slack(a), slack(b)))
	}
	for len(order) < len(r.Windows) {
		next := -1
		for i, window := range r.Windows {
			waits := slices.ContainsFunc(window.After, func(other string) bool { return !done[other] })
			if done[window.Name] || waits {
				continue
			}
			if next < 0 || compareUrgency(window, r.Windows[next]) < 0 {
				next = i
			}
		}
		if next < 0 {
			return nil, false
		}
		done[r.Windows[next].Name] = true
		order = append(order, next)
	}
	return order, true
}

// bounds returns the earliest start and the latest end allowed by the window requests.
func (r *Request) bounds() (first, last int) {
	first = r.SlotCount
	for _, window := range r.Windows {
		first, last = min(first, window.Earliest), max(last, window.Latest)
	}
	return first, last
}

// minMakespan returns a lower bound on the makespan of any schedule.
func (r *Request) minMakespan() int {
	longest := 0
	for _, window := range r.Windows {
		duration := window.DurationSlots
		if window.MaxConcurrent > 0 {
			duration *= (len(window.Nodes) + window.MaxConcurrent - 1) / window.MaxConcurrent
		}
		longest = max(longest, duration)
	}
	return longest
}

// placement is one node of a window request that needs a start slot.
type placement struct {
	window   int // index in Request.Windows
	node     int // index in Request.Nodes
	duration int // slots
}

// placements returns the nodes of a window request, largest capacity first, as these are hardest to place.
func (r *Request) placements(window int, nodeIndex map[string]int) []placement {
	requested := r.Windows[window]
	var all []placement
	for _, node := range requested.Nodes {
		all = append(all, placement{window: window, node: nodeIndex[node], duration: requested.DurationSlots})
	}
	slices.SortStableFunc(all, func(a, b placement) int {
		return cmp.Compare(totalCapacity(r.Nodes[b.node]), totalCapacity(r.Nodes[a.node]))
	})
	return all
}

func totalCapacity(node capacity.Node) float64 {
	total := 0.0
	for _, group := range node.Capacity {
		total += group
	}
	return total
}
