package simulation

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// Times of the schedules of TestDisksLostBesideAbsentMembers.
const (
	sweepAbsenceStart  = 8 * time.Second
	sweepWipedDowntime = time.Second
)

// sweepCase is a case of TestDisksLostBesideAbsentMembers: two members of five are absent for some time, with their disks, and at
// its end two others lose their disks right after a configuration was acknowledged.
type sweepCase struct {
	kind    FaultKind
	absence time.Duration
	absent  [2]int
	wiped   [2]int
}

// schedule returns the schedule of the case: absences, then the acknowledgement of version 2, then the lost disks.
func (s sweepCase) schedule(seed uint64) Schedule {
	end := sweepAbsenceStart + s.absence
	schedule := Schedule{Seed: seed, Members: 5, InitialMembers: maxInitialMembers, Tolerance: 2, ExceedsTolerance: true, Zones: generatedZones,
		Duration: end + time.Second,
		Actions:  []Action{{At: firstPutTime, Kind: PutConfig, Version: 1}, {At: end - 300*time.Millisecond, Kind: PutConfig, Version: 2, Body: 2}},
	}
	for _, target := range s.absent {
		if s.absence > 0 {
			schedule.Faults = append(schedule.Faults, Fault{At: sweepAbsenceStart, For: s.absence + sweepWipedDowntime, Kind: s.kind, Target: target})
		}
	}
	for _, target := range s.wiped {
		schedule.Faults = append(schedule.Faults, Fault{At: end, For: sweepWipedDowntime, Kind: WipeDisk, Target: target})
	}
	return schedule
}

// sweepCases lists all choices of absent members and of others that lose their disks.
func sweepCases(kind FaultKind, absence time.Duration) (cases []sweepCase) {
	for a := range 5 {
		for b := a + 1; b < 5; b++ {
			rest := slices.DeleteFunc([]int{0, 1, 2, 3, 4}, func(i int) bool { return i == a || i == b })
			for spared := range rest {
				wiped := slices.Delete(slices.Clone(rest), spared, spared+1)
				cases = append(cases, sweepCase{kind, absence, [2]int{a, b}, [2]int(wiped)})
			}
		}
	}
	return cases
}

// TestDisksLostBesideAbsentMembers guards against the loss of what was acknowledged where as many disks are lost as tolerated
// beside members that are absent with their disks. SIMULATION_SWEEP=all covers absences of up to a minute, and SIMULATION_SWEEP_BUG
// plants RemoveSilentVoters, for the table in docs/CAPACITY.md.
func TestDisksLostBesideAbsentMembers(t *testing.T) {
	t.Parallel()
	absences := []time.Duration{2 * time.Second, 15 * time.Second}
	if os.Getenv("SIMULATION_SWEEP") != "" {
		absences = []time.Duration{0, time.Second, 2 * time.Second, 6 * time.Second, 10 * time.Second, 12 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute}
	}
	for _, kind := range []FaultKind{LosePower, PauseProcess, PartitionMember, IsolateMember, DropInbound, DropOutbound} {
		for _, absence := range absences {
			cases, failed, example := sweepCases(kind, absence), 0, ""
			for i, s := range cases {
				schedule := s.schedule(uint64(i))
				if os.Getenv("SIMULATION_SWEEP_BUG") != "" {
					schedule.PlantedBug = RemoveSilentVoters
				}
				if _, violation := runChecked(t, schedule); violation != "" {
					failed++
					example = fmt.Sprintf("%+v: %s", s, violation)
				}
			}
			t.Logf("%-8s %5v: %d of %d lost what was acknowledged, or never recovered", kind, absence, failed, len(cases))
			if failed > 0 {
				t.Errorf("%s for %v: %d of %d cases fail; %s", kind, absence, failed, len(cases), example)
			}
		}
	}
}

// TestServiceRestsAfterThirdLoss states the price of keeping silent voters: with two members of five absent for 20 s, no command
// is acknowledged while a third is down, which is more than is tolerated, and all is well again afterwards. Where one loss is
// tolerated, the two are removed and service goes on.
func TestServiceRestsAfterThirdLoss(t *testing.T) {
	t.Parallel()
	const (
		thirdLoss   = sweepAbsenceStart + 20*time.Second
		downtime    = 8 * time.Second
		settleTime  = 3 * time.Second
		putInterval = 250 * time.Millisecond
	)
	for _, test := range []struct {
		tolerance int
		served    bool
	}{{2, false}, {1, true}} {
		acknowledged, puts := 0, 0
		for i, s := range sweepCases(LosePower, thirdLoss+downtime-sweepAbsenceStart) {
			schedule := s.schedule(uint64(i))
			schedule.Tolerance, schedule.Actions = test.tolerance, schedule.Actions[:1]
			schedule.Faults = append(schedule.Faults[:2], Fault{At: thirdLoss, For: downtime, Kind: LosePower, Target: s.wiped[0]})
			for at := thirdLoss + settleTime; at < thirdLoss+downtime-time.Second; at += putInterval {
				schedule.Actions = append(schedule.Actions, Action{At: at, Kind: PutConfig, Version: versionAt(at), Body: len(schedule.Actions) + 1})
				puts++
			}
			result, violation := runChecked(t, schedule)
			if violation != "" {
				t.Errorf("%+v: %s", s, violation)
			}
			for _, attempt := range result.Attempts {
				if attempt.Kind == AttemptPut && attempt.Answered && attempt.Return > thirdLoss && attempt.Return < thirdLoss+downtime {
					acknowledged++
				}
			}
		}
		t.Logf("%d losses tolerated: %d of %d commands acknowledged while three members are down", test.tolerance, acknowledged, puts)
		if test.served && acknowledged < puts || !test.served && acknowledged > 0 {
			t.Errorf("%d losses tolerated: %d of %d commands acknowledged while three members are down", test.tolerance, acknowledged, puts)
		}
	}
}
