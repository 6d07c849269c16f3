package controller

import (
	"zincloft.example/zincloft/messages"
)

// Actions are what the caller of Step must do, in the order of their kinds.
type Actions struct {
	Send             []Send        `cbor:"1,keyasint,omitempty"`
	Write            []byte        `cbor:"2,keyasint,omitempty"` // to be put on stable storage; a WriteResult event must follow
	Publish          []Publication `cbor:"3,keyasint,omitempty"`
	Responses        []Response    `cbor:"4,keyasint,omitempty"`
	CloseStreams     []uint64      `cbor:"5,keyasint,omitempty"`
	LogEvents        []LogEvent    `cbor:"6,keyasint,omitempty"`
	ShutdownComplete bool          `cbor:"7,keyasint,omitempty"` // after Shutdown: the other members no longer need this one
}

// Send is a message for the member at an address.
type Send struct {
	To      string  `cbor:"1,keyasint"`
	Message Message `cbor:"2,keyasint"`
}

// Publication is a state update for the gateways of some streams.
type Publication struct {
	Streams []uint64             `cbor:"1,keyasint"`
	Update  messages.StateUpdate `cbor:"2,keyasint"`
}

// Response ends the call of a replica or an operator. Status is one of HTTP's.
type Response struct {
	Token   uint64 `cbor:"1,keyasint"` // the call's
	Status  int    `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint,omitempty"` // where to call instead, or where a replica is to send its further heartbeats
	Reason  string `cbor:"-"`                    // of a refusal, for the log
}

// Reasons of refusals that are not errors of the coordinator.
const (
	reasonStalled  = "this member has stalled, the call may be older than it seems"
	reasonNoQuorum = "no contact with a quorum of the control plane"

	reasonInstancesFull = "as many instances are remembered as there may be"
)

// LogEvent is a line for the log.
type LogEvent struct {
	Warning bool       `cbor:"1,keyasint,omitempty"`
	Name    string     `cbor:"2,keyasint"`
	Fields  []LogField `cbor:"3,keyasint,omitempty"`
}

// LogField is one key=value of a LogEvent.
type LogField struct {
	Key   string `cbor:"1,keyasint"`
	Value any    `cbor:"2,keyasint"`
}

// takeActions returns and clears what has been collected since the last event.
func (c *Controller) takeActions() Actions {
	actions := c.actions
	c.actions = Actions{}
	return actions
}

func (c *Controller) respond(response Response) {
	c.actions.Responses = append(c.actions.Responses, response)
}

// send sends a message to a member, unless it is this one or its address isn't known.
func (c *Controller) send(to string, message Message) {
	if to != c.coordinator.Self().Addr && to != "" {
		c.actions.Send = append(c.actions.Send, Send{to, message})
	}
}

func (c *Controller) closeStream(id uint64) {
	c.actions.CloseStreams = append(c.actions.CloseStreams, id)
}

// logInfo and logWarning write a line to the log; keysAndValues alternate, as for log/slog.
func (c *Controller) logInfo(name string, keysAndValues ...any) {
	c.logEvent(LogEvent{Name: name}, keysAndValues)
}

func (c *Controller) logWarning(name string, keysAndValues ...any) {
	c.logEvent(LogEvent{Warning: true, Name: name}, keysAndValues)
}

func (c *Controller) logEvent(event LogEvent, keysAndValues []any) {
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		event.Fields = append(event.Fields, LogField{keysAndValues[i].(string), keysAndValues[i+1]})
	}
	c.actions.LogEvents = append(c.actions.LogEvents, event)
}
