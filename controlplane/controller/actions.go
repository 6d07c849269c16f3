package controller

import (
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/messages"
)

// Actions are the side effects that the caller of Step must perform, in field order. LogEvents may be written at any time.
type Actions struct {
	Send             []Send        `cbor:"1,keyasint,omitempty"`
	Write            []byte        `cbor:"2,keyasint,omitempty"` // to be written to stable storage; the caller then reports a WriteResult event
	Publish          []Publication `cbor:"3,keyasint,omitempty"`
	Responses        []Response    `cbor:"4,keyasint,omitempty"`
	CloseStreams     []uint64      `cbor:"5,keyasint,omitempty"`
	LogEvents        []LogEvent    `cbor:"6,keyasint,omitempty"`
	ShutdownComplete bool          `cbor:"7,keyasint,omitempty"` // after Shutdown: the process may exit

	// Calls are made to replicas of sharded services. Each ends with one CallResult event.
	Calls []ownership.Call `cbor:"8,keyasint,omitempty"`
}

// Send is a message to the control-plane member at an address.
type Send struct {
	To      string  `cbor:"1,keyasint"`
	Message Message `cbor:"2,keyasint"`
}

// Publication is a state update for a set of gateway streams.
type Publication struct {
	Streams []uint64             `cbor:"1,keyasint"`
	Update  messages.StateUpdate `cbor:"2,keyasint"`
}

// Response completes a call from a replica or an operator. Status is an HTTP status code.
type Response struct {
	Token   uint64 `cbor:"1,keyasint"` // token of the call, from its Event
	Status  int    `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint,omitempty"` // where to redirect the call, or where a replica should send further heartbeats
	Reason  string `cbor:"-"`                    // why the call was rejected; logged only
}

// Reasons for rejecting a call that do not come from the coordinator.
const (
	reasonStalled       = "this member has just resumed after a stall; the call may predate it"
	reasonNoQuorum      = "no contact with a quorum of the control plane"
	reasonInstanceLimit = "the limit of tracked instances has been reached"
)

// LogEvent is a structured log entry.
type LogEvent struct {
	Warning bool       `cbor:"1,keyasint,omitempty"`
	Name    string     `cbor:"2,keyasint"`
	Fields  []LogField `cbor:"3,keyasint,omitempty"`
}

// LogField is a key-value pair of a LogEvent.
type LogField struct {
	Key   string `cbor:"1,keyasint"`
	Value any    `cbor:"2,keyasint"`
}

// takeActions returns and clears the actions collected for the current event.
func (c *Controller) takeActions() Actions {
	actions := c.actions
	c.actions = Actions{}
	return actions
}

func (c *Controller) respond(response Response) {
	c.actions.Responses = append(c.actions.Responses, response)
}

// send queues a message to a member. Messages to this member itself or to an empty address are dropped.
func (c *Controller) send(to string, message Message) {
	if to != c.coordinator.Self().Addr && to != "" {
		c.actions.Send = append(c.actions.Send, Send{to, message})
	}
}

func (c *Controller) closeStream(id uint64) {
	c.actions.CloseStreams = append(c.actions.CloseStreams, id)
}

// logInfo queues a log entry; keysAndValues alternate, as for log/slog.
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
