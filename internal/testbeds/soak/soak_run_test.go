//go:build soak

package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// The tests of this file start processes and are judged by real time, so CI runs them by themselves:
//
//	go test -tags soak -run Soak ./internal/testbeds/soak
//
// A folder in SOAK_KEEP has the records and logs kept there.

const moduleRoot = "../../.."

func outputDir(t *testing.T) string {
	if dir := os.Getenv("SOAK_KEEP"); dir != "" {
		dir = filepath.Join(dir, filepath.Base(t.Name()))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		return dir
	}
	return t.TempDir()
}

func absolute(t *testing.T, path string) string {
	t.Helper()
	full, err := filepath.Abs(path)
	if err != nil {
		t.Fatal(err)
	}
	return full
}

// TestSoakShort is the soak's short form: a few seeds of two episodes each.
func TestSoakShort(t *testing.T) {
	binDir := t.TempDir()
	if err := Build(t.Context(), absolute(t, moduleRoot), binDir); err != nil {
		t.Fatal(err)
	}
	for i, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, binDir, Generate(seed, 2), byte(40+i))
		})
	}
}

// runSchedule plays a schedule and fails with each violation.
func runSchedule(t *testing.T, binDir string, schedule Schedule, network byte) {
	t.Helper()
	result, err := Run(t.Context(), Options{BinDir: binDir, Dir: outputDir(t), Schedule: schedule, Network: network})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	t.Logf("%d requests, %d executions, %d orders and reads, %d faults", len(result.Record.Requests), len(result.Record.Executions),
		len(result.Record.Operations), len(result.Record.Faults))
}

// mutations are the faults that the checker must find.
var mutations = []Mutation{
	{
		Name: "an order is acknowledged before the tail has it",
		File: "controlplane/coordinator/proposal.go",
		Old:  "case proposal.accepted && step.isCommitted(proposal.commitCondition):",
		New:  "case proposal.accepted:",
		Schedule: Schedule{Seed: 1, Faults: []Fault{
			{Kind: PartitionMember, At: 0, For: 2 * time.Second, Target: 0},
			{Kind: PartitionMember, At: 6 * time.Second, For: 2 * time.Second, Target: 1},
			{Kind: PartitionMember, At: 12 * time.Second, For: 2 * time.Second, Target: 2},
			{Kind: PartitionMember, At: 18 * time.Second, For: 2 * time.Second, Target: 0},
		}},
		Rule: RuleLinearizability,
	},
	{
		Name:     "an unsafe request is sent again though it may have been executed",
		File:     "dataplane/retry/retry.go",
		Old:      "case execution == MayHaveExecuted && !state.Idempotent:",
		New:      "case execution == MayHaveExecuted && !state.Idempotent && state.Attempts < 0:",
		Schedule: Schedule{Seed: 2, Faults: []Fault{{Kind: MisbehavingReplicas, At: 0, For: 2 * time.Second}}},
		Rule:     RuleExecutedTwice,
	},
	{
		Name:     "a gateway serves by its first configuration for ever",
		File:     "dataplane/router/update.go",
		Old:      "r.config != nil && r.config.Version >= update.ConfigVersion",
		New:      "r.config != nil",
		Schedule: Schedule{Seed: 3, Faults: []Fault{{Kind: DrainReplica, At: 4 * time.Second}}},
		Rule:     RuleStaleConfig,
	},
	{
		Name:     "a deregistration is acknowledged and not carried out",
		File:     "controlplane/registry/merge.go",
		Old:      "		r.markDeregistered(report.receivedAt, known)\n",
		New:      "",
		Schedule: Schedule{Seed: 4, Faults: []Fault{{Kind: DeregisterReplica, At: 3 * time.Second}}},
		Rule:     RuleDrain,
	},
}

// TestSoakFindsPlantedFaults builds the daemons with each planted fault: a checker that misses one is worth nothing.
func TestSoakFindsPlantedFaults(t *testing.T) {
	for i, planted := range mutations {
		t.Run(planted.Name, func(t *testing.T) {
			t.Parallel()
			runMutation(t, planted, byte(50+i))
		})
	}
}

// mutationAttempts bounds the runs in which a planted fault may show: real processes do not repeat by seed.
const mutationAttempts = 3

func runMutation(t *testing.T, planted Mutation, network byte) {
	t.Helper()
	binDir := t.TempDir()
	if err := planted.Build(context.Background(), absolute(t, moduleRoot), binDir); err != nil {
		t.Fatal(err)
	}
	for range mutationAttempts {
		result, err := Run(t.Context(), Options{BinDir: binDir, Dir: outputDir(t), Schedule: planted.Schedule, Network: network})
		if err != nil {
			t.Fatal(err)
		}
		found := slices.IndexFunc(result.Violations, func(violation Violation) bool { return violation.Rule == planted.Rule })
		if found >= 0 {
			t.Logf("found: %s", result.Violations[found])
			return
		}
		t.Logf("not found in one run; violations: %v", result.Violations)
	}
	t.Errorf("not found by the rule %q in %d runs", planted.Rule, mutationAttempts)
}
