// Package emulate plays a fleet in simulated time: clients, proxies, replicas, discovery, collectors and governors. It is
// deterministic: the same fleet, troubles, deciders and seed give the same run, event by event. Nothing sleeps, and no
// clock or network is touched. Its models are our own; docs/design/emulator.md gives the reason for each.
package emulate

import (
	"errors"
	"fmt"
	"time"

	"zincloft.example/zincloft/rules"
)

// TrafficGroup is a traffic group of a fleet.
type TrafficGroup struct {
	Name          string        `toml:"name"`
	Share         float64       `toml:"share"` // of the flows
	MeanWork      time.Duration `toml:"work"`  // mean, of a core at speed 1
	LatencyBudget time.Duration `toml:"latency_budget"`
	Expiry        time.Duration `toml:"expiry"`
	Utility       float64       `toml:"utility"`
	LateShare     float64       `toml:"late_share"` // share of the utility that a late answer still earns
	Effect        string        `toml:"effect"`     // retriable, deduped or non-retriable
	DedupWindow   time.Duration `toml:"window"`     // deduped: for how long
	HomeOnly      bool          `toml:"home_only"`  // stays in the proxy's zone
}

// MachineKind is a kind of machine.
type MachineKind struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"`
}

// Spread of work around its group's mean.
const (
	Exponential = "exponential"
	Constant    = "constant"
)

// Fleet is what is played. Rates are for each governor where it says so.
type Fleet struct {
	Governors int            `toml:"governors"`
	Zones     int            `toml:"zones"`
	Proxies   int            `toml:"proxies"`
	Replicas  int            `toml:"replicas"`
	Groups    []TrafficGroup `toml:"group"`
	Kinds     []MachineKind  `toml:"kind"`

	Load             float64       `toml:"load"`       // share of all cores that the flows would keep busy
	ProxyRateCV      float64       `toml:"proxy_cv"`   // spread of the proxies' flows: standard deviation by mean
	WorkDistribution string        `toml:"work_model"` // exponential or constant
	Duration         time.Duration `toml:"length"`
	SettleTime       time.Duration `toml:"settle"` // after the end no flow begins, and those under way end

	ReportPeriod        time.Duration `toml:"period"`       // of sums
	MaxReportDelay      time.Duration `toml:"report_late"`  // the longest that sums are late; half of it at the least
	LoadReportInterval  time.Duration `toml:"report_each"`  // replicas renew their load report so often
	MaxReportsPerSecond float64       `toml:"hears"`        // report lines a second that a governor is passed; 0: all
	ChannelRate         float64       `toml:"pace"`         // lines a second of each governor's channel
	ChannelCapacity     float64       `toml:"queue_cap"`    // lines that may wait there
	MessageOverhead     float64       `toml:"head"`         // lines of a message besides its own
	MaxMessageDelay     time.Duration `toml:"travel"`       // the longest way of a message; a quarter of it at the least
	MaxMessages         int           `toml:"message_cap"`  // messages to one proxy within MessageSpan; 0: no cap
	MessageWindow       time.Duration `toml:"message_span"` //
	ApplyTimePerLine    time.Duration `toml:"pause"`        // a proxy stands still so long for each line
	AdmissionLevels     bool          `toml:"levels"`       // proxies heed levels
	ProxyReports        bool          `toml:"met"`          // proxies tell what each met at each replica, through an intake; Hears does not bound that

	FailuresToAvoid       int           `toml:"fails"`      // of its own in a row after which a proxy avoids a replica; 0: never
	AvoidDuration         time.Duration `toml:"avoid_for"`  //
	AttemptTimeoutFactor  float64       `toml:"first_wait"` // a try that may be followed waits so many latency budgets
	LocalDelay            time.Duration `toml:"net"`        // one way inside a zone
	CrossZoneDelay        time.Duration `toml:"cross"`      // one way between zones
	HandshakeWork         time.Duration `toml:"handshake"`  // work of a replica for a new connection
	MaxConnectionsPerCore int           `toml:"links"`      // connections that each core of a replica accepts
	ConnectionIdleTimeout time.Duration `toml:"link_idle"`  //

	ClientRetries      int           `toml:"retries"`   // of a client
	ClientBackoff      time.Duration `toml:"backoff"`   // mean wait of a client before it comes again
	ClientTimeoutShare float64       `toml:"try_share"` // a client gives a try up after this share of the expiry

	MaxDiscoveryDelay        time.Duration `toml:"list_late"` // the longest until discovery tells of a change; half of it at the least
	DisconnectDetectionDelay time.Duration `toml:"noticed"`   // a stream that broke is noticed after this

	MaxUnservedTime         time.Duration `toml:"bare_most"`
	DrainGrace              time.Duration `toml:"drain_grace"`
	DiscoveryRequestTimeout time.Duration `toml:"ask_within"`
	WarmupDuration          time.Duration `toml:"warm_after"`
	WarmupInitialShare      float64       `toml:"cold_from"`
	OverloadMultiple        float64       `toml:"fall_multiple"`
	OverloadWindow          time.Duration `toml:"fall_after"`
}

