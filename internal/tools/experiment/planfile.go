package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"zincloft.example/zincloft/internal/tools/emulate"
	"zincloft.example/zincloft/rules"
)

// errIncompletePlan is returned for a plan without scenarios or variants.
var errIncompletePlan = errors.New("scenario and variant: at least one of each is required")

// duration is a time.Duration that is decoded by time.ParseDuration, such as "1.5s".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

// planFile is the TOML schema of a plan. Pointers distinguish absent keys from zero values.
type planFile struct {
	Name      string         `toml:"name"`
	Seeds     int            `toml:"seeds"`
	FirstSeed uint64         `toml:"first_seed"`
	Fleet     fleetFile      `toml:"fleet"`
	Scenarios []scenarioFile `toml:"scenario"`
	Variants  []variantFile  `toml:"variant"`
}

// fleetFile lists the fleet parameters that a plan may override.
type fleetFile struct {
	Base                string    `toml:"base"` // small or large
	Governors           *int      `toml:"governors"`
	Zones               *int      `toml:"zones"`
	Proxies             *int      `toml:"proxies"`
	Replicas            *int      `toml:"replicas"`
	Load                *float64  `toml:"load"`
	ProxyRateCV         *float64  `toml:"proxy_cv"`
	MaxReportsPerSecond *float64  `toml:"hears"`
	ClientRetries       *int      `toml:"retries"`
	ClientTimeoutShare  *float64  `toml:"try_share"`
	AdmissionLevels     *bool     `toml:"levels"`
	ProxyReports        *bool     `toml:"met"`
	ChannelRate         *float64  `toml:"pace"`
	Duration            *duration `toml:"length"`
	DrainGrace          *duration `toml:"drain_grace"`
	WarmupDuration      *duration `toml:"warm_after"`
}

type scenarioFile struct {
	Name   string      `toml:"name"`
	Faults []faultFile `toml:"trouble"`
}

// faultFile is the TOML schema of emulate.Fault.
type faultFile struct {
	Kind         string   `toml:"kind"`
	Name         string   `toml:"name"`
	Trigger      string   `toml:"when"`
	At           duration `toml:"at"`
	Duration     duration `toml:"for"`
	RecoverAfter duration `toml:"back"`
	Share        float64  `toml:"share"`
	Factor       float64  `toml:"factor"`
	Zone         *int     `toml:"zone"`
}

// variantFile is a decider and the governor settings that it may override.
type variantFile struct {
	Name               string    `toml:"name"`
	Decider            string    `toml:"decider"` // GovernorDecider (default) or a baseline policy
	FailuresToAvoid    *int      `toml:"fails_to_avoid"`
	MaxMessages        *int      `toml:"message_cap"`
	ChannelRate        *float64  `toml:"line_pace"`
	DrainGrace         *duration `toml:"drain_grace"`
	WarmupDuration     *duration `toml:"warm_after"`
	WarmupInitialShare *float64  `toml:"cold_from"`
}

// parsePlan parses a plan, and then a second text whose keys take precedence.
func parsePlan(text []byte, overrides string) (Plan, error) {
	var file planFile
	if err := decodeStrictly(text, &file); err != nil {
		return Plan{}, locateError(err)
	}
	if overrides != "" {
		if err := decodeStrictly([]byte(overrides), &file); err != nil {
			return Plan{}, err
		}
	}
	return file.plan()
}

func decodeStrictly(text []byte, file *planFile) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return decoder.Decode(file)
}

// locateError adds the line and key to an error of the TOML decoder.
func locateError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("line %d: unknown key %s", line, strings.Join(unknown.Errors[0].Key(), "."))
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		return fmt.Errorf("line %d: %s: %w", line, strings.Join(malformed.Key(), "."), err)
	}
	return err
}

