package emulate

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestEveryFaultKindAffectsRun guards against faults without effect: a run with the fault differs from one without it once the fault
// begins and not before, and the fleet recovers after the fault ends.
func TestEveryFaultKindAffectsRun(t *testing.T) {
	f := SmallFleet()
	f.Governors, f.Duration = 2, 40*time.Second
	baseline := run(t, Config{Fleet: f, Seed: 8})
	for _, kind := range FaultKinds() {
		if kind == FaultNone {
			continue
		}
		fault := Fault{Kind: kind, At: 6100 * time.Millisecond, Duration: 5 * time.Second, RecoverAfter: 4 * time.Second, Share: 0.5, Factor: 0.5}
		switch kind {
		case "slow", "ageing", "burst", "shift", "insistent", "list_late", "channel_slow", "reports_late", "growth":
			fault.Factor = 3
		}
		faults := []Fault{fault}
		switch kind {
		case "list_late", "list_down":
			faults = append(faults, Fault{Kind: "deploy", At: 6500 * time.Millisecond, Duration: time.Second, Share: 0.3})
		case "impatient":
			faults[0].Factor = 0.05
		case "insistent":
			faults = append(faults, Fault{Kind: "hang", At: 6 * time.Second, Duration: 4 * time.Second, Share: 0.3})
		}
		r := run(t, Config{Fleet: f, Seed: 8, Faults: faults})
		if !reflect.DeepEqual(r.Seconds[:6], baseline.Seconds[:6]) {
			t.Errorf("%s: the run differs before the fault begins", kind)
		}
		if reflect.DeepEqual(r.Seconds[6:30], baseline.Seconds[6:30]) {
			t.Errorf("%s: the run does not differ while the fault is active", kind)
		}
		offered, inTime := 0, 0
		for _, s := range r.Seconds[34:40] {
			offered, inTime = offered+s.Offered, inTime+s.InTime
		}
		if permanent := kind == "ageing"; !permanent && float64(inTime) < 0.85*float64(offered) {
			t.Errorf("%s: 23 s after the fault ended, %d of %d flows are delivered in time", kind, inTime, offered)
		}
	}
}

// TestFaultTriggers checks that faults start with a named fault or when a metric crosses a threshold, and do not start otherwise.
// Invalid faults are rejected.
func TestFaultTriggers(t *testing.T) {
	f := SmallFleet()
	f.Duration = 20 * time.Second
	r := run(t, Config{Fleet: f, Seed: 9, Faults: []Fault{
		{Kind: "errors", Name: "first", At: 5 * time.Second, Duration: 4 * time.Second, Share: 0.5, Factor: 0.9},
		{Kind: "burst", Trigger: "first", At: time.Second, Duration: time.Second, Factor: 1.2},
		{Kind: "impatient", Trigger: "dropped > 0.1", Duration: time.Second, Factor: 0.9},
		{Kind: "list_down", Trigger: "dropped > 0.99", Duration: time.Second},
	}})
	startedAt := map[string]float64{}
	for _, entry := range r.FaultLog {
		kind, _, _ := strings.Cut(entry.Text, ":")
		if _, ok := startedAt[kind]; !ok {
			startedAt[kind] = entry.At
		}
	}
	if startedAt["errors"] != 5 || startedAt["burst"] != 6 || startedAt["impatient"] < 6 || startedAt["impatient"] > 8 {
		t.Errorf("faults started at %v", startedAt)
	}
	if _, ok := startedAt["list_down"]; ok {
		t.Error("a fault started although its condition was never met")
	}
	for _, invalid := range []Fault{{Kind: "hung"}, {Kind: "hang", Share: 2}, {Kind: "hang", Trigger: "unknown_metric > 1"}, {Kind: "zone_cut", Zone: new(int), Factor: -1},
		{Kind: "hang", Trigger: "unknown_fault"}} {
		if _, err := Run(Config{Fleet: f, Seed: 1, Faults: []Fault{invalid}}); err == nil {
			t.Errorf("invalid fault %+v is accepted", invalid)
		}
	}
}
