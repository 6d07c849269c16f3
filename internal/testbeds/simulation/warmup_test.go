package simulation

import (
	"testing"
	"time"
)

// TestOverlappingWarmups checks that members honour a heartbeat that extends a replica's warm-up when its zone is
// restored before the first warm-up ends.
func TestOverlappingWarmups(t *testing.T) {
	const ms = time.Millisecond
	warmupRequests := 0
	for seed := range seedCount(t, 30) {
		begins := 12 * time.Second
		result := Run(Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 12, Zones: 2, Replicas: 2, Duration: 20 * time.Second, Actions: []Action{
			{At: 1200 * ms, Kind: PutConfig, Version: 1}, {At: 4 * time.Second, Kind: EvacuateZone}, {At: begins, Kind: StartReplica},
			{At: begins + 330*ms + time.Duration(seed%5)*10*ms, Kind: RestoreZone}}})
		warmupRequests += result.WarmupRequests
		if len(result.Violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, result.Violations[0], traceText(result))
		}
	}
	if warmupRequests == 0 {
		t.Error("no request reached a warming replica")
	}
}

// TestLateHeartbeatsAfterEvacuation guards against heartbeats that were sent before the end of an evacuation and arrive after it: the
// replicas have become cold in between. An unacknowledged heartbeat is followed by others while it is in flight.
func TestLateHeartbeatsAfterEvacuation(t *testing.T) {
	warmupRequests := 0
	for _, delay := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		for seed := range seedCount(t, 25) {
			result := Run(lateHeartbeatSchedule(seed, delay))
			warmupRequests += result.WarmupRequests
			if len(result.Violations) > 0 {
				t.Fatalf("heartbeats up to %v late, seed %d: %s\n%s", delay, seed, result.Violations[0], traceText(result))
			}
		}
	}
	t.Logf("%d requests to warming replicas", warmupRequests)
	if warmupRequests == 0 {
		t.Error("no request reached a warming replica")
	}
}

// lateHeartbeatSchedule evacuates zones in turn and restarts or isolates a member around the end of each evacuation.
func lateHeartbeatSchedule(seed uint64, delay time.Duration) Schedule {
	schedule := Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 12, Zones: 2, Replicas: 2, Duration: 42 * time.Second,
		MaxHeartbeatDelay: delay, Actions: []Action{{At: 1200 * time.Millisecond, Kind: PutConfig, Version: 1}}}
	kinds := []FaultKind{KillProcess, IsolateMember, PauseProcess, LosePower}
	for round := range 3 {
		start := time.Duration(4+13*round) * time.Second
		end := start + 7*time.Second + time.Duration(seed%20)*75*time.Millisecond
		schedule.Actions = append(schedule.Actions, Action{At: start, Kind: EvacuateZone, Target: round % 2}, Action{At: end, Kind: RestoreZone, Target: round % 2})
		if seed%2 == 1 {
			schedule.Faults = append(schedule.Faults, Fault{At: end + time.Duration(seed%7)*100*time.Millisecond, For: 1300 * time.Millisecond,
				Kind: kinds[(int(seed)/2+round)%len(kinds)], Target: (int(seed)/8 + round) % 3})
		}
	}
	return schedule
}

// TestWarmupQuotaTransfer checks the bound on the sum of all warm-up quotas while faults make gateways reconnect to
// other members.
func TestWarmupQuotaTransfer(t *testing.T) {
	warmupRequests := 0
	for seed := range seedCount(t, 12) {
		result := Run(quotaTransferSchedule(seed))
		warmupRequests += result.WarmupRequests
		if len(result.Violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, result.Violations[0], traceText(result))
		}
	}
	t.Logf("%d requests to warming replicas", warmupRequests)
	if warmupRequests == 0 {
		t.Error("no request reached a warming replica")
	}
}

func quotaTransferSchedule(seed uint64) Schedule {
	schedule := Schedule{Seed: seed, Members: 3 + 2*int(seed%2), InitialMembers: 3, Gateways: 16, Zones: 2, Replicas: 1, Duration: 30 * time.Second,
		Actions: []Action{{At: 1200 * time.Millisecond, Kind: PutConfig, Version: 1}}}
	for i := range 8 {
		schedule.Actions = append(schedule.Actions, Action{At: time.Duration(3+3*i) * time.Second, Kind: StartReplica, Target: i})
	}
	memberKinds := []FaultKind{KillProcess, PauseProcess, IsolateMember, LosePower, IsolateMemberOneWay, WipeDisk}
	gatewayKinds := []FaultKind{KillGateway, PauseGateway, IsolateGateway}
	for i := range 8 {
		at := time.Duration(3000+3000*i)*time.Millisecond + time.Duration(seed*37%900)*time.Millisecond
		if i%2 == 1 { // all gateways reconnect while the replica warms up
			for j := range schedule.Gateways {
				schedule.Faults = append(schedule.Faults, Fault{At: at + 500*time.Millisecond, For: 1100 * time.Millisecond, Kind: IsolateGateway, Target: j})
			}
		}
		schedule.Faults = append(schedule.Faults, Fault{At: at, For: 1300 * time.Millisecond, Kind: memberKinds[(int(seed)+i)%len(memberKinds)], Target: i % schedule.Members})
		for j := range 3 {
			schedule.Faults = append(schedule.Faults, Fault{At: at + time.Duration(j)*150*time.Millisecond, For: time.Duration(400+500*j) * time.Millisecond,
				Kind: gatewayKinds[(j+i)%3], Target: (int(seed) + 5*i + j) % schedule.Gateways})
		}
	}
	return schedule
}
