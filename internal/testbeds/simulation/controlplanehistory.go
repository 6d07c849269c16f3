package simulation

import (
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
)

// controlPlaneHistory is what has been observed of the control plane in schedules with a Tolerance.
type controlPlaneHistory struct {
	hasCommit      bool
	newestSequence uint64            // highest committed sequence number on any member
	sequences      []observation     // of newestSequence, in order
	sequenceByBody map[string]uint64 // of the first register that contained a configuration

	acknowledgedVersions []observation
	claims               map[uint64]claim // acknowledged configurations, by version
	rejectedBodies       map[string]bool  // configurations that a member rejected with 409
	bodyIDs              map[string]int

	viewTriggeredFaults []Fault // deferred until a matching view change
	newestSpare         *member
	spareCount          int
	initialViewComplete bool // the initial members have had time to join the first view
	monitorCount        int
}

// claim is an acknowledged configuration with the sequence number of its commit, or a lower bound of it if the commit
// was not observed.
type claim struct {
	body     string
	sequence uint64
}

// observation is a value that holds from a point in time.
type observation struct {
	at    time.Duration
	value uint64
}

// valueAt returns the value at a point in time. Observations are ordered by time.
func valueAt(observations []observation, at time.Duration) uint64 {
	for _, o := range slices.Backward(observations) {
		if o.at <= at {
			return o.value
		}
	}
	return 0
}

func (h *controlPlaneHistory) initialize() {
	h.sequenceByBody, h.claims, h.rejectedBodies = map[string]uint64{}, map[uint64]claim{}, map[string]bool{}
	h.bodyIDs = map[string]int{"": 0}
}

// bodyID returns the number of a configuration, assigned in the order of first use.
func (h *controlPlaneHistory) bodyID(body string) int {
	id, ok := h.bodyIDs[body]
	if !ok {
		id = len(h.bodyIDs)
		h.bodyIDs[body] = id
	}
	return id
}

// recordAttempt appends an attempt that starts now to the call history.
func (c *cluster) recordAttempt(call *operatorCall) {
	if c.schedule.Tolerance == 0 {
		return
	}
	attempt := Attempt{Version: call.version, Call: c.now, MayActLate: c.schedule.ExceedsTolerance}
	switch call.action.Kind {
	case PutConfig:
		attempt.Kind, attempt.BodyID = AttemptPut, c.controlPlaneHistory.bodyID(call.body)
	case EvacuateZone:
		attempt.Kind, attempt.Key = AttemptEvacuate, c.zone(call)
	case RestoreZone:
		attempt.Kind, attempt.Key = AttemptRestore, c.zone(call)
	default:
		attempt.Kind = AttemptKind(call.action.Kind)
	}
	c.result.Attempts = append(c.result.Attempts, attempt)
	call.attemptIndex = len(c.result.Attempts)
}

// recordAttemptEnd records that the caller no longer waits for the current attempt.
func (c *cluster) recordAttemptEnd(call *operatorCall) {
	if call.attemptIndex > 0 {
		c.result.Attempts[call.attemptIndex-1].Return = c.now
	}
	call.attemptIndex = 0
}

// recordResponse records a conclusive response to a call and checks it against earlier ones.
func (c *cluster) recordResponse(m *member, call *operatorCall, response controller.Response) {
	if c.schedule.Tolerance == 0 {
		return
	}
	c.measureStaleResponse(m)
	c.recordAttemptResponse(call, response)
	switch {
	case call.action.Kind == ReadConfig:
	case response.Status == http.StatusConflict:
		c.tracef("%s: call %d (%s) is rejected", m.name, call.number, bodyLabel(call.body))
		c.checkRejection(m, call)
	default:
		c.tracef("%s: call %d (%s %d %s) is acknowledged", m.name, call.number, call.action.Kind, max(call.version, uint64(call.action.Target)), bodyLabel(call.body))
		if call.action.Kind == PutConfig {
			c.checkVersionIsUnique(call)
			c.recordAcknowledgedVersion(call.version)
		}
	}
}

// recordAttemptResponse records the outcome of the current attempt.
func (c *cluster) recordAttemptResponse(call *operatorCall, response controller.Response) {
	if call.attemptIndex == 0 {
		return
	}
	attempt := &c.result.Attempts[call.attemptIndex-1]
	attempt.Return, attempt.Answered, attempt.Conflict = c.now, true, response.Status == http.StatusConflict
	if attempt.Kind == AttemptRead && response.Status == http.StatusOK {
		attempt.Version, attempt.BodyID = c.versionByBody[string(response.Body)], c.controlPlaneHistory.bodyID(string(response.Body))
	}
	call.attemptIndex = 0
}

func (c *cluster) recordAcknowledgedVersion(version uint64) {
	h := &c.controlPlaneHistory
	if version > valueAt(h.acknowledgedVersions, c.now) {
		h.acknowledgedVersions = append(h.acknowledgedVersions, observation{c.now, version})
	}
}

// measureStaleResponse measures for how long a member responds after it was isolated, or after it resumed with an
// outdated view.
func (c *cluster) measureStaleResponse(m *member) {
	if m.isIsolated() {
		c.result.ResponsesWhileIsolated = append(c.result.ResponsesWhileIsolated, c.now-m.isolatedAt)
	}
	if m.resumedAt > 0 && m.controller.Coordinator().View().Number < c.result.NewestView {
		c.result.ResponsesAfterResume = append(c.result.ResponsesAfterResume, c.now-m.resumedAt)
	}
}

// recordCommitted records a newly committed register as a read of all keys at the current time.
func (c *cluster) recordCommitted(m *member, register chainreplication.Register) {
	h := &c.controlPlaneHistory
	if c.schedule.Tolerance == 0 || h.hasCommit && register.Sequence <= h.newestSequence {
		return
	}
	h.hasCommit, h.newestSequence = true, register.Sequence
	h.sequences = append(h.sequences, observation{c.now, register.Sequence})
	c.result.NewestSequence = register.Sequence
	if body := string(register.Body); body != "" {
		if h.sequenceByBody[body] == 0 {
			h.sequenceByBody[body] = register.Sequence
		}
		c.checkCommittedIsNotRejected(m, register)
	}
	read := Attempt{Kind: AttemptRead, Sequence: register.Sequence, Answered: true, Call: c.now, Return: c.now}
	config := read
	config.Version, config.BodyID = register.Version, h.bodyID(string(register.Body))
	c.result.Attempts = append(c.result.Attempts, config)
	for i := range c.zoneCount() {
		zone := read
		zone.Key = c.zoneName(i)
		if register.EvacuatedZones[zone.Key] {
			zone.BodyID = 1
		}
		c.result.Attempts = append(c.result.Attempts, zone)
	}
}
