package config

import (
	"encoding/json"
	"fmt"
	"time"

	"zincloft.example/zincloft/rules"
)

// SettingsError names a figure that the governor can't do without and that the settings lack or misstate.
type SettingsError string

func (e SettingsError) Error() string { return string(e) }

// Settings are a site's settings in the words of package rules, and the site's names for what those number.
type Settings struct {
	rules.Settings
	Zones      []string
	Kinds      []string
	LoadFields []string      // load figures in the order of the simulator's reports
	Tick       time.Duration // what comes within it counts as arriving together
}

type laneSettings struct {
	Name       string        `json:"name"`
	Aim        time.Duration `json:"aim"`
	Deadline   time.Duration `json:"deadline"`
	Effect     string        `json:"effect"`
	Group      string        `json:"group"`
	Importance float64       `json:"importance"`
	LateWorth  float64       `json:"lateWorth"`
	Window     time.Duration `json:"window"`
}

type settingsFile struct {
	Balancers  int            `json:"balancers"`
	Discovery  string         `json:"discovery"`
	HostTypes  []string       `json:"hostTypes"`
	Lanes      []laneSettings `json:"lanes"`
	MyZone     int            `json:"myZone"`
	Tick       time.Duration  `json:"tick"`
	Zones      []string       `json:"zones"`
	FamilyInfo struct {
		Bare         *time.Duration `json:"bare"`
		ClassWrites  []bool         `json:"classWrites"`
		DataPlane    int            `json:"dataPlaneSize"`
		FailsToEject int            `json:"failsToEject"`
		FirstWait    float64        `json:"firstWait"`
		HomeOnly     []bool         `json:"homeOnly"`
		Interval     *time.Duration `json:"interval"`
		LevelKind    string         `json:"levelKind"`
		LinesPerS    *float64       `json:"linesPerS"`
		PerMessage   *float64       `json:"perMessage"`
		PushDelayMax time.Duration  `json:"pushDelayMax"`
		QueueCap     *float64       `json:"queueCap"`
		ReloadSpan   *time.Duration `json:"reloadSpan"`
		Slices       int            `json:"slices"`
		LinksLeast   float64        `json:"smallestConnTable"`
		UpdateCap    int            `json:"updateCap"`
	} `json:"familyInfo"`
	Guarantees struct {
		AskWithin         *time.Duration `json:"askWithin"`
		ColdFrom          *float64       `json:"coldFrom"`
		FallMultiple      *float64       `json:"fallMultiple"`
		OverloadFor       *time.Duration `json:"overloadFor"`
		StopSendingWithin *time.Duration `json:"stopSendingWithin"`
		WarmAfter         *time.Duration `json:"warmAfter"`
	} `json:"guarantees"`
	Permissions struct {
		Probing  bool          `json:"probing"`
		LinkIdle time.Duration `json:"connIdle"`
	} `json:"permissions"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
}

// ReadSettings reads the settings object. Keys that it does not know are passed over.
func ReadSettings(text []byte) (Settings, error) {
	var in settingsFile
	if err := json.Unmarshal(text, &in); err != nil {
		return Settings{}, fmt.Errorf("the settings are not the expected JSON: %w", err)
	}
	f, gu := &in.FamilyInfo, &in.Guarantees
	if in.Discovery != "on_request" && gu.AskWithin == nil {
		gu.AskWithin = new(time.Duration)
	}
	if f.UpdateCap == 0 && f.ReloadSpan == nil {
		f.ReloadSpan = new(time.Duration)
	}
	needed := []struct {
		name string
		has  bool
	}{
		{"familyInfo.bare", f.Bare != nil}, {"familyInfo.interval", f.Interval != nil},
		{"familyInfo.linesPerS", f.LinesPerS != nil}, {"familyInfo.perMessage", f.PerMessage != nil},
		{"familyInfo.queueCap", f.QueueCap != nil}, {"familyInfo.reloadSpan", f.ReloadSpan != nil},
		{"guarantees.askWithin", gu.AskWithin != nil}, {"guarantees.coldFrom", gu.ColdFrom != nil},
		{"guarantees.fallMultiple", gu.FallMultiple != nil}, {"guarantees.overloadFor", gu.OverloadFor != nil},
		{"guarantees.stopSendingWithin", gu.StopSendingWithin != nil},
		{"guarantees.warmAfter", gu.WarmAfter != nil}, {"lanes", len(in.Lanes) > 0}, {"zones", len(in.Zones) > 0},
	}
	for _, n := range needed {
		if !n.has {
			return Settings{}, SettingsError("the settings lack " + n.name)
		}
	}
	if *f.Interval <= 0 || *f.LinesPerS <= 0 || *f.QueueCap <= 0 {
		return Settings{}, SettingsError("familyInfo.interval, familyInfo.linesPerS and familyInfo.queueCap must be above 0")
	}
	s := rules.Settings{
		Governors: in.Balancers, Proxies: f.DataPlane, Zone: rules.ZoneID(in.MyZone), Zones: len(in.Zones),
		Slices:        f.Slices,
		ListOnRequest: in.Discovery == "on_request", ProbesAllowed: in.Permissions.Probing,
		Period: *f.Interval, EntryRate: *f.LinesPerS, EntryCapacity: *f.QueueCap, MessageEntries: *f.PerMessage,
		MessageLimit: f.UpdateCap, MessageSpan: *f.ReloadSpan, MaxMessageDelay: f.PushDelayMax,
		FirstAttemptBudgets: f.FirstWait, FailuresToAvoid: f.FailsToEject, MinConnections: f.LinksLeast, ConnectionIdleTimeout: in.Permissions.LinkIdle,
		MaxUnboundTime: *f.Bare, DrainGrace: *gu.StopSendingWithin, ListRequestDeadline: *gu.AskWithin, WarmupTime: *gu.WarmAfter,
		ColdCapacity: *gu.ColdFrom, OverloadMultiple: *gu.FallMultiple, OverloadTime: *gu.OverloadFor,
	}
	switch f.LevelKind {
	case "fraction":
		s.Levels = rules.LevelShare
	case "per_second":
		s.Levels = rules.LevelRate
	}
	for i, l := range in.Lanes {
		tg := rules.TrafficGroup{Name: l.Name, LatencyBudget: l.Aim, Expiry: l.Deadline, Utility: l.Importance,
			LateShare: l.LateWorth, DedupedByAll: l.Group == "all", Window: l.Window,
			HomeOnly: i < len(f.HomeOnly) && f.HomeOnly[i], Writes: i < len(f.ClassWrites) && f.ClassWrites[i]}
		switch l.Effect {
		case "retryable":
			tg.Effect = rules.Retriable
		case "dedup":
			tg.Effect = rules.Deduped
		}
		s.Groups = append(s.Groups, tg)
	}
	return Settings{Settings: s, Zones: in.Zones, Kinds: in.HostTypes, LoadFields: in.Report.Fields, Tick: in.Tick}, nil
}

// SetLoadFigure puts a figure of a load report where its name belongs. Both names in use are read: the settings' own
// and the protocol page's. Figures that are not known are passed over.
func SetLoadFigure(r *rules.LoadReport, name []byte, v float64) {
	switch string(name) {
	case "cpu_share", "util":
		r.Utilization = v
	case "busy_reqs", "inflight":
		r.InFlight = v
	case "svc_ms", "latency_ms":
		r.ServiceTime = v
	case "served_ps", "qps":
		r.Rate = v
	}
}
