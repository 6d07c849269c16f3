package config

import (
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/rules"
)

const settings = `{"balancers":2,"discovery":"on_request","tick":4000000,"zones":["a","b"],"hostTypes":["m1","m2"],"myZone":1,
 "lanes":[{"name":"look","aim":1000000000,"deadline":3000000000,"effect":"retryable","importance":3},
          {"name":"edit","aim":2000000000,"deadline":5000000000,"effect":"dedup","group":"all","window":5000000000}],
 "familyInfo":{"bare":5000000000,"interval":1000000000,"levelKind":"none","linesPerS":1000,"perMessage":6,"queueCap":2000,
  "pushDelayMax":400000000,"updateCap":20,"reloadSpan":10000000000,"dataPlaneSize":8,"classWrites":[false,true]},
 "guarantees":{"askWithin":10000000000,"coldFrom":0.2,"fallMultiple":4,"overloadFor":2000000000,
  "stopSendingWithin":3000000000,"warmAfter":18000000000},
 "report":{"fields":["cpu_share","busy_reqs"]},"unheard":{"of":1}}`

const whole = `{"name":"n3","listen":"127.0.0.1:3000","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":4},"settings":` + settings + `}`

func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	all := map[string]string{"LB_CONFIG": path}
	maps.Copy(all, env)
	return Load(func(name string) string { return all[name] })
}

func TestLoad(t *testing.T) {
	got, err := load(t, whole, map[string]string{"LB_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Name: "n4", Listen: "127.0.0.1:3000", Discovery: "127.0.0.2:8500", Seed: 0x8c1f30d27a5be964,
		Known: []byte(`{"version":4}`), Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: Settings{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}, LoadFields: []string{"cpu_share", "busy_reqs"},
			Tick: 4 * time.Millisecond, Settings: rules.Settings{
				Groups: []rules.TrafficGroup{
					{Name: "look", LatencyBudget: time.Second, Expiry: 3 * time.Second, Utility: 3, Effect: rules.Retriable},
					{Name: "edit", LatencyBudget: 2 * time.Second, Expiry: 5 * time.Second, Effect: rules.Deduped, DedupedByAll: true,
						Window: 5 * time.Second, Writes: true}},
				Governors: 2, Proxies: 8, Zone: 1, Zones: 2, ListOnRequest: true, Period: time.Second, LinePace: 1000, LineCap: 2000,
				HeadLines: 6, MessageCap: 20, TravelMost: 400 * time.Millisecond, MessageSpan: 10 * time.Second,
				BareMost: 5 * time.Second, DrainGrace: 3 * time.Second, AskWithin: 10 * time.Second, WarmAfter: 18 * time.Second,
				ColdFrom: 0.2, FallMultiple: 4, FallAfter: 2 * time.Second}}}
	want.Bounds = bounds(want.Limits, want.Settings.Settings)
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

func TestFaultsNameTheirKey(t *testing.T) {
	for _, f := range []struct{ old, new, want string }{
		{whole, "", "LB_CONFIG"}, {whole, "{", "LB_CONFIG"}, {`"listen":`, `"lisen":`, "LB_LISTEN"},
		{`127.0.0.2:8500`, `nowhere`, "LB_DISCOVERY (discovery)"}, {`"name":"n3"`, `"name":""`, "LB_NAME"},
		{`8c1f30`, `zz`, "seed"}, {`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"}, {`"sockets":1024`, `"sockets":0`, "limits.sockets"},
		{`"settings":`, `"setings":`, "settings"}, {`"perMessage":6,`, ``, "settings: the settings lack familyInfo.perMessage"},
		{`"linesPerS":1000`, `"linesPerS":0`, "familyInfo.linesPerS"}, {`"bare":5000000000`, `"bare":"5s"`, "familyInfo.bare"},
		{`"askWithin":10000000000,`, ``, "guarantees.askWithin"},
	} {
		_, err := load(t, strings.Replace(whole, f.old, f.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), f.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: want one line with %q, got %v", f.new, f.old, f.want, err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Error("no environment: ", err)
	}
}
