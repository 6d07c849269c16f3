package simulation

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800) // a run makes much garbage and keeps little
	os.Exit(m.Run())
}

// environmentInt is a number from the environment.
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

// seedCount is how many seeds are run. SIMULATION_SEEDS asks for another number.
func seedCount(t *testing.T, defaultValue int) uint64 {
	t.Helper()
	return uint64(environmentInt(t, "SIMULATION_SEEDS", defaultValue))
}

// traceText is the trace of a run as tests print it.
func traceText(result Result) string { return strings.Join(result.Trace, "\n") }
