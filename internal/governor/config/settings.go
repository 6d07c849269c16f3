package config

import (
	"encoding/json"
	"fmt"
	"time"

	"zincloft.example/zincloft/rules"
)

// SettingsError reports a required setting that is missing or a setting that is out of range.
type SettingsError string

func (e SettingsError) Error() string { return string(e) }

// Settings are the settings of a fleet, with the names of zones, kinds and load metrics, which package rules identifies by
// index.
type Settings struct {
	rules.Settings
	Zones           []string
	Kinds           []string
	LoadMetricNames []string      // in the order of the values in the simulator's load reports
	Tick            time.Duration // inputs within a tick are handled in one step
}

// groupSettings are the settings of one traffic group in JSON.
type groupSettings struct {
	Name          string        `json:"name"`
	LatencyBudget time.Duration `json:"aim"`
	Expiry        time.Duration `json:"deadline"`
	Effect        string        `json:"effect"`
	Group         string        `json:"group"`
	Utility       float64       `json:"importance"`
	LateShare     float64       `json:"lateWorth"`
	Window        time.Duration `json:"window"`
}

// settingsFile is the settings object in JSON.
type settingsFile struct {
	Governors  int             `json:"balancers"`
	Discovery  string          `json:"discovery"`
	Kinds      []string        `json:"hostTypes"`
	Groups     []groupSettings `json:"lanes"`
	Zone       int             `json:"myZone"`
	Tick       time.Duration   `json:"tick"`
	Zones      []string        `json:"zones"`
	FamilyInfo struct {
		MaxUnboundTime      *time.Duration `json:"bare"`
		Writes              []bool         `json:"classWrites"`
		Proxies             int            `json:"dataPlaneSize"`
		FailuresToAvoid     int            `json:"failsToEject"`
		FirstAttemptBudgets float64        `json:"firstWait"`
		HomeOnly            []bool         `json:"homeOnly"`
		Period              *time.Duration `json:"interval"`
		LevelKind           string         `json:"levelKind"`
		EntryRate           *float64       `json:"linesPerS"`
		MessageEntries      *float64       `json:"perMessage"`
		MaxMessageDelay     time.Duration  `json:"pushDelayMax"`
		EntryCapacity       *float64       `json:"queueCap"`
		MessageSpan         *time.Duration `json:"reloadSpan"`
		Slices              int            `json:"slices"`
		MinConnections      float64        `json:"smallestConnTable"`
		MessageLimit        int            `json:"updateCap"`
	} `json:"familyInfo"`
	Guarantees struct {
		ListRequestDeadline *time.Duration `json:"askWithin"`
		ColdCapacity        *float64       `json:"coldFrom"`
		OverloadMultiple    *float64       `json:"fallMultiple"`
		OverloadTime        *time.Duration `json:"overloadFor"`
		DrainGrace          *time.Duration `json:"stopSendingWithin"`
		WarmupTime          *time.Duration `json:"warmAfter"`
	} `json:"guarantees"`
	Permissions struct {
		ProbesAllowed         bool          `json:"probing"`
		ConnectionIdleTimeout time.Duration `json:"connIdle"`
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
		Kinds:           f.Kinds,
		LoadMetricNames: f.Report.Fields,
		Tick:            f.Tick,
	}, nil
}

// listOnRequest reports whether discovery sends the list only on request.
func (f *settingsFile) listOnRequest() bool { return f.Discovery == "on_request" }

// setDefaults sets defaults for settings that are required only in combination with others.
func (f *settingsFile) setDefaults() {
	if !f.listOnRequest() && f.Guarantees.ListRequestDeadline == nil {
		f.Guarantees.ListRequestDeadline = new(time.Duration)
	}
	if f.FamilyInfo.MessageLimit == 0 && f.FamilyInfo.MessageSpan == nil {
		f.FamilyInfo.MessageSpan = new(time.Duration)
	}
}

