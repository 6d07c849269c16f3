package config

import (
	"cmp"
	"fmt"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/collectd"
	"zincloft.example/zincloft/internal/governor/graphite"
)

const (
	intakeCoreShare     = 0.2      // share of the cores available to the intake
	recordCoreSeconds   = 1e-6     // CPU time per record, including decoding
	keptRecordBytes     = 256      // memory per kept record, in both samples and their indexes
	keptPairBytes       = 256      // memory per tracked pair
	intakeMemoryDivisor = 16       // records and pairs may each use memory/intakeMemoryDivisor
	defaultStreamBytes  = 64 << 10 // per second and stream
)

const (
	queuedPointBytes      = 128 // memory per queued point
	graphiteMemoryDivisor = 32  // queued points may use memory/graphiteMemoryDivisor
	graphiteWriteTimeout  = 5 * time.Second
	graphiteDialTimeout   = 2 * time.Second
	graphiteMaxRetryDelay = time.Minute
)

// IntakeSettings returns the settings of package intake, from the operator file or else derived from the limits.
func (c Config) IntakeSettings() intake.Settings {
	o, s := c.Operator.Intake, c.Settings.Settings
	recordsPerSecond := c.Limits.Cores * intakeCoreShare / recordCoreSeconds
	recordsPerSecond = min(recordsPerSecond, float64(c.intakeBytes()/keptRecordBytes)/s.Period.Seconds())
	if o.RecordsPerSecond > 0 {
		recordsPerSecond = float64(o.RecordsPerSecond)
	}
	return intake.Settings{
		Seed:             c.Seed,
		Period:           s.Period,
		Budget:           max(int(recordsPerSecond*s.Period.Seconds()), 4),
		HalfLife:         o.HalfLife,
		MaxAge:           o.MaxAge,
		MaxPairs:         cmp.Or(o.MaxPairs, int(c.intakeBytes()/keptPairBytes)),
		Zones:            s.Zones,
		StatsFromRecords: o.ReportsMode == ReportsSums,
	}
}

// intakeBytes returns the memory that records and pairs may each use.
func (c Config) intakeBytes() int64 { return c.Limits.MemoryMB << 20 / intakeMemoryDivisor }

// GraphiteOptions returns the options of package graphite, from the operator file or else derived from the limits.
func (c Config) GraphiteOptions() graphite.Options {
	o := c.Operator.Graphite
	return graphite.Options{
		Address:         o.Address,
		Prefix:          o.Prefix + "." + graphite.SanitizePathPart(c.Name),
		Interval:        o.Interval,
		MaxQueuedPoints: cmp.Or(o.MaxQueuedPoints, int(c.Limits.MemoryMB<<20/graphiteMemoryDivisor/queuedPointBytes)),
		WriteTimeout:    graphiteWriteTimeout,
		DialTimeout:     graphiteDialTimeout,
		MaxRetryDelay:   graphiteMaxRetryDelay,
	}
}

// StreamBytesPerSecond returns the rate limit for reading from a stream, or 0 for none. There is one only if batches are
// accepted.
func (c Config) StreamBytesPerSecond() int {
	if !c.Operator.Intake.Enabled() {
		return 0
	}
	return cmp.Or(c.Operator.Intake.StreamBytesPerSecond, defaultStreamBytes)
}

// Effective returns the effective options, including derived ones, in the format of the operator file.
func (c Config) Effective() string {
	if c.Settings.Period == 0 { // only the operator file was read
		c.Limits, c.Settings.Period = defaultLimits, time.Second
	}
	o, in, g, d := c.Operator.Intake, c.IntakeSettings(), c.GraphiteOptions(), c.Operator.Collectd
	st := c.Operator.State
	return fmt.Sprintf(`[intake]
reports = %q
records_per_s = %d
half_life = %q
most_age = %q
pairs = %d
stream_bytes_per_s = %d

[graphite]
address = %q
prefix = %q
interval = %q
points = %d

[collectd]
listen = %q
allow = %q
security = %q
users = %q
packets_per_s = %d
# %d hosts are mapped by name, %d figures are read

[state]
dir = %q
sync = %q
half_life = %q
most_age = %q
`, o.ReportsMode, int(float64(in.Budget)/in.Period.Seconds()), o.HalfLife, o.MaxAge, in.MaxPairs, cmp.Or(o.StreamBytesPerSecond, defaultStreamBytes),
		g.Address, g.Prefix, g.Interval, g.MaxQueuedPoints, d.Listen, d.AllowedSources, securityName(d.Security), d.UsersFile, d.PacketsPerSecond, len(d.ReplicaByHost), len(d.Mappings), st.Dir, st.SyncInterval, st.HalfLife, st.MaxAge)
}

// securityName returns the name of a level in the operator file.
func securityName(level collectd.SecurityLevel) string {
	for name, named := range securityLevels {
		if named == level {
			return name
		}
	}
	return ""
}
