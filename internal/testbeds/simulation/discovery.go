package simulation

import (
	"time"
)

const (
	discoveryLag     = 5 * time.Second // a removed member stays in address lists for this long
	maxSeedAddresses = 3
)

// listedMembers returns the members that an address list may contain.
func (c *cluster) listedMembers() (listed []*member) {
	for _, m := range c.members {
		if !m.removed || c.now-m.removedAt < discoveryLag {
			listed = append(listed, m)
		}
	}
	return listed
}

// seedAddresses returns the addresses in a process's settings: the initial members at first, later up to three random
// members, at least one of which has not been removed.
func (c *cluster) seedAddresses(first bool) (seeds []string) {
	if first || c.controlPlaneHistory.spareCount == 0 {
		for _, m := range c.members[:c.schedule.InitialMembers] {
			seeds = append(seeds, m.address)
		}
		return seeds
	}
	listed, hasPermanent := c.listedMembers(), false
	for _, i := range c.random.Perm(len(listed)) {
		m := listed[i]
		if len(seeds) < maxSeedAddresses-1 || len(seeds) == maxSeedAddresses-1 && (hasPermanent || !m.removed) {
			seeds, hasPermanent = append(seeds, m.address), hasPermanent || !m.removed
		}
	}
	return seeds
}

// pickMember returns a random member for a caller to contact.
func (c *cluster) pickMember() *member {
	from := c.members
	if c.schedule.Tolerance > 0 {
		from = c.listedMembers()
	}
	return from[c.random.IntN(len(from))]
}
