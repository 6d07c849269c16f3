package daydraw

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of Options.
const (
	minLengthSeconds  = 5
	maxLengthSeconds  = 3600
	maxEntries        = 1000
	maxConfigChanges  = 10000
	firstEntrySeconds = 0.5 // into the day
	quietEndSeconds   = 2   // at the end of a day, in which no entry begins
)

// Options say which days are drawn.
type Options struct {
	Seed              uint64
	Family            string
	Zones             []string
	Length            float64 // seconds of traffic before a closing fault
	MinEntries        int     // of a day, without its series of configuration changes
	MaxEntries        int
	MaxConfigChanges  int     // in a day with a series of them
	FullScoreNetValue float64 // worth less prices that scores 1
	ZeroScoreNetValue float64 // worth less prices that scores 0
}

// Validate returns an error that names the first option that is out of bounds.
func (o Options) Validate() error {
	switch {
	case !slices.Contains(Families, o.Family):
		return fmt.Errorf("family: %q is none of %s", o.Family, strings.Join(Families, ", "))
	case len(o.Zones) == 0:
		return fmt.Errorf("zones: none is named")
	case !(o.Length >= minLengthSeconds && o.Length <= maxLengthSeconds): // NaN is refused too
		return fmt.Errorf("length: %v s is not between %d and %d", o.Length, minLengthSeconds, maxLengthSeconds)
	case o.MinEntries < 0 || o.MinEntries > o.MaxEntries || o.MaxEntries > maxEntries:
		return fmt.Errorf("entries: %d to %d is no range within 0 to %d", o.MinEntries, o.MaxEntries, maxEntries)
	case o.MaxConfigChanges < 0 || o.MaxConfigChanges > maxConfigChanges:
		return fmt.Errorf("changes: %d is not between 0 and %d", o.MaxConfigChanges, maxConfigChanges)
	case !(o.ZeroScoreNetValue < o.FullScoreNetValue):
		return fmt.Errorf("marks: zero (%v) is not below one (%v)", o.ZeroScoreNetValue, o.FullScoreNetValue)
	}
	return nil
}
