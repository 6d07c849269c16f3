package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/emulate"
)

// emulateCommand plays days in simulated time.
func emulateCommand() *cobra.Command {
	fleet, large := emulate.SmallFleet(), false
	var troubles []string
	var seeds int
	var first uint64
	var asJSON bool
	var kinds strings.Builder
	for _, k := range emulate.FaultKinds() {
		fmt.Fprintf(&kinds, "  %-18s %s\n", k, emulate.DescribeFault(k))
	}
	c := &cobra.Command{Use: "emulate", Short: "Plays days of a fleet in simulated time, the rules watched", Args: cobra.NoArgs,
		Long: "Plays clients, proxies, replicas, discovery and governors in simulated time and prints what became of the flows, and where a rule broke.\n" +
			"The same seed gives the same day. The exit status is 1 where a rule broke.\n\nA trouble is KIND:KEY=VALUE,... with the keys at, for and back (times), share,\n" +
			"factor, zone, when and name. Kinds:\n\n" + kinds.String(),
		Example: "  zinclab emulate --large --proxies 1280 --replicas 120 --trouble deploy:at=10s,for=7s,share=0.6"}
	c.RunE = func(c *cobra.Command, _ []string) error {
		f := fleet
		if large {
			f = emulate.LargeFleet(fleet.Proxies, fleet.Replicas)
			f.Load, f.Duration = fleet.Load, fleet.Duration
		}
		play := emulate.Config{Fleet: f}
		for _, text := range troubles {
			t, err := readTrouble(text)
			if err == nil {
				err = t.Validate(&f)
			}
			if err != nil {
				return fmt.Errorf("--trouble %s: %w", text, err)
			}
			play.Faults = append(play.Faults, t)
		}
		broken := 0
		for n := range seeds {
			play.Seed = first + uint64(n)
			r, err := emulate.Run(play)
			if err != nil {
				return err
			}
			broken += min(len(r.Violations), 1)
			if asJSON {
				if err := json.NewEncoder(c.OutOrStdout()).Encode(r); err != nil {
					return fmt.Errorf("writing the result: %w", err)
				}
				continue
			}
			fmt.Fprintf(c.OutOrStdout(), "seed %d\n", play.Seed)
			r.WriteSummary(c.OutOrStdout())
		}
		if broken > 0 {
			return fmt.Errorf("a rule broke on %d of %d days", broken, seeds)
		}
		return nil
	}
	fl := c.Flags()
	fl.IntVar(&fleet.Governors, "governors", fleet.Governors, "governors")
	fl.IntVar(&fleet.Proxies, "proxies", fleet.Proxies, "proxies, over all governors")
	fl.IntVar(&fleet.Replicas, "replicas", fleet.Replicas, "replicas")
	fl.IntVar(&fleet.Zones, "zones", fleet.Zones, "zones")
	fl.Float64Var(&fleet.Load, "load", fleet.Load, "share of all cores that the flows would keep busy")
	fl.DurationVar(&fleet.Duration, "length", fleet.Duration, "the day's length")
	fl.BoolVar(&fleet.AdmissionLevels, "levels", false, "proxies heed levels")
	fl.BoolVar(&large, "large", false, "five governors in four zones that hear of few reports, with channels of the size")
	fl.StringArrayVar(&troubles, "trouble", nil, "a trouble; may be given again")
	fl.IntVar(&seeds, "seeds", 1, "days, of one seed after the other")
	fl.Uint64Var(&first, "seed", 1, "the first seed")
	fl.BoolVar(&asJSON, "json", false, "a line of JSON a day")
	return c
}

// readTrouble reads KIND:KEY=VALUE,...
func readTrouble(text string) (t emulate.Fault, err error) {
	var rest string
	t.Kind, rest, _ = strings.Cut(text, ":")
	for _, pair := range strings.FieldsFunc(rest, func(r rune) bool { return r == ',' }) {
		key, value, _ := strings.Cut(pair, "=")
		switch key {
		case "at":
			t.At, err = time.ParseDuration(value)
		case "for":
			t.Duration, err = time.ParseDuration(value)
		case "back":
			t.RecoverAfter, err = time.ParseDuration(value)
		case "share":
			t.Share, err = strconv.ParseFloat(value, 64)
		case "factor":
			t.Factor, err = strconv.ParseFloat(value, 64)
		case "zone":
			var zone int
			zone, err = strconv.Atoi(value)
			t.Zone = &zone
		case "when":
			t.Trigger = value
		case "name":
			t.Name = value
		default:
			err = fmt.Errorf("there is no key %q", key)
		}
		if err != nil {
			return t, fmt.Errorf("%s: %w", key, err)
		}
	}
	return t, nil
}
