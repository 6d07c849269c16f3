package maintenance

import (
	"fmt"
	"strings"

	"zincloft.example/zincloft/capacity"
)

// loadMargin is the factor by which the remaining capacity must exceed the current load.
const loadMargin = 1.15

// Shortfall is a violated floor. Required and Remaining are in requests per second.
type Shortfall struct {
	capacity.Floor
	Required, Remaining float64
}

func (s Shortfall) String() string {
	return fmt.Sprintf("%s of %s: %.1f a second are needed, %.1f are left", s.Group, s.Region, s.Required, s.Remaining)
}

// Shortfalls returns the floors that are violated while the given nodes are out of service.
func (s State) Shortfalls(current Fleet, out func(node string) bool) []Shortfall {
	var shortfalls []Shortfall
	nodes := s.servingNodes(current)
	for _, floor := range s.AgreedFloors {
		required := max(floor.Minimum, loadMargin*current.Load[floor.Region][floor.Group])
		remaining := capacity.RemainingAfterLosses(nodes, floor.Region, floor.Group, out, s.FaultTolerance)
		if remaining < required {
			shortfalls = append(shortfalls, Shortfall{Floor: floor, Required: required, Remaining: remaining})
		}
	}
	return shortfalls
}

// servingNodes returns the serving nodes. Nodes without a measured capacity get the declared one.
func (s State) servingNodes(current Fleet) []capacity.Node {
	var serving []capacity.Node
	for _, node := range current.Nodes {
		if !node.Serving {
			continue
		}
		known := node.Node
		if len(known.Capacity) == 0 {
			for _, declared := range s.DeclaredNodes {
				if declared.Name == node.Name {
					known.Capacity = declared.Capacity
				}
			}
		}
		serving = append(serving, known)
	}
	return serving
}

// describeRemaining describes the remaining capacity for each floor with a node out of service, based on measured capacities only.
func (s State) describeRemaining(current Fleet, node string) string {
	out := func(other string) bool { return other == node || s.IsOut(other) }
	var measured []capacity.Node
	for _, known := range current.Nodes {
		if known.Serving {
			measured = append(measured, known.Node)
		}
	}
	var floors []string
	for _, floor := range s.AgreedFloors {
		remaining := capacity.RemainingAfterLosses(measured, floor.Region, floor.Group, out, s.FaultTolerance)
		floors = append(floors, fmt.Sprintf("%s of %s %.1f for %.1f", floor.Group, floor.Region, remaining, floor.Minimum))
	}
	return strings.Join(floors, ", ")
}
