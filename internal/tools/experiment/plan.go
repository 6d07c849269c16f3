// Package experiment runs scenarios of the emulator with several seeds and variants, keeps each result in a file, compares
// variants by seed, searches for scenarios that go badly, and writes tables and a page with charts.
package experiment

import (
	"fmt"
	"os"

	"zincloft.example/zincloft/internal/tools/emulate"
	"zincloft.example/zincloft/rules"
)

// GovernorDecider names the module, rules.Governor, as a decider. The other names are those of emulate.BaselinePolicies.
const GovernorDecider = "zincloft"

// Plan is an experiment: each scenario is run with each seed and each variant.
type Plan struct {
	Name      string
	FirstSeed uint64
	Seeds     int // how many, from FirstSeed on
	Fleet     emulate.Fleet
	Scenarios []Scenario
	Variants  []Variant
}

// Scenario is a set of faults.
type Scenario struct {
	Name   string
	Faults []emulate.Fault
}

// Variant is a decider with its settings.
type Variant struct {
	Name           string
	Decider        string
	AdjustSettings func(*rules.Settings)
	Fleet          *emulate.Fleet // in place of the plan's; nil: the plan's
}

// ReadPlan reads a plan from a TOML file. An error names the key, and the line if the text is at fault.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("experiment: %w", err)
	}
	plan, err := ParsePlan(text)
	if err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	return plan, nil
}

// ParsePlan parses the text of a plan, with the errors of ReadPlan.
func ParsePlan(text []byte) (Plan, error) { return parsePlan(text, "") }

// config is the configuration of one run of a plan.
func (p *Plan) config(scenario Scenario, seed uint64, variant Variant) emulate.Config {
	config := emulate.Config{Fleet: p.Fleet, Faults: scenario.Faults, Seed: seed, AdjustSettings: variant.AdjustSettings}
	if variant.Fleet != nil {
		config.Fleet = *variant.Fleet
	}
	if variant.Decider != GovernorDecider {
		config.NewDecider, config.UnlimitedChannel = emulate.NewBaseline(variant.Decider), true
	}
	if variant.Decider == emulate.TwoChoices {
		config.PickPolicy = emulate.PickPowerOfTwoChoices
	}
	return config
}
