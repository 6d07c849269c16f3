package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/daydraw"
)

// daysCommand writes drawn days of trouble for the bench, a file each.
func daysCommand() *cobra.Command {
	p := daydraw.Options{}
	var out, kinds, among string
	var first, count int
	c := &cobra.Command{Use: "days", Short: "Draws days of trouble for the bench; a TOML file each", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := p.Validate(); err != nil {
			return err
		}
		if first < 1 || count < 1 || count > 100_000 {
			return fmt.Errorf("days: %d from number %d cannot be drawn", count, first)
		}
		var raw []byte
		var err error
		if kinds != "" {
			if raw, err = os.ReadFile(kinds); err != nil {
				return fmt.Errorf("kinds of trouble: %w", err)
			}
		}
		k, err := daydraw.ParseCatalogue(raw)
		if err != nil {
			return err
		}
		if among != "" {
			text, err := os.ReadFile(among)
			if err != nil {
				return fmt.Errorf("names of kinds: %w", err)
			}
			k = k.RestrictTo(string(text))
		}
		if err := os.MkdirAll(out, 0o755); err != nil {
			return fmt.Errorf("the folder of the days: %w", err)
		}
		for n := first; n < first+count; n++ {
			d, err := k.Draw(p, n)
			if err != nil {
				return err
			}
			file := filepath.Join(out, d.Name+".toml")
			if err := os.WriteFile(file, []byte(d.Text), 0o644); err != nil {
				return fmt.Errorf("a day: %w", err)
			}
			fmt.Fprintln(c.OutOrStdout(), file)
		}
		return nil
	}
	f := c.Flags()
	f.Uint64Var(&p.Seed, "seed", 1, "the same seed, number and kinds give the same day")
	f.StringVar(&p.Family, "family", daydraw.FamilyAll, strings.Join(daydraw.Families, ", "))
	f.StringSliceVar(&p.Zones, "zones", nil, "names of the site's zones")
	f.IntVar(&first, "from", 1, "number of the first day")
	f.IntVar(&count, "days", 10, "how many days")
	f.Float64Var(&p.Length, "length", 32, "seconds of traffic in which troubles begin")
	f.IntVar(&p.MinEntries, "least", 4, "entries of a day, the least")
	f.IntVar(&p.MaxEntries, "most", 14, "entries of a day, the most, besides a long row of changes")
	f.IntVar(&p.MaxConfigChanges, "changes", 120, "most changes in a day with a long row of them")
	f.Float64Var(&p.ScoreOne, "one", 0.95, "worth less prices that scores 1")
	f.Float64Var(&p.ScoreZero, "zero", 0.6, "worth less prices that scores 0")
	f.StringVar(&kinds, "kinds", "", "a TOML file of kinds and their variants in place of those built in")
	f.StringVar(&among, "among", "", "a text whose lines begin with the names of the kinds to draw (as the bench lists a site's)")
	f.StringVar(&out, "out", "days", "the folder to write to")
	return c
}
