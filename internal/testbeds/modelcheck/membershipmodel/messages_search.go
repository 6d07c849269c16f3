package membershipmodel

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// maxWalkSteps bounds the length of a random walk.
const maxWalkSteps = 80

// ExploreMessages explores the message model breadth first.
func ExploreMessages(bounds Bounds, fault Fault) Result {
	type origin struct {
		from fingerprint
		step string
		args []any
	}
	start := initialNode(bounds)
	seen := map[fingerprint]origin{start.fingerprint(): {}}
	queue := []*node{start}
	var current fingerprint
	model := &messageModel{bounds: bounds, fault: fault, table: newMessageTable()}
	model.emit = func(next *node, step string, args ...any) {
		digest := next.fingerprint()
		if _, known := seen[digest]; !known {
			seen[digest] = origin{current, step, args}
			queue = append(queue, next)
		}
	}
	result := Result{Complete: true}
	for head := 0; head < len(queue); head++ {
		n := queue[head]
		queue[head] = nil // Allows garbage collection.
		result.States++
		if result.States >= bounds.MaxStates {
			result.Complete = false
			return result
		}
		current = n.fingerprint()
		if result.Violation = model.expand(n); result.Violation != "" {
			for digest := current; seen[digest].step != ""; digest = seen[digest].from {
				result.Trace = append(result.Trace, fmt.Sprintf(seen[digest].step, seen[digest].args...))
			}
			slices.Reverse(result.Trace)
			return result
		}
	}
	return result
}

// WalkMessages takes random walks through the message model to find faults beyond the depth that exploration reaches.
func WalkMessages(bounds Bounds, fault Fault, seed uint64, walks int) Result {
	type step struct {
		next *node
		step string
		args []any
	}
	const stream = 1
	random := rand.New(rand.NewPCG(seed, stream))
	var choices []step
	model := &messageModel{bounds: bounds, fault: fault, table: newMessageTable()}
	model.emit = func(next *node, text string, args ...any) { choices = append(choices, step{next, text, args}) }
	var result Result
	for range walks {
		n := initialNode(bounds)
		var walked []step
		for {
			result.States++
			choices = choices[:0]
			if result.Violation = model.expand(n); result.Violation != "" {
				for _, s := range walked {
					result.Trace = append(result.Trace, fmt.Sprintf(s.step, s.args...))
				}
				return result
			}
			if len(choices) == 0 || len(walked) > maxWalkSteps {
				break
			}
			choice := choices[random.IntN(len(choices))]
			walked, n = append(walked, choice), choice.next
		}
	}
	return result
}
