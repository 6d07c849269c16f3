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

// The tests in this file start processes and depend on real time. They need the build tag soak and must not run alongside other tests:
//
//	go test -tags soak -run Soak ./internal/testbeds/soak
//
// If SOAK_KEEP names a directory, records and logs are kept there.

const moduleRoot = "../../.."

// outputDir returns an empty directory for a run.
func outputDir(t *testing.T) string {
	if dir := os.Getenv("SOAK_KEEP"); dir != "" {
		dir, err := os.MkdirTemp(dir, filepath.Base(t.Name())+"-")
		if err != nil {
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

// TestSoakShort runs a few generated schedules of two episodes each.
func TestSoakShort(t *testing.T) {
	binDir := t.TempDir()
	if err := Build(t.Context(), absolute(t, moduleRoot), binDir); err != nil {
		t.Fatal(err)
	}
	for i, seed := range []uint64{1, 2, 3, 5} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, binDir, Generate(seed, 2), byte(40+i))
		})
	}
}

// runSchedule executes a schedule and fails the test for each violation.
func runSchedule(t *testing.T, binDir string, schedule Schedule, network byte) {
	t.Helper()
	result, err := Run(t.Context(), Options{BinDir: binDir, Dir: outputDir(t), Schedule: schedule, Network: network})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	t.Logf("%d requests, %d executions, %d operations, %d faults", len(result.Record.Requests), len(result.Record.Executions),
		len(result.Record.Operations), len(result.Record.Faults))
}

// mutations each break one guarantee. The checker must detect all of them.
var mutations = []Mutation{
	{
		Name: "configuration acknowledged before it is committed",
		File: "controlplane/coordinator/proposal.go",
		Old:  "case proposal.accepted && snapshot.isCommitted(proposal.commitCondition):",
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
		Name:     "unsafe request retried although it may have been executed",
		File:     "dataplane/retry/retry.go",
		Old:      "case execution == MayHaveExecuted && !state.Idempotent:",
		New:      "case execution == MayHaveExecuted && !state.Idempotent && state.Attempts < 0:",
		Schedule: Schedule{Seed: 2, Faults: []Fault{{Kind: MisbehavingReplicas, At: 0, For: 2 * time.Second}}},
		Rule:     RuleExecutedTwice,
	},
	{
		Name:     "gateway ignores all configurations after the first",
		File:     "dataplane/router/update.go",
		Old:      "r.config != nil && r.config.Version >= update.ConfigVersion",
		New:      "r.config != nil",
		Schedule: Schedule{Seed: 3, Faults: []Fault{{Kind: DrainReplica, At: 4 * time.Second}}},
		Rule:     RuleStaleConfig,
	},
	{
		Name:     "deregistration acknowledged but not applied",
		File:     "controlplane/registry/merge.go",
		Old:      "r.markDeregistered(report.receivedAt, known",
		New:      "func(...any) {}(known",
		Schedule: Schedule{Seed: 4, Faults: []Fault{{Kind: DeregisterReplica, At: 3 * time.Second}}},
		Rule:     RuleDeparture,
	},
}

// TestSoakFindsPlantedFaults runs daemons built with each mutation and expects the checker to report the broken guarantee.
func TestSoakFindsPlantedFaults(t *testing.T) {
	for i, mutation := range slices.Concat(mutations, ownershipMutations) {
		t.Run(mutation.Name, func(t *testing.T) {
			t.Parallel()
			runMutation(t, mutation, byte(50+i))
		})
	}
}

// mutationAttempts limits the runs for each mutation. Real processes are not deterministic, so one run may not show the fault.
const mutationAttempts = 3

func runMutation(t *testing.T, mutation Mutation, network byte) {
	t.Helper()
	binDir := t.TempDir()
	if err := mutation.Build(context.Background(), absolute(t, moduleRoot), binDir); err != nil {
		t.Fatal(err)
	}
	for range mutationAttempts {
		result, err := Run(t.Context(), Options{BinDir: binDir, Dir: outputDir(t), Schedule: mutation.Schedule, Network: network})
		if err != nil {
			t.Fatal(err)
		}
		found := slices.IndexFunc(result.Violations, func(violation Violation) bool { return violation.Rule == mutation.Rule })
		if found >= 0 {
			t.Logf("detected: %s", result.Violations[found])
			return
		}
		t.Logf("not detected in one run; violations: %v", result.Violations)
	}
	t.Errorf("rule %q did not detect the mutation in %d runs", mutation.Rule, mutationAttempts)
}