// plan validates the file and converts it to a plan.
func (f *planFile) plan() (Plan, error) {
	plan := Plan{Name: f.Name, FirstSeed: max(f.FirstSeed, 1), Seeds: max(f.Seeds, 1)}
	var err error
	if plan.Fleet, err = f.Fleet.fleet(); err != nil {
		return Plan{}, fmt.Errorf("fleet: %w", err)
	}
	for i, s := range f.Scenarios {
		if s.Name == "" {
			return Plan{}, fmt.Errorf("scenario %d: name is missing", i+1)
		}
		scenario, err := s.scenario(&plan.Fleet)
		if err != nil {
			return Plan{}, fmt.Errorf("scenario %s: %w", s.Name, err)
		}
		plan.Scenarios = append(plan.Scenarios, scenario)
	}
	for i, v := range f.Variants {
		if v.Name == "" {
			return Plan{}, fmt.Errorf("variant %d: name is missing", i+1)
		}
		variant, err := v.variant()
		if err != nil {
			return Plan{}, fmt.Errorf("variant %s: %w", v.Name, err)
		}
		plan.Variants = append(plan.Variants, variant)
	}
	if len(plan.Scenarios) == 0 || len(plan.Variants) == 0 {
		return Plan{}, errIncompletePlan
	}
	return plan, nil
}

// fleet applies the overrides to the base fleet and validates the result. The size is set first, as the large base depends on it.
func (f *fleetFile) fleet() (emulate.Fleet, error) {
	fleet := emulate.SmallFleet()
	override(&fleet.Proxies, f.Proxies)
	override(&fleet.Replicas, f.Replicas)
	switch f.Base {
	case "", "small":
	case "large":
		fleet = emulate.LargeFleet(fleet.Proxies, fleet.Replicas)
	default:
		return emulate.Fleet{}, fmt.Errorf("base: want small or large, got %q", f.Base)
	}
	override(&fleet.Governors, f.Governors)
	override(&fleet.Zones, f.Zones)
	override(&fleet.Load, f.Load)
	override(&fleet.ProxyRateCV, f.ProxyRateCV)
	override(&fleet.MaxReportsPerSecond, f.MaxReportsPerSecond)
	override(&fleet.ClientRetries, f.ClientRetries)
	override(&fleet.ClientTimeoutShare, f.ClientTimeoutShare)
	override(&fleet.AdmissionLevels, f.AdmissionLevels)
	override(&fleet.ProxyReports, f.ProxyReports)
	override(&fleet.ChannelRate, f.ChannelRate)
	overrideDuration(&fleet.Duration, f.Duration)
	overrideDuration(&fleet.DrainGrace, f.DrainGrace)
	overrideDuration(&fleet.WarmupDuration, f.WarmupDuration)
	return fleet, fleet.Validate()
}

func (s *scenarioFile) scenario(fleet *emulate.Fleet) (Scenario, error) {
	scenario := Scenario{Name: s.Name}
	for i, f := range s.Faults {
		fault := f.fault()
		if err := fault.Validate(fleet); err != nil {
			return Scenario{}, fmt.Errorf("trouble %d: %w", i+1, err)
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	return scenario, nil
}

func (f *faultFile) fault() emulate.Fault {
	return emulate.Fault{
		Kind:         f.Kind,
		Name:         f.Name,
		Trigger:      f.Trigger,
		At:           time.Duration(f.At),
		Duration:     time.Duration(f.Duration),
		RecoverAfter: time.Duration(f.RecoverAfter),
		Share:        f.Share,
		Factor:       f.Factor,
		Zone:         f.Zone,
	}
}

func (v variantFile) variant() (Variant, error) {
	decider := v.Decider
	if decider == "" {
		decider = GovernorDecider
	}
	if decider != GovernorDecider && !slices.Contains(emulate.BaselinePolicies(), decider) {
		return Variant{}, fmt.Errorf("decider: want %s or one of %v, got %q", GovernorDecider, emulate.BaselinePolicies(), decider)
	}
	return Variant{Name: v.Name, Decider: decider, AdjustSettings: v.adjust}, nil
}

// adjust applies the overrides of the variant to the settings of a governor.
func (v variantFile) adjust(settings *rules.Settings) {
	override(&settings.FailuresToAvoid, v.FailuresToAvoid)
	override(&settings.MessageLimit, v.MaxMessages)
	override(&settings.EntryRate, v.ChannelRate)
	overrideDuration(&settings.DrainGrace, v.DrainGrace)
	overrideDuration(&settings.WarmupTime, v.WarmupDuration)
	override(&settings.ColdCapacity, v.WarmupInitialShare)
}

// override sets a value if the file specifies it.
func override[T any](value *T, from *T) {
	if from != nil {
		*value = *from
	}
}

func overrideDuration(value *time.Duration, from *duration) {
	if from != nil {
		*value = time.Duration(*from)
	}
}
