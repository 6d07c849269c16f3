package simulation

import (
	"testing"
	"time"
)

// TestRetryBudgetAcrossRestarts checks the bound on all gateways' retries when they restart ten times within one
// window, while some are isolated and members fail.
func TestRetryBudgetAcrossRestarts(t *testing.T) {
	retries := 0
	for seed := range seedCount(t, 8) {
		result := Run(restartingGatewaysSchedule(seed))
		retries += result.Retries
		if len(result.Violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, result.Violations[0], traceText(result))
		}
	}
	if retries == 0 {
		t.Error("no budget allowed a retry")
	}
}

func restartingGatewaysSchedule(seed uint64) Schedule {
	schedule := Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 24, Zones: 2, Replicas: 2, Duration: 30 * time.Second,
		Actions: []Action{{At: 1200 * time.Millisecond, Kind: PutConfig, Version: 1}}}
	const firstRestart, restarts = 8 * time.Second, 10
	for restart := range restarts {
		at := firstRestart + time.Duration(restart)*retryWindow/restarts
		for gateway := range schedule.Gateways {
			schedule.Faults = append(schedule.Faults, Fault{At: at + time.Duration(gateway)*time.Millisecond, For: 20 * time.Millisecond, Kind: KillGateway, Target: gateway})
		}
		if restart%3 == int(seed%3) { // half of the gateways cannot learn the number of gateways
			for gateway := 0; gateway < schedule.Gateways; gateway += 2 {
				schedule.Faults = append(schedule.Faults, Fault{At: at, For: 1500 * time.Millisecond, Kind: IsolateGateway, Target: gateway})
			}
		}
		if restart%4 == 1 {
			schedule.Faults = append(schedule.Faults, Fault{At: at, For: 900 * time.Millisecond, Kind: KillProcess, Target: restart % schedule.Members})
		}
	}
	return schedule
}
