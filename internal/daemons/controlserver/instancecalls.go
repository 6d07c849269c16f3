package controlserver

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/fleet"
)

const (
	maxHeartbeatBytes  = 64 << 10
	maxInstanceIDBytes = 256
	maxSlots           = 1 << 20

	// maxJSONInteger is the largest integer up to which a JSON number, read as a float64, is exact.
	maxJSONInteger = 1 << 53
)

// Validation errors of a well-formed heartbeat; their texts are returned to the caller.
var (
	errHeartbeatIncomplete = errors.New("heartbeat: address and service must not be empty")
	errHeartbeatNumber     = errors.New("heartbeat: sequence must be a number from 0 to 2^53, slots must be from 0 to 2^20 and cold_remaining must not be negative")
)

// heartbeatResponse is the response to a heartbeat. HeartbeatTarget is the member to send later heartbeats to; empty means this one.
type heartbeatResponse struct {
	HeartbeatTarget string `json:"heartbeat_target,omitempty"`
}

func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, ok := s.readBody(w, r, maxHeartbeatBytes)
	if !ok {
		return
	}
	defer s.bodyBudget.ReleaseBody(body)
	id := target(r)
	if !gjson.ValidBytes(body) || id == "" || len(id) > maxInstanceIDBytes {
		s.writeResult(w, http.StatusBadRequest, fmt.Sprintf("heartbeat: the body must be JSON and the parameter \"of\" an instance ID of 1 to %d bytes", maxInstanceIDBytes))
		return
	}
	heartbeat, err := parseHeartbeat(id, gjson.ParseBytes(body))
	if err != nil {
		s.writeResult(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	response := s.call(r, controller.Event{Heartbeat: &heartbeat})
	setRefusalReason(w, response.Reason)
	if response.Status != http.StatusOK {
		s.writeResult(w, response.Status, cmp.Or(response.Reason, noQuorumText))
		return
	}
	s.writeJSON(w, http.StatusOK, heartbeatResponse{HeartbeatTarget: response.Address})
}

// parseHeartbeat decodes and validates a heartbeat. It rejects a sequence that is not a number or is out of range, because that could
// compare higher than all later ones and cause them to be ignored.
func parseHeartbeat(id string, document gjson.Result) (fleet.Instance, error) {
	warmup, err := time.ParseDuration(document.Get("cold_remaining").String())
	if err != nil {
		warmup = 0 // missing or not a duration: no warm-up
	}
	sequence := document.Get("sequence")
	heartbeat := fleet.Instance{
		ID:           id,
		Service:      document.Get("service").String(),
		Addr:         document.Get("address").String(),
		Zone:         document.Get("zone").String(),
		Slots:        int(document.Get("slots").Int()),
		Draining:     document.Get("state").String() == "draining",
		WarmupMillis: warmup.Milliseconds(),
		Sequence:     sequence.Uint(),
	}
	if heartbeat.Addr == "" || heartbeat.Service == "" {
		return fleet.Instance{}, errHeartbeatIncomplete
	}
	validSequence := !sequence.Exists() || sequence.Type == gjson.Number && sequence.Num >= 0 && sequence.Num <= maxJSONInteger
	validSlots := heartbeat.Slots >= 0 && heartbeat.Slots <= maxSlots
	if !validSequence || !validSlots || warmup < 0 {
		return fleet.Instance{}, errHeartbeatNumber
	}
	return heartbeat, nil
}

func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := target(r)
	if id == "" {
		s.writeResult(w, http.StatusBadRequest, "of: must not be empty")
		return
	}
	response := s.call(r, controller.Event{Deregister: id})
	setRefusalReason(w, response.Reason)
	if response.Status != http.StatusOK {
		s.writeResult(w, response.Status, cmp.Or(response.Reason, noQuorumText))
		return
	}
	s.writeResult(w, http.StatusOK, "")
}
