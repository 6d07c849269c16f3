package requestmodel

// violation is an invariant of the gateway that a step violated.
type violation uint8

const (
	noViolation violation = iota
	wrongClient
	sentPastKeepAlive
	sentWithBufferedBytes
	sentForDisconnectedClient
	sentOnBusyConn
)

func (v violation) String() string {
	return [...]string{
		noViolation:               "",
		wrongClient:               "a response was delivered to the wrong client",
		sentPastKeepAlive:         "a request was sent on a connection past its keep-alive timeout",
		sentWithBufferedBytes:     "a request was sent on a connection with unread bytes",
		sentForDisconnectedClient: "a request was sent for a disconnected client",
		sentOnBusyConn:            "a request was sent on a connection with another request in flight",
	}[v]
}

// check returns the invariant that a state violates, or "".
func (e *explorer) check(s *state) string {
	if s.violation != noViolation {
		return s.violation.String()
	}
	for i, c := range s.clients {
		if !e.bounds.Idempotent[i] && c.executions > 1 {
			return "a non-idempotent request was executed more than once"
		}
		if c.outcome == outcomeNotExecuted && c.executions > 0 {
			return "an executed request was answered with 503"
		}
	}
	return ""
}
