package simulation

import (
	"slices"

	"zincloft.example/zincloft/messages"
)

// checkFirstUpdate: what a member sends a gateway that is new to it is nothing older than what was acknowledged longer than
// contactTimeout ago. It is checked in schedules with a Tolerance.
func (c *cluster) checkFirstUpdate(m *member, g *gatewayNode, update *messages.StateUpdate) {
	if c.schedule.Tolerance == 0 || !update.Full || g.member != m {
		return
	}
	c.measureStaleResponse(m)
	if floor := valueAt(c.coreHistory.acknowledgedVersions, c.now-contactTimeout); update.ConfigVersion < floor {
		c.violationf("%s sends %s, which is new to it, version %d; %d was acknowledged over %v before", m.name, g.name, update.ConfigVersion, floor, contactTimeout)
	}
	for _, zone := range sortedKeys(c.evacuatedAt) {
		if c.now > c.evacuatedAt[zone]+contactTimeout && !slices.Contains(update.EvacuatedZones, zone) {
			c.violationf("%s sends %s, which is new to it, nothing of zone %s, whose evacuation was acknowledged at %.2f s", m.name, g.name, zone, c.evacuatedAt[zone].Seconds())
		}
	}
}

// checkGatewaySequenceMonotonic: within an incarnation, a gateway never goes back to an older register.
func (c *cluster) checkGatewaySequenceMonotonic(g *gatewayNode) {
	sequence := g.router.Sequence()
	if sequence < g.sequence {
		c.violationf("%s went back from register %d to %d within an incarnation", g.name, g.sequence, sequence)
		return
	}
	g.sequence = sequence
}

// configApplied checks the configuration that a gateway has in force: within an incarnation it never goes back to an older
// version, and it has nothing in force that is not committed or that no operator put.
func (c *cluster) configApplied(g *gatewayNode, version uint64, body string) {
	if version < g.version {
		c.violationf("%s went back from version %d to %d within an incarnation", g.name, g.version, version)
	}
	if version == g.version {
		return
	}
	g.version = version
	committedAt, committed := c.committedAt[version]
	if !committed {
		c.violationf("%s has version %d in force, which is not committed", g.name, version)
	}
	if _, put := c.versionByBody[body]; !put {
		c.violationf("%s has something in force that nobody put: %q", g.name, body)
	}
	if c.faultFreeFor(contactTimeout) && c.acknowledgedVersion == version {
		c.result.ConfigPropagationTimes = append(c.result.ConfigPropagationTimes, c.now-committedAt)
	}
}

// checkConfigIsCurrent: a gateway has in force what was acknowledged longer than configPropagationBound ago, if all has been
// calm since.
func (c *cluster) checkConfigIsCurrent(g *gatewayNode) {
	due := max(c.acknowledgedAt, c.faultActiveUntil+contactTimeout) + configPropagationBound
	if c.faultFreeFor(contactTimeout) && c.acknowledgedVersion > 0 && c.now > due && g.version < c.acknowledgedVersion {
		c.violationf("%s still has version %d in force, %d was acknowledged at %.2f s", g.name, g.version, c.acknowledgedVersion, c.acknowledgedAt.Seconds())
	}
}
