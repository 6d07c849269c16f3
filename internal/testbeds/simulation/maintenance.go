package simulation

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/fleet"
)

const (
	agreedFloor   = 20.0 // requests a second that must be carried in each region, also after the loss of a gateway; each carries some 80
	windowName    = "work"
	windowsRecord = "windows" // of the register
)

// windowCommand is what an action asks of maintenance windows.
func (c *cluster) windowCommand(action Action) *maintenance.Command {
	command := &maintenance.Command{Verb: string(action.Kind), WindowName: windowName}
	if action.Kind == SetWindowFloors {
		for i := range generatedZones {
			command.AgreedFloors = append(command.AgreedFloors, capacity.Floor{Region: regionName(i), Group: capacity.Lookups, Minimum: agreedFloor})
		}
		command.FaultTolerance.Machines = 1
		return command
	}
	if action.Target < len(c.gateways) {
		command.Nodes = []string{c.gateways[action.Target].id}
	}
	return command
}

func regionName(i int) string { return fmt.Sprintf("r%d", i) }

// windowsCommitted checks the maintenance windows in a committed register, and notes them.
func (c *cluster) windowsCommitted(m *member, register chainreplication.Register) {
	record, ok := register.Records[windowsRecord]
	if !ok || record.Revision <= c.windowRevision {
		return
	}
	var state maintenance.State
	if err := cbor.Unmarshal(record.Value, &state); err != nil {
		c.violationf("%s holds windows that cannot be read: %v", m.name, err)
		return
	}
	c.checkFencingTokenMonotonic(m, state)
	for _, window := range state.Windows {
		before := c.windowState.Instructions()[window.Node]
		if before.Phase != window.Phase && window.Phase != fleet.PhaseRequested {
			c.windowChanged(m, window)
		}
	}
	c.checkDrainedGateways(m, state)
	c.windowState, c.windowRevision, c.windowsChangedAt = state, record.Revision, c.now
}

// windowChanged notes that a window has come to another phase.
func (c *cluster) windowChanged(m *member, window maintenance.Window) {
	c.tracef("%s: the window of %s is %s (fencing token %d) %s", m.name, c.gatewayByID(window.Node).name, window.Phase, window.FencingToken, window.Reason)
	switch window.Phase {
	case fleet.PhaseDrained:
		c.result.DrainedWindows++
	case fleet.PhaseDraining:
		c.injectNextDeferred(&c.onWindowGrant, m)
	}
}

// gatewayByID is the gateway that makes itself known by a name. There must be one.
func (c *cluster) gatewayByID(id string) *gatewayNode {
	return c.gateways[slices.IndexFunc(c.gateways, func(g *gatewayNode) bool { return g.id == id })]
}

// openWindowIndex is the index in Result.RequestLatencies of a request that is forwarded now.
func (c *cluster) openWindowIndex() int {
	if len(c.windowState.Instructions()) > 0 {
		return 1
	}
	return 0
}
