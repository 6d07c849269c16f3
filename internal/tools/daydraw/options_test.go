package daydraw

import (
	"strings"
	"testing"
)

func TestValidateNamesInvalidOption(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"family":  func(o *Options) { o.Family = "x" },
		"zones":   func(o *Options) { o.Zones = nil },
		"length":  func(o *Options) { o.Length = 0 },
		"entries": func(o *Options) { o.MinEntries = 15 },
		"changes": func(o *Options) { o.MaxConfigChanges = -1 },
		"zero":    func(o *Options) { o.ZeroScoreNetValue = 1 },
	} {
		options := testOptions(FamilyAll)
		change(&options)
		if err := options.Validate(); err == nil || !strings.HasPrefix(err.Error(), name) {
			t.Errorf("got error %v, want one that begins with %q", err, name)
		}
	}
}
