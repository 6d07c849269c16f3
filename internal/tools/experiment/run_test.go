package experiment

import (
	"context"
	"os"
	"path/filepath"
	"testing"
)

func readResults(t *testing.T, folder string) map[string]string {
	t.Helper()
	results := map[string]string{}
	paths, _ := filepath.Glob(filepath.Join(folder, "*.json"))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		results[filepath.Base(path)] = string(text)
	}
	return results
}

// TestResumedRunEqualsUninterrupted interrupts an experiment, corrupts one of its results, and resumes it. All files must be identical
// to those of an uninterrupted experiment, independent of the number of cores.
func TestResumedRunEqualsUninterrupted(t *testing.T) {
	p := mustParse(t, smallPlan)
	uninterrupted, interrupted := t.TempDir(), t.TempDir()
	if _, err := Run(t.Context(), p, uninterrupted, 1, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := Run(ctx, p, interrupted, 4, func(done, _ int) {
		if done == 5 {
			cancel()
		}
	}); err == nil {
		t.Fatal("an interrupted experiment returned no error")
	}
	before := readResults(t, interrupted)
	if len(before) < 5 || len(before) >= 18 {
		t.Fatalf("%d result files after the interruption", len(before))
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
	want, got := readResults(t, uninterrupted), readResults(t, interrupted)
	if len(want) != 18 || len(got) != 18 {
		t.Fatalf("%d and %d result files, want 18 each", len(want), len(got))
	}
	for name := range want {
		if want[name] != got[name] {
			t.Errorf("%s differs from the uninterrupted experiment", name)
		}
	}
}
