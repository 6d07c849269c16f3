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
	agreedFloor   = 20.0 // requests per second that each region must carry, also after the loss of a gateway; a gateway carries about 80
	windowName    = "work"
	windowsRecord = "windows" // key in chainreplication.Register.Records
)

// windowCommand returns the maintenance command of an action.
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

// windowsCommitted checks and records the maintenance windows in a committed register.
func (c *cluster) windowsCommitted(m *member, register chainreplication.Register) {
	record, ok := register.Records[windowsRecord]
	if !ok || record.Revision <= c.windowRevision {
		return
	}
	var state maintenance.State
	if err := cbor.Unmarshal(record.Value, &state); err != nil {
		c.violationf("%s: cannot decode maintenance windows: %v", m.name, err)
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

// windowChanged records that a window has entered another phase.
func (c *cluster) windowChanged(m *member, window maintenance.Window) {
	c.tracef("%s: maintenance window of %s is %s (fencing token %d) %s", m.name, c.gatewayByID(window.Node).name, window.Phase, window.FencingToken, window.Reason)
	switch window.Phase {
	case fleet.PhaseDrained:
		c.result.DrainedWindows++
	case fleet.PhaseDraining:
		c.injectNextDeferred(&c.onWindowGrant, m)
	}
}

// gatewayByID returns the gateway with an ID, which must exist.
func (c *cluster) gatewayByID(id string) *gatewayNode {
	return c.gateways[slices.IndexFunc(c.gateways, func(g *gatewayNode) bool { return g.id == id })]
}

// openWindowIndex returns the index in Result.RequestLatencies for a request that is forwarded now.
func (c *cluster) openWindowIndex() int {
	if len(c.windowState.Instructions()) > 0 {
		return 1
	}
	return 0
}
