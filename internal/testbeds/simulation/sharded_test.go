package simulation

import (
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// TestShardedServiceEarnsItsShare guards against a sharded service that serves nobody because its replicas hold no keys.
func TestShardedServiceEarnsItsShare(t *testing.T) {
	t.Parallel()
	result := Run(Schedule{Seed: 1, Members: 3, InitialMembers: 3, Tolerance: 1, Gateways: 2, Replicas: 2, ShardedReplicas: 6, Zones: 3, Duration: 20 * time.Second,
		Actions: []Action{{At: firstPutTime, Kind: PutConfig, Version: 1}}})
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if result.Sharded.CalmRequests < keyedBlock {
		t.Errorf("%d requests were judged, want at least %d", result.Sharded.CalmRequests, keyedBlock)
	}
}

// ownerScenario starts two sharded replicas and calls them without a granter.
type ownerScenario struct {
	*cluster
	first, second *replica
}

func newOwnerScenario() *ownerScenario {
	c := newCluster(Schedule{Members: 1, InitialMembers: 1, Tolerance: 1, ShardedReplicas: 2, Zones: 1}, nil)
	c.startSharding()
	return &ownerScenario{c, c.replicas[0], c.replicas[1]}
}

// grantAll grants all keys for a second.
func (s *ownerScenario) grantAll(r *replica, token uint64, counted bool) ownership.CallOutcome {
	return s.grant(r, ownership.Call{Kind: ownership.CallGrant, To: ownership.MaxKey, Token: token, Hold: time.Second}, s.now, counted)
}

// TestOwnerInvariant checks which leases and requests the watcher of owners takes for a violation.
func TestOwnerInvariant(t *testing.T) {
	for name, test := range map[string]struct {
		play       func(s *ownerScenario)
		doublyHeld bool // a key is granted while another replica holds it
		violates   bool // both replicas begin requests on it
	}{
		"both begin": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, true, true},
		"only one begins": {func(s *ownerScenario) {
			s.checkOwner(s.first, 0)
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.now += time.Millisecond
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.second, 0)
		}, true, false},
		"a slow clock keeps the lease": {func(s *ownerScenario) {
			s.first.shards.clockRate = slowestClock
			s.grantAll(s.first, 1, true)
			s.now += 1010 * time.Millisecond
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, true, true},
		"after the end of the lease": {func(s *ownerScenario) {
			s.first.shards.clockRate = slowestClock
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.now += 1021 * time.Millisecond
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, false, false},
		"after a release": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.release(s.first, ownership.Call{To: ownership.MaxKey, Token: 2}, func(string) {})
			s.grantAll(s.second, 3, true)
			s.checkOwner(s.second, 0)
		}, false, false},
		"a renewal after a release with the same token": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.release(s.first, ownership.Call{To: ownership.MaxKey, Token: 1}, func(string) {})
			s.grantAll(s.second, 2, true)
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, true, true},
		"a renewal after a release with a higher token": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.release(s.first, ownership.Call{To: ownership.MaxKey, Token: 2}, func(string) {})
			s.grantAll(s.second, 3, true)
			if outcome := s.grantAll(s.first, 1, true); outcome != ownership.CallFenced {
				s.violationf("the renewal ended as %d", outcome)
			}
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, false, false},
		"a grant that is not counted": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, false)
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, false, false},
		"a crashed replica": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.endReplica(s.first)
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.second, 0)
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			scenario := newOwnerScenario()
			scenario.now = time.Second
			test.play(scenario)
			violations := strings.Join(scenario.result.Violations, "; ")
			if strings.Contains(violations, "OWNER") != test.violates || (scenario.result.Sharded.DoublyHeldKeys > 0) != test.doublyHeld {
				t.Errorf("violations: %q, want a key held twice: %v, OWNER: %v", violations, test.doublyHeld, test.violates)
			}
			if !test.violates && !test.doublyHeld && violations != "" {
				t.Errorf("violations: %q, want none", violations)
			}
		})
	}
}

// TestShardedFaults runs schedules in which the members that grant keys, their calls and the replicas that hold keys fail. SIMULATION_SEEDS sets the
// number of seeds, SIMULATION_FROM the first, SIMULATION_MEMBERS restricts the run, and SIMULATION_SHOW sets how many failing schedules are shrunk.
func TestShardedFaults(t *testing.T) {
	t.Parallel()
	from, n := uint64(environmentInt(t, "SIMULATION_FROM", 0)), seedCount(t, 12)
	var totals ShardedResult
	failed := 0
	for _, members := range []int{3, 5} {
		if environmentInt(t, "SIMULATION_MEMBERS", members) != members {
			continue
		}
		for seed := from; seed < from+n; seed++ {
			schedule := GenerateSharded(seed, members)
			result, violation := runChecked(t, schedule)
			totals.add(result.Sharded)
			if violation == "" {
				continue
			}
			failed++
			t.Errorf("%d members, seed %d: %s", members, seed, violation)
			if failed <= environmentInt(t, "SIMULATION_SHOW", 1) {
				reportShrunk(t, schedule)
			}
		}
	}
	t.Logf("seeds %d to %d: %+v", from, from+n-1, totals)
	if totals.KeyMoves == 0 || totals.UncountedGrants == 0 || totals.Fenced == 0 || totals.CalmRequests == 0 {
		t.Errorf("the schedules don't cover all outcomes: %+v", totals)
	}
}
