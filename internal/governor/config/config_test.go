package config

import (
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/rules"
)

// example returns the complete configuration in deploy.
func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// load writes text to a configuration file and loads it.
func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	all := map[string]string{"LB_CONFIG": path}
	maps.Copy(all, env)
	return Load(func(name string) string { return all[name] }, "")
}

// TestLoad loads the example with a name from the environment.
func TestLoad(t *testing.T) {
	got, err := load(t, example(t), map[string]string{"LB_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(got.CachedList), `"version":4,`) {
		t.Errorf("known: %s", got.CachedList)
	}
	want := Config{Name: "n4", Listen: "127.0.0.1:3000", Discovery: "127.0.0.1:8500", Seed: 0x8c1f30d27a5be964,
		CachedList: got.CachedList, Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: Settings{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}, LoadMetricNames: []string{"cpu_share", "busy_reqs"},
			Tick: 4 * time.Millisecond, Settings: rules.Settings{
				Groups: []rules.TrafficGroup{
					{Name: "look", LatencyBudget: time.Second, Expiry: 3 * time.Second, Utility: 3, Effect: rules.Retriable},
					{Name: "edit", LatencyBudget: 2 * time.Second, Expiry: 5 * time.Second, Effect: rules.Deduped, DedupedByAll: true,
						Window: 5 * time.Second, Writes: true}},
				Governors: 2, Proxies: 8, Zone: 1, Zones: 2, ListOnRequest: true, Period: time.Second, EntryRate: 1000, EntryCapacity: 2000,
				MessageEntries: 6, MessageLimit: 20, MaxMessageDelay: 400 * time.Millisecond, MessageSpan: 10 * time.Second,
				MaxUnboundTime: 5 * time.Second, DrainGrace: 3 * time.Second, ListRequestDeadline: 10 * time.Second, WarmupTime: 18 * time.Second,
				ColdCapacity: 0.2, OverloadMultiple: 4, OverloadTime: 2 * time.Second, MinConnections: 70, ConnectionIdleTimeout: 15 * time.Second}}}
	want.Bounds = deriveBounds(want.Limits, want.Settings.Settings, openDescriptors())
	if want.Operator, err = ReadOperator(""); err != nil {
		t.Fatal(err)
	}
	comparePrefixes := cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })
	if d := cmp.Diff(want, got, comparePrefixes); d != "" {
		t.Error(d)
	}
}

// TestErrorsNameTheKey checks that errors are one line and name the variable or key at fault.
func TestErrorsNameTheKey(t *testing.T) {
	full := example(t)
	for _, f := range []struct{ old, new, want string }{
		{full, "", "LB_CONFIG"}, {full, "{", "LB_CONFIG"}, {`"listen":`, `"lisen":`, "LB_LISTEN"},
		{`127.0.0.1:8500`, `nowhere`, "LB_DISCOVERY (discovery)"}, {`"name":"n3"`, `"name":""`, "LB_NAME"},
		{`8c1f30`, `zz`, "seed"}, {`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"}, {`"sockets":1024`, `"sockets":0`, "limits.sockets"},
		{`"settings":`, `"setings":`, "settings"}, {`"perMessage":6,`, ``, "settings: the settings lack familyInfo.perMessage"},
		{`"linesPerS":1000`, `"linesPerS":0`, "familyInfo.linesPerS"}, {`"bare":5000000000`, `"bare":"5s"`, "familyInfo.bare"},
		{`"askWithin":10000000000,`, ``, "guarantees.askWithin"},
	} {
		_, err := load(t, strings.Replace(full, f.old, f.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), f.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: want one line with %q, got %v", f.new, f.old, f.want, err)
		}
	}
	if _, err := Load(func(string) string { return "" }, ""); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Error("no environment: ", err)
	}
}

// TestReload checks changes that apply at once, that require a restart, and that are rejected.
func TestReload(t *testing.T) {
	full := example(t)
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"LB_CONFIG": path, "LB_DISCOVERY": "127.0.0.9:1"}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	getenv := func(name string) string { return env[name] }
	write(full)
	first, err := Load(getenv, "")
	if err != nil || first.Discovery != "127.0.0.9:1" {
		t.Fatal("the environment does not take precedence at startup: ", first.Discovery, err)
	}
	for _, f := range []struct{ old, new, discovery, pending, err string }{
		{"", "", "127.0.0.1:8500", "", ""},
		{":8500", ":8501", "127.0.0.1:8501", "", ""},
		{`"discovery":"127.0.0.1:8500",`, ``, "127.0.0.9:1", "", ""},
		{`"sockets":1024`, `"sockets":256`, "127.0.0.1:8500", "limits", ""},
		{`"perMessage":6`, `"perMessage":7`, "127.0.0.1:8500", "settings", ""},
		{`"name":"n3"`, `"name":"n4"`, "", "", "name"}, {`:3000"`, `:3001"`, "", "", "listen"},
		{`127.0.0.1:8500`, `nowhere`, "", "", "LB_DISCOVERY (discovery)"}, {full, "{", "", "", "LB_CONFIG"},
		{`"perMessage":6,`, ``, "", "", "familyInfo.perMessage"},
	} {
		write(strings.Replace(full, f.old, f.new, 1))
		got, pending, err := Reload(getenv, first)
		want := first
		if f.err == "" {
			want.Discovery = f.discovery
		}
		if d := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })); d != "" || strings.Join(pending, " ") != f.pending {
			t.Errorf("%s for %s: %s, pending %q", f.new, f.old, d, pending)
		}
		if (err != nil) != (f.err != "") || err != nil && !strings.Contains(err.Error(), f.err) {
			t.Errorf("%s for %s: want an error with %q, got %v", f.new, f.old, f.err, err)
		}
	}
}
