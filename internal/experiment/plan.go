// Package experiment plays scenarios of the emulator with several seeds and variants, keeps each result in a file, compares
// variants by seed, searches for days that go badly, and writes tables and a page with charts.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"zincloft.example/zincloft/internal/emulate"
	"zincloft.example/zincloft/rules"
)

// span is a time in a file, as Go writes it: "1.5s".
type span time.Duration

// UnmarshalText reads one.
func (s *span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = span(d)
	return err
}

// file is an experiment as it is written.
type file struct {
	Name  string `toml:"name"`
	Seeds int    `toml:"seeds"`
	First uint64 `toml:"first_seed"`
	Fleet struct {
		Base      string   `toml:"base"` // small or large
		Governors *int     `toml:"governors"`
		Zones     *int     `toml:"zones"`
		Proxies   *int     `toml:"proxies"`
		Replicas  *int     `toml:"replicas"`
		Load      *float64 `toml:"load"`
		ProxyCV   *float64 `toml:"proxy_cv"`
		Hears     *float64 `toml:"hears"`
		Retries   *int     `toml:"retries"`
		TryShare  *float64 `toml:"try_share"`
		Levels    *bool    `toml:"levels"`
		Met       *bool    `toml:"met"`
		Pace      *float64 `toml:"pace"`
		Length    *span    `toml:"length"`
		Grace     *span    `toml:"drain_grace"`
		WarmAfter *span    `toml:"warm_after"`
	} `toml:"fleet"`
	Scenarios []struct {
		Name     string `toml:"name"`
		Troubles []struct {
			Kind   string  `toml:"kind"`
			Name   string  `toml:"name"`
			When   string  `toml:"when"`
			At     span    `toml:"at"`
			For    span    `toml:"for"`
			Back   span    `toml:"back"`
			Share  float64 `toml:"share"`
			Factor float64 `toml:"factor"`
			Zone   *int    `toml:"zone"`
		} `toml:"trouble"`
	} `toml:"scenario"`
	Variants []struct {
		Name       string   `toml:"name"`
		Decider    string   `toml:"decider"` // zincloft, or one of the baselines
		Fails      *int     `toml:"fails_to_avoid"`
		MessageCap *int     `toml:"message_cap"`
		Pace       *float64 `toml:"line_pace"`
		Grace      *span    `toml:"drain_grace"`
		WarmAfter  *span    `toml:"warm_after"`
		ColdFrom   *float64 `toml:"cold_from"`
	} `toml:"variant"`
}

// Zincloft names the module as a decider.
const Zincloft = "zincloft"

// Scenario is a day.
type Scenario struct {
	Name     string
	Troubles []emulate.Fault
}

// Variant is what steers it.
type Variant struct {
	Name     string
	Decider  string
	Settings func(*rules.Settings)
	Fleet    *emulate.Fleet // in place of the plan's; nil: that one
}

// Plan is an experiment.
type Plan struct {
	Name      string
	First     uint64
	Seeds     int
	Fleet     emulate.Fleet
	Scenarios []Scenario
	Variants  []Variant
}

// Read reads an experiment. An error names the key, and where the text is at fault, the line.
func Read(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("experiment: %w", err)
	}
	p, err := Parse(text)
	if err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// Parse reads an experiment's text.
func Parse(text []byte) (Plan, error) { return parse(text, "") }

// Sweep reads an experiment and puts in place of its variants the first of them once for each value of a key of its fleet.
func Sweep(text []byte, key string, values []string) (Plan, error) {
	p, err := Parse(text)
	if err != nil {
		return Plan{}, err
	}
	first := p.Variants[0]
	p.Variants = nil
	for _, v := range values {
		other, err := parse(text, fmt.Sprintf("[fleet]\n%s = %s\n", key, quoted(v)))
		if err != nil {
			return Plan{}, fmt.Errorf("%s = %s: %w", key, v, err)
		}
		p.Variants = append(p.Variants, Variant{Name: key + "=" + v, Decider: first.Decider, Settings: first.Settings, Fleet: &other.Fleet})
	}
	return p, nil
}

// quoted is a value as TOML has it: times and words in quotes, figures and truths without.
func quoted(v string) string {
	if _, err := strconv.ParseFloat(v, 64); err == nil || v == "true" || v == "false" {
		return v
	}
	return strconv.Quote(v)
}

