package simulation

import (
	"strings"
	"testing"
	"time"
)

// TestInvariantsFindPlantedBugs checks that the invariants detect planted bugs.
func TestInvariantsFindPlantedBugs(t *testing.T) {
	for _, bug := range []PlantedBug{IgnoreViewNumber, KeepVoteAfterWipe, AcknowledgeBeforeSync, SkipDirectorySync, AcceptStaleState, DiscardReportedDrains, UndividedWarmupQuota} {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				schedule := scheduleFor(bug, seed)
				if result := Run(schedule); len(result.Violations) > 0 {
					schedule.PlantedBug = ""
					if withoutBug := Run(schedule); len(withoutBug.Violations) > 0 {
						continue // fails without the bug too
					}
					t.Logf("found with seed %d: %s", seed, result.Violations[0])
					return
				}
			}
			t.Error("not found in 400 schedules")
		})
	}
}

// scheduleFor returns a schedule that can expose a planted bug.
func scheduleFor(bug PlantedBug, seed uint64) Schedule {
	schedule := Generate(seed, 3, 8, 25*time.Second)
	schedule.PlantedBug = bug
	switch bug {
	case IgnoreViewNumber: // frequent view changes and late messages from older views
		schedule.ReorderRate, schedule.MaxReorderDelay, schedule.Gateways, schedule.Faults = 0.3, 3*time.Second, 0, nil
		kinds := []FaultKind{IsolateMember, PauseProcess, LosePower, IsolateMemberOneWay}
		for at := 2 * time.Second; at < 22*time.Second; at += 2400 * time.Millisecond {
			schedule.Faults = append(schedule.Faults, Fault{At: at + time.Duration(seed)*time.Millisecond, For: 1300 * time.Millisecond,
				Kind: kinds[int(seed)%4], Target: int(at/time.Millisecond+time.Duration(seed)) % 3})
		}
		schedule.Actions = append(schedule.Actions, increasingPuts(80)...)
	case AcceptStaleState: // lagging members and gateways that reconnect; members don't confirm updates
		schedule.UnconfirmedUpdates = true
		schedule.LossRate, schedule.Gateways, schedule.Actions, schedule.Faults = 0.2, 6, nil, nil
		schedule.Actions = append(schedule.Actions, increasingPuts(80)...)
		for at := 3 * time.Second; at < 22*time.Second; at += 1700 * time.Millisecond {
			schedule.Faults = append(schedule.Faults, Fault{At: at + time.Duration(seed)*7*time.Millisecond, Kind: KillProcess, Target: int(at/time.Millisecond) % 3})
		}
	}
	return schedule
}

// increasingPuts returns puts with increasing versions at regular intervals.
func increasingPuts(n int) (actions []Action) {
	for i := range n {
		actions = append(actions, Action{At: time.Second + time.Duration(i)*280*time.Millisecond, Kind: PutConfig, Version: uint64(1000 + i)})
	}
	return actions
}

// TestFamiliesFindPlantedBugs checks that schedules of the families detect planted bugs that others don't.
func TestFamiliesFindPlantedBugs(t *testing.T) {
	cases := map[PlantedBug]struct{ family, violation string }{
		UnconfirmedFirstState:   {"cuts", "a full update"},
		ConfirmSupersededView:   {"cuts", "was acknowledged before the read started"},
		DropCommandID:           {"twins", notLinearizable},
		AcceptDelayedCalls:      {"cuts", notLinearizable},
		HideConflict:            {"twins", "is acknowledged as"},
		DiscardClaimsOnRestart:  {"twins", "is acknowledged as"},
		ShutDownWithoutHandover: {"twins", "has no quorum contact"},
		RemoveSilentVoters:      {"overlaps", "has not caught up"},
	}
	for bug, want := range cases {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				schedule := familyScheduleFor(bug, want.family, seed)
				if _, violation := runChecked(t, schedule); violation != "" && strings.Contains(violation, want.violation) {
					schedule.PlantedBug = ""
					if _, without := runChecked(t, schedule); without != "" {
						continue // fails without the bug too
					}
					t.Logf("found with seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("not found in 400 schedules")
		})
	}
}

// familyScheduleFor returns a schedule of a family, adapted to expose a planted bug.
func familyScheduleFor(bug PlantedBug, family string, seed uint64) Schedule {
	members := 3
	if bug == RemoveSilentVoters {
		members = 5
	}
	schedule := GenerateFamily(family, seed, members)
	schedule.PlantedBug = bug
	switch bug {
	case DropCommandID:
		proposeOppositesWhileViewChanges(&schedule, seed)
	case ConfirmSupersededView:
		readAndPutWhileTailIsPartitioned(&schedule)
	case ShutDownWithoutHandover: // the head shuts down after a spare has joined, while another member is lost
		schedule.Faults = []Fault{{At: 8 * time.Second, Kind: AddSpareMember}, {At: 16 * time.Second, Kind: ShutDownMember, Role: RoleHead},
			{At: 16*time.Second + time.Duration(seed)*5*time.Millisecond, For: 12 * time.Second, Kind: PauseProcess, Role: RoleTail}}
	}
	return schedule
}

// proposeOppositesWhileViewChanges submits a command and its opposite during a view change.
func proposeOppositesWhileViewChanges(schedule *Schedule, seed uint64) {
	schedule.Gateways, schedule.Replicas, schedule.Actions, schedule.Faults = 0, 0, nil, nil
	for at := 8 * time.Second; at < 22*time.Second; at += 6 * time.Second {
		after := time.Duration(seed%40) * 15 * time.Millisecond // the view changes about 1 s after the tail is isolated
		schedule.Faults = append(schedule.Faults, Fault{At: at, For: 1500 * time.Millisecond, Kind: IsolateMember, Role: RoleTail})
		schedule.Actions = append(schedule.Actions, Action{At: at - time.Second, Kind: EvacuateZone, To: 2},
			Action{At: at + 400*time.Millisecond + after, Kind: RestoreZone, To: 2},
			Action{At: at + 450*time.Millisecond + after, Kind: EvacuateZone, To: 2})
	}
}

// readAndPutWhileTailIsPartitioned adds frequent reads and puts while messages about the new view are lost.
func readAndPutWhileTailIsPartitioned(schedule *Schedule) {
	schedule.LossRate, schedule.Gateways, schedule.Replicas, schedule.Actions, schedule.Faults = 0.2, 0, 0, nil, nil
	for at := 8 * time.Second; at < 22*time.Second; at += 4 * time.Second {
		schedule.Faults = append(schedule.Faults, Fault{At: at, For: 1200 * time.Millisecond, Kind: PartitionMember, Role: RoleTail})
	}
	for at := 8 * time.Second; at < 24*time.Second; at += 20 * time.Millisecond {
		schedule.Actions = append(schedule.Actions, Action{At: at, Kind: ReadConfig, To: 1 + len(schedule.Actions)%3})
		if len(schedule.Actions)%4 == 0 {
			schedule.Actions = append(schedule.Actions, Action{At: at, Kind: PutConfig, Version: versionAt(at), Body: len(schedule.Actions)})
		}
	}
}