// SmallFleet is a fleet of one governor, thirty proxies and twelve replicas, on which nothing is wrong.
func SmallFleet() Fleet {
	return Fleet{
		Governors: 1, Zones: 2, Proxies: 30, Replicas: 12,
		Groups: []TrafficGroup{
			{Name: "look", Share: 0.6, MeanWork: 100 * time.Millisecond, LatencyBudget: time.Second, Expiry: 4 * time.Second, Utility: 1, LateShare: 0.1, Effect: "retriable"},
			{Name: "edit", Share: 0.25, MeanWork: 150 * time.Millisecond, LatencyBudget: 1500 * time.Millisecond, Expiry: 5 * time.Second, Utility: 2, LateShare: 0.1, Effect: "deduped", DedupWindow: 5 * time.Second},
			{Name: "pay", Share: 0.15, MeanWork: 200 * time.Millisecond, LatencyBudget: 2 * time.Second, Expiry: 6 * time.Second, Utility: 3, LateShare: 0.1, Effect: "non-retriable"},
		},
		Kinds: []MachineKind{{Name: "big", Share: 0.4, Cores: 2, Speed: 1.5}, {Name: "mid", Share: 0.35, Cores: 2, Speed: 1}, {Name: "old", Share: 0.25, Cores: 2, Speed: 0.7}},
		Load:  0.5, ProxyRateCV: 0.6, WorkDistribution: Exponential, Duration: 40 * time.Second, SettleTime: 10 * time.Second,
		ReportPeriod: time.Second, MaxReportDelay: 1200 * time.Millisecond, LoadReportInterval: 500 * time.Millisecond,
		ChannelRate: 15_000, ChannelCapacity: 30_000, MessageOverhead: 6, MaxMessageDelay: 500 * time.Millisecond, MaxMessages: 20, MessageWindow: 10 * time.Second,
		ApplyTimePerLine: 40 * time.Microsecond, FailuresToAvoid: 3, AvoidDuration: 5 * time.Second, AttemptTimeoutFactor: 0.8,
		LocalDelay: 200 * time.Microsecond, CrossZoneDelay: 2 * time.Millisecond, HandshakeWork: 15 * time.Millisecond, MaxConnectionsPerCore: 45, ConnectionIdleTimeout: 15 * time.Second,
		ClientRetries: 1, ClientBackoff: 300 * time.Millisecond, ClientTimeoutShare: 0.7,
		MaxDiscoveryDelay: 2 * time.Second, DisconnectDetectionDelay: 500 * time.Millisecond,
		MaxUnservedTime: 5 * time.Second, DrainGrace: 3 * time.Second, DiscoveryRequestTimeout: 10 * time.Second, WarmupDuration: 18 * time.Second,
		WarmupInitialShare: 0.2, OverloadMultiple: 4, OverloadWindow: 2 * time.Second,
	}
}

// LargeFleet is a fleet of five governors that share so many proxies and replicas. A governor is passed lines a second as the
// users' large days have it: far fewer than its proxies and replicas have to tell.
func LargeFleet(proxies, replicas int) Fleet {
	f := SmallFleet()
	f.Governors, f.Zones, f.Proxies, f.Replicas = 5, 4, proxies, replicas
	f.ChannelRate, f.MaxReportsPerSecond = 15*float64(proxies)/2, 500
	f.ChannelCapacity = 4 * f.ChannelRate
	return f
}

