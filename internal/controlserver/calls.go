package controlserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/tidwall/gjson"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/gatewayconfig"
)

const (
	maxBodyBytes      = 16 << 20
	maxHeartbeatBytes = 64 << 10

	bodyReadTimeout = 10 * time.Second // for a call's body to come
	maxJSONInteger  = 1 << 53          // of whole numbers in JSON
	maxSlots        = 1 << 20
)

// routes is the one dispatch of calls: method and path by the router, then the call's name, which stands in the query.
func (s *Server) routes() http.Handler {
	mux := chi.NewRouter()
	calls := map[string]http.HandlerFunc{
		"instances.heartbeat":    s.handleHeartbeat,
		"instances.deregister":   s.handleDeregister,
		"configuration.replace":  s.handleReplaceConfiguration,
		"configuration.describe": s.handleDescribeConfiguration,
		"core.describe":          s.handleDescribeCore, // of this project, beside the protocol's
		"windows.command":        s.handleMaintenanceCommand,
		"windows.describe":       s.handleDescribeMaintenance,
		"evacuations.start":      func(w http.ResponseWriter, r *http.Request) { s.handleEvacuation(w, r, true) },
		"evacuations.finish":     func(w http.ResponseWriter, r *http.Request) { s.handleEvacuation(w, r, false) },
	}
	mux.Post("/api/rpc", func(w http.ResponseWriter, r *http.Request) {
		if call := calls[r.URL.Query().Get("call")]; call != nil {
			call(w, r)
			return
		}
		writeResult(w, http.StatusNotFound, "call: names no call")
	})
	return mux
}

func writeResult(w http.ResponseWriter, status int, problem string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "0.2")
	}
	body := []byte("{}")
	if problem != "" {
		body, _ = json.Marshal(map[string]string{"error": problem})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// evaluate has the deciding goroutine work out an answer.
func evaluate[T any](server *Server, f func() T) T {
	done := make(chan T, 1)
	server.enqueue(func() { done <- f() })
	return <-done
}

// statusClientClosedRequest is the status of a call whose caller has left: nobody reads it.
const statusClientClosedRequest = 499

// call has the brain answer a caller, unless that one has left by the time: it calls another comb then, and what it
// asked for here might undo what has come since.
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

// readBody reads a call's body whole. Where it can't, the call has been answered.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		writeResult(w, http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		writeResult(w, http.StatusRequestTimeout, "the body did not come in time")
	default:
		writeResult(w, http.StatusBadRequest, "the body cannot be read whole")
	}
	return nil, false
}

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("of")
	body, ok := readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	if !gjson.ValidBytes(body) || id == "" {
		writeResult(w, http.StatusBadRequest, "heartbeat: cannot be read")
		return
	}
	doc := gjson.ParseBytes(body)
	cold, _ := time.ParseDuration(doc.Get("cold_remaining").String())
	heartbeat := registry.Instance{ID: id, Service: doc.Get("service").String(), Addr: doc.Get("address").String(), Zone: doc.Get("zone").String(),
		Slots: int(doc.Get("slots").Int()), Draining: doc.Get("state").String() == "draining", WarmupMillis: cold.Milliseconds(), Sequence: doc.Get("sequence").Uint()}
	if heartbeat.Addr == "" || heartbeat.Service == "" {
		writeResult(w, http.StatusUnprocessableEntity, "heartbeat: address or service is missing")
		return
	}
	// A number that is none would stand above all later ones.
	if sequence := doc.Get("sequence"); sequence.Exists() && (sequence.Type != gjson.Number || sequence.Num < 0 || sequence.Num > maxJSONInteger) || heartbeat.Slots < 0 || heartbeat.Slots > maxSlots || cold < 0 {
		writeResult(w, http.StatusUnprocessableEntity, "heartbeat: sequence, slots or cold_remaining is no such number")
		return
	}
	a := s.call(r, controller.Event{Heartbeat: &heartbeat})
	if a.Status != http.StatusOK {
		writeResult(w, a.Status, "out of touch with the other combs")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if a.Address == "" {
		w.Write([]byte("{}"))
		return
	}
	body, _ = json.Marshal(map[string]string{"heartbeat_target": a.Address})
	w.Write(body)
}

func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("of")
	if id == "" {
		writeResult(w, http.StatusBadRequest, "of: names no replica")
		return
	}
	if a := s.call(r, controller.Event{Deregister: id}); a.Status != http.StatusOK {
		writeResult(w, a.Status, "out of touch with the other combs")
		return
	}
	writeResult(w, http.StatusOK, "")
}

func (s *Server) handleReplaceConfiguration(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	conf, err := gatewayconfig.Parse(body)
	if err != nil {
		s.logger.Info().Str("event", "config_refused").Err(err).Msg("")
		writeResult(w, http.StatusBadRequest, err.Error())
		return
	}
	writeResult(w, s.call(r, controller.Event{Command: &chainreplication.Command{Version: conf.Version, Body: body}}).Status, "")
}

func (s *Server) handleEvacuation(w http.ResponseWriter, r *http.Request, out bool) {
	zone := r.URL.Query().Get("of")
	if _, ok := s.settings.ZoneRegions[zone]; !ok {
		writeResult(w, http.StatusUnprocessableEntity, "of: names no zone")
		return
	}
	writeResult(w, s.call(r, controller.Event{Command: &chainreplication.Command{Zone: zone, Evacuated: out}}).Status, "")
}

// handleDescribeCore tells an operator how the core stands, as this comb knows; also while it is out of touch.
func (s *Server) handleDescribeCore(w http.ResponseWriter, _ *http.Request) {
	s.writeEvaluated(w, func() ([]byte, error) { return json.MarshalIndent(s.controller.Describe(s.now()), "", "  ") })
}

// handleMaintenanceCommand takes an operator's word on maintenance windows.
func (s *Server) handleMaintenanceCommand(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	var x maintenance.Command
	if json.Unmarshal(body, &x) != nil {
		writeResult(w, http.StatusBadRequest, "windows: the command cannot be read")
		return
	}
	a := s.call(r, controller.Event{MaintenanceCommand: &x})
	writeResult(w, a.Status, string(a.Body))
}

func (s *Server) handleDescribeMaintenance(w http.ResponseWriter, _ *http.Request) {
	s.writeEvaluated(w, func() ([]byte, error) { return s.controller.DescribeMaintenance(s.now()) })
}

// writeEvaluated answers with what the deciding goroutine makes.
func (s *Server) writeEvaluated(w http.ResponseWriter, f func() ([]byte, error)) {
	type made struct {
		body []byte
		err  error
	}
	m := evaluate(s, func() made { body, err := f(); return made{body, err} })
	if m.err != nil {
		writeResult(w, http.StatusInternalServerError, m.err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(m.body)
}

func (s *Server) handleDescribeConfiguration(w http.ResponseWriter, r *http.Request) {
	a := s.call(r, controller.Event{ReadConfiguration: true})
	switch a.Status {
	case http.StatusTemporaryRedirect:
		w.Header().Set("Location", "http://"+a.Address+"/api/rpc?call=configuration.describe")
		w.WriteHeader(a.Status)
	case http.StatusOK:
		w.Header().Set("Content-Type", "application/json")
		w.Write(a.Body)
	case http.StatusNotFound:
		writeResult(w, a.Status, "no configuration has been given yet")
	default:
		writeResult(w, a.Status, "out of touch with the other combs")
	}
}
