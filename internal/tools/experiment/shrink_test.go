package experiment

import (
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// TestShrinkKeepsViolation has a scenario of two faults violate an invariant by one of them alone: what is left is that one, shorter
// or smaller.
func TestShrinkKeepsViolation(t *testing.T) {
	p := mustParse(t, strings.Replace(smallPlan, "length = \"8s\"", "length = \"25s\"\ndrain_grace = \"100ms\"", 1))
	p.Fleet.MaxMessageDelay = 4 * time.Second // no governor can keep that grace
	f := Finding{Seed: 2, Faults: []emulate.Fault{{Kind: "hang", At: 3 * time.Second, Duration: 2 * time.Second, Share: 0.1},
		{Kind: "deploy", At: 5 * time.Second, Duration: 8 * time.Second, Share: 0.8}}}
	var err error
	if f.Result, err = emulate.Run(p.config(Scenario{Faults: f.Faults}, f.Seed, p.Variants[0])); err != nil || len(f.Result.Violations) == 0 {
		t.Fatalf("the scenario violates no invariant: %v", err)
	}
	small, runs := Shrink(p, f)
	if len(small.Faults) != 1 || small.Faults[0].Kind != "deploy" || small.Faults[0].Share >= 0.8 || len(small.Result.Violations) == 0 {
		t.Errorf("after %d runs: %+v, %v", runs, small.Faults, small.Result.Violations)
	}
	found, played, err := Search(t.Context(), p, 8, 4)
	if err != nil || played != 8 || len(found) != 8 {
		t.Errorf("%d scenarios, %d found: %v", played, len(found), err)
	}
}