// Validate tells what is impossible in a fleet.
func (f *Fleet) Validate() error {
	positive := []struct {
		key   string
		value float64
	}{
		{"governors", float64(f.Governors)}, {"zones", float64(f.Zones)}, {"proxies", float64(f.Proxies)}, {"replicas", float64(f.Replicas)},
		{"load", f.Load}, {"length", float64(f.Duration)}, {"period", float64(f.ReportPeriod)}, {"report_each", float64(f.LoadReportInterval)}, {"pace", f.ChannelRate},
		{"queue_cap", f.ChannelCapacity}, {"links", float64(f.MaxConnectionsPerCore)}, {"warm_after", float64(f.WarmupDuration)}, {"cold_from", f.WarmupInitialShare},
		{"fall_after", float64(f.OverloadWindow)}, {"fall_multiple", f.OverloadMultiple}, {"try_share", f.ClientTimeoutShare}, {"link_idle", float64(f.ConnectionIdleTimeout)},
		{"group", float64(len(f.Groups))}, {"kind", float64(len(f.Kinds))},
	}
	for _, p := range positive {
		if !(p.value > 0) {
			return fmt.Errorf("%s: want more than 0, got %v", p.key, p.value)
		}
	}
	if f.Proxies > 1<<16 || len(f.Groups) > 16 || f.Zones > 256 || len(f.Kinds) > 256 {
		return errors.New("at most 65,536 proxies, 16 traffic groups, 256 zones and 256 kinds")
	}
	if f.WorkDistribution != Exponential && f.WorkDistribution != Constant {
		return fmt.Errorf("work_model: want %s or %s, got %q", Exponential, Constant, f.WorkDistribution)
	}
	for _, g := range f.Groups {
		if _, err := parseEffect(g.Effect); err != nil {
			return fmt.Errorf("group %s: %w", g.Name, err)
		}
		if g.MeanWork <= 0 || g.Expiry <= 0 || g.LatencyBudget <= 0 || g.Share <= 0 {
			return fmt.Errorf("group %s: share, work, latency_budget and expiry must be above 0", g.Name)
		}
	}
	for _, k := range f.Kinds {
		if k.Cores <= 0 || !(k.Speed > 0) || !(k.Share > 0) {
			return fmt.Errorf("kind %s: share, cores and speed must be above 0", k.Name)
		}
	}
	return nil
}

func parseEffect(name string) (rules.Effect, error) {
	switch name {
	case "retriable":
		return rules.Retriable, nil
	case "deduped":
		return rules.Deduped, nil
	case "non-retriable":
		return rules.NonRetriable, nil
	}
	return 0, fmt.Errorf("effect: want retriable, deduped or non-retriable, got %q", name)
}

// Settings are what a governor of the fleet is told.
func (f *Fleet) Settings() rules.Settings {
	s := rules.Settings{
		Governors: f.Governors, Proxies: f.Proxies, Zones: f.Zones, ListOnRequest: true, Period: f.ReportPeriod, LinePace: f.ChannelRate, LineCap: f.ChannelCapacity,
		HeadLines: f.MessageOverhead, MessageCap: f.MaxMessages, TravelMost: f.MaxMessageDelay, MessageSpan: f.MessageWindow, FailsToAvoid: f.FailuresToAvoid, FirstWait: f.AttemptTimeoutFactor,
		LinksLeast: float64(f.MaxConnectionsPerCore), LinkIdle: f.ConnectionIdleTimeout, BareMost: f.MaxUnservedTime, DrainGrace: f.DrainGrace, AskWithin: f.DiscoveryRequestTimeout,
		WarmAfter: f.WarmupDuration, ColdFrom: f.WarmupInitialShare, FallMultiple: f.OverloadMultiple, FallAfter: f.OverloadWindow,
	}
	if f.AdmissionLevels {
		s.Levels = rules.LevelShare
	}
	least := f.Kinds[0].Cores
	for _, k := range f.Kinds {
		least = min(least, k.Cores)
	}
	s.LinksLeast *= float64(least)
	for _, g := range f.Groups {
		e, _ := parseEffect(g.Effect) // Check has seen it
		s.Groups = append(s.Groups, rules.TrafficGroup{Name: g.Name, LatencyBudget: g.LatencyBudget, Expiry: g.Expiry, Utility: g.Utility,
			LateShare: g.LateShare, Effect: e, DedupedByAll: e == rules.Deduped, Window: g.DedupWindow, HomeOnly: g.HomeOnly})
	}
	return s
}

// capacity is the work that all replicas of a fleet do in a second, in seconds of a core at speed 1, and the mean work of a flow.
func (f *Fleet) capacity(replicas []*replica) (all, each float64) {
	for _, r := range replicas {
		all += float64(r.cores) * r.speed
	}
	shares := 0.0
	for _, g := range f.Groups {
		each, shares = each+g.Share*g.MeanWork.Seconds(), shares+g.Share
	}
	return all, each / shares
}
