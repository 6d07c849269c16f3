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

// Group is a traffic group of a fleet.
type Group struct {
	Name          string        `toml:"name"`
	Share         float64       `toml:"share"` // of the flows
	Work          time.Duration `toml:"work"`  // mean, of a core at speed 1
	LatencyBudget time.Duration `toml:"latency_budget"`
	Expiry        time.Duration `toml:"expiry"`
	Utility       float64       `toml:"utility"`
	LateShare     float64       `toml:"late_share"` // share of the utility that a late answer still earns
	Effect        string        `toml:"effect"`     // retriable, deduped or non-retriable
	Window        time.Duration `toml:"window"`     // deduped: for how long
	HomeOnly      bool          `toml:"home_only"`  // stays in the proxy's zone
}

// Kind is a kind of machine.
type Kind struct {
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
	Governors int     `toml:"governors"`
	Zones     int     `toml:"zones"`
	Proxies   int     `toml:"proxies"`
	Replicas  int     `toml:"replicas"`
	Groups    []Group `toml:"group"`
	Kinds     []Kind  `toml:"kind"`

	Load      float64       `toml:"load"`       // share of all cores that the flows would keep busy
	ProxyCV   float64       `toml:"proxy_cv"`   // spread of the proxies' flows: standard deviation by mean
	WorkModel string        `toml:"work_model"` // exponential or constant
	Length    time.Duration `toml:"length"`
	Settle    time.Duration `toml:"settle"` // after the end no flow begins, and those under way end

	Period     time.Duration `toml:"period"`       // of sums
	ReportLate time.Duration `toml:"report_late"`  // the longest that sums are late; half of it at the least
	ReportEach time.Duration `toml:"report_each"`  // replicas renew their load report so often
	Hears      float64       `toml:"hears"`        // report lines a second that a governor is passed; 0: all
	Pace       float64       `toml:"pace"`         // lines a second of each governor's channel
	QueueCap   float64       `toml:"queue_cap"`    // lines that may wait there
	Head       float64       `toml:"head"`         // lines of a message besides its own
	Travel     time.Duration `toml:"travel"`       // the longest way of a message; a quarter of it at the least
	MessageCap int           `toml:"message_cap"`  // messages to one proxy within MessageSpan; 0: no cap
	MessageSec time.Duration `toml:"message_span"` //
	Pause      time.Duration `toml:"pause"`        // a proxy stands still so long for each line
	Levels     bool          `toml:"levels"`       // proxies heed levels
	Met        bool          `toml:"met"`          // proxies tell what each met at each replica, through an intake; Hears does not bound that

	Fails     int           `toml:"fails"`      // of its own in a row after which a proxy avoids a replica; 0: never
	AvoidFor  time.Duration `toml:"avoid_for"`  //
	FirstWait float64       `toml:"first_wait"` // a try that may be followed waits so many latency budgets
	Net       time.Duration `toml:"net"`        // one way inside a zone
	Cross     time.Duration `toml:"cross"`      // one way between zones
	Handshake time.Duration `toml:"handshake"`  // work of a replica for a new connection
	Links     int           `toml:"links"`      // connections that each core of a replica accepts
	LinkIdle  time.Duration `toml:"link_idle"`  //

	Retries  int           `toml:"retries"`   // of a client
	Backoff  time.Duration `toml:"backoff"`   // mean wait of a client before it comes again
	TryShare float64       `toml:"try_share"` // a client gives a try up after this share of the expiry

	ListLate time.Duration `toml:"list_late"` // the longest until discovery tells of a change; half of it at the least
	Noticed  time.Duration `toml:"noticed"`   // a stream that broke is noticed after this

	BareMost     time.Duration `toml:"bare_most"`
	DrainGrace   time.Duration `toml:"drain_grace"`
	AskWithin    time.Duration `toml:"ask_within"`
	WarmAfter    time.Duration `toml:"warm_after"`
	ColdFrom     float64       `toml:"cold_from"`
	FallMultiple float64       `toml:"fall_multiple"`
	FallAfter    time.Duration `toml:"fall_after"`
}

