// Package emulate simulates a fleet: clients, proxies, replicas, discovery, collectors and governors. It is a discrete-event
// simulation: a simulated clock, an event queue and seeded random streams; nothing sleeps, and no clock, network or disk is
// used. It is deterministic: the same configuration and seed give the same run, event by event, which experiments rely on when
// they compare deciders. docs/design/emulator.md gives the reason for each model.
package emulate

import (
	"errors"
	"fmt"
	"time"

	"zincloft.example/zincloft/rules"
)

// The distributions of work around its traffic group's mean.
const (
	ExponentialWork = "exponential"
	ConstantWork    = "constant"
)

// What it means for a traffic group that a flow runs twice.
const (
	EffectRetriable    = "retriable"     // nothing: it may always be retried
	EffectDeduped      = "deduped"       // nothing within the group's window: replicas recognise it
	EffectNonRetriable = "non-retriable" // a second effect: it may be retried only if it is known not to have run
)

// Bounds of a fleet. The identifiers of the rules package hold no more.
const (
	maxProxies       = 1 << 16
	maxTrafficGroups = 16
	maxZones         = 256
	maxMachineKinds  = 256
)

// TrafficGroup is a group of flows that are alike.
type TrafficGroup struct {
	Name          string        `toml:"name"`
	Share         float64       `toml:"share"`          // of the flows, relative to the other groups'
	MeanWork      time.Duration `toml:"work"`           // of a core at speed 1
	LatencyBudget time.Duration `toml:"latency_budget"` // an answer within it earns the whole utility
	Expiry        time.Duration `toml:"expiry"`         // an answer is of no use after it
	Utility       float64       `toml:"utility"`        // of an answer in time
	LateShare     float64       `toml:"late_share"`     // share of the utility that a late answer earns
	Effect        string        `toml:"effect"`         // EffectRetriable, EffectDeduped or EffectNonRetriable
	DedupWindow   time.Duration `toml:"window"`         // of EffectDeduped
	HomeOnly      bool          `toml:"home_only"`      // flows stay in their proxy's zone
}

// MachineKind is a kind of machine that replicas run on.
type MachineKind struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the replicas, relative to the other kinds'
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // 1: a second of work takes a second
}

// Fleet describes what is simulated. The TOML keys are those of scenario files.
type Fleet struct {
	Governors int            `toml:"governors"`
	Zones     int            `toml:"zones"`
	Proxies   int            `toml:"proxies"` // of all governors together
	Replicas  int            `toml:"replicas"`
	Groups    []TrafficGroup `toml:"group"`
	Kinds     []MachineKind  `toml:"kind"`

	// Arrivals.
	Load             float64       `toml:"load"`       // share of all cores that the flows would keep busy
	ProxyRateCV      float64       `toml:"proxy_cv"`   // coefficient of variation of the proxies' rates of flows
	WorkDistribution string        `toml:"work_model"` // ExponentialWork or ConstantWork
	Duration         time.Duration `toml:"length"`     // of arrivals
	SettleTime       time.Duration `toml:"settle"`     // after the last arrival, for flows under way to end

	// Reports to governors, and the channel of each governor to its proxies, which is measured in table lines.
	ReportPeriod        time.Duration `toml:"period"`       // of the collectors
	MaxReportDelay      time.Duration `toml:"report_late"`  // of collected reports; half of it at least
	LoadReportInterval  time.Duration `toml:"report_each"`  // mean interval between a replica's load reports
	MaxReportsPerSecond float64       `toml:"hears"`        // delivered to a governor; 0: all
	ChannelRate         float64       `toml:"pace"`         // lines a second
	ChannelCapacity     float64       `toml:"queue_cap"`    // lines that may be queued
	MessageOverhead     float64       `toml:"head"`         // lines that a message costs besides its own
	MaxMessageDelay     time.Duration `toml:"travel"`       // after the channel; a quarter of it at least
	MaxMessages         int           `toml:"message_cap"`  // to one proxy within MessageWindow; 0: no bound
	MessageWindow       time.Duration `toml:"message_span"` //
	ApplyTimePerLine    time.Duration `toml:"pause"`        // for which a proxy sends nothing
	AdmissionLevels     bool          `toml:"levels"`       // governors may order admission levels
	ProxyReports        bool          `toml:"met"`          // proxies report their attempts to an intake; MaxReportsPerSecond does not bound these

	// Proxies, their network and their connections.
	FailuresToAvoid       int           `toml:"fails"`      // in a row after which a proxy avoids a replica by itself; 0: never
	AvoidDuration         time.Duration `toml:"avoid_for"`  //
	AttemptTimeoutFactor  float64       `toml:"first_wait"` // time-out of an attempt that may be retried, in latency budgets
	LocalDelay            time.Duration `toml:"net"`        // one way within a zone, on average
	CrossZoneDelay        time.Duration `toml:"cross"`      // one way between zones, on average
	HandshakeWork         time.Duration `toml:"handshake"`  // of a replica for a new connection
	MaxConnectionsPerCore int           `toml:"links"`      // that a replica accepts
	ConnectionIdleTimeout time.Duration `toml:"link_idle"`  //

	// Clients.
	ClientRetries      int           `toml:"retries"`   // of a flow
	ClientBackoff      time.Duration `toml:"backoff"`   // mean of an exponential distribution
	ClientTimeoutShare float64       `toml:"try_share"` // of the expiry, after which a client gives an attempt up

	// Discovery and the detection of broken streams.
	MaxDiscoveryDelay        time.Duration `toml:"list_late"` // until discovery tells of a change; half of it at least
	DisconnectDetectionDelay time.Duration `toml:"noticed"`   // least time until a broken stream is noticed; twice of it at most

	// What governors have to keep to.
	MaxUnservedTime      time.Duration `toml:"bare_most"`     // a proxy may be without a replica
	DrainGrace           time.Duration `toml:"drain_grace"`   // a replica that drains may still be sent flows
	MaxDiscoveryInterval time.Duration `toml:"ask_within"`    // discovery has to be asked at least so often
	WarmupDuration       time.Duration `toml:"warm_after"`    // from a replica's start
	WarmupInitialShare   float64       `toml:"cold_from"`     // share of its speed at its start, from which it rises linearly
	OverloadMultiple     float64       `toml:"fall_multiple"` // of what it can do, that crashes a replica that warms up
	OverloadWindow       time.Duration `toml:"fall_after"`    // over which that is measured
}

