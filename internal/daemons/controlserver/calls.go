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

	// retryAfterSeconds is the Retry-After value of a 503 response.
	retryAfterSeconds = "0.2"

	// statusClientClosedRequest is recorded for a call whose caller disconnected before it was processed.
	statusClientClosedRequest = 499

	noQuorumText = "no contact with a quorum of the control plane"
)

// routes returns the HTTP handler, which dispatches calls by the query parameter "call".
func (s *Server) routes() http.Handler {
	calls := map[string]http.HandlerFunc{
		"instances.heartbeat":    s.handleHeartbeat,
		"instances.deregister":   s.handleDeregister,
		"configuration.replace":  s.handleReplaceConfiguration,
		"configuration.describe": s.handleDescribeConfiguration,
		"core.describe":          s.handleControlPlaneStatus, // not part of the published protocol
		"owners.describe":        s.handleDescribeOwners,     // not part of the published protocol
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
			s.writeResult(w, http.StatusNotFound, "call: must be the name of a known call")
			return
		}
		recorder := &callRecorder{ResponseWriter: w, call: name, target: target(r), startedAt: time.Now()}
		call(recorder, r)
		s.recordCall(recorder)
	})
	return router
}

// target returns the query parameter that names the object of a call, such as an instance or a zone.
func target(r *http.Request) string { return r.URL.Query().Get("of") }

// call passes a call to the controller and waits for the response. A call whose caller has disconnected by the time it is dequeued is dropped:
// the caller may have retried at another member, and a late execution could revert newer changes.
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

// readBody reads a call's body. The caller must release it with bodyBudget.ReleaseBody. On failure, readBody sends the error response and
// returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	s.setReadDeadline(w, time.Now().Add(bodyReadTimeout))
	body, err := s.bodyBudget.Read(r.Body, r.ContentLength, maxBytes)
	s.setReadDeadline(w, time.Time{})
	var tooLarge *http.MaxBytesError
	if err == nil {
		return body, true
	}
	s.bodyBudget.ReleaseBody(body)
	w.Header().Set("Connection", "close") // unread body bytes must not be parsed as the next request
	switch {
	case errors.Is(err, bodybuffer.ErrFull):
		s.writeResult(w, http.StatusServiceUnavailable, "the memory for request bodies is exhausted")
	case errors.As(err, &tooLarge):
		s.writeResult(w, http.StatusRequestEntityTooLarge, "the body exceeds the size limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.writeResult(w, http.StatusRequestTimeout, "the body did not arrive in time")
	default:
		s.writeResult(w, http.StatusBadRequest, "the body could not be read completely")
	}
	return nil, false
}

// setReadDeadline sets the deadline for reading a body. An error is only logged: if the connection is broken, the read fails as well.
func (s *Server) setReadDeadline(w http.ResponseWriter, deadline time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		s.logger.Debug().Str("event", "read_deadline_refused").Err(err).Msg("read deadline could not be set")
	}
}

// resultBody is the body of a response that carries only an error text, or nothing.
type resultBody struct {
	Error string `json:"error,omitempty"`
}

// writeResult responds with a status and an error text, which is empty on success.
func (s *Server) writeResult(w http.ResponseWriter, status int, errorText string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	s.writeJSON(w, status, resultBody{Error: errorText})
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.logger.Error().Str("event", "encoding_failed").Err(err).Msg("response could not be encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.writeBody(w, status, body)
}

// writeBody responds with a JSON body. A write error means that the caller has disconnected.
func (s *Server) writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.logger.Debug().Str("event", "response_not_written").Err(err).Msg("response could not be written")
	}
}
