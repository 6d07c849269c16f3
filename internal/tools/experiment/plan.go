// Package experiment runs emulator scenarios with multiple seeds and variants and stores each result in a file. It compares
// variants, searches for and shrinks scenarios with bad results, and writes tables and HTML pages with charts.
package experiment

import (
	"fmt"
	"os"

	"zincloft.example/zincloft/internal/tools/emulate"
	"zincloft.example/zincloft/rules"
)

// GovernorDecider is the decider name of rules.Governor. The other names are those of emulate.BaselinePolicies.
const GovernorDecider = "zincloft"

// Plan is an experiment. Each scenario is run with each seed and each variant.
type Plan struct {
	Name      string
	FirstSeed uint64
	Seeds     int // number of consecutive seeds
	Fleet     emulate.Fleet
	Scenarios []Scenario
	Variants  []Variant
}

// Scenario is a named set of faults.
type Scenario struct {
	Name   string
	Faults []emulate.Fault
}

// Variant is a decider with its settings.
type Variant struct {
	Name           string
	Decider        string
	AdjustSettings func(*rules.Settings)
	Fleet          *emulate.Fleet // overrides the fleet of the plan if not nil
}

// ReadPlan reads a plan from a TOML file. Errors name the key, and the line if the file cannot be decoded.
func ReadPlan(path string) (Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	plan, err := ParsePlan(text)
	if err != nil {
		return Plan{}, fmt.Errorf("%s: %w", path, err)
	}
	return plan, nil
}

// ParsePlan parses a plan from TOML. Errors are as described for ReadPlan.
func ParsePlan(text []byte) (Plan, error) { return parsePlan(text, "") }

// config returns the configuration of one run.
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
