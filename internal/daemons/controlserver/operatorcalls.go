package controlserver

import (
	"encoding/json"
	"net/http"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/gatewayconfig"
)

// handleReplaceConfiguration validates a configuration and proposes it.
func (s *Server) handleReplaceConfiguration(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	defer s.bodyBudget.ReleaseBody(body)
	config, err := gatewayconfig.Parse(body)
	if err != nil {
		s.logger.Info().Str("event", "config_rejected").Err(err).Msg("invalid configuration rejected")
		s.writeResult(w, http.StatusBadRequest, err.Error())
		return
	}
	s.propose(w, r, chainreplication.Command{Version: config.Version, Body: body})
}

// handleEvacuation proposes the start or the end of a zone's evacuation.
func (s *Server) handleEvacuation(w http.ResponseWriter, r *http.Request, evacuated bool) {
	zone := target(r)
	if _, ok := s.settings.ZoneRegions[zone]; !ok {
		s.writeResult(w, http.StatusUnprocessableEntity, "of: must be a zone listed in network_settings.zones")
		return
	}
	s.propose(w, r, chainreplication.Command{Zone: zone, Evacuated: evacuated})
}

// propose submits a command to the replicated register and responds with the outcome: 200, 409 if another configuration has the same version,
// or 503. The response has no error text; the reason is logged.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, command chainreplication.Command) {
	response := s.call(r, controller.Event{Command: &command})
	setRefusalReason(w, response.Reason)
	s.writeResult(w, response.Status, "")
}

// handleDescribeConfiguration responds with the committed configuration or redirects to a member that has it.
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

// handleMaintenanceCommand applies a command that changes maintenance windows.
func (s *Server) handleMaintenanceCommand(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r, maxBodyBytes)
	if !ok {
		return
	}
	defer s.bodyBudget.ReleaseBody(body)
	var command maintenance.Command
	if json.Unmarshal(body, &command) != nil {
		s.writeResult(w, http.StatusBadRequest, "windows: must be a command in JSON")
		return
	}
	response := s.call(r, controller.Event{MaintenanceCommand: &command})
	s.writeResult(w, response.Status, string(response.Body))
}

// handleControlPlaneStatus responds with this member's view of the control plane, even without quorum contact.
func (s *Server) handleControlPlaneStatus(w http.ResponseWriter, _ *http.Request) {
	s.writeFromRunLoop(w, func() ([]byte, error) {
		return json.MarshalIndent(s.controller.Describe(s.now()), "", "  ")
	})
}

// handleDescribeMaintenance responds with this member's view of the maintenance windows.
func (s *Server) handleDescribeMaintenance(w http.ResponseWriter, _ *http.Request) {
	s.writeFromRunLoop(w, func() ([]byte, error) { return s.controller.DescribeMaintenance(s.now()) })
}

// handleDescribeOwners responds with this member's view of the owners of shard keys.
func (s *Server) handleDescribeOwners(w http.ResponseWriter, _ *http.Request) {
	s.writeFromRunLoop(w, func() ([]byte, error) { return s.controller.DescribeOwners(s.now()) })
}

// writeFromRunLoop responds with the JSON that evaluate returns on the goroutine of Run.
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
