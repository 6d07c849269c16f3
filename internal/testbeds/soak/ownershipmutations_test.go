//go:build soak

package soak

import "time"

// ownershipMutations each break exclusive ownership. A gateway that is cut off keeps sending to the former owner.
var ownershipMutations = []Mutation{
	{
		Name: "keys granted to another replica before the lease on them has ended",
		File: "controlplane/granter/release.go",
		Old:  "return now >= g.leaseEnd(service, r.From, r.To) && !g.hasGrantInFlight(name, r.From, r.To)",
		New:  "return true",
		Schedule: Schedule{Seed: 5, Faults: []Fault{
			{Kind: CutShardReplica, For: 6 * time.Second, Target: 0},
			{Kind: PartitionGateway, For: 6 * time.Second, Target: 0},
		}},
		Rule: RuleOwner,
	},
	{
		Name:     "head of the chain calls replicas without confirmed authority",
		File:     "controlplane/controller/ownership.go",
		Old:      "	if c.owners.authorityView == view.Number && !c.rejectsCalls(now) {\n		authorizedUntil = c.owners.authorizedUntil\n	}\n",
		New:      "	authorizedUntil = now + granter.AuthorityDuration\n",
		Schedule: Schedule{Seed: 6, Faults: []Fault{{Kind: SplitHead, For: 10 * time.Second}}},
		Rule:     RuleOwner,
	},
	{
		Name: "release taken as acknowledged without an answer",
		File: "controlplane/granter/result.go",
		Old:  "if result.Outcome == ownership.CallAccepted {",
		New:  "if result.Outcome != ownership.CallNotSent {",
		Schedule: Schedule{Seed: 7, Faults: []Fault{
			{Kind: RefuseShardCalls, For: 6 * time.Second, Target: 0},
			{Kind: PartitionGateway, For: 6 * time.Second, Target: 0},
		}},
		Rule: RuleOwner,
	},
}