// validate returns a SettingsError for the first required setting that is missing, or for one that is out of range.
func (f *settingsFile) validate() error {
	family, guarantees := &f.FamilyInfo, &f.Guarantees
	for _, required := range []struct {
		key   string
		isSet bool
	}{
		{"familyInfo.bare", family.MaxUnboundTime != nil},
		{"familyInfo.interval", family.Period != nil},
		{"familyInfo.linesPerS", family.EntryRate != nil},
		{"familyInfo.perMessage", family.MessageEntries != nil},
		{"familyInfo.queueCap", family.EntryCapacity != nil},
		{"familyInfo.reloadSpan", family.MessageSpan != nil},
		{"guarantees.askWithin", guarantees.ListRequestDeadline != nil},
		{"guarantees.coldFrom", guarantees.ColdCapacity != nil},
		{"guarantees.fallMultiple", guarantees.OverloadMultiple != nil},
		{"guarantees.overloadFor", guarantees.OverloadTime != nil},
		{"guarantees.stopSendingWithin", guarantees.DrainGrace != nil},
		{"guarantees.warmAfter", guarantees.WarmupTime != nil},
		{"lanes", len(f.Groups) > 0},
		{"zones", len(f.Zones) > 0},
	} {
		if !required.isSet {
			return SettingsError("the settings lack " + required.key)
		}
	}
	if *family.Period <= 0 || *family.EntryRate <= 0 || *family.EntryCapacity <= 0 {
		return SettingsError("familyInfo.interval, familyInfo.linesPerS and familyInfo.queueCap must be above 0")
	}
	return nil
}

// rulesSettings converts valid settings to those of package rules.
func (f *settingsFile) rulesSettings() rules.Settings {
	family, guarantees := &f.FamilyInfo, &f.Guarantees
	s := rules.Settings{
		Governors:             f.Governors,
		Proxies:               family.Proxies,
		Zone:                  rules.ZoneID(f.Zone),
		Zones:                 len(f.Zones),
		Slices:                family.Slices,
		ListOnRequest:         f.listOnRequest(),
		ProbesAllowed:         f.Permissions.ProbesAllowed,
		Period:                *family.Period,
		EntryRate:             *family.EntryRate,
		EntryCapacity:         *family.EntryCapacity,
		MessageEntries:        *family.MessageEntries,
		MessageLimit:          family.MessageLimit,
		MessageSpan:           *family.MessageSpan,
		MaxMessageDelay:       family.MaxMessageDelay,
		FirstAttemptBudgets:   family.FirstAttemptBudgets,
		FailuresToAvoid:       family.FailuresToAvoid,
		MinConnections:        family.MinConnections,
		ConnectionIdleTimeout: f.Permissions.ConnectionIdleTimeout,
		MaxUnboundTime:        *family.MaxUnboundTime,
		DrainGrace:            *guarantees.DrainGrace,
		ListRequestDeadline:   *guarantees.ListRequestDeadline,
		WarmupTime:            *guarantees.WarmupTime,
		ColdCapacity:          *guarantees.ColdCapacity,
		OverloadMultiple:      *guarantees.OverloadMultiple,
		OverloadTime:          *guarantees.OverloadTime,
	}
	switch family.LevelKind {
	case "fraction":
		s.Levels = rules.LevelShare
	case "per_second":
		s.Levels = rules.LevelRate
	}
	for i, g := range f.Groups {
		group := g.trafficGroup()
		group.HomeOnly = i < len(family.HomeOnly) && family.HomeOnly[i]
		group.Writes = i < len(family.Writes) && family.Writes[i]
		s.Groups = append(s.Groups, group)
	}
	return s
}

func (l groupSettings) trafficGroup() rules.TrafficGroup {
	group := rules.TrafficGroup{
		Name:          l.Name,
		LatencyBudget: l.LatencyBudget,
		Expiry:        l.Expiry,
		Utility:       l.Utility,
		LateShare:     l.LateShare,
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

// SetLoadMetric sets a metric of a load report by its name in the settings or in the protocol. Unknown names are ignored.
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
