package emulate

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestEachTroubleShows plays a short day with each kind of trouble: it differs from the day without, from its begin on and no
// sooner, and those that end leave a fleet that delivers nearly all again.
func TestEachTroubleShows(t *testing.T) {
	f := Small()
	f.Governors, f.Length = 2, 40*time.Second
	calm := run(t, Play{Fleet: f, Seed: 8})
	for _, kind := range Kinds() {
		if kind == "clear_of_troubles" {
			continue
		}
		tr := Trouble{Kind: kind, At: 6100 * time.Millisecond, For: 5 * time.Second, Back: 4 * time.Second, Share: 0.5, Factor: 0.5}
		switch kind {
		case "slow", "ageing", "burst", "shift", "insistent", "list_late", "channel_slow", "reports_late", "growth":
			tr.Factor = 3
		}
		troubles := []Trouble{tr}
		switch kind {
		case "list_late", "list_down":
			troubles = append(troubles, Trouble{Kind: "deploy", At: 6500 * time.Millisecond, For: time.Second, Share: 0.3})
		case "impatient":
			troubles[0].Factor = 0.05
		case "insistent":
			troubles = append(troubles, Trouble{Kind: "hang", At: 6 * time.Second, For: 4 * time.Second, Share: 0.3})
		}
		r := run(t, Play{Fleet: f, Seed: 8, Troubles: troubles})
		if !reflect.DeepEqual(r.Seconds[:6], calm.Seconds[:6]) {
			t.Errorf("%s: the day differs before the trouble begins", kind)
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

// TestConditions has one trouble begin with another that is named, and one once so many tries are dropped; one whose
// condition never comes does not begin.
func TestConditions(t *testing.T) {
	f := Small()
	f.Length = 20 * time.Second
	r := run(t, Play{Fleet: f, Seed: 9, Troubles: []Trouble{
		{Kind: "errors", Name: "first", At: 5 * time.Second, For: 4 * time.Second, Share: 0.5, Factor: 0.9},
		{Kind: "burst", When: "first", At: time.Second, For: time.Second, Factor: 1.2},
		{Kind: "impatient", When: "dropped > 0.1", For: time.Second, Factor: 0.9},
		{Kind: "list_down", When: "dropped > 0.99", For: time.Second},
	}})
	at := map[string]float64{}
	for _, n := range r.Notes {
		kind, _, _ := strings.Cut(n.Text, ":")
		if _, is := at[kind]; !is {
			at[kind] = n.At
		}
	}
	if at["errors"] != 5 || at["burst"] != 6 || at["impatient"] < 6 || at["impatient"] > 8 {
		t.Errorf("begun at %v", at)
	}
	if _, is := at["list_down"]; is {
		t.Error("a trouble begins whose condition never comes")
	}
	for _, bad := range []Trouble{{Kind: "hung"}, {Kind: "hang", Share: 2}, {Kind: "hang", When: "mood > 1"}, {Kind: "zone_cut", Zone: new(int), Factor: -1},
		{Kind: "hang", When: "nobody"}} {
		if _, err := Run(Play{Fleet: f, Seed: 1, Troubles: []Trouble{bad}}); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}
