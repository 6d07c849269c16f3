// Package maintenanceplanner schedules maintenance windows: it chooses when each node is to be out, so that the demand is met in
// every slot, also after the worst loss that must be survived, and that all windows are over as early as possible. It is free of I/O and
// of clocks; time is counted in slots.
//
// Machines that may be lost are counted as the strongest of their region, whether or not one of them is out at the time. So a
// schedule never assumes more capacity than the grant will find (controlplane/maintenance).
package maintenanceplanner

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"zincloft.example/zincloft/capacity"
)

// Request is what a schedule is made for.
type Request struct {
	Nodes          []capacity.Node
	FaultTolerance capacity.FaultTolerance
	Demands        []Demand
	Windows        []WindowRequest
	SlotCount      int
}

// WindowRequest asks for windows of some nodes, one for each.
type WindowRequest struct {
	Name          string   `json:"window"`
	Nodes         []string `json:"nodes"`
	Earliest      int      `json:"earliest"` // slot in which the first may begin
	Latest        int      `json:"latest"`   // slot by whose begin the last must be back
	DurationSlots int      `json:"takes"`    // of each node
	MaxConcurrent int      `json:"together"` // nodes that may be out at once; 0: any number
	After         []string `json:"after"`    // window requests that must be over before
	Conflicts     []string `json:"apart"`    // window requests that must not overlap with it
}

func (w WindowRequest) conflictsWith(other WindowRequest) bool {
	return slices.Contains(w.Conflicts, other.Name) || slices.Contains(other.Conflicts, w.Name)
}

// Demand is what must be served of a group in a region: the floor, or the forecast where that is more.
type Demand struct {
	Region, Group string
	Floor         float64   // requests a second
	Forecast      []float64 // requests a second by slot, as far as it goes
}

func (d Demand) at(slot int) float64 {
	if slot < len(d.Forecast) {
		return max(d.Floor, d.Forecast[slot])
	}
	return d.Floor
}

// ErrDependencyCycle rejects window requests that wait for one another.
var ErrDependencyCycle = errors.New("windows: after: they wait for one another in a circle")

// Validate returns an error that names the first field of a request that is invalid.
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
				return fmt.Errorf("%s.nodes: %s is asked for by %s too", path, node, other)
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
		return fmt.Errorf("%s.latest: there is no time between earliest and latest for one window", path)
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

// topologicalOrder lists the indices of the window requests so that each follows those that it comes after, the most urgent
// first. It returns false where they wait for one another.
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

// bounds returns the first start and the last end that the window requests allow.
func (r *Request) bounds() (first, last int) {
	first = r.SlotCount
	for _, window := range r.Windows {
		first, last = min(first, window.Earliest), max(last, window.Latest)
	}
	return first, last
}

// minMakespan is a lower bound of every schedule's makespan.
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

// placement is one node of a window request, which is to be given a start.
type placement struct {
	window   int // index in Request.Windows
	node     int // index in Request.Nodes
	duration int // slots
}

// placements lists the nodes of a window request, the strongest first: what is left for them is least.
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
