package simulation

import (
	"slices"

	"zincloft.example/zincloft/messages"
)

// checkFullUpdate checks that a full update, as sent to a gateway that has just connected, includes everything
// acknowledged more than contactTimeout ago. It applies to schedules with a Tolerance.
func (c *cluster) checkFullUpdate(m *member, g *gatewayNode, update *messages.StateUpdate) {
	if c.schedule.Tolerance == 0 || !update.Full || g.member != m {
		return
	}
	c.measureStaleResponse(m)
	if acknowledged := valueAt(c.controlPlaneHistory.acknowledgedVersions, c.now-contactTimeout); update.ConfigVersion < acknowledged {
		c.violationf("%s sent %s a full update with version %d, but %d was acknowledged more than %v before", m.name, g.name, update.ConfigVersion, acknowledged, contactTimeout)
	}
	for _, zone := range sortedKeys(c.evacuatedAt) {
		if c.now > c.evacuatedAt[zone]+contactTimeout && !slices.Contains(update.EvacuatedZones, zone) {
			c.violationf("%s sent %s a full update without the evacuation of zone %s, which was acknowledged at %.2f s", m.name, g.name, zone, c.evacuatedAt[zone].Seconds())
		}
	}
}

// checkGatewaySequenceMonotonic checks that a gateway's register sequence number does not decrease within an
// incarnation.
func (c *cluster) checkGatewaySequenceMonotonic(g *gatewayNode) {
	sequence := g.router.Sequence()
	if sequence < g.sequence {
		c.violationf("%s: register sequence number decreased from %d to %d within an incarnation", g.name, g.sequence, sequence)
		return
	}
	g.sequence = sequence
}

// configApplied checks a gateway's active configuration: its version does not decrease within an incarnation, and it
// is committed and was submitted by an operator.
func (c *cluster) configApplied(g *gatewayNode, version uint64, body string) {
	if version < g.version {
		c.violationf("%s: configuration version decreased from %d to %d within an incarnation", g.name, g.version, version)
	}
	if version == g.version {
		return
	}
	g.version = version
	committedAt, committed := c.committedAt[version]
	if !committed {
		c.violationf("%s applied version %d, which is not committed", g.name, version)
	}
	if _, put := c.versionByBody[body]; !put {
		c.violationf("%s applied a configuration that no operator submitted: %q", g.name, body)
	}
	if c.faultFreeFor(contactTimeout) && c.acknowledgedVersion == version {
		c.result.ConfigPropagationTimes = append(c.result.ConfigPropagationTimes, c.now-committedAt)
	}
}

// checkConfigIsCurrent checks that, without recent faults, a gateway has applied everything acknowledged more than
// configPropagationBound ago.
func (c *cluster) checkConfigIsCurrent(g *gatewayNode) {
	due := max(c.acknowledgedAt, c.faultActiveUntil+contactTimeout) + configPropagationBound
	if c.faultFreeFor(contactTimeout) && c.acknowledgedVersion > 0 && c.now > due && g.version < c.acknowledgedVersion {
		c.violationf("%s still uses version %d, but %d was acknowledged at %.2f s", g.name, g.version, c.acknowledgedVersion, c.acknowledgedAt.Seconds())
	}
}
