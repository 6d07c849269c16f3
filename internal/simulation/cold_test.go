package simulation

import (
	"strings"
	"testing"
	"time"
)

// TestSecondWarmup guards a replica that turns cold a second time before its first cold span has ended, as its zone is given back: gw-cold-after-evacuation.
// The second span ends a little later than the first, and a beat that tells of it must count.
func TestSecondWarmup(t *testing.T) {
	const ms = time.Millisecond
	colds := 0
	for seed := range seedCount(t, 30) {
		begins := 12 * time.Second
		r := Run(Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 12, Zones: 2, Replicas: 2, Duration: 20 * time.Second, Actions: []Action{
			{At: 1200 * ms, Kind: "put", Version: 1}, {At: 4 * time.Second, Kind: "evacuate"}, {At: begins, Kind: "begin"},
			{At: begins + 330*ms + time.Duration(seed%5)*10*ms, Kind: "restore"}}})
		if colds += r.WarmupRequests; len(r.Violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, r.Violations[0], strings.Join(r.Trace, "\n"))
		}
	}
	if colds == 0 {
		t.Error("no cold replica was called")
	}
}

// TestWarmupQuotasChangeHands guards the sum over all foragers while rights to call cold replicas change hands: replicas turn cold again and again, combs are
// killed, frozen, cut and wiped in turn and foragers killed and frozen, so that foragers change sides all the time.
func TestWarmupQuotasChangeHands(t *testing.T) {
	colds := 0
	for seed := range seedCount(t, 12) {
		s := Schedule{Seed: seed, Members: 3 + 2*int(seed%2), InitialMembers: 3, Gateways: 16, Zones: 2, Replicas: 1, Duration: 30 * time.Second,
			Actions: []Action{{At: 1200 * time.Millisecond, Kind: "put", Version: 1}}}
		for i := range 8 {
			s.Actions = append(s.Actions, Action{At: time.Duration(3+3*i) * time.Second, Kind: "begin", Target: i})
		}
		kinds := []string{"kill", "freeze", "cut", "power", "oneway", "wipe"}
		for i := range 8 {
			at := time.Duration(3000+3000*i)*time.Millisecond + time.Duration(seed*37%900)*time.Millisecond
			if i%2 == 1 { // all foragers change sides while the replica is cold
				for j := range s.Gateways {
					s.Faults = append(s.Faults, Fault{At: at + 500*time.Millisecond, For: 1100 * time.Millisecond, Kind: "bcut", Target: j})
				}
			}
			s.Faults = append(s.Faults, Fault{At: at, For: 1300 * time.Millisecond, Kind: kinds[(int(seed)+i)%len(kinds)], Target: i % s.Members})
			for j := range 3 {
				s.Faults = append(s.Faults, Fault{At: at + time.Duration(j)*150*time.Millisecond, For: time.Duration(400+500*j) * time.Millisecond,
					Kind: []string{"bkill", "bfreeze", "bcut"}[(j+i)%3], Target: (int(seed) + 5*i + j) % s.Gateways})
			}
		}
		r := Run(s)
		if colds += r.WarmupRequests; len(r.Violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, r.Violations[0], strings.Join(r.Trace, "\n"))
		}
	}
	if t.Logf("%d requests to cold replicas", colds); colds == 0 {
		t.Error("no cold replica was called")
	}
}

// TestLongAbsence has foragers and combs away for twenty seconds, while configurations, evacuations and replicas change: whoever is back must hold what was
// acknowledged within the bounds, go back in nothing, and keep cold replicas from too much.
func TestLongAbsence(t *testing.T) {
	const away = 20 * time.Second
	cases := map[string][]Fault{
		"a forager is cut off from all":              {{Kind: "bcut", Target: 0}, {Kind: "bcut", Target: 1}},
		"a forager freezes":                          {{Kind: "bfreeze", Target: 0}, {Kind: "bfreeze", Target: 1}},
		"a comb is cut off":                          {{Kind: "cut", Target: 0}},
		"a comb is heard by nobody, or hears no one": {{Kind: "oneway", Target: 1}},
		"a comb freezes":                             {{Kind: "freeze", Target: 2}},
		"a comb is wiped":                            {{Kind: "wipe", Target: 1}},
		"a comb is cut off, a forager too":           {{Kind: "cut", Target: 1}, {Kind: "bcut", Target: 2}},
		"a forager begins anew as a comb is back":    {{Kind: "cut", Target: 1}, {At: 19900 * time.Millisecond, For: 200 * time.Millisecond, Kind: "bkill", Target: 0}},
	}
	for name, troubles := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(t, 4) {
				s := Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 6, Replicas: 4, Zones: generatedZones, Duration: 34 * time.Second, Actions: GenerateActions(seed, 60, 4, 34*time.Second)}
				for _, x := range troubles {
					if x.At += 4*time.Second + time.Duration(seed)*130*time.Millisecond; x.For == 0 {
						x.For = away
					}
					s.Faults = append(s.Faults, x)
				}
				if r := Run(s); len(r.Violations) > 0 {
					t.Fatalf("seed %d: %s\n%s", seed, r.Violations[0], strings.Join(r.Trace, "\n"))
				}
			}
		})
	}
}
