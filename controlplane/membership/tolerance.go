package membership

import (
	"cmp"
	"maps"
	"slices"

	"zincloft.example/zincloft/fleet"
)

// minVoters is the minimum number of voters that remain when voters are removed without replacement.
const minVoters = 3

// FaultTolerance states what the deployment may lose at the same time, disks included, without losing anything that was
// acknowledged: a number of machines, or of zones, or of regions.
//
// Silence shows that a machine cannot be reached, not that its disk is lost. So the disks that are lost may be others than those of
// the silent voters, and the voters that remain after a removal must tolerate the losses by themselves. See
// docs/design/control-plane.md, rule 3.
type FaultTolerance struct {
	Machines int `cbor:"1,keyasint,omitempty"`
	Zones    int `cbor:"2,keyasint,omitempty"`
	Regions  int `cbor:"3,keyasint,omitempty"`

	// RegionByZone is needed only if Regions is set.
	RegionByZone map[string]string `cbor:"4,keyasint,omitempty"`
}

// MinVoters returns the smallest number of voters of which a quorum is left after the loss of the tolerated number of machines.
func (t FaultTolerance) MinVoters() int { return max(2*t.Machines+1, minVoters) }

// domainOf names the zone or region of a voter, or is empty if that is unknown.
type domainOf func(fleet.Member) string

// keepsTolerance reports whether the remaining voters tolerate the loss of a number of failure domains, unless the present ones
// do not either.
func keepsTolerance(present, remaining []fleet.Member, losses int, domain domainOf) bool {
	return toleratesLoss(remaining, losses, domain) || !toleratesLoss(present, losses, domain)
}

// toleratesLoss reports whether a quorum of the voters is left after the loss of the given number of failure domains with the
// most voters. A voter whose domain is unknown counts as a domain of its own.
func toleratesLoss(voters []fleet.Member, losses int, domain domainOf) bool {
	votersByDomain := map[string]int{}
	for _, voter := range voters {
		votersByDomain[cmp.Or(domain(voter), voter.ID)]++
	}
	counts := slices.Sorted(maps.Values(votersByDomain))
	left := 0
	for _, count := range counts[:max(len(counts)-losses, 0)] {
		left += count
	}
	return left >= QuorumOf(len(voters))
}

// SetFaultTolerance sets what the deployment may lose at the same time.
func (node *Node) SetFaultTolerance(tolerance FaultTolerance) { node.tolerance = tolerance }

// FaultTolerance returns what the deployment may lose at the same time.
func (node *Node) FaultTolerance() FaultTolerance { return node.tolerance }

// IsRemovableVoter reports whether the view has an even number of voters and one of them may be removed without replacement once
// it has left or failed.
func (node *Node) IsRemovableVoter(id string) bool {
	voters := node.state.View.Voters
	index := indexOfID(voters, id)
	return index >= 0 && len(voters)%2 == 0 && node.allowsRemoval(voters, withoutVoter(voters, index))
}

// allowsRemoval reports whether the voters may be reduced to the remaining ones. The remaining voters must tolerate the loss of
// the machines, and that of the zones and of the regions if the present voters do.
func (node *Node) allowsRemoval(present, remaining []fleet.Member) bool {
	tolerance := node.tolerance
	if len(remaining) < tolerance.MinVoters() {
		return false
	}
	region := func(m fleet.Member) string { return tolerance.RegionByZone[node.zoneOf(m)] }
	return keepsTolerance(present, remaining, tolerance.Zones, node.zoneOf) && keepsTolerance(present, remaining, tolerance.Regions, region)
}

// zoneOf returns the zone of a member as it last described itself, because the members of an initial view have none.
func (node *Node) zoneOf(m fleet.Member) string {
	if m.ID == node.self.ID {
		return node.self.Zone
	}
	if p := node.peers[m.ID]; p != nil {
		return p.Zone
	}
	return m.Zone
}

// withoutVoter returns the voters without the one at the index.
func withoutVoter(voters []fleet.Member, index int) []fleet.Member {
	return slices.Delete(slices.Clone(voters), index, index+1)
}
