package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/collectd"
)

// writeOperatorFile writes an operator file and returns its path.
func writeOperatorFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestOperatorDefaults checks that the operator file in deploy holds every key with its default.
func TestOperatorDefaults(t *testing.T) {
	deployed, err := ReadOperator("../../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := ReadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	deployed.Path = ""
	if d := cmp.Diff(defaults, deployed, cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })); d != "" {
		t.Error(d)
	}
	text, err := os.ReadFile("../../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	keys := 0
	for line := range strings.Lines(string(text)) {
		if !strings.HasPrefix(line, "#") && strings.Contains(line, " = ") {
			keys++
		}
	}
	if lines := keyLines(text); lines["collectd.packets_per_s"] == 0 || len(lines) != keys+strings.Count(string(text), "\n[") {
		t.Errorf("%d keys in the file, found %v", keys, lines)
	}
}

// TestOperatorErrors checks that errors name the key and line at fault.
func TestOperatorErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[intake]\nreports = \"all\"":                               ":2: intake.reports: want",
		"\n[intake]\nreprots = \"off\"":                             ":3: intake.reprots: no such key",
		"[intak]\nreports = \"off\"":                                ":1: intak",
		"[intake]\n# a word\nhalf_life = \"3\"":                     ":3: intake.half_life: want a time with its unit",
		"[intake]\nhalf_life = \"-3s\"":                             ":2: intake.half_life: want a time above 0",
		"intake.half_life = \"20s\"\nintake.most_age = \"3s\"":      ":2: intake.most_age: want no less",
		"[intake]\npairs = -1":                                      ":2: intake.pairs: want 0 or more",
		"[intake]\npairs = \"many\"":                                ":2: ",
		"[intake]\nrecords_per_s = -1":                              ":2: intake.records_per_s",
		"[intake]\nstream_bytes_per_s = -1":                         ":2: intake.stream_bytes_per_s",
		"[intake]\npairs = 1\npairs = 2":                            ":3: ",
		"[intake\npairs = 1":                                        ":1: ",
		"[graphite]\naddress = \"nowhere\"":                         ":2: graphite.address: want a host",
		"[graphite]\nprefix = \"a..b\"":                             ":2: graphite.prefix",
		"[graphite]\ninterval = \"10ms\"":                           ":2: graphite.interval",
		"[collectd]\nallow = [\"127.0.0.0/8\", \"10.0.0.0/64\"]":    ":2: collectd.allow: want addresses",
		"[collectd]\nsecurity = \"best\"":                           ":2: collectd.security: want",
		"[collectd]\nlisten = \"127.0.0.1:1\"\nsecurity = \"sign\"": ":1: collectd.users: want a file",
		"[collectd]\nusers = \"/no/such/file\"":                     ":2: collectd.users: want a file",
		"[collectd]\nlisten = \"127.0.0.1:1\"":                      ":1: collectd.figures: want one or more",
		"[collectd]\n[[collectd.figures]]\nfigure = \"load\"":       ":2: collectd.figures: want one or more",
		"[collectd]\n\n[[collectd.figures]]\nfigur = \"util\"":      ":4: collectd.figures.figur: no such key",
		"[collectd]\npackets_per_s = 0":                             ":2: collectd.packets_per_s",
	} {
		_, err := ReadOperator(writeOperatorFile(t, text))
		if err == nil || !strings.Contains(err.Error(), "operator.toml"+want) {
			t.Errorf("%q: want an error with %q, got %v", text, want, err)
		}
	}
	if _, err := ReadOperator("no-such-file"); err == nil || !strings.Contains(err.Error(), "the operator file") {
		t.Error(err)
	}
}

// TestIntakeSettings checks that the budget is derived from the limits of the machine unless the file sets it.
func TestIntakeSettings(t *testing.T) {
	c := Config{Seed: 5, Limits: Limits{Cores: 1, MemoryMB: 192}}
	c.Settings.Period = time.Second
	var err error
	if c.Operator, err = ReadOperator(writeOperatorFile(t, "[intake]\nreports = \"sums\"\nhalf_life = \"1s\"")); err != nil {
		t.Fatal(err)
	}
	got := c.IntakeSettings()
	if got.Budget != 49152 || got.MaxPairs != 49152 || !got.StatsFromRecords || got.HalfLife != time.Second || got.Seed != 5 {
		t.Errorf("%+v", got)
	}
	c.Limits.Cores, c.Settings.Period = 0.1, 2*time.Second
	if got := c.IntakeSettings(); got.Budget != 40_000 {
		t.Errorf("a tenth of a core: %+v", got)
	}
	c.Operator.Intake.RecordsPerSecond, c.Operator.Intake.MaxPairs = 100, 7
	if got := c.IntakeSettings(); got.Budget != 200 || got.MaxPairs != 7 {
		t.Errorf("set: %+v", got)
	}
	if got := c.StreamBytesPerSecond(); got != 64<<10 {
		t.Errorf("got a rate limit of %d bytes per second and stream", got)
	}
	if c.Operator.Intake.ReportsMode = ReportsOff; c.StreamBytesPerSecond() != 0 {
		t.Error("streams have a rate limit although batches are not accepted")
	}
}

// TestCollectdMapping reads hosts and mappings, with defaults for omitted keys.
func TestCollectdMapping(t *testing.T) {
	o, err := ReadOperator(writeOperatorFile(t, `[collectd]
listen = "127.0.0.1:25826"
allow = ["10.1.2.3", "10.2.0.0/16"]
[collectd.hosts]
"web-1.example" = "s-1"
[[collectd.figures]]
figure = "util"
plugin = "cpu"
type = "percent"
type_instance = "idle"
scale = -0.01
offset = 1.0
[[collectd.figures]]
figure = "latency_ms"
plugin = "http"
type = "response_time"
value = 2
`))
	if err != nil {
		t.Fatal(err)
	}
	want := CollectdOptions{Listen: "127.0.0.1:25826", AllowedSources: []netip.Prefix{netip.MustParsePrefix("10.1.2.3/32"), netip.MustParsePrefix("10.2.0.0/16")},
		PacketsPerSecond: 2000, ReplicaByHost: map[string]string{"web-1.example": "s-1"}, Mappings: []collectd.Mapping{
			{Metric: intake.Utilization, Plugin: "cpu", Type: "percent", TypeInstance: "idle", Scale: -0.01, Offset: 1},
			{Metric: intake.LatencyMS, Plugin: "http", Type: "response_time", Value: 2, Scale: 1}}}
	if d := cmp.Diff(want, o.Collectd, cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })); d != "" {
		t.Error(d)
	}
}