// parse reads a text, and then another whose keys go before it.
func parse(text []byte, over string) (Plan, error) {
	var in file
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		var strict *toml.StrictMissingError
		var at *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			row, _ := strict.Errors[0].Position()
			return Plan{}, fmt.Errorf("line %d: there is no key %s", row, strings.Join(strict.Errors[0].Key(), "."))
		case errors.As(err, &at):
			row, _ := at.Position()
			return Plan{}, fmt.Errorf("line %d: %s: %w", row, strings.Join(at.Key(), "."), err)
		}
		return Plan{}, err
	}
	if over != "" {
		d := toml.NewDecoder(strings.NewReader(over))
		d.DisallowUnknownFields()
		if err := d.Decode(&in); err != nil {
			return Plan{}, err
		}
	}
	p := Plan{Name: in.Name, First: max(in.First, 1), Seeds: max(in.Seeds, 1)}
	if err := in.fleet(&p); err != nil {
		return Plan{}, fmt.Errorf("fleet: %w", err)
	}
	for i, s := range in.Scenarios {
		out := Scenario{Name: s.Name}
		if s.Name == "" {
			return Plan{}, fmt.Errorf("scenario %d: name is missing", i+1)
		}
		for j, t := range s.Troubles {
			one := emulate.Fault{Kind: t.Kind, Name: t.Name, Trigger: t.When, At: time.Duration(t.At), Duration: time.Duration(t.For), RecoverAfter: time.Duration(t.Back),
				Share: t.Share, Factor: t.Factor, Zone: t.Zone}
			if err := one.Validate(&p.Fleet); err != nil {
				return Plan{}, fmt.Errorf("scenario %s: trouble %d: %w", s.Name, j+1, err)
			}
			out.Troubles = append(out.Troubles, one)
		}
		p.Scenarios = append(p.Scenarios, out)
	}
	for i, v := range in.Variants {
		if v.Name == "" {
			return Plan{}, fmt.Errorf("variant %d: name is missing", i+1)
		}
		if v.Decider == "" {
			v.Decider = Zincloft
		}
		if v.Decider != Zincloft && !slices.Contains(emulate.Baselines(), v.Decider) {
			return Plan{}, fmt.Errorf("variant %s: decider: want %s or one of %v, got %q", v.Name, Zincloft, emulate.Baselines(), v.Decider)
		}
		p.Variants = append(p.Variants, Variant{Name: v.Name, Decider: v.Decider, Settings: func(s *rules.Settings) {
			set(&s.FailsToAvoid, v.Fails)
			set(&s.MessageCap, v.MessageCap)
			set(&s.LinePace, v.Pace)
			setSpan(&s.DrainGrace, v.Grace)
			setSpan(&s.WarmAfter, v.WarmAfter)
			set(&s.ColdFrom, v.ColdFrom)
		}})
	}
	if len(p.Scenarios) == 0 || len(p.Variants) == 0 {
		return Plan{}, errors.New("scenario and variant: at least one of each is needed")
	}
	return p, nil
}

func (in *file) fleet(p *Plan) error {
	f := &in.Fleet
	p.Fleet = emulate.SmallFleet()
	set(&p.Fleet.Proxies, f.Proxies)
	set(&p.Fleet.Replicas, f.Replicas)
	switch f.Base {
	case "", "small":
	case "large":
		p.Fleet = emulate.LargeFleet(p.Fleet.Proxies, p.Fleet.Replicas)
	default:
		return fmt.Errorf("base: want small or large, got %q", f.Base)
	}
	set(&p.Fleet.Governors, f.Governors)
	set(&p.Fleet.Zones, f.Zones)
	set(&p.Fleet.Load, f.Load)
	set(&p.Fleet.ProxyRateCV, f.ProxyCV)
	set(&p.Fleet.MaxReportsPerSecond, f.Hears)
	set(&p.Fleet.ClientRetries, f.Retries)
	set(&p.Fleet.ClientTimeoutShare, f.TryShare)
	set(&p.Fleet.AdmissionLevels, f.Levels)
	set(&p.Fleet.ProxyReports, f.Met)
	set(&p.Fleet.ChannelRate, f.Pace)
	setSpan(&p.Fleet.Duration, f.Length)
	setSpan(&p.Fleet.DrainGrace, f.Grace)
	setSpan(&p.Fleet.WarmupDuration, f.WarmAfter)
	return p.Fleet.Validate()
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func setSpan(to *time.Duration, from *span) {
	if from != nil {
		*to = time.Duration(*from)
	}
}

// play is one run of a plan.
func (p *Plan) play(s Scenario, seed uint64, v Variant) emulate.Config {
	out := emulate.Config{Fleet: p.Fleet, Faults: s.Troubles, Seed: seed, AdjustSettings: v.Settings}
	if v.Fleet != nil {
		out.Fleet = *v.Fleet
	}
	if v.Decider != Zincloft {
		out.NewDecider, out.FreeChannel = emulate.NewBaseline(v.Decider), true
	}
	if v.Decider == emulate.TwoChoices {
		out.PickPolicy = emulate.PickTwoChoices
	}
	return out
}
