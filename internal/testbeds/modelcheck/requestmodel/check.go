package requestmodel

// violation is a rule of the gateway's that a step broke.
type violation uint8

const (
	noViolation violation = iota
	wrongCaller
	sentPastKeepAlive
	sentBehindBytes
	sentForGoneClient
	sentOnBusyConn
)

func (v violation) String() string {
	return [...]string{
		noViolation:       "",
		wrongCaller:       "a response went to another client",
		sentPastKeepAlive: "a request was sent on a connection past its keep-alive timeout",
		sentBehindBytes:   "a request was sent on a connection with bytes behind the response",
		sentForGoneClient: "a request was sent though its client had left",
		sentOnBusyConn:    "a request was sent on a connection that still carried another",
	}[v]
}

// check tells which promise a state breaks; empty: none.
func (e *explorer) check(s *state) string {
	if s.violation != noViolation {
		return s.violation.String()
	}
	for i, c := range s.clients {
		if !e.bounds.Idempotent[i] && c.executions > 1 {
			return "an unsafe request was executed twice"
		}
		if c.outcome == outcomeNotExecuted && c.executions > 0 {
			return "a request that was executed was answered 503"
		}
	}
	return ""
}
