package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// emulation holds the flags of the emulate command.
type emulation struct {
	fleet     emulate.Fleet
	large     bool
	faults    []string // in the format of parseFault
	seeds     int
	firstSeed uint64
	asJSON    bool
}

// emulateCommand returns the command that simulates a fleet.
func emulateCommand() *cobra.Command {
	e := &emulation{fleet: emulate.SmallFleet()}
	command := &cobra.Command{Use: "emulate", Short: "Simulates a fleet and checks its invariants", Args: cobra.NoArgs,
		Long: "Simulates clients, proxies, replicas, discovery and governors and prints the outcome of the flows and any invariant violations.\n" +
			"The same seed gives the same result. The exit status is 1 if an invariant was violated.\n\nA fault is KIND:KEY=VALUE,... with the keys at, for and back (durations), share,\n" +
			"factor, zone, when and name. Kinds:\n\n" + describeFaults(),
		Example: "  zinclab emulate --large --proxies 1280 --replicas 120 --trouble deploy:at=10s,for=7s,share=0.6"}
	command.RunE = func(command *cobra.Command, _ []string) error { return e.run(command.OutOrStdout()) }
	flags := command.Flags()
	flags.IntVar(&e.fleet.Governors, "governors", e.fleet.Governors, "number of governors")
	flags.IntVar(&e.fleet.Proxies, "proxies", e.fleet.Proxies, "number of proxies over all governors")
	flags.IntVar(&e.fleet.Replicas, "replicas", e.fleet.Replicas, "number of replicas")
	flags.IntVar(&e.fleet.Zones, "zones", e.fleet.Zones, "number of zones")
	flags.Float64Var(&e.fleet.Load, "load", e.fleet.Load, "offered load as a fraction of the capacity of all cores")
	flags.DurationVar(&e.fleet.Duration, "length", e.fleet.Duration, "simulated duration")
	flags.BoolVar(&e.fleet.AdmissionLevels, "levels", false, "proxies apply admission levels")
	flags.BoolVar(&e.large, "large", false, "simulate a large fleet: five governors in four zones that receive few reports, with channels sized for it")
	flags.StringArrayVar(&e.faults, "trouble", nil, "fault to inject; may be repeated")
	flags.IntVar(&e.seeds, "seeds", 1, "number of runs with consecutive seeds")
	flags.Uint64Var(&e.firstSeed, "seed", 1, "first seed")
	flags.BoolVar(&e.asJSON, "json", false, "print one line of JSON per run")
	return command
}

func describeFaults() string {
	var text strings.Builder
	for _, kind := range emulate.FaultKinds() {
		fmt.Fprintf(&text, "  %-18s %s\n", kind, emulate.DescribeFault(kind))
	}
	return text.String()
}

// run simulates all seeds. It fails if any run violates an invariant.
func (e *emulation) run(out io.Writer) error {
	config, err := e.config()
	if err != nil {
		return err
	}
	violating := 0
	for i := range e.seeds {
		config.Seed = e.firstSeed + uint64(i)
		result, err := emulate.Run(config)
		if err != nil {
			return err
		}
		if len(result.Violations) > 0 {
			violating++
		}
		if err := e.write(out, result); err != nil {
			return err
		}
	}
	if violating > 0 {
		return fmt.Errorf("an invariant was violated in %d of %d runs", violating, e.seeds)
	}
	return nil
}

// config returns the configuration of all runs, without the seed.
func (e *emulation) config() (emulate.Config, error) {
	fleet := e.fleet
	if e.large {
		fleet = emulate.LargeFleet(e.fleet.Proxies, e.fleet.Replicas)
		fleet.Load, fleet.Duration = e.fleet.Load, e.fleet.Duration
	}
	config := emulate.Config{Fleet: fleet}
	for _, text := range e.faults {
		fault, err := parseFault(text)
		if err == nil {
			err = fault.Validate(&fleet)
		}
		if err != nil {
			return emulate.Config{}, fmt.Errorf("--trouble %s: %w", text, err)
		}
		config.Faults = append(config.Faults, fault)
	}
	return config, nil
}

func (e *emulation) write(out io.Writer, result *emulate.Result) error {
	if e.asJSON {
		if err := json.NewEncoder(out).Encode(result); err != nil {
			return fmt.Errorf("write result: %w", err)
		}
		return nil
	}
	if _, err := fmt.Fprintf(out, "seed %d\n", result.Seed); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return result.WriteSummary(out)
}

// parseFault parses a fault in the format KIND:KEY=VALUE,...
func parseFault(text string) (emulate.Fault, error) {
	var fault emulate.Fault
	var pairs string
	fault.Kind, pairs, _ = strings.Cut(text, ":")
	for _, pair := range strings.FieldsFunc(pairs, func(r rune) bool { return r == ',' }) {
		key, value, _ := strings.Cut(pair, "=")
		if err := setFaultKey(&fault, key, value); err != nil {
			return fault, fmt.Errorf("%s: %w", key, err)
		}
	}
	return fault, nil
}

func setFaultKey(fault *emulate.Fault, key, value string) (err error) {
	switch key {
	case "at":
		fault.At, err = time.ParseDuration(value)
	case "for":
		fault.Duration, err = time.ParseDuration(value)
	case "back":
		fault.RecoverAfter, err = time.ParseDuration(value)
	case "share":
		fault.Share, err = strconv.ParseFloat(value, 64)
	case "factor":
		fault.Factor, err = strconv.ParseFloat(value, 64)
	case "zone":
		var zone int
		zone, err = strconv.Atoi(value)
		fault.Zone = &zone
	case "when":
		fault.Trigger = value
	case "name":
		fault.Name = value
	default:
		err = fmt.Errorf("unknown key %q", key)
	}
	return err
}
