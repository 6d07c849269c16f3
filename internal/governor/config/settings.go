package config

import (
	"encoding/json"
	"fmt"
	"time"

	"zincloft.example/zincloft/rules"
)

// SettingsError is a fault of the site's settings: a required value that is missing or impossible.
type SettingsError string

func (e SettingsError) Error() string { return string(e) }

// Settings are a site's settings in the types of package rules, with the names of what those number.
type Settings struct {
	rules.Settings
	Zones           []string
	Kinds           []string
	LoadMetricNames []string      // load figures in the order of the simulator's reports
	Tick            time.Duration // what comes within it counts as arriving together
}

// laneSettings are the settings of one traffic group.
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

// settingsFile is the settings object in JSON.
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

// ReadSettings reads and validates the settings object. Unknown keys are ignored. The error is a SettingsError unless the
// text is not the expected JSON.
func ReadSettings(text []byte) (Settings, error) {
	var f settingsFile
	if err := json.Unmarshal(text, &f); err != nil {
		return Settings{}, fmt.Errorf("the settings are not the expected JSON: %w", err)
	}
	f.setDefaults()
	if err := f.validate(); err != nil {
		return Settings{}, err
	}
	return Settings{
		Settings:        f.rulesSettings(),
		Zones:           f.Zones,
		Kinds:           f.HostTypes,
		LoadMetricNames: f.Report.Fields,
		Tick:            f.Tick,
	}, nil
}

// listOnRequest reports whether discovery sends the list only when it is asked.
func (f *settingsFile) listOnRequest() bool { return f.Discovery == "on_request" }

// setDefaults sets what is required only with other settings.
func (f *settingsFile) setDefaults() {
	if !f.listOnRequest() && f.Guarantees.AskWithin == nil {
		f.Guarantees.AskWithin = new(time.Duration)
	}
	if f.FamilyInfo.UpdateCap == 0 && f.FamilyInfo.ReloadSpan == nil {
		f.FamilyInfo.ReloadSpan = new(time.Duration)
	}
}

// validate returns a SettingsError for the first required value that is missing, or for an impossible one.
func (f *settingsFile) validate() error {
	family, guarantees := &f.FamilyInfo, &f.Guarantees
	for _, required := range []struct {
		key   string
		isSet bool
	}{
		{"familyInfo.bare", family.Bare != nil},
		{"familyInfo.interval", family.Interval != nil},
		{"familyInfo.linesPerS", family.LinesPerS != nil},
		{"familyInfo.perMessage", family.PerMessage != nil},
		{"familyInfo.queueCap", family.QueueCap != nil},
		{"familyInfo.reloadSpan", family.ReloadSpan != nil},
		{"guarantees.askWithin", guarantees.AskWithin != nil},
		{"guarantees.coldFrom", guarantees.ColdFrom != nil},
		{"guarantees.fallMultiple", guarantees.FallMultiple != nil},
		{"guarantees.overloadFor", guarantees.OverloadFor != nil},
		{"guarantees.stopSendingWithin", guarantees.StopSendingWithin != nil},
		{"guarantees.warmAfter", guarantees.WarmAfter != nil},
		{"lanes", len(f.Lanes) > 0},
		{"zones", len(f.Zones) > 0},
	} {
		if !required.isSet {
			return SettingsError("the settings lack " + required.key)
		}
	}
	if *family.Interval <= 0 || *family.LinesPerS <= 0 || *family.QueueCap <= 0 {
		return SettingsError("familyInfo.interval, familyInfo.linesPerS and familyInfo.queueCap must be above 0")
	}
	return nil
}

// rulesSettings converts valid settings into those of package rules.
func (f *settingsFile) rulesSettings() rules.Settings {
	family, guarantees := &f.FamilyInfo, &f.Guarantees
	s := rules.Settings{
		Governors:             f.Balancers,
		Proxies:               family.DataPlane,
		Zone:                  rules.ZoneID(f.MyZone),
		Zones:                 len(f.Zones),
		Slices:                family.Slices,
		ListOnRequest:         f.listOnRequest(),
		ProbesAllowed:         f.Permissions.Probing,
		Period:                *family.Interval,
		EntryRate:             *family.LinesPerS,
		EntryCapacity:         *family.QueueCap,
		MessageEntries:        *family.PerMessage,
		MessageLimit:          family.UpdateCap,
		MessageSpan:           *family.ReloadSpan,
		MaxMessageDelay:       family.PushDelayMax,
		FirstAttemptBudgets:   family.FirstWait,
		FailuresToAvoid:       family.FailsToEject,
		MinConnections:        family.LinksLeast,
		ConnectionIdleTimeout: f.Permissions.LinkIdle,
		MaxUnboundTime:        *family.Bare,
		DrainGrace:            *guarantees.StopSendingWithin,
		ListRequestDeadline:   *guarantees.AskWithin,
		WarmupTime:            *guarantees.WarmAfter,
		ColdCapacity:          *guarantees.ColdFrom,
		OverloadMultiple:      *guarantees.FallMultiple,
		OverloadTime:          *guarantees.OverloadFor,
	}
	switch family.LevelKind {
	case "fraction":
		s.Levels = rules.LevelShare
	case "per_second":
		s.Levels = rules.LevelRate
	}
	for i, lane := range f.Lanes {
		group := lane.trafficGroup()
		group.HomeOnly = i < len(family.HomeOnly) && family.HomeOnly[i]
		group.Writes = i < len(family.ClassWrites) && family.ClassWrites[i]
		s.Groups = append(s.Groups, group)
	}
	return s
}

func (l laneSettings) trafficGroup() rules.TrafficGroup {
	group := rules.TrafficGroup{
		Name:          l.Name,
		LatencyBudget: l.Aim,
		Expiry:        l.Deadline,
		Utility:       l.Importance,
		LateShare:     l.LateWorth,
		DedupedByAll:  l.Group == "all",
		Window:        l.Window,
	}
	switch l.Effect {
	case "retryable":
		group.Effect = rules.Retriable
	case "dedup":
		group.Effect = rules.Deduped
	}
	return group
}

// SetLoadMetric sets a figure of a load report by its name, that of the settings or that of the protocol page. Unknown names
// are ignored.
func SetLoadMetric(r *rules.LoadReport, name []byte, v float64) {
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
