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
	dayFolderMode = 0o755
	dayFileMode   = 0o644
	maxDays       = 100_000
)

// dayDraw is what the days command's flags describe.
type dayDraw struct {
	options   daydraw.Options
	first     int    // number of the first scenario
	count     int    // of scenarios
	catalogue string // path of a catalogue in place of the built-in one; "": none
	among     string // path of a text that names the kinds to draw; "": all
	folder    string // that files are written to
}

// daysCommand writes scenarios drawn for the bench, a file each.
func daysCommand() *cobra.Command {
	var d dayDraw
	command := &cobra.Command{Use: "days", Short: "Draws days of trouble for the bench; a TOML file each", Args: cobra.NoArgs}
	command.RunE = func(command *cobra.Command, _ []string) error { return d.run(command.OutOrStdout()) }
	flags := command.Flags()
	flags.Uint64Var(&d.options.Seed, "seed", 1, "the same seed, number and kinds give the same day")
	flags.StringVar(&d.options.Family, "family", daydraw.FamilyAll, strings.Join(daydraw.Families, ", "))
	flags.StringSliceVar(&d.options.Zones, "zones", nil, "names of the site's zones")
	flags.IntVar(&d.first, "from", 1, "number of the first day")
	flags.IntVar(&d.count, "days", 10, "how many days")
	flags.Float64Var(&d.options.Length, "length", 32, "seconds of traffic in which troubles begin")
	flags.IntVar(&d.options.MinEntries, "least", 4, "entries of a day, the least")
	flags.IntVar(&d.options.MaxEntries, "most", 14, "entries of a day, the most, besides a long row of changes")
	flags.IntVar(&d.options.MaxConfigChanges, "changes", 120, "most changes in a day with a long row of them")
	flags.Float64Var(&d.options.FullScoreNetValue, "one", 0.95, "worth less prices that scores 1")
	flags.Float64Var(&d.options.ZeroScoreNetValue, "zero", 0.6, "worth less prices that scores 0")
	flags.StringVar(&d.catalogue, "kinds", "", "a TOML file of kinds and their variants in place of those built in")
	flags.StringVar(&d.among, "among", "", "a text whose lines begin with the names of the kinds to draw (as the bench lists a site's)")
	flags.StringVar(&d.folder, "out", "days", "the folder to write to")
	return command
}

// run draws the scenarios, writes their files and prints the paths.
func (d *dayDraw) run(out io.Writer) error {
	if err := d.options.Validate(); err != nil {
		return err
	}
	if d.first < 1 || d.count < 1 || d.count > maxDays {
		return fmt.Errorf("days: %d from number %d cannot be drawn", d.count, d.first)
	}
	catalogue, err := d.readCatalogue()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(d.folder, dayFolderMode); err != nil {
		return fmt.Errorf("the folder of the days: %w", err)
	}
	for n := d.first; n < d.first+d.count; n++ {
		day, err := catalogue.Draw(d.options, n)
		if err != nil {
			return err
		}
		path := filepath.Join(d.folder, day.Name+".toml")
		if err := os.WriteFile(path, []byte(day.Text), dayFileMode); err != nil {
			return fmt.Errorf("a day: %w", err)
		}
		if _, err := fmt.Fprintln(out, path); err != nil {
			return fmt.Errorf("writing a path: %w", err)
		}
	}
	return nil
}

// readCatalogue reads the catalogue of kinds, restricted to those to draw.
func (d *dayDraw) readCatalogue() (daydraw.Catalogue, error) {
	var text []byte // none: the built-in catalogue
	if d.catalogue != "" {
		var err error
		if text, err = os.ReadFile(d.catalogue); err != nil {
			return daydraw.Catalogue{}, fmt.Errorf("kinds of trouble: %w", err)
		}
	}
	catalogue, err := daydraw.ParseCatalogue(text)
	if err != nil || d.among == "" {
		return catalogue, err
	}
	names, err := os.ReadFile(d.among)
	if err != nil {
		return daydraw.Catalogue{}, fmt.Errorf("names of kinds: %w", err)
	}
	return catalogue.RestrictTo(string(names)), nil
}
