// Package maintenance grants maintenance windows to gateway nodes. A schedule requests windows, but only a grant drains a node.
// Windows are granted only while the remaining capacity, after the worst failure to be tolerated, stays above the agreed floors.
// The package performs no I/O and reads no clocks: the head of the chain proposes a new state, and the chain commits it only if
// no other proposal was committed first.
//
// Invariant: a node counts as out of service from its grant until the node itself has reported, with the newest fencing token,
// that it serves again. A failed head, a duplicate grant or clock skew therefore cannot make a node count as serving while it is
// out.
package maintenance

import (
	"fmt"
	"slices"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/fleet"
)

// maxAuditEntries limits the audit log; the oldest entries are dropped.
const maxAuditEntries = 64

// Window is the maintenance window of one node.
type Window struct {
	Node            string      `json:"node" cbor:"1,keyasint"`
	Name            string      `json:"window" cbor:"2,keyasint"`
	Phase           fleet.Phase `json:"phase" cbor:"3,keyasint"`
	FencingToken    uint64      `json:"fence" cbor:"4,keyasint,omitempty"`
	Reason          string      `json:"why,omitempty" cbor:"5,keyasint,omitempty"` // why it is waiting, was granted or was revoked
	DurationSeconds int64       `json:"takes_s" cbor:"6,keyasint,omitempty"`       // time drained; 0: until an operator finishes it
}

// State is the replicated state of the maintenance windows. It is immutable; methods return a new state.
type State struct {
	FencingToken   uint64                  `json:"fence" cbor:"1,keyasint"` // token of the latest grant or return
	AgreedFloors   []capacity.Floor        `json:"agreed" cbor:"2,keyasint,omitempty"`
	FaultTolerance capacity.FaultTolerance `json:"losses" cbor:"3,keyasint,omitempty"`
	DeclaredNodes  []capacity.Node         `json:"nodes,omitempty" cbor:"4,keyasint,omitempty"` // operator-declared capacities of nodes without a measured one
	Windows        []Window                `json:"windows" cbor:"5,keyasint,omitempty"`         // in request order
	Paused         bool                    `json:"paused" cbor:"6,keyasint,omitempty"`          // by an operator: no further windows are granted
	AuditLog       []string                `json:"audit,omitempty" cbor:"7,keyasint,omitempty"`
}

// Node is the current status of a node.
type Node struct {
	capacity.Node
	Serving      bool        `cbor:"11,keyasint,omitempty"` // it has reported recently and accepts requests
	Phase        fleet.Phase `cbor:"12,keyasint,omitempty"` // phase reported by the node
	FencingToken uint64      `cbor:"13,keyasint,omitempty"` // token reported with Phase
}

// Fleet is the status of all known nodes and their load.
type Fleet struct {
	Nodes    []Node
	Load     map[string]map[string]float64 // requests per second, by region and group
	Complete bool                          // whether the nodes of every control-plane member are included
}

// Enabled reports whether maintenance windows are in use.
func (s State) Enabled() bool { return len(s.AgreedFloors) > 0 || len(s.Windows) > 0 }

// IsOut reports whether a node counts as out of service.
func (s State) IsOut(node string) bool {
	i := s.indexOf(node)
	return i >= 0 && s.Windows[i].Phase != fleet.PhaseRequested
}

// Instructions returns the granted windows by node. Each tells its node which phase to reach, with which fencing token.
func (s State) Instructions() map[string]Window {
	instructions := map[string]Window{}
	for _, window := range s.Windows {
		if window.Phase != fleet.PhaseRequested {
			instructions[window.Node] = window
		}
	}
	return instructions
}

// Expire returns a drained node to service because its window's duration is over. It returns false if the node is not drained.
func (s State) Expire(node string) (State, bool) {
	next := s.clone()
	i := next.indexOf(node)
	if i < 0 || next.Windows[i].Phase != fleet.PhaseDrained {
		return s, false
	}
	next.returnToService(i, "its time is over")
	return next, true
}

func (s State) clone() State {
	s.Windows, s.AuditLog = slices.Clone(s.Windows), slices.Clone(s.AuditLog)
	return s
}

// indexOf returns the index of a node's window, or -1 if there is none.
func (s State) indexOf(node string) int {
	return slices.IndexFunc(s.Windows, func(window Window) bool { return window.Node == node })
}

// returnToService instructs the node of a window to serve again, with a new fencing token.
func (s *State) returnToService(i int, reason string) {
	s.FencingToken++
	window := &s.Windows[i]
	window.Phase, window.FencingToken, window.Reason = fleet.PhaseReturning, s.FencingToken, reason
	s.appendAudit("%s is to serve again: %s", window.Node, reason)
}

func (s *State) appendAudit(format string, args ...any) {
	s.AuditLog = append(s.AuditLog, fmt.Sprintf("fence %d: ", s.FencingToken)+fmt.Sprintf(format, args...))
	if excess := len(s.AuditLog) - maxAuditEntries; excess > 0 {
		s.AuditLog = s.AuditLog[excess:]
	}
}
