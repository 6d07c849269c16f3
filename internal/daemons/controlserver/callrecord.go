package controlserver

import (
	"fmt"
	"net/http"
	"time"
)

const (
	callLogRate  = 10 // log lines a second about refused calls
	callLogBurst = 50 // such lines at once

	maxLoggedTargetBytes = 64 // of what a call is about, which the caller chose
)

// callRecorder notes how a call is answered.
type callRecorder struct {
	http.ResponseWriter
	call      string // one of the known names
	target    string
	startedAt time.Time
	status    int
	reason    string // of a refusal, as the controller gives it
}

// WriteHeader implements http.ResponseWriter.
func (c *callRecorder) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (c *callRecorder) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// setRefusalReason notes why a call is refused, where w records its call.
func setRefusalReason(w http.ResponseWriter, reason string) {
	if recorder, ok := w.(*callRecorder); ok {
		recorder.reason = reason
	}
}

// recordCall counts an answered call and logs a refused one, at a bounded rate.
func (s *Server) recordCall(c *callRecorder) {
	s.metricSet.GetOrCreateCounter(fmt.Sprintf("zincloft_controlplane_calls_total{call=%q,status=\"%d\"}", c.call, c.status)).Inc()
	if c.status < http.StatusBadRequest || !s.callLogLimiter.Allow() {
		return
	}
	s.logger.Info().Str("event", "call_refused").Str("call", c.call).Str("of", c.target[:min(len(c.target), maxLoggedTargetBytes)]).
		Int("status", c.status).Str("reason", c.reason).Dur("duration", time.Since(c.startedAt)).Msg("")
}
