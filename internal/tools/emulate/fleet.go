// Package emulate is a discrete-event simulation of a fleet: clients, proxies, replicas, discovery, report collectors and
// governors. It uses a simulated clock, an event queue and seeded random streams, and no real time, network or disk. Runs are
// deterministic: the same configuration and seed produce the same sequence of events, which makes deciders comparable.
// docs/design/emulator.md describes the models.
package emulate

import (
	"fmt"
	"time"

	"zincloft.example/zincloft/rules"
)

// Distributions of the work of a flow around the mean of its traffic group.
const (
	ExponentialWork = "exponential"
	ConstantWork    = "constant"
)

// The effect of executing a flow of a traffic group twice.
const (
	EffectRetriable    = "retriable"     // none: always safe to retry
	EffectDeduped      = "deduped"       // none within the group's window, in which replicas deduplicate
	EffectNonRetriable = "non-retriable" // applied twice: retried only if known not to have been executed
)

// Limits imposed by the identifier types of the rules package.
const (
	maxProxies       = 1 << 16
	maxTrafficGroups = 16
	maxZones         = 256
	maxMachineKinds  = 256
)

// TrafficGroup is a class of flows with common properties.
type TrafficGroup struct {
	Name          string        `toml:"name"`
	Share         float64       `toml:"share"`          // of the flows, relative to the other groups
	MeanWork      time.Duration `toml:"work"`           // core time at speed 1
	LatencyBudget time.Duration `toml:"latency_budget"` // responses within it earn the full utility
	Expiry        time.Duration `toml:"expiry"`         // responses after it are useless
	Utility       float64       `toml:"utility"`        // of a response within the latency budget
	LateShare     float64       `toml:"late_share"`     // share of the utility that a late response earns
	Effect        string        `toml:"effect"`         // EffectRetriable, EffectDeduped or EffectNonRetriable
	DedupWindow   time.Duration `toml:"window"`         // for EffectDeduped
	HomeOnly      bool          `toml:"home_only"`      // flows must stay in their proxy's zone
}

// MachineKind is a machine type that replicas run on.
type MachineKind struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the replicas, relative to the other kinds
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // 1: one second of work takes one second
}

