package breadthfirst

import (
	"slices"
	"strconv"
	"testing"
)

// counter adds 1 or 3 up to a limit, which is a violation if it is forbidden.
type counter struct{ limit, forbidden int }

func (c counter) Initial() int { return 0 }

func (c counter) Successors(state int, labeled bool) (steps []Step[int]) {
	for _, added := range []int{1, 3} {
		if state+added > c.limit {
			continue
		}
		label := ""
		if labeled {
			label = strconv.Itoa(added)
		}
		steps = append(steps, Step[int]{state + added, label})
	}
	return steps
}

func (c counter) Digest(state *int) uint64 { return uint64(*state) }

func (c counter) Violation(state *int) string {
	if *state == c.forbidden {
		return "forbidden"
	}
	return ""
}

func TestExplore(t *testing.T) {
	if result := Explore(counter{limit: 10, forbidden: -1}, 0); result.States != 11 || !result.Complete || result.Violation != "" {
		t.Errorf("without a violation: %+v", result)
	}
	result := Explore(counter{limit: 10, forbidden: 7}, 0)
	if result.Violation != "forbidden" || len(result.Trace) != 3 || !slices.Contains(result.Trace, "1") {
		t.Errorf("with a violation: %+v, want the shortest trace, of three steps", result)
	}
	if result := Explore(counter{limit: 10, forbidden: -1}, 4); result.Complete || result.States > 6 {
		t.Errorf("limited to 4 states: %+v", result)
	}
}
