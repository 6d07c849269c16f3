package experiment

import (
	"fmt"
	"strconv"
)

// Sweep parses a plan and replaces its variants with one per value of a fleet key, based on the first variant of the plan. Errors
// name the key and the value.
func Sweep(text []byte, key string, values []string) (Plan, error) {
	plan, err := ParsePlan(text)
	if err != nil {
		return Plan{}, err
	}
	first := plan.Variants[0]
	plan.Variants = nil
	for _, value := range values {
		swept, err := parsePlan(text, fmt.Sprintf("[fleet]\n%s = %s\n", key, tomlValue(value)))
		if err != nil {
			return Plan{}, fmt.Errorf("%s = %s: %w", key, value, err)
		}
		plan.Variants = append(plan.Variants, Variant{
			Name:           key + "=" + value,
			Decider:        first.Decider,
			AdjustSettings: first.AdjustSettings,
			Fleet:          &swept.Fleet,
		})
	}
	return plan, nil
}

// tomlValue formats a command-line value as TOML: numbers and booleans unchanged, all others as strings.
func tomlValue(value string) string {
	if _, err := strconv.ParseFloat(value, 64); err == nil || value == "true" || value == "false" {
		return value
	}
	return strconv.Quote(value)
}
