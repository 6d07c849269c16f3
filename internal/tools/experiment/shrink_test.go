package experiment

import (
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// TestShrinkKeepsViolation checks that Shrink removes a fault that is not needed for the violation and reduces the other one. It also
// checks the number of findings of Search.
func TestShrinkKeepsViolation(t *testing.T) {
	p := mustParse(t, strings.Replace(smallPlan, "length = \"8s\"", "length = \"25s\"\ndrain_grace = \"100ms\"", 1))
	p.Fleet.MaxMessageDelay = 4 * time.Second // exceeds the drain grace, so that the governor cannot respect it
	f := Finding{Seed: 2, Faults: []emulate.Fault{{Kind: "hang", At: 3 * time.Second, Duration: 2 * time.Second, Share: 0.1},
		{Kind: "deploy", At: 5 * time.Second, Duration: 8 * time.Second, Share: 0.8}}}
	var err error
	if f.Result, err = emulate.Run(p.config(Scenario{Faults: f.Faults}, f.Seed, p.Variants[0])); err != nil || len(f.Result.Violations) == 0 {
		t.Fatalf("the scenario violates no invariant: %v", err)
	}
	shrunk, runs := Shrink(p, f)
	if len(shrunk.Faults) != 1 || shrunk.Faults[0].Kind != "deploy" || shrunk.Faults[0].Share >= 0.8 || len(shrunk.Result.Violations) == 0 {
		t.Errorf("after %d runs: %+v, %v", runs, shrunk.Faults, shrunk.Result.Violations)
	}
	findings, completed, err := Search(t.Context(), p, 8, 4)
	if err != nil || completed != 8 || len(findings) != 8 {
		t.Errorf("%d completed runs and %d findings, want 8 each: %v", completed, len(findings), err)
	}
}