// Validate returns an error that names the TOML key of the first impossible value.
func (f *Fleet) Validate() error {
	if err := f.validatePositive(); err != nil {
		return err
	}
	if f.Proxies > maxProxies || len(f.Groups) > maxTrafficGroups || f.Zones > maxZones || len(f.Kinds) > maxMachineKinds {
		return errors.New("at most 65,536 proxies, 16 traffic groups, 256 zones and 256 kinds")
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

// validatePositive checks the figures that must be above 0, which NaN is not.
func (f *Fleet) validatePositive() error {
	figures := []struct {
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
	for _, figure := range figures {
		if !(figure.value > 0) {
			return fmt.Errorf("%s: want more than 0, got %v", figure.key, figure.value)
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

// Settings returns the settings that a governor of the fleet is started with. The fleet must be valid.
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
		effect, _ := parseEffect(g.Effect) // Validate has parsed it
		s.Groups = append(s.Groups, rules.TrafficGroup{Name: g.Name, LatencyBudget: g.LatencyBudget, Expiry: g.Expiry, Utility: g.Utility,
			LateShare: g.LateShare, Effect: effect, DedupedByAll: effect == rules.Deduped, Window: g.DedupWindow, HomeOnly: g.HomeOnly})
	}
	return s
}

// totalCapacity is the work that replicas do in a second once they are warm, in seconds of a core at speed 1.
func totalCapacity(replicas []*replica) float64 {
	capacity := 0.0
	for _, r := range replicas {
		capacity += float64(r.cores) * r.speed
	}
	return capacity
}

// meanFlowWork is the mean work of a flow, in seconds of a core at speed 1.
func (f *Fleet) meanFlowWork() float64 {
	work, shares := 0.0, 0.0
	for _, group := range f.Groups {
		work += group.Share * group.MeanWork.Seconds()
		shares += group.Share
	}
	return work / shares
}

// assignKinds returns the kind of each of n machines, so that every prefix of them is close to the kinds' shares.
func assignKinds(kinds []MachineKind, n int) []int {
	total := 0.0
	for _, kind := range kinds {
		total += kind.Share
	}
	assigned := make([]int, 0, n)
	owed := make([]float64, len(kinds)) // machines of each kind that the prefix lacks
	for range n {
		best := 0
		for k := range kinds {
			owed[k] += kinds[k].Share / total
			if owed[k] > owed[best] {
				best = k
			}
		}
		owed[best]--
		assigned = append(assigned, best)
	}
	return assigned
}
