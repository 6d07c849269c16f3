package apiary

import (
	"strings"
	"testing"
	"time"
)

// TestColdAnew guards a replica that turns cold a second time before its first cold span has ended, as its zone is given back: gw-cold-after-evacuation.
// The second span ends a little later than the first, and a beat that tells of it must count.
func TestColdAnew(t *testing.T) {
	const ms = time.Millisecond
	colds := 0
	for seed := range seeds(t, 30) {
		begins := 12 * time.Second
		r := Run(Schedule{Seed: seed, Machines: 3, Seeds: 3, Foragers: 12, Zones: 2, Replicas: 2, Lasts: 20 * time.Second, Acts: []Act{
			{At: 1200 * ms, Kind: "put", Version: 1}, {At: 4 * time.Second, Kind: "evacuate"}, {At: begins, Kind: "begin"},
			{At: begins + 330*ms + time.Duration(seed%5)*10*ms, Kind: "restore"}}})
		if colds += r.Colds; len(r.Broken) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, r.Broken[0], strings.Join(r.Trace, "\n"))
		}
	}
	if colds == 0 {
		t.Error("no cold replica was called")
	}
}
