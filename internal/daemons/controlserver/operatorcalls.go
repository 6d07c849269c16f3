package controlserver

import (
	"encoding/json"
	"net/http"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/gatewayconfig"
)

// handleReplaceConfiguration has a new configuration committed.
func (s *Server) handleReplaceConfiguration(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	defer s.bodyBudget.ReleaseBody(body)
	config, err := gatewayconfig.Parse(body)
	if err != nil {
		s.logger.Info().Str("event", "config_rejected").Err(err).Msg("")
		s.writeResult(w, http.StatusBadRequest, err.Error())
		return
	}
	s.propose(w, r, chainreplication.Command{Version: config.Version, Body: body})
}

// handleEvacuation has the evacuation of a zone started or finished.
func (s *Server) handleEvacuation(w http.ResponseWriter, r *http.Request, evacuated bool) {
	zone := target(r)
	if _, ok := s.settings.ZoneRegions[zone]; !ok {
		s.writeResult(w, http.StatusUnprocessableEntity, "of: is not a known zone")
		return
	}
	s.propose(w, r, chainreplication.Command{Zone: zone, Evacuated: evacuated})
}

// propose has a command for the replicated register committed and answers the call with the outcome: 200, 409 where another configuration
// has its version, or 503. Such an answer has no error text; the log says why.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, command chainreplication.Command) {
	response := s.call(r, controller.Event{Command: &command})
	setRefusalReason(w, response.Reason)
	s.writeResult(w, response.Status, "")
}

// handleDescribeConfiguration answers with the committed configuration, or redirects to a member that has it.
func (s *Server) handleDescribeConfiguration(w http.ResponseWriter, r *http.Request) {
	response := s.call(r, controller.Event{ReadConfiguration: true})
	setRefusalReason(w, response.Reason)
	switch response.Status {
	case http.StatusTemporaryRedirect:
		w.Header().Set("Location", "http://"+response.Address+"/api/rpc?call=configuration.describe")
		w.WriteHeader(response.Status)
	case http.StatusOK:
		s.writeBody(w, http.StatusOK, response.Body)
	case http.StatusNotFound:
		s.writeResult(w, response.Status, "no configuration has been committed yet")
	default:
		s.writeResult(w, response.Status, noQuorumText)
	}
}

// handleMaintenanceCommand applies an operator's command about maintenance windows.
func (s *Server) handleMaintenanceCommand(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	defer s.bodyBudget.ReleaseBody(body)
	var command maintenance.Command
	if json.Unmarshal(body, &command) != nil {
		s.writeResult(w, http.StatusBadRequest, "windows: the command cannot be read")
		return
	}
	response := s.call(r, controller.Event{MaintenanceCommand: &command})
	s.writeResult(w, response.Status, string(response.Body))
}

// handleControlPlaneStatus answers with the status of the control plane as this member knows it, also without contact with a quorum.
func (s *Server) handleControlPlaneStatus(w http.ResponseWriter, _ *http.Request) {
	s.writeFromRunLoop(w, func() ([]byte, error) {
		return json.MarshalIndent(s.controller.Describe(s.now()), "", "  ")
	})
}

// handleDescribeMaintenance answers with the status of the maintenance windows as this member knows it.
func (s *Server) handleDescribeMaintenance(w http.ResponseWriter, _ *http.Request) {
	s.writeFromRunLoop(w, func() ([]byte, error) { return s.controller.DescribeMaintenance(s.now()) })
}

// writeFromRunLoop answers a call with JSON that the goroutine of Run makes.
func (s *Server) writeFromRunLoop(w http.ResponseWriter, evaluate func() ([]byte, error)) {
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	s.enqueue(func() {
		body, err := evaluate()
		done <- result{body, err}
	})
	evaluated := <-done
	if evaluated.err != nil {
		s.writeResult(w, http.StatusInternalServerError, evaluated.err.Error())
		return
	}
	s.writeBody(w, http.StatusOK, evaluated.body)
}
