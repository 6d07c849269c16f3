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
		play     func(s *ownerScenario)
		violates bool
	}{
		"both begin": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, true},
		"only one begins": {func(s *ownerScenario) {
			s.checkOwner(s.first, 0)
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.now += time.Millisecond
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.second, 0)
		}, false},
		"a slow clock keeps the lease": {func(s *ownerScenario) {
			s.first.shards.clockRate = slowestClock
			s.grantAll(s.first, 1, true)
			s.now += 1010 * time.Millisecond
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, true},
		"after the end of the lease": {func(s *ownerScenario) {
			s.first.shards.clockRate = slowestClock
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.now += 1021 * time.Millisecond
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, false},
		"after a release": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.release(s.first, ownership.Call{To: ownership.MaxKey, Token: 2}, func(string) {})
			s.grantAll(s.second, 3, true)
			s.checkOwner(s.second, 0)
		}, false},
		"a renewal after a release with the same token": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.release(s.first, ownership.Call{To: ownership.MaxKey, Token: 1}, func(string) {})
			s.grantAll(s.second, 2, true)
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, true},
		"a renewal after a release with a higher token": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.release(s.first, ownership.Call{To: ownership.MaxKey, Token: 2}, func(string) {})
			s.grantAll(s.second, 3, true)
			if outcome := s.grantAll(s.first, 1, true); outcome != ownership.CallFenced {
				s.violationf("the renewal ended as %d", outcome)
			}
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, false},
		"a grant that is not counted": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, false)
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.first, 0)
			s.checkOwner(s.second, 0)
		}, false},
		"a crashed replica": {func(s *ownerScenario) {
			s.grantAll(s.first, 1, true)
			s.checkOwner(s.first, 0)
			s.endReplica(s.first)
			s.grantAll(s.second, 2, true)
			s.checkOwner(s.second, 0)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			scenario := newOwnerScenario()
			scenario.now = time.Second
			test.play(scenario)
			if violations := strings.Join(scenario.result.Violations, "; "); (violations != "") != test.violates {
				t.Errorf("violations: %q, want some: %v", violations, test.violates)
			}
		})
	}
}
