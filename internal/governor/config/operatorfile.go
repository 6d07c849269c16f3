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

// operatorFile is the operator file in TOML. Its fields correspond to those of Operator.
type operatorFile struct {
	Intake struct {
		Reports              string   `toml:"reports"`
		RecordsPerSecond     int      `toml:"records_per_s"`
		HalfLife             duration `toml:"half_life"`
		MaxAge               duration `toml:"most_age"`
		MaxPairs             int      `toml:"pairs"`
		StreamBytesPerSecond int      `toml:"stream_bytes_per_s"`
	} `toml:"intake"`
	Graphite struct {
		Address         string   `toml:"address"`
		Prefix          string   `toml:"prefix"`
		Interval        duration `toml:"interval"`
		MaxQueuedPoints int      `toml:"points"`
	} `toml:"graphite"`
	Collectd collectdSection `toml:"collectd"`
	State    stateSection    `toml:"state"`
}

// collectdSection is the section [collectd].
type collectdSection struct {
	Listen           string            `toml:"listen"`
	AllowedSources   []string          `toml:"allow"`
	Security         string            `toml:"security"`
	UsersFile        string            `toml:"users"`
	PacketsPerSecond int               `toml:"packets_per_s"`
	ReplicaByHost    map[string]string `toml:"hosts"`
	Mappings         []metricMapping   `toml:"figures"`
}

// stateSection is the section [state].
type stateSection struct {
	Dir          string   `toml:"dir"`
	SyncInterval duration `toml:"sync"`
	HalfLife     duration `toml:"half_life"`
	MaxAge       duration `toml:"most_age"`
}

// metricMapping is one section [[collectd.figures]].
type metricMapping struct {
	Metric         string   `toml:"figure"`
	Plugin         string   `toml:"plugin"`
	PluginInstance string   `toml:"plugin_instance"`
	Type           string   `toml:"type"`
	TypeInstance   string   `toml:"type_instance"`
	Value          int      `toml:"value"`
	Scale          *float64 `toml:"scale"`
	Offset         float64  `toml:"offset"`
}

// duration is a duration with its unit, as in "250ms".
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
	metricsByName  = map[string]intake.LoadMetric{"util": intake.Utilization, "inflight": intake.InFlight, "latency_ms": intake.LatencyMS}
	securityLevels = map[string]collectd.SecurityLevel{"none": collectd.SecurityNone, "sign": collectd.SecuritySign, "encrypt": collectd.SecurityEncrypt}
)

// defaultOperatorFile returns the options that apply without an operator file.
func defaultOperatorFile() (f operatorFile) {
	f.Intake.Reports = string(ReportsOff)
	f.Intake.HalfLife, f.Intake.MaxAge = duration(2*time.Second), duration(10*time.Second)
	f.Graphite.Prefix, f.Graphite.Interval = "zincloft", duration(10*time.Second)
	f.Collectd.AllowedSources, f.Collectd.Security, f.Collectd.PacketsPerSecond = []string{"127.0.0.0/8"}, "none", 2000
	f.State.SyncInterval, f.State.HalfLife, f.State.MaxAge = duration(5*time.Second), duration(10*time.Minute), duration(24*time.Hour)
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
			SyncInterval: time.Duration(f.State.SyncInterval),
			HalfLife:     time.Duration(f.State.HalfLife),
			MaxAge:       time.Duration(f.State.MaxAge),
		},
	}
}

func (f *operatorFile) intakeOptions() IntakeOptions {
	return IntakeOptions{
		ReportsMode:          ReportsMode(f.Intake.Reports),
		RecordsPerSecond:     f.Intake.RecordsPerSecond,
		HalfLife:             time.Duration(f.Intake.HalfLife),
		MaxAge:               time.Duration(f.Intake.MaxAge),
		MaxPairs:             f.Intake.MaxPairs,
		StreamBytesPerSecond: f.Intake.StreamBytesPerSecond,
	}
}

func (f *operatorFile) graphiteOptions() GraphiteOptions {
	return GraphiteOptions{
		Address:         f.Graphite.Address,
		Prefix:          f.Graphite.Prefix,
		Interval:        time.Duration(f.Graphite.Interval),
		MaxQueuedPoints: f.Graphite.MaxQueuedPoints,
	}
}

func (f *operatorFile) collectdOptions() CollectdOptions {
	options := CollectdOptions{
		Listen:           f.Collectd.Listen,
		Security:         securityLevels[f.Collectd.Security],
		UsersFile:        f.Collectd.UsersFile,
		PacketsPerSecond: f.Collectd.PacketsPerSecond,
		ReplicaByHost:    f.Collectd.ReplicaByHost,
	}
	for _, text := range f.Collectd.AllowedSources {
		if prefix, err := parsePrefix(text); err == nil { // validate has reported errors
			options.AllowedSources = append(options.AllowedSources, prefix)
		}
	}
	for _, m := range f.Collectd.Mappings {
		options.Mappings = append(options.Mappings, m.mapping())
	}
	return options
}

// mapping returns the mapping of a valid section. The scale defaults to 1.
func (m metricMapping) mapping() collectd.Mapping {
	scale := 1.0
	if m.Scale != nil {
		scale = *m.Scale
	}
	return collectd.Mapping{
		Metric:         metricsByName[m.Metric],
		Plugin:         m.Plugin,
		PluginInstance: m.PluginInstance,
		Type:           m.Type,
		TypeInstance:   m.TypeInstance,
		Value:          m.Value,
		Scale:          scale,
		Offset:         m.Offset,
	}
}

// parsePrefix parses an address prefix or a single address.
func parsePrefix(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return a.Prefix(a.BitLen())
	}
	return netip.ParsePrefix(text)
}

// keyLines returns the line of each key and section of a valid TOML file.
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
