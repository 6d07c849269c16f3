package simulation

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// TestViewRepairTime checks for how long the chain is broken after a member becomes unavailable.
func TestViewRepairTime(t *testing.T) {
	t.Parallel()
	var took []time.Duration
	for _, kind := range []FaultKind{LosePower, PauseProcess, IsolateMember} {
		for seed := range seedCount(t, 34) {
			result := Run(Schedule{Seed: seed, Members: 3, InitialMembers: 3, Duration: 8 * time.Second, Actions: GenerateActions(seed, 10, 1, 8*time.Second),
				Faults: []Fault{{At: 3*time.Second + time.Duration(seed)*7*time.Millisecond, For: 3 * time.Second, Kind: kind, Target: int(seed) % 3}}})
			took = append(took, result.ViewRepairTimes...)
		}
	}
	slices.Sort(took)
	if len(took) < 90 {
		t.Fatalf("only %d view repairs observed", len(took))
	}
	t.Logf("repair time: p50 %v, p90 %v, max %v (%d)", took[len(took)/2], took[len(took)*9/10], took[len(took)-1], len(took))
	if longest := took[len(took)-1]; longest > 1500*time.Millisecond {
		t.Errorf("longest view repair took %v", longest)
	}
}

// TestViewRepairLatencies logs repair times and command latencies by cluster size and kind of fault.
func TestViewRepairLatencies(t *testing.T) {
	t.Parallel()
	for _, members := range []int{3, 5, 7} {
		for _, kind := range []FaultKind{LosePower, PauseProcess, IsolateMember} {
			var repaired, acknowledged []time.Duration
			for seed := range seedCount(t, 4) {
				result := Run(Schedule{Seed: seed, Members: members, InitialMembers: 3, Duration: 12 * time.Second, Actions: GenerateActions(seed, 20, 1, 12*time.Second),
					Faults: []Fault{{At: 6 * time.Second, For: 3 * time.Second, Kind: kind, Target: int(seed) % members}}})
				if len(result.Violations) > 0 {
					t.Fatalf("%d members, %s, seed %d:\n%s", members, kind, seed, traceText(result))
				}
				repaired, acknowledged = append(repaired, result.ViewRepairTimes...), append(acknowledged, result.CommandLatencies...)
			}
			slices.Sort(repaired)
			slices.Sort(acknowledged)
			if len(repaired) == 0 {
				t.Fatalf("%d members, %s: no view was repaired", members, kind)
			}
			t.Logf("%d members, %s: repair p50 %v, p99 %v, max %v (%d); acknowledgement p50 %v, p99 %v (%d)", members, kind, repaired[len(repaired)/2],
				P99(repaired), repaired[len(repaired)-1], len(repaired), acknowledged[len(acknowledged)/2], P99(acknowledged), len(acknowledged))
		}
	}
}

// TestFamilyLatencies logs the latencies of view repair, replacement, catch-up and isolated members. SIMULATION_SEEDS
// sets the number of seeds.
func TestFamilyLatencies(t *testing.T) {
	t.Parallel()
	for _, members := range []int{3, 5, 7} {
		f := latencyReport{t, members}
		f.logReplacement()
		f.logIsolation()
		f.logCatchUp()
	}
}

// latencyReport measures control planes of one size.
type latencyReport struct {
	t       *testing.T
	members int
}

// run runs a schedule, which must pass.
func (f latencyReport) run(seed uint64, s Schedule) Result {
	f.t.Helper()
	s.Seed, s.Members, s.InitialMembers, s.Tolerance, s.Zones, s.LossRate = seed, f.members, 3, toleranceByMembers[f.members], generatedZones, 0.002
	s.Actions = append([]Action{{At: 500 * time.Millisecond, Kind: PutConfig, Version: 1, Body: 1}}, s.Actions...)
	result, violation := runChecked(f.t, s)
	if violation != "" {
		f.t.Fatalf("%d members, seed %d: %s\n%s\n%s", f.members, seed, violation, s.JSON(), traceText(result))
	}
	return result
}

