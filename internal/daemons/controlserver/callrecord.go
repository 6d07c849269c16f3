package controlserver

import (
	"fmt"
	"net/http"
	"time"
)

const (
	callLogRate  = 10 // log lines per second for refused calls
	callLogBurst = 50

	maxLoggedTargetBytes = 64 // the caller controls the length of a target
)

// callRecorder is a ResponseWriter that records the outcome of a call for metrics and logs.
type callRecorder struct {
	http.ResponseWriter
	call      string // a key of the map in routes
	target    string
	startedAt time.Time
	status    int
	reason    string // why the controller refused the call
}

// WriteHeader implements http.ResponseWriter.
func (c *callRecorder) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying ResponseWriter for http.ResponseController.
func (c *callRecorder) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// setRefusalReason records why a call was refused. It does nothing if w is not a callRecorder.
func setRefusalReason(w http.ResponseWriter, reason string) {
	if recorder, ok := w.(*callRecorder); ok {
		recorder.reason = reason
	}
}

// recordCall counts a completed call and, within a rate limit, logs a refused one.
func (s *Server) recordCall(c *callRecorder) {
	s.metricSet.GetOrCreateCounter(fmt.Sprintf("zincloft_controlplane_calls_total{call=%q,status=\"%d\"}", c.call, c.status)).Inc()
	if c.status < http.StatusBadRequest || !s.callLogLimiter.Allow() {
		return
	}
	s.logger.Info().Str("event", "call_refused").Str("call", c.call).Str("of", c.target[:min(len(c.target), maxLoggedTargetBytes)]).
		Int("status", c.status).Str("reason", c.reason).Dur("duration", time.Since(c.startedAt)).Msg("call refused")
}
