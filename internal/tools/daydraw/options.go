package daydraw

import (
	"fmt"
	"slices"
	"strings"
)

// Limits of Options, and margins of a scenario without entries.
const (
	minLengthSeconds  = 5
	maxLengthSeconds  = 3600
	maxEntries        = 1000
	maxConfigChanges  = 10000
	firstEntrySeconds = 0.5 // earliest start of an entry
	quietEndSeconds   = 2   // period at the end of a scenario in which no entry starts
)

// Options are the parameters of generated scenarios.
type Options struct {
	Seed              uint64
	Family            string
	Zones             []string
	Length            float64 // seconds of traffic before the closing fault
	MinEntries        int     // per scenario, without the series of configuration changes
	MaxEntries        int
	MaxConfigChanges  int     // maximum length of a series of configuration changes
	FullScoreNetValue float64 // value minus cost at which a scenario scores 1
	ZeroScoreNetValue float64 // value minus cost at which a scenario scores 0
}

// Validate returns an error that names the first invalid option.
func (o Options) Validate() error {
	switch {
	case !slices.Contains(Families, o.Family):
		return fmt.Errorf("family: unknown family %q, want one of %s", o.Family, strings.Join(Families, ", "))
	case len(o.Zones) == 0:
		return fmt.Errorf("zones: want at least one")
	case !(o.Length >= minLengthSeconds && o.Length <= maxLengthSeconds): // also rejects NaN
		return fmt.Errorf("length: want %d to %d s, got %v", minLengthSeconds, maxLengthSeconds, o.Length)
	case o.MinEntries < 0 || o.MinEntries > o.MaxEntries || o.MaxEntries > maxEntries:
		return fmt.Errorf("entries: invalid range %d to %d, want one within 0 to %d", o.MinEntries, o.MaxEntries, maxEntries)
	case o.MaxConfigChanges < 0 || o.MaxConfigChanges > maxConfigChanges:
		return fmt.Errorf("changes: want 0 to %d, got %d", maxConfigChanges, o.MaxConfigChanges)
	case !(o.ZeroScoreNetValue < o.FullScoreNetValue):
		return fmt.Errorf("zero: %v is not less than one (%v)", o.ZeroScoreNetValue, o.FullScoreNetValue)
	}
	return nil
}
