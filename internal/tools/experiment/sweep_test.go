package experiment

import (
	"strings"
	"testing"
)

// TestSweepMakesVariants checks that each value creates a variant with its own fleet, and that errors name the key and the value.
func TestSweepMakesVariants(t *testing.T) {
	p, err := Sweep([]byte(smallPlan), "load", []string{"0.3", "0.9"})
	if err != nil || len(p.Variants) != 2 || p.Variants[1].Fleet.Load != 0.9 || p.Variants[0].Fleet.Proxies != 10 {
		t.Fatalf("%+v, %v", p.Variants, err)
	}
	records, err := Run(t.Context(), p, t.TempDir(), 4, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	if low, high := records[0].Result.Offered(), records[1].Result.Offered(); high < 2*low {
		t.Errorf("%d flows at a load of 0.3, %d at 0.9", low, high)
	}
	for _, invalid := range [][2]string{{"loaf", "0.3"}, {"load", "-1"}, {"drain_grace", "x"}} {
		if _, err := Sweep([]byte(smallPlan), invalid[0], invalid[1:]); err == nil || !strings.Contains(err.Error(), invalid[0]+" = "+invalid[1]) {
			t.Errorf("%v: %v", invalid, err)
		}
	}
}
