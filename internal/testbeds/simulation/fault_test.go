package simulation

import (
	"testing"
	"time"
)

// TestSingleFaults runs basic fault scenarios with several seeds each.
func TestSingleFaults(t *testing.T) {
	const s = time.Second
	at := func(kind FaultKind, target int, duration time.Duration) Fault {
		return Fault{At: 4 * s, For: duration, Kind: kind, Target: target}
	}
	cases := map[string][]Fault{
		"head loses power":                          {at(LosePower, 0, 3*s)},
		"middle loses power":                        {at(LosePower, 1, 3*s)},
		"tail loses power":                          {at(LosePower, 2, 3*s)},
		"head loses its disk":                       {at(WipeDisk, 0, 2*s)},
		"tail loses its disk":                       {at(WipeDisk, 2, 2*s)},
		"acknowledging member loses power":          {at(LosePowerOnAcknowledgement, 0, 2*s)},
		"acknowledging member loses its disk":       {at(WipeDiskOnAcknowledgement, 0, 2*s)},
		"all processes die during a view change":    {at(LosePower, 0, s), {At: 4100 * time.Millisecond, For: 500 * time.Millisecond, Kind: KillAllOnView}},
		"head is isolated in one direction":         {at(IsolateMemberOneWay, 0, 4*s)},
		"middle is isolated":                        {at(IsolateMember, 1, 4*s)},
		"head's disk is full":                       {at(FillDisk, 0, 4*s)},
		"tail's disk hangs":                         {at(StallDisk, 2, 4*s)},
		"head's disk hangs":                         {at(StallDisk, 0, 4*s)},
		"tail is paused":                            {at(PauseProcess, 2, 4*s)},
		"head is paused":                            {at(PauseProcess, 0, 4*s)},
		"joining member dies during catch-up":       {at(WipeDisk, 1, s), {At: 5900 * time.Millisecond, For: s, Kind: KillProcess, Target: 1}},
		"all members are wiped one after the other": {at(WipeDisk, 0, s), {At: 11 * s, For: s, Kind: WipeDisk, Target: 1}, {At: 18 * s, For: s, Kind: WipeDisk, Target: 2}},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(t, 12) {
				result := Run(Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 3, Replicas: 4, Duration: 20 * s, Faults: faults,
					Actions: GenerateActions(seed, 60, 4, 20*s), LossRate: 0.002})
				if len(result.Violations) > 0 {
					t.Fatalf("seed %d:\n%s", seed, traceText(result))
				}
			}
		})
	}
}

// TestLongOutages checks that gateways and members that were unavailable for 20 s catch up within the bounds, without
// reverting to older state or overloading warming replicas.
func TestLongOutages(t *testing.T) {
	const outage = 20 * time.Second
	cases := map[string][]Fault{
		"gateways are isolated":               {{Kind: IsolateGateway, Target: 0}, {Kind: IsolateGateway, Target: 1}},
		"gateways are paused":                 {{Kind: PauseGateway, Target: 0}, {Kind: PauseGateway, Target: 1}},
		"member is isolated":                  {{Kind: IsolateMember, Target: 0}},
		"member is isolated in one direction": {{Kind: IsolateMemberOneWay, Target: 1}},
		"member is paused":                    {{Kind: PauseProcess, Target: 2}},
		"member is wiped":                     {{Kind: WipeDisk, Target: 1}},
		"member and gateway are isolated":     {{Kind: IsolateMember, Target: 1}, {Kind: IsolateGateway, Target: 2}},
		"gateway restarts as member returns":  {{Kind: IsolateMember, Target: 1}, {At: 19900 * time.Millisecond, For: 200 * time.Millisecond, Kind: KillGateway, Target: 0}},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(t, 4) {
				schedule := Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 6, Replicas: 4, Zones: generatedZones, Duration: 34 * time.Second,
					Actions: GenerateActions(seed, 60, 4, 34*time.Second)}
				for _, fault := range faults {
					fault.At += 4*time.Second + time.Duration(seed)*130*time.Millisecond
					if fault.For == 0 {
						fault.For = outage
					}
					schedule.Faults = append(schedule.Faults, fault)
				}
				if result := Run(schedule); len(result.Violations) > 0 {
					t.Fatalf("seed %d: %s\n%s", seed, result.Violations[0], traceText(result))
				}
			}
		})
	}
}
