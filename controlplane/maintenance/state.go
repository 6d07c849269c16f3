// Package maintenance grants maintenance windows to nodes of the gateway. A schedule says when a window is wanted; only a grant
// drains a node, and all grants together never leave less than the agreed capacity after the worst loss that must be survived.
// The package is free of I/O and of clocks: a decider holds a copy of the state, proposes the next one, and the chain commits it
// only if no other proposal came first.
//
// Invariant: a node counts as out from its grant until the node itself has reported, under the newest fencing token, that it
// serves again. So neither a dead decider, nor a grant that is delivered twice, nor clocks that differ can have it counted in
// while it is out.
package maintenance

import (
	"fmt"
	"slices"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/fleet"
)

// maxAuditEntries bounds the audit log; the oldest entries are dropped.
const maxAuditEntries = 64

// Window is one node's maintenance window.
type Window struct {
	Node            string      `json:"node" cbor:"1,keyasint"`
	Name            string      `json:"window" cbor:"2,keyasint"`
	Phase           fleet.Phase `json:"phase" cbor:"3,keyasint"`
	FencingToken    uint64      `json:"fence" cbor:"4,keyasint,omitempty"`
	Reason          string      `json:"why,omitempty" cbor:"5,keyasint,omitempty"` // for which it waits, was granted, or was revoked
	DurationSeconds int64       `json:"takes_s" cbor:"6,keyasint,omitempty"`       // from drained until it is to serve again; 0: until an operator finishes it
}

// State is what the control plane commits. A state is never changed once made; its methods return another one.
type State struct {
	FencingToken   uint64                  `json:"fence" cbor:"1,keyasint"` // of the newest grant or return
	AgreedFloors   []capacity.Floor        `json:"agreed" cbor:"2,keyasint,omitempty"`
	FaultTolerance capacity.FaultTolerance `json:"losses" cbor:"3,keyasint,omitempty"`
	DeclaredNodes  []capacity.Node         `json:"nodes,omitempty" cbor:"4,keyasint,omitempty"` // capacities by operators, where none was measured
	Windows        []Window                `json:"windows" cbor:"5,keyasint,omitempty"`         // in the order in which they were requested
	Paused         bool                    `json:"paused" cbor:"6,keyasint,omitempty"`          // by an operator: nothing more is granted
	AuditLog       []string                `json:"audit,omitempty" cbor:"7,keyasint,omitempty"`
}

// Node is what the control plane knows of a node now.
type Node struct {
	capacity.Node
	Serving      bool        `cbor:"11,keyasint,omitempty"` // it was heard lately and takes requests
	Phase        fleet.Phase `cbor:"12,keyasint,omitempty"` // as it reported itself
	FencingToken uint64      `cbor:"13,keyasint,omitempty"` // under which it reported its phase
}

// Fleet is all nodes, and the load on them.
type Fleet struct {
	Nodes    []Node
	Load     map[string]map[string]float64 // requests a second, by region and group
	Complete bool                          // the nodes of every control-plane member are in it
}

// Enabled reports whether maintenance windows are used at all.
func (s State) Enabled() bool { return len(s.AgreedFloors) > 0 || len(s.Windows) > 0 }

// IsOut reports whether a node counts as out.
func (s State) IsOut(node string) bool {
	i := s.indexOf(node)
	return i >= 0 && s.Windows[i].Phase != fleet.PhaseRequested
}

// Instructions are the windows that nodes are to obey, by node: the phase that each is to reach, and its fencing token.
func (s State) Instructions() map[string]Window {
	instructions := map[string]Window{}
	for _, window := range s.Windows {
		if window.Phase != fleet.PhaseRequested {
			instructions[window.Node] = window
		}
	}
	return instructions
}

// Expire has a drained node serve again because its window's time is over. It returns false where the node is not drained.
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

// indexOf returns the index of a node's window, or -1.
func (s State) indexOf(node string) int {
	return slices.IndexFunc(s.Windows, func(window Window) bool { return window.Node == node })
}

// returnToService has the node of a window serve again, under a new fencing token.
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
