package experiment

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/emulate"
)

const smallPlan = `
name = "x"
seeds = 3
[fleet]
proxies = 10
replicas = 5
length = "8s"
[[scenario]]
name = "calm"
[[scenario]]
name = "hang"
[[scenario.trouble]]
kind = "hang"
at = "2s"
for = "3s"
share = 0.2
[[variant]]
name = "zincloft"
[[variant]]
name = "again"
[[variant]]
name = "even"
decider = "even"
`

func mustParse(t *testing.T, text string) Plan {
	t.Helper()
	p, err := ParsePlan([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func readResults(t *testing.T, folder string) map[string]string {
	t.Helper()
	out := map[string]string{}
	paths, _ := filepath.Glob(filepath.Join(folder, "*.json"))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		out[filepath.Base(path)] = string(text)
	}
	return out
}

// TestResumedRunEqualsUninterrupted cuts a run off after some results, damages one of them, and lets it go on: all files are then the same
// bytes as those of a run that was never cut, on one core or on four.
func TestResumedRunEqualsUninterrupted(t *testing.T) {
	p := mustParse(t, smallPlan)
	whole, cut := t.TempDir(), t.TempDir()
	if _, err := Run(t.Context(), p, whole, 1, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	if _, err := Run(ctx, p, cut, 4, func(done, _ int) {
		if done == 5 {
			stop()
		}
	}); err == nil {
		t.Fatal("a run that was cut off tells of no error")
	}
	before := readResults(t, cut)
	if len(before) < 5 || len(before) >= 18 {
		t.Fatalf("%d files after the cut", len(before))
	}
	for name := range before {
		if err := os.WriteFile(filepath.Join(cut, name), []byte(before[name][:20]), 0o644); err != nil {
			t.Fatal(err)
		}
		break
	}
	if _, err := Run(t.Context(), p, cut, 4, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	a, b := readResults(t, whole), readResults(t, cut)
	if len(a) != 18 || len(b) != 18 {
		t.Fatalf("%d and %d files", len(a), len(b))
	}
	for name := range a {
		if a[name] != b[name] {
			t.Errorf("%s differs", name)
		}
	}
}

// TestCompareVariants has two variants that are the same in truth: no difference is told; and one that ignores what hangs.
func TestCompareVariants(t *testing.T) {
	p := mustParse(t, smallPlan)
	folder := t.TempDir()
	if _, err := Run(t.Context(), p, folder, 4, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	rows, err := LoadRecords(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range Compare(rows, "zincloft") {
		switch {
		case s.Variant == "again" && s.Differences[0].ExcludesZero():
			t.Errorf("%s: the same variant differs by %v", s.Scenario, s.Differences[0])
		case s.Variant == "again" && !strings.HasPrefix(formatDifference(s), "no difference"):
			t.Errorf("%s: %s", s.Scenario, formatDifference(s))
		case s.Variant == "even" && s.Scenario == "hang" && s.Differences[0].Mean >= 0:
			t.Errorf("even weights do no worse while a replica hangs: %v", s.Differences[0])
		}
	}
	var out bytes.Buffer
	if err := WritePage(&out, p, rows); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "<svg"); n != 2*len(charts) {
		t.Errorf("%d charts", n)
	}
	WriteTable(&out, Compare(rows, "zincloft"), "zincloft")
}

// TestConfidenceInterval holds the interval against one worked by hand: 1, 2, 3 have a deviation of 1, t is 4.303 at two degrees of freedom.
func TestConfidenceInterval(t *testing.T) {
	if i := newInterval([]float64{1, 2, 3}); i.Mean != 2 || i.HalfWidth < 2.484 || i.HalfWidth > 2.485 || !(Interval{Mean: 2.5, HalfWidth: i.HalfWidth}).ExcludesZero() || i.ExcludesZero() {
		t.Errorf("%+v", i)
	}
	if newInterval([]float64{5}).ExcludesZero() {
		t.Error("a single day tells a difference")
	}
}

// TestInvalidPlans has each fault named by its key, and its line where the text is at fault.
func TestInvalidPlans(t *testing.T) {
	for _, x := range []struct{ old, new, want string }{
		{"seeds = 3", "seeds = \"3\"", "line 3"},
		{"proxies = 10", "proxys = 10", "line 5: there is no key fleet.proxys"},
		{"length = \"8s\"", "length = \"8\"", "line 7"},
		{"proxies = 10", "proxies = -1", "fleet: proxies: want more than 0"},
		{"kind = \"hang\"", "kind = \"hung\"", "scenario hang: trouble 1: kind: there is no \"hung\""},
		{"share = 0.2", "share = 2.0", "share: want 0 to 1"},
		{"decider = \"even\"", "decider = \"odd\"", "variant even: decider"},
		{"name = \"calm\"", "", "scenario 1: name is missing"},
	} {
		if _, err := ParsePlan([]byte(strings.Replace(smallPlan, x.old, x.new, 1))); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v, want %s", x.new, err, x.want)
		}
	}
}

// TestShrinkKeepsViolation has a day of two troubles break a rule for one of them alone: what is left is that one, shorter or smaller.
func TestShrinkKeepsViolation(t *testing.T) {
	p := mustParse(t, strings.Replace(smallPlan, "length = \"8s\"", "length = \"25s\"\ndrain_grace = \"100ms\"", 1))
	p.Fleet.MaxMessageDelay = 4 * time.Second // no governor can keep that grace
	f := Finding{Seed: 2, Faults: []emulate.Fault{{Kind: "hang", At: 3 * time.Second, Duration: 2 * time.Second, Share: 0.1},
		{Kind: "deploy", At: 5 * time.Second, Duration: 8 * time.Second, Share: 0.8}}}
	var err error
	if f.Result, err = emulate.Run(p.config(Scenario{Faults: f.Faults}, f.Seed, p.Variants[0])); err != nil || len(f.Result.Violations) == 0 {
		t.Fatalf("the day breaks no rule: %v", err)
	}
	small, plays := Shrink(p, f)
	if len(small.Faults) != 1 || small.Faults[0].Kind != "deploy" || small.Faults[0].Share >= 0.8 || len(small.Result.Violations) == 0 {
		t.Errorf("after %d plays: %+v, %v", plays, small.Faults, small.Result.Violations)
	}
	found, played, err := Search(t.Context(), p, 8, 4)
	if err != nil || played != 8 || len(found) != 8 {
		t.Errorf("%d days, %d found: %v", played, len(found), err)
	}
}

// TestSweepMakesVariants has each value make a variant with a fleet of its own; a key that is unknown, or a value that is impossible, is named.
func TestSweepMakesVariants(t *testing.T) {
	p, err := Sweep([]byte(smallPlan), "load", []string{"0.3", "0.9"})
	if err != nil || len(p.Variants) != 2 || p.Variants[1].Fleet.Load != 0.9 || p.Variants[0].Fleet.Proxies != 10 {
		t.Fatalf("%+v, %v", p.Variants, err)
	}
	rows, err := Run(t.Context(), p, t.TempDir(), 4, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	if low, high := rows[0].Result.Offered(), rows[1].Result.Offered(); high < 2*low {
		t.Errorf("%d flows at a load of 0.3, %d at 0.9", low, high)
	}
	for _, x := range [][2]string{{"loaf", "0.3"}, {"load", "-1"}, {"drain_grace", "x"}} {
		if _, err := Sweep([]byte(smallPlan), x[0], x[1:]); err == nil || !strings.Contains(err.Error(), x[0]+" = "+x[1]) {
			t.Errorf("%v: %v", x, err)
		}
	}
}
