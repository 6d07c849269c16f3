package simulation

import (
	"time"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/fleet"
)

const (
	maxGatewaysDrained = 1 // of the three gateways in a region, given agreedFloor
	windowSettleTime   = 9 * time.Second
)

// checkFencingTokenMonotonic checks that the fencing token of maintenance windows does not decrease.
func (c *cluster) checkFencingTokenMonotonic(m *member, state maintenance.State) {
	if state.FencingToken < c.windowState.FencingToken {
		c.violationf("%s: fencing token of maintenance windows decreased from %d to %d", m.name, c.windowState.FencingToken, state.FencingToken)
	}
}

// checkDrainedGateways checks that concurrently granted windows leave the agreed capacity floor.
func (c *cluster) checkDrainedGateways(m *member, state maintenance.State) {
	out := map[string]int{}
	for _, window := range state.Windows {
		if window.Phase != fleet.PhaseRequested {
			out[c.zoneName(c.gatewayByID(window.Node).index)]++
		}
	}
	for _, zone := range sortedKeys(out) {
		if out[zone] > maxGatewaysDrained {
			c.violationf("%s: %d gateways of zone %s have a maintenance window at the same time, the limit is %d", m.name, out[zone], zone, maxGatewaysDrained)
		}
	}
}

// checkWindowSettles checks that, after a long time without faults or changes, a gateway without a window serves and
// no window is in a transitional phase.
func (c *cluster) checkWindowSettles(g *gatewayNode) {
	isSettled := c.faultFreeFor(windowSettleTime) && c.now-c.windowsChangedAt >= windowSettleTime && c.now-g.startedAt >= windowSettleTime
	if !c.windowState.Enabled() || !isSettled || g.member == nil {
		return
	}
	window, hasWindow := c.windowState.Instructions()[g.id]
	if !hasWindow && !g.router.IsServing() {
		c.violationf("%s does not serve after its maintenance window has ended", g.name)
	}
	if hasWindow && (window.Phase == fleet.PhaseDraining || window.Phase == fleet.PhaseReturning) {
		c.violationf("the maintenance window of %s is still %s %.1f s after the last change", g.name, window.Phase, (c.now - c.windowsChangedAt).Seconds())
	}
}
