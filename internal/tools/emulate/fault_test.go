package emulate

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestEachFaultShows runs a short simulation with each kind of fault: it differs from the one without, from the begin of the fault
// on and no sooner, and faults that end leave a fleet that delivers nearly all again.
func TestEachFaultShows(t *testing.T) {
	f := SmallFleet()
	f.Governors, f.Duration = 2, 40*time.Second
	calm := run(t, Config{Fleet: f, Seed: 8})
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
		if !reflect.DeepEqual(r.Seconds[:6], calm.Seconds[:6]) {
			t.Errorf("%s: the run differs before the fault begins", kind)
		}
		if reflect.DeepEqual(r.Seconds[6:30], calm.Seconds[6:30]) {
			t.Errorf("%s shows nothing", kind)
		}
		offered, inTime := 0, 0
		for _, s := range r.Seconds[34:40] {
			offered, inTime = offered+s.Offered, inTime+s.InTime
		}
		if lasting := kind == "ageing"; !lasting && float64(inTime) < 0.85*float64(offered) {
			t.Errorf("%s: 23 s after its end %d of %d flows are delivered in time", kind, inTime, offered)
		}
	}
}

// TestTriggers has one fault begin with another that is named, and one once so many attempts fail; one whose condition is never
// met does not begin.
func TestTriggers(t *testing.T) {
	f := SmallFleet()
	f.Duration = 20 * time.Second
	r := run(t, Config{Fleet: f, Seed: 9, Faults: []Fault{
		{Kind: "errors", Name: "first", At: 5 * time.Second, Duration: 4 * time.Second, Share: 0.5, Factor: 0.9},
		{Kind: "burst", Trigger: "first", At: time.Second, Duration: time.Second, Factor: 1.2},
		{Kind: "impatient", Trigger: "dropped > 0.1", Duration: time.Second, Factor: 0.9},
		{Kind: "list_down", Trigger: "dropped > 0.99", Duration: time.Second},
	}})
	at := map[string]float64{}
	for _, n := range r.FaultLog {
		kind, _, _ := strings.Cut(n.Text, ":")
		if _, ok := at[kind]; !ok {
			at[kind] = n.At
		}
	}
	if at["errors"] != 5 || at["burst"] != 6 || at["impatient"] < 6 || at["impatient"] > 8 {
		t.Errorf("begun at %v", at)
	}
	if _, ok := at["list_down"]; ok {
		t.Error("a fault begins whose condition is never met")
	}
	for _, bad := range []Fault{{Kind: "hung"}, {Kind: "hang", Share: 2}, {Kind: "hang", Trigger: "mood > 1"}, {Kind: "zone_cut", Zone: new(int), Factor: -1},
		{Kind: "hang", Trigger: "nobody"}} {
		if _, err := Run(Config{Fleet: f, Seed: 1, Faults: []Fault{bad}}); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
