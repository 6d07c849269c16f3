package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/tools/daydraw"
)

const (
	scenarioDirectoryMode = 0o755
	scenarioFileMode      = 0o644
	maxScenarios          = 100_000
)

// scenarioGenerator holds the flags of the days command.
type scenarioGenerator struct {
	options   daydraw.Options
	first     int    // number of the first scenario
	count     int    // number of scenarios
	catalogue string // path of a catalogue of fault kinds; empty: the built-in one
	among     string // path of a file with the names of the kinds to use; empty: all
	directory string // output directory
}

// daysCommand returns the command that generates random scenarios for the bench.
func daysCommand() *cobra.Command {
	var g scenarioGenerator
	command := &cobra.Command{Use: "days", Short: "Generates random fault scenarios for the bench, one TOML file each", Args: cobra.NoArgs}
	command.RunE = func(command *cobra.Command, _ []string) error { return g.run(command.OutOrStdout()) }
	flags := command.Flags()
	flags.Uint64Var(&g.options.Seed, "seed", 1, "random seed; the same seed, number and kinds give the same scenario")
	flags.StringVar(&g.options.Family, "family", daydraw.FamilyAll, "family of scenarios: "+strings.Join(daydraw.Families, ", "))
	flags.StringSliceVar(&g.options.Zones, "zones", nil, "names of the site's zones")
	flags.IntVar(&g.first, "from", 1, "number of the first scenario")
	flags.IntVar(&g.count, "days", 10, "number of scenarios")
	flags.Float64Var(&g.options.Length, "length", 32, "seconds of traffic in which faults start")
	flags.IntVar(&g.options.MinEntries, "least", 4, "minimum number of entries per scenario")
	flags.IntVar(&g.options.MaxEntries, "most", 14, "maximum number of entries per scenario, not counting a long series of configuration changes")
	flags.IntVar(&g.options.MaxConfigChanges, "changes", 120, "maximum number of configuration changes in a long series")
	flags.Float64Var(&g.options.FullScoreNetValue, "one", 0.95, "utility minus cost that scores 1")
	flags.Float64Var(&g.options.ZeroScoreNetValue, "zero", 0.6, "utility minus cost that scores 0")
	flags.StringVar(&g.catalogue, "kinds", "", "TOML file with fault kinds and their variants that replaces the built-in catalogue")
	flags.StringVar(&g.among, "among", "", "file whose lines begin with the names of the kinds to use, as in the bench's list for a site")
	flags.StringVar(&g.directory, "out", "days", "output directory")
	return command
}

// run generates the scenarios, writes their files and prints the paths.
func (g *scenarioGenerator) run(out io.Writer) error {
	if err := g.options.Validate(); err != nil {
		return err
	}
	if g.first < 1 || g.count < 1 || g.count > maxScenarios {
		return fmt.Errorf("days: --from must be at least 1 and --days from 1 to %d, got %d and %d", maxScenarios, g.first, g.count)
	}
	catalogue, err := g.readCatalogue()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(g.directory, scenarioDirectoryMode); err != nil {
		return fmt.Errorf("create output directory: %w", err)
	}
	for n := g.first; n < g.first+g.count; n++ {
		scenario, err := catalogue.Draw(g.options, n)
		if err != nil {
			return err
		}
		path := filepath.Join(g.directory, scenario.Name+".toml")
		if err := os.WriteFile(path, []byte(scenario.Text), scenarioFileMode); err != nil {
			return fmt.Errorf("write scenario: %w", err)
		}
		if _, err := fmt.Fprintln(out, path); err != nil {
			return fmt.Errorf("write path: %w", err)
		}
	}
	return nil
}

// readCatalogue reads the catalogue, restricted to the selected kinds.
func (g *scenarioGenerator) readCatalogue() (daydraw.Catalogue, error) {
	var text []byte // nil: built-in catalogue
	if g.catalogue != "" {
		var err error
		if text, err = os.ReadFile(g.catalogue); err != nil {
			return daydraw.Catalogue{}, fmt.Errorf("read catalogue: %w", err)
		}
	}
	catalogue, err := daydraw.ParseCatalogue(text)
	if err != nil || g.among == "" {
		return catalogue, err
	}
	names, err := os.ReadFile(g.among)
	if err != nil {
		return daydraw.Catalogue{}, fmt.Errorf("read kind names: %w", err)
	}
	return catalogue.RestrictTo(string(names)), nil
}
