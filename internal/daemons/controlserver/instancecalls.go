package controlserver

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/fleet"
)

const (
	maxHeartbeatBytes  = 64 << 10
	maxInstanceIDBytes = 256 // a member remembers each instance for a while
	maxSlots           = 1 << 20

	// maxJSONInteger is where JSON's numbers stop being exact integers.
	maxJSONInteger = 1 << 53
)

// Errors of a heartbeat that can be read but isn't valid. The texts go to the caller.
var (
	errHeartbeatIncomplete = errors.New("heartbeat: address or service is missing")
	errHeartbeatNumber     = errors.New("heartbeat: sequence, slots or cold_remaining is out of range or not a number")
)

// heartbeatResponse is the response to a heartbeat: where to send the further ones, if that is elsewhere.
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
		s.writeResult(w, http.StatusBadRequest, "heartbeat: the body is not JSON, or the replica is not named, or by too long a name")
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

// parseHeartbeat reads a heartbeat. Its numbers are checked strictly: a sequence read from what is no number could be higher than all later
// ones.
func parseHeartbeat(id string, document gjson.Result) (fleet.Instance, error) {
	warmup, err := time.ParseDuration(document.Get("cold_remaining").String())
	if err != nil {
		warmup = 0 // absent, or not a time: the replica is warm
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
		s.writeResult(w, http.StatusBadRequest, "of: is missing")
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
