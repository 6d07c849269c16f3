package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func operatorFileOf(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestOperatorDefaults has the file that is kept in deploy hold each key at its default.
func TestOperatorDefaults(t *testing.T) {
	kept, err := ReadOperator("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	none, err := ReadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	kept.Path = ""
	if d := cmp.Diff(none, kept); d != "" {
		t.Error(d)
	}
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	if at := lines(text); at["intake.reports"] == 0 || len(at) != strings.Count(string(text), " = ") {
		t.Errorf("keys of the file: %v", at)
	}
}

// TestOperatorFaults names key and line of whatever can't be meant.
func TestOperatorFaults(t *testing.T) {
	for text, want := range map[string]string{
		"[intake]\nreports = \"all\"":                          ":2: intake.reports: want",
		"\n[intake]\nreprots = \"off\"":                        ":3: intake.reprots: no such key",
		"[intak]\nreports = \"off\"":                           ":1: intak",
		"[intake]\n# a word\nhalf_life = \"3\"":                ":3: intake.half_life: want a time with its unit",
		"[intake]\nhalf_life = \"-3s\"":                        ":2: intake.half_life: want a time above 0",
		"intake.half_life = \"20s\"\nintake.most_age = \"3s\"": ":2: intake.most_age: want no less",
		"[intake]\npairs = -1":                                 ":2: intake.pairs: want 0 or more",
		"[intake]\npairs = \"many\"":                           ":2: ",
		"[intake]\nrecords_per_s = -1":                         ":2: intake.records_per_s",
		"[intake]\nstream_bytes_per_s = -1":                    ":2: intake.stream_bytes_per_s",
		"[intake]\npairs = 1\npairs = 2":                       ":3: ",
		"[intake\npairs = 1":                                   ":1: ",
	} {
		_, err := ReadOperator(operatorFileOf(t, text))
		if err == nil || !strings.Contains(err.Error(), "operator.toml"+want) {
			t.Errorf("%q: want an error with %q, got %v", text, want, err)
		}
	}
	if _, err := ReadOperator("no-such-file"); err == nil || !strings.Contains(err.Error(), "the operator file") {
		t.Error(err)
	}
}

// TestIntakeSettings derives the budget from the machine, unless the file sets it.
func TestIntakeSettings(t *testing.T) {
	c := Config{Seed: 5, Limits: Limits{Cores: 1, MemoryMB: 192}}
	c.Settings.Period = time.Second
	var err error
	if c.Operator, err = ReadOperator(operatorFileOf(t, "[intake]\nreports = \"sums\"\nhalf_life = \"1s\"")); err != nil {
		t.Fatal(err)
	}
	got := c.IntakeSettings()
	if got.Budget != 49152 || got.Pairs != 49152 || !got.MakeSums || got.HalfLife != time.Second || got.Seed != 5 {
		t.Errorf("%+v", got)
	}
	c.Limits.Cores, c.Settings.Period = 0.1, 2*time.Second
	if got := c.IntakeSettings(); got.Budget != 40_000 {
		t.Errorf("a tenth of a core: %+v", got)
	}
	c.Operator.Intake.RecordsPerS, c.Operator.Intake.Pairs = 100, 7
	if got := c.IntakeSettings(); got.Budget != 200 || got.Pairs != 7 {
		t.Errorf("set: %+v", got)
	}
	if got := c.StreamBytes(); got != 64<<10 {
		t.Errorf("%d bytes a second of a stream", got)
	}
	if c.Operator.Intake.Reports = ReportsOff; c.StreamBytes() != 0 {
		t.Error("streams are bounded where no reports are taken")
	}
}
