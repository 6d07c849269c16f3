package experiment

import (
	"context"
	"os"
	"path/filepath"
	"testing"
)

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

// TestResumedRunEqualsUninterrupted interrupts an experiment after some results, damages one of them, and resumes it: all files then
// have the same bytes as those of one that was never interrupted, on one core or on four.
func TestResumedRunEqualsUninterrupted(t *testing.T) {
	p := mustParse(t, smallPlan)
	uninterrupted, interrupted := t.TempDir(), t.TempDir()
	if _, err := Run(t.Context(), p, uninterrupted, 1, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	if _, err := Run(ctx, p, interrupted, 4, func(done, _ int) {
		if done == 5 {
			stop()
		}
	}); err == nil {
		t.Fatal("an experiment that was interrupted returns no error")
	}
	before := readResults(t, interrupted)
	if len(before) < 5 || len(before) >= 18 {
		t.Fatalf("%d files after the interruption", len(before))
	}
	for name := range before {
		if err := os.WriteFile(filepath.Join(interrupted, name), []byte(before[name][:20]), 0o644); err != nil {
			t.Fatal(err)
		}
		break
	}
	if _, err := Run(t.Context(), p, interrupted, 4, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	a, b := readResults(t, uninterrupted), readResults(t, interrupted)
	if len(a) != 18 || len(b) != 18 {
		t.Fatalf("%d and %d files", len(a), len(b))
	}
	for name := range a {
		if a[name] != b[name] {
			t.Errorf("%s differs", name)
		}
	}
}
