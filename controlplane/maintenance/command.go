package maintenance

import (
	"errors"
	"fmt"
	"slices"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/fleet"
)

// Verbs of commands.
const (
	VerbAgree  = "agree"  // set the agreed floors, the fault tolerance and the declared nodes
	VerbAsk    = "ask"    // request windows
	VerbFinish = "finish" // return nodes to service
	VerbCancel = "cancel" // remove requested windows; return nodes of granted ones to service
	VerbPause  = "pause"  // stop granting windows
	VerbResume = "resume" // continue granting windows
)

// Command is an operator's command. The fields in use depend on the verb.
type Command struct {
	Verb            string                  `json:"verb" cbor:"1,keyasint"`
	Nodes           []string                `json:"nodes,omitempty" cbor:"2,keyasint,omitempty"`
	WindowName      string                  `json:"window,omitempty" cbor:"3,keyasint,omitempty"`
	AgreedFloors    []capacity.Floor        `json:"agreed,omitempty" cbor:"4,keyasint,omitempty"`
	FaultTolerance  capacity.FaultTolerance `json:"losses" cbor:"5,keyasint,omitempty"`
	DeclaredNodes   []capacity.Node         `json:"told,omitempty" cbor:"6,keyasint,omitempty"`
	DurationSeconds int64                   `json:"takes_s,omitempty" cbor:"7,keyasint,omitempty"`
}

// ErrNoAgreedFloors rejects window requests while no capacity floors are agreed.
var ErrNoAgreedFloors = errors.New("windows: no capacity floors have been agreed")

// WindowExistsError rejects a window request for a node that already has a different window.
type WindowExistsError struct{ Existing Window }

func (e *WindowExistsError) Error() string {
	return fmt.Sprintf("windows: node %s already has window %s in phase %s", e.Existing.Node, e.Existing.Name, e.Existing.Phase)
}

// NotGrantedError rejects finishing a window that has not been granted yet.
type NotGrantedError struct{ Node string }

func (e *NotGrantedError) Error() string {
	return fmt.Sprintf("windows: the window of node %s has not been granted; cancel it instead", e.Node)
}

// UnknownVerbError rejects a command with an unknown verb.
type UnknownVerbError struct{ Verb string }

func (e *UnknownVerbError) Error() string {
	return fmt.Sprintf("windows: verb: unknown verb %q, must be one of agree, ask, finish, cancel, pause, resume", e.Verb)
}

// Apply returns the state after a command. It is idempotent. If a command is rejected, the state is unchanged and the error is
// ErrNoAgreedFloors, a *WindowExistsError, a *NotGrantedError or an *UnknownVerbError.
func (s State) Apply(command Command) (State, error) {
	next := s.clone()
	var err error
	switch command.Verb {
	case VerbAgree:
		next.setAgreement(command)
	case VerbAsk:
		err = next.requestWindows(command)
	case VerbFinish, VerbCancel:
		err = next.endWindows(command)
	case VerbPause, VerbResume:
		next.Paused = command.Verb == VerbPause
		next.appendAudit("%sd by an operator", command.Verb)
	default:
		err = &UnknownVerbError{Verb: command.Verb}
	}
	if err != nil {
		return s, err
	}
	return next, nil
}

func (s *State) setAgreement(command Command) {
	s.AgreedFloors, s.FaultTolerance, s.DeclaredNodes = command.AgreedFloors, command.FaultTolerance, command.DeclaredNodes
	s.appendAudit("%d floors agreed, %d machines and %d zones may be lost meanwhile",
		len(command.AgreedFloors), command.FaultTolerance.Machines, command.FaultTolerance.Zones)
}

func (s *State) requestWindows(command Command) error {
	if len(s.AgreedFloors) == 0 {
		return ErrNoAgreedFloors
	}
	for _, node := range command.Nodes {
		if i := s.indexOf(node); i >= 0 {
			existing := s.Windows[i]
			if existing.Phase == fleet.PhaseReturning || existing.Name != command.WindowName {
				return &WindowExistsError{Existing: existing}
			}
			continue
		}
		s.Windows = append(s.Windows, Window{
			Node:            node,
			Name:            command.WindowName,
			Phase:           fleet.PhaseRequested,
			DurationSeconds: command.DurationSeconds,
		})
	}
	return nil
}

// endWindows finishes or cancels the windows of nodes. Nodes without a window are skipped, which makes retries idempotent.
func (s *State) endWindows(command Command) error {
	for _, node := range command.Nodes {
		i := s.indexOf(node)
		if i < 0 {
			continue
		}
		switch phase := s.Windows[i].Phase; {
		case phase == fleet.PhaseRequested && command.Verb == VerbFinish:
			return &NotGrantedError{Node: node}
		case phase == fleet.PhaseRequested:
			s.Windows = slices.Delete(s.Windows, i, i+1)
		case phase != fleet.PhaseReturning:
			s.returnToService(i, "by an operator: "+command.Verb)
		}
	}
	return nil
}