// Small is a fleet of one governor, thirty proxies and twelve replicas, on which nothing is wrong.
func Small() Fleet {
	return Fleet{
		Governors: 1, Zones: 2, Proxies: 30, Replicas: 12,
		Groups: []Group{
			{Name: "look", Share: 0.6, Work: 100 * time.Millisecond, LatencyBudget: time.Second, Expiry: 4 * time.Second, Utility: 1, LateShare: 0.1, Effect: "retriable"},
			{Name: "edit", Share: 0.25, Work: 150 * time.Millisecond, LatencyBudget: 1500 * time.Millisecond, Expiry: 5 * time.Second, Utility: 2, LateShare: 0.1, Effect: "deduped", Window: 5 * time.Second},
			{Name: "pay", Share: 0.15, Work: 200 * time.Millisecond, LatencyBudget: 2 * time.Second, Expiry: 6 * time.Second, Utility: 3, LateShare: 0.1, Effect: "non-retriable"},
		},
		Kinds: []Kind{{Name: "big", Share: 0.4, Cores: 2, Speed: 1.5}, {Name: "mid", Share: 0.35, Cores: 2, Speed: 1}, {Name: "old", Share: 0.25, Cores: 2, Speed: 0.7}},
		Load:  0.5, ProxyCV: 0.6, WorkModel: Exponential, Length: 40 * time.Second, Settle: 10 * time.Second,
		Period: time.Second, ReportLate: 1200 * time.Millisecond, ReportEach: 500 * time.Millisecond,
		Pace: 15_000, QueueCap: 30_000, Head: 6, Travel: 500 * time.Millisecond, MessageCap: 20, MessageSec: 10 * time.Second,
		Pause: 40 * time.Microsecond, Fails: 3, AvoidFor: 5 * time.Second, FirstWait: 0.8,
		Net: 200 * time.Microsecond, Cross: 2 * time.Millisecond, Handshake: 15 * time.Millisecond, Links: 45, LinkIdle: 15 * time.Second,
		Retries: 1, Backoff: 300 * time.Millisecond, TryShare: 0.7,
		ListLate: 2 * time.Second, Noticed: 500 * time.Millisecond,
		BareMost: 5 * time.Second, DrainGrace: 3 * time.Second, AskWithin: 10 * time.Second, WarmAfter: 18 * time.Second,
		ColdFrom: 0.2, FallMultiple: 4, FallAfter: 2 * time.Second,
	}
}

// Large is a fleet of five governors that share so many proxies and replicas. A governor is passed lines a second as the
// users' large days have it: far fewer than its proxies and replicas have to tell.
func Large(proxies, replicas int) Fleet {
	f := Small()
	f.Governors, f.Zones, f.Proxies, f.Replicas = 5, 4, proxies, replicas
	f.Pace, f.Hears = 15*float64(proxies)/2, 500
	f.QueueCap = 4 * f.Pace
	return f
}

// Check tells what is impossible in a fleet.
func (f *Fleet) Check() error {
	positive := []struct {
		key   string
		value float64
	}{
		{"governors", float64(f.Governors)}, {"zones", float64(f.Zones)}, {"proxies", float64(f.Proxies)}, {"replicas", float64(f.Replicas)},
		{"load", f.Load}, {"length", float64(f.Length)}, {"period", float64(f.Period)}, {"report_each", float64(f.ReportEach)}, {"pace", f.Pace},
		{"queue_cap", f.QueueCap}, {"links", float64(f.Links)}, {"warm_after", float64(f.WarmAfter)}, {"cold_from", f.ColdFrom},
		{"fall_after", float64(f.FallAfter)}, {"fall_multiple", f.FallMultiple}, {"try_share", f.TryShare}, {"link_idle", float64(f.LinkIdle)},
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
	if f.WorkModel != Exponential && f.WorkModel != Constant {
		return fmt.Errorf("work_model: want %s or %s, got %q", Exponential, Constant, f.WorkModel)
	}
	for _, g := range f.Groups {
		if _, err := effect(g.Effect); err != nil {
			return fmt.Errorf("group %s: %w", g.Name, err)
		}
		if g.Work <= 0 || g.Expiry <= 0 || g.LatencyBudget <= 0 || g.Share <= 0 {
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

func effect(name string) (rules.Effect, error) {
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
		Governors: f.Governors, Proxies: f.Proxies, Zones: f.Zones, ListOnRequest: true, Period: f.Period, EntryRate: f.Pace, EntryCapacity: f.QueueCap,
		MessageEntries: f.Head, MessageLimit: f.MessageCap, MaxMessageDelay: f.Travel, MessageSpan: f.MessageSec, FailuresToAvoid: f.Fails, FirstAttemptBudgets: f.FirstWait,
		MinConnections: float64(f.Links), ConnectionIdleTimeout: f.LinkIdle, MaxUnboundTime: f.BareMost, DrainGrace: f.DrainGrace, ListRequestDeadline: f.AskWithin,
		WarmupTime: f.WarmAfter, ColdCapacity: f.ColdFrom, OverloadMultiple: f.FallMultiple, OverloadTime: f.FallAfter,
	}
	if f.Levels {
		s.Levels = rules.LevelShare
	}
	least := f.Kinds[0].Cores
	for _, k := range f.Kinds {
		least = min(least, k.Cores)
	}
	s.MinConnections *= float64(least)
	for _, g := range f.Groups {
		e, _ := effect(g.Effect) // Check has seen it
		s.Groups = append(s.Groups, rules.TrafficGroup{Name: g.Name, LatencyBudget: g.LatencyBudget, Expiry: g.Expiry, Utility: g.Utility,
			LateShare: g.LateShare, Effect: e, DedupedByAll: e == rules.Deduped, Window: g.Window, HomeOnly: g.HomeOnly})
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
		each, shares = each+g.Share*g.Work.Seconds(), shares+g.Share
	}
	return all, each / shares
}
