//go:build soak

package soak

import "time"

// cutOffOwner returns faults that twice cut a replica from the members, as a kind of fault does, and some gateways that keep sending to it.
func cutOffOwner(kind FaultKind) (faults []Fault) {
	const duration = 6 * time.Second
	for i, at := range []time.Duration{0, 9 * time.Second} {
		faults = append(faults,
			Fault{Kind: kind, At: at, For: duration, Target: i},
			Fault{Kind: PartitionGateway, At: at, For: duration, Target: 0},
			Fault{Kind: PartitionGateway, At: at, For: duration, Target: 2},
		)
	}
	return faults
}

// ownershipMutations each break exclusive ownership.
var ownershipMutations = []Mutation{
	{
		Name:     "keys granted to another replica before the lease on them has ended",
		File:     "controlplane/granter/release.go",
		Old:      "return now >= g.leaseEnd(service, r.From, r.To) && !g.hasGrantInFlight(name, r.From, r.To)",
		New:      "return true",
		Schedule: Schedule{Seed: 5, Faults: cutOffOwner(CutShardReplica)},
		Rule:     RuleOwner,
	},
	{
		Name:     "head of the chain calls replicas without confirmed authority",
		File:     "controlplane/controller/ownership.go",
		Old:      "authorizedUntil = c.owners.authorizedUntil",
		New:      "authorizedUntil = now + granter.AuthorityDuration",
		Schedule: Schedule{Seed: 6, Faults: []Fault{{Kind: SplitHead, For: 10 * time.Second}}},
		Rule:     RuleOwner,
	},
	{
		Name:     "release taken as acknowledged without an answer",
		File:     "controlplane/granter/result.go",
		Old:      "if result.Outcome == ownership.CallAccepted {",
		New:      "if result.Outcome != ownership.CallNotSent {",
		Schedule: Schedule{Seed: 7, Faults: cutOffOwner(RefuseShardCalls)},
		Rule:     RuleOwner,
	},
}
