package simulation

import (
	"time"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/fleet"
)

const (
	maxGatewaysDrained = 1 // of a region's three gateways, by agreedFloor
	windowSettleTime   = 9 * time.Second
)

// checkFencingTokenMonotonic: the fencing token of maintenance windows never goes back.
func (c *cluster) checkFencingTokenMonotonic(m *member, state maintenance.State) {
	if state.FencingToken < c.windowState.FencingToken {
		c.violationf("%s: the fencing token of windows went back from %d to %d", m.name, c.windowState.FencingToken, state.FencingToken)
	}
}

// checkDrainedGateways: the windows that are granted at once never take more than the agreed floor leaves.
func (c *cluster) checkDrainedGateways(m *member, state maintenance.State) {
	out := map[string]int{}
	for _, window := range state.Windows {
		if window.Phase != fleet.PhaseRequested {
			out[c.zoneName(c.gatewayByID(window.Node).index)]++
		}
	}
	for _, zone := range sortedKeys(out) {
		if out[zone] > maxGatewaysDrained {
			c.violationf("%s: %d gateways of zone %s are out at once, %d may be", m.name, out[zone], zone, maxGatewaysDrained)
		}
	}
}

// checkWindowSettles: once all has been calm for long, a gateway without a window serves, and no window is still between two
// states.
func (c *cluster) checkWindowSettles(g *gatewayNode) {
	isSettled := c.faultFreeFor(windowSettleTime) && c.now-c.windowsChangedAt >= windowSettleTime && c.now-g.startedAt >= windowSettleTime
	if !c.windowState.Enabled() || !isSettled || g.member == nil {
		return
	}
	window, hasWindow := c.windowState.Instructions()[g.id]
	if !hasWindow && !g.router.IsServing() {
		c.violationf("%s does not serve, though it has no window any more", g.name)
	}
	if hasWindow && (window.Phase == fleet.PhaseDraining || window.Phase == fleet.PhaseReturning) {
		c.violationf("the window of %s is still %s, %.1f s after the last change", g.name, window.Phase, (c.now - c.windowsChangedAt).Seconds())
	}
}
