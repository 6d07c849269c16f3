package simulation

import (
	"time"
)

const (
	discoveryLag     = 5 * time.Second // a member that was removed stays in lists of addresses for so long
	maxSeedAddresses = 3
)

// listedMembers are the members that a list of addresses may hold.
func (c *cluster) listedMembers() (listed []*member) {
	for _, m := range c.members {
		if !m.removed || c.now-m.removedAt < discoveryLag {
			listed = append(listed, m)
		}
	}
	return listed
}

// seedAddresses are the addresses in a settings file: at the first start the same for all, later any three, at least one of
// them of a member that is not gone.
func (c *cluster) seedAddresses(first bool) (seeds []string) {
	if first || c.coreHistory.spareCount == 0 {
		for _, m := range c.members[:c.schedule.InitialMembers] {
			seeds = append(seeds, m.address)
		}
		return seeds
	}
	listed, hasLasting := c.listedMembers(), false
	for _, i := range c.random.Perm(len(listed)) {
		m := listed[i]
		if len(seeds) < maxSeedAddresses-1 || len(seeds) == maxSeedAddresses-1 && (hasLasting || !m.removed) {
			seeds, hasLasting = append(seeds, m.address), hasLasting || !m.removed
		}
	}
	return seeds
}

// pickMember is a member that a caller picks at random.
func (c *cluster) pickMember() *member {
	from := c.members
	if c.schedule.Tolerance > 0 {
		from = c.listedMembers()
	}
	return from[c.random.IntN(len(from))]
}