// Fleet is the configuration of a simulated fleet. The TOML keys are those of scenario files.
type Fleet struct {
	Governors int            `toml:"governors"`
	Zones     int            `toml:"zones"`
	Proxies   int            `toml:"proxies"` // total over all governors
	Replicas  int            `toml:"replicas"`
	Groups    []TrafficGroup `toml:"group"`
	Kinds     []MachineKind  `toml:"kind"`

	// Arrivals.
	Load             float64       `toml:"load"`       // offered load as a share of the total capacity
	ProxyRateCV      float64       `toml:"proxy_cv"`   // coefficient of variation of the flow rates of proxies
	WorkDistribution string        `toml:"work_model"` // ExponentialWork or ConstantWork
	Duration         time.Duration `toml:"length"`     // period with arrivals
	SettleTime       time.Duration `toml:"settle"`     // after the last arrival, for pending flows to complete

	// Reports to governors, and the channel of each governor to its proxies, whose capacity is measured in table lines.
	ReportPeriod        time.Duration `toml:"period"`      // collection interval
	MaxReportDelay      time.Duration `toml:"report_late"` // of collected reports; the minimum is half of it
	LoadReportInterval  time.Duration `toml:"report_each"` // mean interval between load reports of a replica
	MaxReportsPerSecond float64       `toml:"hears"`       // limit of reports delivered to a governor; 0: unlimited
	ChannelRate         float64       `toml:"pace"`        // lines per second
	ChannelCapacity     float64       `toml:"queue_cap"`   // maximum number of queued lines
	MessageOverhead     float64       `toml:"head"`        // lines added to the cost of each message
	MaxMessageDelay     time.Duration `toml:"travel"`      // transit time after the channel; the minimum is a quarter of it
	MaxMessages         int           `toml:"message_cap"` // to one proxy within MessageWindow; 0: unlimited
	MessageWindow       time.Duration `toml:"message_span"`
	ApplyTimePerLine    time.Duration `toml:"pause"`  // during which a proxy sends no flows
	AdmissionLevels     bool          `toml:"levels"` // governors may order admission levels
	ProxyReports        bool          `toml:"met"`    // proxies report their attempts to the governor's intake, without the limit of MaxReportsPerSecond

	// Proxies, their network and their connections.
	FailuresToAvoid       int           `toml:"fails"` // consecutive failures after which a proxy avoids a replica locally; 0: never
	AvoidDuration         time.Duration `toml:"avoid_for"`
	AttemptTimeoutFactor  float64       `toml:"first_wait"` // timeout of an attempt that may be retried, in latency budgets
	LocalDelay            time.Duration `toml:"net"`        // mean one-way delay within a zone
	CrossZoneDelay        time.Duration `toml:"cross"`      // mean one-way delay between zones
	HandshakeWork         time.Duration `toml:"handshake"`  // core time of a replica for a new connection
	MaxConnectionsPerCore int           `toml:"links"`      // connection limit of a replica, per core
	ConnectionIdleTimeout time.Duration `toml:"link_idle"`

	// Clients.
	ClientRetries      int           `toml:"retries"`   // maximum number of retries of a flow
	ClientBackoff      time.Duration `toml:"backoff"`   // mean; exponentially distributed
	ClientTimeoutShare float64       `toml:"try_share"` // client timeout, as a share of the expiry

	// Discovery, and detection of broken streams.
	MaxDiscoveryDelay        time.Duration `toml:"list_late"` // until discovery publishes a change; the minimum is half of it
	DisconnectDetectionDelay time.Duration `toml:"noticed"`   // minimum time to detect a broken stream; the maximum is twice that

	// Limits that governors must respect, and the warm-up of replicas.
	MaxUnservedTime      time.Duration `toml:"bare_most"`     // maximum time for which a proxy may have no endpoint
	DrainGrace           time.Duration `toml:"drain_grace"`   // time for which a draining replica may still receive flows
	MaxDiscoveryInterval time.Duration `toml:"ask_within"`    // maximum time between requests to discovery
	WarmupDuration       time.Duration `toml:"warm_after"`    // from the start of a replica
	WarmupInitialShare   float64       `toml:"cold_from"`     // share of full speed at the start; rises linearly
	OverloadMultiple     float64       `toml:"fall_multiple"` // multiple of its capacity that crashes a warming replica
	OverloadWindow       time.Duration `toml:"fall_after"`    // window over which the overload is measured
}

// Validate returns an error that names the TOML key of the first invalid value.
func (f *Fleet) Validate() error {
	if err := f.validatePositive(); err != nil {
		return err
	}
	if f.Proxies > maxProxies || len(f.Groups) > maxTrafficGroups || f.Zones > maxZones || len(f.Kinds) > maxMachineKinds {
		return fmt.Errorf("limits exceeded: want at most %d proxies, %d traffic groups, %d zones and %d kinds", maxProxies, maxTrafficGroups, maxZones, maxMachineKinds)
	}
	if f.WorkDistribution != ExponentialWork && f.WorkDistribution != ConstantWork {
		return fmt.Errorf("work_model: want %s or %s, got %q", ExponentialWork, ConstantWork, f.WorkDistribution)
	}
	for _, group := range f.Groups {
		if _, err := parseEffect(group.Effect); err != nil {
			return fmt.Errorf("group %s: %w", group.Name, err)
		}
		if group.MeanWork <= 0 || group.Expiry <= 0 || group.LatencyBudget <= 0 || group.Share <= 0 {
			return fmt.Errorf("group %s: share, work, latency_budget and expiry must be above 0", group.Name)
		}
	}
	for _, kind := range f.Kinds {
		if kind.Cores <= 0 || !(kind.Speed > 0) || !(kind.Share > 0) {
			return fmt.Errorf("kind %s: share, cores and speed must be above 0", kind.Name)
		}
	}
	return nil
}

