package config

import (
	"cmp"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"
)

var prefixPattern = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

// validate returns an OperatorError for the first invalid value. lines holds the line of each key.
func (f *operatorFile) validate(path string, lines map[string]int) error {
	i, g, d := &f.Intake, &f.Graphite, &f.Collectd
	_, knownLevel := securityLevels[d.Security]
	checks := []struct {
		key, problem string
		valid        bool
	}{
		{"graphite.address", "want a host and a port", validAddress(g.Address)},
		{"graphite.prefix", "want words of letters, digits, - and _, joined by dots", prefixPattern.MatchString(g.Prefix)},
		{"graphite.interval", "want a second or more", g.Interval >= duration(time.Second)},
		{"graphite.points", "want 0 or more", g.MaxQueuedPoints >= 0},
		{"collectd.listen", "want a host and a port", validAddress(d.Listen)},
		{"collectd.allow", "want addresses or ranges, as in \"10.1.0.0/16\"", d.validSources()},
		{"collectd.security", `want "none", "sign" or "encrypt"`, knownLevel},
		{"collectd.users", "want a file that can be read; it is needed where packets must be signed or encrypted", d.validUsers()},
		{"collectd.packets_per_s", "want 1 or more", d.PacketsPerSecond >= 1},
		{"state.sync", "want 100ms or more", f.State.SyncInterval >= duration(100*time.Millisecond)},
		{"state.half_life", "want a time above 0", f.State.HalfLife > 0},
		{"state.most_age", "want no less than state.half_life", f.State.MaxAge >= f.State.HalfLife},
		{"collectd.figures", "want one or more, each with figure (util, inflight or latency_ms), plugin and type", d.validMappings()},
		{"intake.reports", `want "off", "pairs" or "sums"`, i.Reports == string(ReportsOff) || i.Reports == string(ReportsPairs) || i.Reports == string(ReportsSums)},
		{"intake.records_per_s", "want 0 or more", i.RecordsPerSecond >= 0},
		{"intake.half_life", "want a time above 0", i.HalfLife > 0},
		{"intake.most_age", "want no less than intake.half_life", i.MaxAge >= i.HalfLife},
		{"intake.pairs", "want 0 or more", i.MaxPairs >= 0},
		{"intake.stream_bytes_per_s", "want 0 or more", i.StreamBytesPerSecond >= 0},
	}
	for _, check := range checks {
		if !check.valid {
			section, _, _ := strings.Cut(check.key, ".")
			line := cmp.Or(lines[check.key], lines[section])
			return OperatorError{Path: path, Key: check.key, Line: line, Problem: check.problem}
		}
	}
	return nil
}

func validAddress(address string) bool {
	_, _, err := net.SplitHostPort(address)
	return address == "" || err == nil
}

func (s *collectdSection) validSources() bool {
	return !slices.ContainsFunc(s.AllowedSources, func(text string) bool {
		_, err := parsePrefix(text)
		return err != nil
	})
}

// validUsers reports whether the users file exists or is not needed.
func (s *collectdSection) validUsers() bool {
	if s.UsersFile == "" {
		return s.Listen == "" || s.Security == "none"
	}
	_, err := os.Stat(s.UsersFile)
	return err == nil
}

// validMappings reports whether all mappings are complete and, if collectd is enabled, there is at least one.
func (s *collectdSection) validMappings() bool {
	for _, m := range s.Mappings {
		_, known := metricsByName[m.Metric]
		if !known || m.Plugin == "" || m.Type == "" || m.Value < 0 {
			return false
		}
	}
	return s.Listen == "" || len(s.Mappings) > 0
}
