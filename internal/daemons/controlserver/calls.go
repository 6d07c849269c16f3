package controlserver

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/internal/daemons/bodybuffer"
)

const (
	maxBodyBytes    = 16 << 20
	bodyReadTimeout = 10 * time.Second

	// retryAfterSeconds is after how long a caller that got 503 is to call again.
	retryAfterSeconds = "0.2"

	// statusClientClosedRequest is the status of a call whose caller has left; nobody reads it.
	statusClientClosedRequest = 499

	noQuorumText = "no contact with a quorum of the control plane"
)

// routes dispatches calls: by the method and the path, then by the call's name, which is a parameter of the query.
func (s *Server) routes() http.Handler {
	calls := map[string]http.HandlerFunc{
		"instances.heartbeat":    s.handleHeartbeat,
		"instances.deregister":   s.handleDeregister,
		"configuration.replace":  s.handleReplaceConfiguration,
		"configuration.describe": s.handleDescribeConfiguration,
		"core.describe":          s.handleControlPlaneStatus, // this project's own, beside the protocol's
		"windows.command":        s.handleMaintenanceCommand,
		"windows.describe":       s.handleDescribeMaintenance,
		"evacuations.start":      func(w http.ResponseWriter, r *http.Request) { s.handleEvacuation(w, r, true) },
		"evacuations.finish":     func(w http.ResponseWriter, r *http.Request) { s.handleEvacuation(w, r, false) },
	}
	router := chi.NewRouter()
	router.Post("/api/rpc", func(w http.ResponseWriter, r *http.Request) {
		name := r.URL.Query().Get("call")
		call := calls[name]
		if call == nil {
			s.writeResult(w, http.StatusNotFound, "call: is missing or unknown")
			return
		}
		recorder := &callRecorder{ResponseWriter: w, call: name, target: target(r), startedAt: time.Now()}
		call(recorder, r)
		s.recordCall(recorder)
	})
	return router
}

// target is the query's parameter that names what a call is about.
func target(r *http.Request) string { return r.URL.Query().Get("of") }

// call has the controller answer a call, unless its caller has left by the time the call's turn comes: the caller has gone on to another
// member then, and what it asked for here might undo what was done since.
func (s *Server) call(r *http.Request, event controller.Event) controller.Response {
	done := make(chan controller.Response, 1)
	s.enqueue(func() {
		if r.Context().Err() != nil {
			done <- controller.Response{Status: statusClientClosedRequest}
			return
		}
		s.lastToken++
		event.Token = s.lastToken
		s.pendingCalls[event.Token] = done
		s.step(event)
	})
	return <-done
}

// readBody reads a call's body, which must be released from bodies. Where it can't, it answers the call and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	s.setReadDeadline(w, time.Now().Add(bodyReadTimeout))
	body, err := s.bodyBudget.Read(r.Body, r.ContentLength, maxBytes)
	s.setReadDeadline(w, time.Time{})
	var tooLarge *http.MaxBytesError
	if err == nil {
		return body, true
	}
	s.bodyBudget.ReleaseBody(body)
	w.Header().Set("Connection", "close") // what is left of the body must not be taken for another call
	switch {
	case errors.Is(err, bodybuffer.ErrFull):
		s.writeResult(w, http.StatusServiceUnavailable, "too many bodies are being received")
	case errors.As(err, &tooLarge):
		s.writeResult(w, http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.writeResult(w, http.StatusRequestTimeout, "the body did not arrive in time")
	default:
		s.writeResult(w, http.StatusBadRequest, "the body cannot be read completely")
	}
	return nil, false
}

// setReadDeadline bounds the reading of a body. On a connection that allows no deadline, the read itself fails where it is broken.
func (s *Server) setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		s.logger.Debug().Str("event", "read_deadline_refused").Err(err).Msg("")
	}
}

// resultBody is the body of a response without a result: a problem, or nothing.
type resultBody struct {
	Error string `json:"error,omitempty"`
}

// writeResult answers a call with a status and, where something is wrong, what that is.
func (s *Server) writeResult(w http.ResponseWriter, status int, problem string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	s.writeJSON(w, status, resultBody{Error: problem})
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.logger.Error().Str("event", "encoding_failed").Err(err).Msg("")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.writeBody(w, status, body)
}

// writeBody answers a call with JSON. It fails only where the caller has left.
func (s *Server) writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.logger.Debug().Str("event", "response_not_written").Err(err).Msg("")
	}
}