// validatePositive checks the values that must be above 0. The comparison also rejects NaN.
func (f *Fleet) validatePositive() error {
	parameters := []struct {
		key   string
		value float64
	}{
		{"governors", float64(f.Governors)},
		{"zones", float64(f.Zones)},
		{"proxies", float64(f.Proxies)},
		{"replicas", float64(f.Replicas)},
		{"load", f.Load},
		{"length", float64(f.Duration)},
		{"period", float64(f.ReportPeriod)},
		{"report_each", float64(f.LoadReportInterval)},
		{"pace", f.ChannelRate},
		{"queue_cap", f.ChannelCapacity},
		{"links", float64(f.MaxConnectionsPerCore)},
		{"warm_after", float64(f.WarmupDuration)},
		{"cold_from", f.WarmupInitialShare},
		{"fall_after", float64(f.OverloadWindow)},
		{"fall_multiple", f.OverloadMultiple},
		{"try_share", f.ClientTimeoutShare},
		{"link_idle", float64(f.ConnectionIdleTimeout)},
		{"group", float64(len(f.Groups))},
		{"kind", float64(len(f.Kinds))},
	}
	for _, parameter := range parameters {
		if !(parameter.value > 0) {
			return fmt.Errorf("%s: want more than 0, got %v", parameter.key, parameter.value)
		}
	}
	return nil
}

func parseEffect(name string) (rules.Effect, error) {
	switch name {
	case EffectRetriable:
		return rules.Retriable, nil
	case EffectDeduped:
		return rules.Deduped, nil
	case EffectNonRetriable:
		return rules.NonRetriable, nil
	}
	return 0, fmt.Errorf("effect: want retriable, deduped or non-retriable, got %q", name)
}

// Settings returns the initial settings of the fleet's governors. The fleet must be valid.
func (f *Fleet) Settings() rules.Settings {
	s := rules.Settings{
		Governors: f.Governors, Proxies: f.Proxies, Zones: f.Zones, ListOnRequest: true, Period: f.ReportPeriod, EntryRate: f.ChannelRate, EntryCapacity: f.ChannelCapacity,
		MessageEntries: f.MessageOverhead, MessageLimit: f.MaxMessages, MaxMessageDelay: f.MaxMessageDelay, MessageSpan: f.MessageWindow, FailuresToAvoid: f.FailuresToAvoid, FirstAttemptBudgets: f.AttemptTimeoutFactor,
		MinConnections: float64(f.MaxConnectionsPerCore), ConnectionIdleTimeout: f.ConnectionIdleTimeout, MaxUnboundTime: f.MaxUnservedTime, DrainGrace: f.DrainGrace, ListRequestDeadline: f.MaxDiscoveryInterval,
		WarmupTime: f.WarmupDuration, ColdCapacity: f.WarmupInitialShare, OverloadMultiple: f.OverloadMultiple, OverloadTime: f.OverloadWindow,
	}
	if f.AdmissionLevels {
		s.Levels = rules.LevelShare
	}
	fewestCores := f.Kinds[0].Cores
	for _, kind := range f.Kinds {
		fewestCores = min(fewestCores, kind.Cores)
	}
	s.MinConnections *= float64(fewestCores)
	for _, g := range f.Groups {
		effect, _ := parseEffect(g.Effect) // Validate has checked it
		s.Groups = append(s.Groups, rules.TrafficGroup{Name: g.Name, LatencyBudget: g.LatencyBudget, Expiry: g.Expiry, Utility: g.Utility,
			LateShare: g.LateShare, Effect: effect, DedupedByAll: effect == rules.Deduped, Window: g.DedupWindow, HomeOnly: g.HomeOnly})
	}
	return s
}

// totalCapacity returns the capacity of warm replicas, in core-seconds at speed 1 per second.
func totalCapacity(replicas []*replica) float64 {
	capacity := 0.0
	for _, r := range replicas {
		capacity += float64(r.cores) * r.speed
	}
	return capacity
}

// meanFlowWork returns the mean work of a flow, in core-seconds at speed 1.
func (f *Fleet) meanFlowWork() float64 {
	work, shares := 0.0, 0.0
	for _, group := range f.Groups {
		work += group.Share * group.MeanWork.Seconds()
		shares += group.Share
	}
	return work / shares
}

// assignKinds returns the kinds of n machines. Every prefix of the result approximates the shares of the kinds.
func assignKinds(kinds []MachineKind, n int) []int {
	total := 0.0
	for _, kind := range kinds {
		total += kind.Share
	}
	assigned := make([]int, 0, n)
	deficits := make([]float64, len(kinds)) // by kind: expected minus assigned machines
	for range n {
		best := 0
		for k := range kinds {
			deficits[k] += kinds[k].Share / total
			if deficits[k] > deficits[best] {
				best = k
			}
		}
		deficits[best]--
		assigned = append(assigned, best)
	}
	return assigned
}
