package simulation

import (
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
)

// coreHistory is what is observed of the control plane in schedules with a Tolerance, from outside.
type coreHistory struct {
	hasCommit      bool
	newestSequence uint64            // newest committed number anywhere
	sequences      []observation     // of it
	sequenceByBody map[string]uint64 // of the first register that held a configuration

	acknowledgedVersions []observation
	claims               map[uint64]claim // acknowledged configurations, by version
	rejectedBodies       map[string]bool  // configurations that a member answered by 409
	bodyIDs              map[string]int

	viewTriggeredFaults []Fault // that wait for a view
	newestSpare         *member
	spareCount          int
	initialViewComplete bool // the members of the first view have had their time
	monitorCount        int
}

// claim is a configuration that was acknowledged, and the number with which it was committed, or the newest before it.
type claim struct {
	body     string
	sequence uint64
}

// observation is the value that something had from a moment on.
type observation struct {
	at    time.Duration
	value uint64
}

// valueAt is the value at a moment, by observations in their order.
func valueAt(observations []observation, at time.Duration) uint64 {
	for _, o := range slices.Backward(observations) {
		if o.at <= at {
			return o.value
		}
	}
	return 0
}

func (h *coreHistory) initialize() {
	h.sequenceByBody, h.claims, h.rejectedBodies = map[string]uint64{}, map[uint64]claim{}, map[string]bool{}
	h.bodyIDs = map[string]int{"": 0}
}

// bodyID is a number for a configuration, in the order in which they were first seen.
func (h *coreHistory) bodyID(body string) int {
	id, ok := h.bodyIDs[body]
	if !ok {
		id = len(h.bodyIDs)
		h.bodyIDs[body] = id
	}
	return id
}

// recordAttempt adds the attempt that begins to the history of calls.
func (c *cluster) recordAttempt(call *operatorCall) {
	if c.schedule.Tolerance == 0 {
		return
	}
	attempt := Attempt{Version: call.version, Call: c.now}
	switch call.action.Kind {
	case PutConfig:
		attempt.Kind, attempt.BodyID = AttemptPut, c.coreHistory.bodyID(call.body)
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

// recordAttemptEnd notes that nothing more is heard of a call's last attempt.
func (c *cluster) recordAttemptEnd(call *operatorCall) {
	if call.attemptIndex > 0 {
		c.result.Attempts[call.attemptIndex-1].Return = c.now
	}
	call.attemptIndex = 0
}

// recordResponse notes a clear answer to a call, and checks what it says against earlier ones.
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

// recordAttemptResponse notes what came of the attempt at hand.
func (c *cluster) recordAttemptResponse(call *operatorCall, response controller.Response) {
	if call.attemptIndex == 0 {
		return
	}
	attempt := &c.result.Attempts[call.attemptIndex-1]
	attempt.Return, attempt.Answered, attempt.Conflict = c.now, true, response.Status == http.StatusConflict
	if attempt.Kind == AttemptRead && response.Status == http.StatusOK {
		attempt.Version, attempt.BodyID = c.versionByBody[string(response.Body)], c.coreHistory.bodyID(string(response.Body))
	}
	call.attemptIndex = 0
}

func (c *cluster) recordAcknowledgedVersion(version uint64) {
	h := &c.coreHistory
	if version > valueAt(h.acknowledgedVersions, c.now) {
		h.acknowledgedVersions = append(h.acknowledgedVersions, observation{c.now, version})
	}
}

// measureStaleResponse measures for how long a member still answers that is cut off, or that has thawed and missed a view.
func (c *cluster) measureStaleResponse(m *member) {
	if m.isIsolated() {
		c.result.ResponsesWhileIsolated = append(c.result.ResponsesWhileIsolated, c.now-m.isolatedAt)
	}
	if m.resumedAt > 0 && m.controller.Coordinator().View().Number < c.result.NewestView {
		c.result.ResponsesAfterResume = append(c.result.ResponsesAfterResume, c.now-m.resumedAt)
	}
}

// recordCommitted notes the newest committed register as what could be read at this moment.
func (c *cluster) recordCommitted(m *member, register chainreplication.Register) {
	h := &c.coreHistory
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
