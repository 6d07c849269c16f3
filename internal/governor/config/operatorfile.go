package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/collectd"
)

// operatorFile is the operator file in TOML. Its fields have no further meaning than those of Operator.
type operatorFile struct {
	Intake struct {
		Reports       string   `toml:"reports"`
		RecordsPerS   int      `toml:"records_per_s"`
		HalfLife      duration `toml:"half_life"`
		MostAge       duration `toml:"most_age"`
		Pairs         int      `toml:"pairs"`
		StreamBytesPS int      `toml:"stream_bytes_per_s"`
	} `toml:"intake"`
	Graphite struct {
		Address  string   `toml:"address"`
		Prefix   string   `toml:"prefix"`
		Interval duration `toml:"interval"`
		Points   int      `toml:"points"`
	} `toml:"graphite"`
	Collectd collectdSection `toml:"collectd"`
	State    stateSection    `toml:"state"`
}

// collectdSection is the section [collectd].
type collectdSection struct {
	Listen    string            `toml:"listen"`
	Allow     []string          `toml:"allow"`
	Security  string            `toml:"security"`
	Users     string            `toml:"users"`
	PacketsPS int               `toml:"packets_per_s"`
	Hosts     map[string]string `toml:"hosts"`
	Figures   []figureMapping   `toml:"figures"`
}

// stateSection is the section [state].
type stateSection struct {
	Dir      string   `toml:"dir"`
	Sync     duration `toml:"sync"`
	HalfLife duration `toml:"half_life"`
	MostAge  duration `toml:"most_age"`
}

// figureMapping is one section [[collectd.figures]].
type figureMapping struct {
	Figure         string   `toml:"figure"`
	Plugin         string   `toml:"plugin"`
	PluginInstance string   `toml:"plugin_instance"`
	Type           string   `toml:"type"`
	TypeInstance   string   `toml:"type_instance"`
	Value          int      `toml:"value"`
	Scale          *float64 `toml:"scale"`
	Offset         float64  `toml:"offset"`
}

// duration is a time with its unit, as in "250ms".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a time with its unit, as in \"2s\", got %q", text)
	}
	*s = duration(d)
	return nil
}

var (
	figureNames    = map[string]intake.LoadMetric{"util": intake.Utilization, "inflight": intake.InFlight, "latency_ms": intake.LatencyMS}
	securityLevels = map[string]collectd.SecurityLevel{"none": collectd.SecurityNone, "sign": collectd.SecuritySign, "encrypt": collectd.SecurityEncrypt}
)

// defaultOperatorFile returns the options that hold without an operator file.
func defaultOperatorFile() (f operatorFile) {
	f.Intake.Reports = string(ReportsOff)
	f.Intake.HalfLife, f.Intake.MostAge = duration(2*time.Second), duration(10*time.Second)
	f.Graphite.Prefix, f.Graphite.Interval = "zincloft", duration(10*time.Second)
	f.Collectd.Allow, f.Collectd.Security, f.Collectd.PacketsPS = []string{"127.0.0.0/8"}, "none", 2000
	f.State.Sync, f.State.HalfLife, f.State.MostAge = duration(5*time.Second), duration(10*time.Minute), duration(24*time.Hour)
	return f
}

// operator returns the options of a valid file.
func (f *operatorFile) operator(path string) Operator {
	return Operator{
		Path:     path,
		Intake:   f.intakeOptions(),
		Graphite: f.graphiteOptions(),
		Collectd: f.collectdOptions(),
		State: StateOptions{
			Dir:          f.State.Dir,
			SyncInterval: time.Duration(f.State.Sync),
			HalfLife:     time.Duration(f.State.HalfLife),
			MaxAge:       time.Duration(f.State.MostAge),
		},
	}
}

func (f *operatorFile) intakeOptions() IntakeOptions {
	return IntakeOptions{
		ReportsMode:          ReportsMode(f.Intake.Reports),
		RecordsPerSecond:     f.Intake.RecordsPerS,
		HalfLife:             time.Duration(f.Intake.HalfLife),
		MaxAge:               time.Duration(f.Intake.MostAge),
		MaxPairs:             f.Intake.Pairs,
		StreamBytesPerSecond: f.Intake.StreamBytesPS,
	}
}

func (f *operatorFile) graphiteOptions() GraphiteOptions {
	return GraphiteOptions{
		Address:         f.Graphite.Address,
		Prefix:          f.Graphite.Prefix,
		Interval:        time.Duration(f.Graphite.Interval),
		MaxQueuedPoints: f.Graphite.Points,
	}
}

func (f *operatorFile) collectdOptions() CollectdOptions {
	options := CollectdOptions{
		Listen:           f.Collectd.Listen,
		Security:         securityLevels[f.Collectd.Security],
		UsersFile:        f.Collectd.Users,
		PacketsPerSecond: f.Collectd.PacketsPS,
		ReplicaByHost:    f.Collectd.Hosts,
	}
	for _, text := range f.Collectd.Allow {
		if prefix, err := parsePrefix(text); err == nil { // always, in a valid file
			options.AllowedSources = append(options.AllowedSources, prefix)
		}
	}
	for _, m := range f.Collectd.Figures {
		options.Mappings = append(options.Mappings, m.mapping())
	}
	return options
}

// mapping returns the mapping of a valid section. The scale is 1 where it is left out.
func (m figureMapping) mapping() collectd.Mapping {
	scale := 1.0
	if m.Scale != nil {
		scale = *m.Scale
	}
	return collectd.Mapping{
		Metric:         figureNames[m.Figure],
		Plugin:         m.Plugin,
		PluginInstance: m.PluginInstance,
		Type:           m.Type,
		TypeInstance:   m.TypeInstance,
		Value:          m.Value,
		Scale:          scale,
		Offset:         m.Offset,
	}
}

// parsePrefix reads a range of addresses, or a single address.
func parsePrefix(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return a.Prefix(a.BitLen())
	}
	return netip.ParsePrefix(text)
}

// keyLines returns the line of each key and section of a file that has been decoded without an error.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		expression := p.Expression()
		var key []string
		line := 0
		for keys := expression.Key(); keys.Next(); {
			n := keys.Node()
			key = append(key, string(n.Data))
			line = p.Shape(n.Raw).Start.Line
		}
		name := strings.Join(key, ".")
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = name + "."
			if lines[name] == 0 {
				lines[name] = line
			}
		case unstable.KeyValue:
			lines[prefix+name] = line
		}
	}
	return lines
}
