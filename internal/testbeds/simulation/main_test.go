package simulation

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800) // runs allocate much but retain little
	os.Exit(m.Run())
}

// environmentInt returns a number from an environment variable.
func environmentInt(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// seedCount returns the number of seeds to run, which SIMULATION_SEEDS overrides.
func seedCount(t *testing.T, defaultValue int) uint64 {
	t.Helper()
	return uint64(environmentInt(t, "SIMULATION_SEEDS", defaultValue))
}

func traceText(result Result) string { return strings.Join(result.Trace, "\n") }
