package simulation

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// TestViewRepairTime measures for how long a chain stays broken after a member falls silent.
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
		t.Fatalf("only %d views were seen to be repaired", len(took))
	}
	t.Logf("repaired within: median %v, nine in ten %v, all %v, of %d", took[len(took)/2], took[len(took)*9/10], took[len(took)-1], len(took))
	if longest := took[len(took)-1]; longest > 1500*time.Millisecond {
		t.Errorf("a view took %v to be repaired", longest)
	}
}

// TestViewRepairLatencies prints what the results page quotes; -v shows it.
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
			t.Logf("%d members, %s: repaired p50 %v, p99 %v, most %v (%d); acknowledged p50 %v, p99 %v (%d)", members, kind, repaired[len(repaired)/2],
				P99(repaired), repaired[len(repaired)-1], len(repaired), acknowledged[len(acknowledged)/2], P99(acknowledged), len(acknowledged))
		}
	}
}

// TestFamilyLatencies prints what the results page quotes of views, successors, catching up and members that were cut off. -v
// shows it, SIMULATION_SEEDS asks for more schedules.
func TestFamilyLatencies(t *testing.T) {
	t.Parallel()
	for _, members := range []int{3, 5, 7} {
		f := latencyReport{t, members}
		f.printReplacement()
		f.printCuts()
		f.printCatchUp()
	}
}

// figures are of control planes of one size.
type latencyReport struct {
	t       *testing.T
	members int
}

// run runs a schedule of this size, in which nothing may go wrong.
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

func (f latencyReport) print(what string, took []time.Duration) {
	f.t.Helper()
	if len(took) == 0 {
		f.t.Logf("%d members, %s: never", f.members, what)
		return
	}
	slices.Sort(took)
	ms := func(i int) int64 { return took[i].Milliseconds() }
	f.t.Logf("%d members, %s: p50 %d ms, p99 %d ms, most %d ms (%d)", f.members, what, ms(len(took)/2), ms(len(took)*99/100), ms(len(took)-1), len(took))
}

func (f latencyReport) printReplacement() {
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
	f.print("a view is repaired after a member has gone", repaired)
	f.print("a successor is in the chain and caught up, from its start", joined)
}

func (f latencyReport) printCuts() {
	f.t.Helper()
	var responses, heartbeats, thawed []time.Duration
	for seed := range seedCount(f.t, 1) {
		for i, kind := range []FaultKind{IsolateMember, PartitionMember, DropInbound, DropOutbound, PauseProcess, PauseWithMonotonicClock, PauseWithAllClocks} {
			result := f.run(seed, cutSchedule(seed, i, kind))
			responses, thawed = append(responses, result.ResponsesWhileIsolated...), append(thawed, result.ResponsesAfterResume...)
			heartbeats = append(heartbeats, result.HeartbeatsWhileIsolated...)
		}
	}
	f.print("answers to operators, and to gateways new to it, of one that is cut off, after the cut", responses)
	f.print("heartbeats of replicas that one acknowledged which was cut off, after the cut", heartbeats)
	f.print("answers of one that has thawed and missed a view, after it thawed", thawed)
}

// cutSchedule strikes one member for 20 s, and has it called much as that begins and ends.
func cutSchedule(seed uint64, i int, kind FaultKind) Schedule {
	jitter := time.Duration((int(seed)*7+i)*230%1500) * time.Millisecond // heartbeats of replicas are in step
	s := Schedule{Duration: 32 * time.Second, Gateways: 3, Replicas: 6,
		Faults: []Fault{{At: 8*time.Second + jitter, For: 20 * time.Second, Kind: kind, Target: int(seed) % 3, Reconnect: true}}}
	for _, from := range []time.Duration{8 * time.Second, 28 * time.Second} {
		for i := range 18 { // fewer than may wait at a member
			at := from + jitter + time.Duration(i)*60*time.Millisecond
			s.Actions = append(s.Actions, Action{At: at, Kind: ReadConfig, To: 1 + int(seed)%3}, Action{At: at, Kind: EvacuateZone, Target: i % 3, To: 1 + int(seed)%3})
		}
	}
	return s
}

func (f latencyReport) printCatchUp() {
	f.t.Helper()
	roles := []FaultRole{RoleHead, RoleMiddle, RoleTail}
	for _, changes := range []int{10, 100, 1000} {
		if changes == 1000 && f.members > 3 && os.Getenv("SIMULATION_SEEDS") == "" {
			continue // it would take some seconds
		}
		var caughtUp []time.Duration
		for seed := range seedCount(f.t, 1) {
			away := time.Second + time.Duration(changes)*40*time.Millisecond
			s := Schedule{Duration: 9*time.Second + away + 6*time.Second,
				Faults: []Fault{{At: 8*time.Second + time.Duration(seed*37%1000)*time.Millisecond, For: away, Kind: LosePower, Role: roles[seed%3]}}}
			for i := range changes {
				s.Actions = append(s.Actions, Action{At: 9*time.Second + time.Duration(i)*40*time.Millisecond, Kind: PutConfig, Version: uint64(10 + i), Body: 10 + i})
			}
			caughtUp = append(caughtUp, f.run(seed, s).CatchUpTimes...)
		}
		f.print(fmt.Sprintf("back in the chain and caught up after %d changes, from its start", changes), caughtUp)
	}
}