func (f latencyReport) log(name string, took []time.Duration) {
	f.t.Helper()
	if len(took) == 0 {
		f.t.Logf("%d members, %s: no measurements", f.members, name)
		return
	}
	slices.Sort(took)
	ms := func(i int) int64 { return took[i].Milliseconds() }
	f.t.Logf("%d members, %s: p50 %d ms, p99 %d ms, max %d ms (%d)", f.members, name, ms(len(took)/2), ms(len(took)*99/100), ms(len(took)-1), len(took))
}

func (f latencyReport) logReplacement() {
	f.t.Helper()
	var repaired, joined []time.Duration
	for seed := range seedCount(f.t, 1) {
		jitter := time.Duration(seed*37%1000) * time.Millisecond
		for _, role := range []FaultRole{RoleHead, RoleMiddle, RoleTail} {
			result := f.run(seed, Schedule{Duration: 18 * time.Second,
				Faults: []Fault{{At: 8*time.Second + jitter, Kind: RemoveMember, Role: role}, {At: 9*time.Second + jitter, Kind: AddSpareMember}}})
			repaired, joined = append(repaired, result.ViewRepairTimes...), append(joined, result.JoinTimes...)
		}
	}
	f.log("view repair after the removal of a member", repaired)
	f.log("time from the start of a spare until it has caught up", joined)
}

func (f latencyReport) logIsolation() {
	f.t.Helper()
	var responses, heartbeats, afterResume []time.Duration
	for seed := range seedCount(f.t, 1) {
		for i, kind := range []FaultKind{IsolateMember, PartitionMember, DropInbound, DropOutbound, PauseProcess, PauseWithMonotonicClock, PauseWithAllClocks} {
			result := f.run(seed, isolationSchedule(seed, i, kind))
			responses, afterResume = append(responses, result.ResponsesWhileIsolated...), append(afterResume, result.ResponsesAfterResume...)
			heartbeats = append(heartbeats, result.HeartbeatsWhileIsolated...)
		}
	}
	f.log("responses of an isolated member to operators and connecting gateways, after its isolation", responses)
	f.log("heartbeats acknowledged by an isolated member, after its isolation", heartbeats)
	f.log("responses of a resumed member with an outdated view, after it resumed", afterResume)
}

// isolationSchedule isolates or pauses one member for 20 s, with many calls to it at the start and end.
func isolationSchedule(seed uint64, i int, kind FaultKind) Schedule {
	jitter := time.Duration((int(seed)*7+i)*230%1500) * time.Millisecond // replicas send heartbeats in phase
	s := Schedule{Duration: 32 * time.Second, Gateways: 3, Replicas: 6,
		Faults: []Fault{{At: 8*time.Second + jitter, For: 20 * time.Second, Kind: kind, Target: int(seed) % 3, Reconnect: true}}}
	for _, from := range []time.Duration{8 * time.Second, 28 * time.Second} {
		for i := range 18 { // below maxPendingCalls
			at := from + jitter + time.Duration(i)*60*time.Millisecond
			s.Actions = append(s.Actions, Action{At: at, Kind: ReadConfig, To: 1 + int(seed)%3}, Action{At: at, Kind: EvacuateZone, Target: i % 3, To: 1 + int(seed)%3})
		}
	}
	return s
}

func (f latencyReport) logCatchUp() {
	f.t.Helper()
	roles := []FaultRole{RoleHead, RoleMiddle, RoleTail}
	for _, changes := range []int{10, 100, 1000} {
		if changes == 1000 && f.members > 3 && os.Getenv("SIMULATION_SEEDS") == "" {
			continue // takes several seconds
		}
		var caughtUp []time.Duration
		for seed := range seedCount(f.t, 1) {
			outage := time.Second + time.Duration(changes)*40*time.Millisecond
			s := Schedule{Duration: 9*time.Second + outage + 6*time.Second,
				Faults: []Fault{{At: 8*time.Second + time.Duration(seed*37%1000)*time.Millisecond, For: outage, Kind: LosePower, Role: roles[seed%3]}}}
			for i := range changes {
				s.Actions = append(s.Actions, Action{At: 9*time.Second + time.Duration(i)*40*time.Millisecond, Kind: PutConfig, Version: uint64(10 + i), Body: 10 + i})
			}
			caughtUp = append(caughtUp, f.run(seed, s).CatchUpTimes...)
		}
		f.log(fmt.Sprintf("time from the start of a member until it has caught up with %d changes", changes), caughtUp)
	}
}
