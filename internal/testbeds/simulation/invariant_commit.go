package simulation

import (
	"fmt"

	"zincloft.example/zincloft/controlplane/chainreplication"
)

// claimRetention is the number of changes for which members remember which configuration was acknowledged under a version.
const claimRetention = 60

// maxClaims is how many versions members remember, the highest ones (chainreplication.Register.Claims).
const maxClaims = 64

// isEvictedClaim reports whether as many higher versions as members remember were acknowledged: then they do not remember a version at all, however
// lately it was acknowledged, and promise nothing about it (docs/design/control-plane.md).
func (h *coreHistory) isEvictedClaim(version uint64) bool {
	higher := 0
	for claimed := range h.claims {
		if claimed > version {
			higher++
		}
	}
	return higher >= maxClaims
}

// registerCommitted checks a register that a member holds to be committed, and notes it.
func (c *cluster) registerCommitted(m *member, register chainreplication.Register) {
	c.checkSequenceAgreement(m, register)
	c.checkSequenceMonotonic(m, register)
	m.newestSequence = register.Sequence
	c.recordCommitted(m, register)
	c.windowsCommitted(m, register)
	if _, ok := c.committedAt[register.Version]; !ok {
		c.committedAt[register.Version] = c.now
	}
	c.checkCommittedWasSubmitted(m, register)
}

// checkSequenceAgreement: no two members ever hold different registers to be committed under one number.
func (c *cluster) checkSequenceAgreement(m *member, register chainreplication.Register) {
	what := fmt.Sprintf("version %d %q, evacuated %v", register.Version, bodyLabel(string(register.Body)), register.EvacuatedZones)
	if before, ok := c.committedBySequence[register.Sequence]; ok && before != what {
		c.violationf("number %d is committed as %s at %s, and as %s elsewhere", register.Sequence, what, m.name, before)
	} else if !ok {
		c.committedBySequence[register.Sequence] = what
		c.tracef("%s: committed %d: %s", m.name, register.Sequence, what)
	}
}

// checkSequenceMonotonic: within an incarnation, what a member holds to be committed never goes back.
func (c *cluster) checkSequenceMonotonic(m *member, register chainreplication.Register) {
	if register.Sequence < m.newestSequence {
		c.violationf("%s went back from %d to %d within an incarnation", m.name, m.newestSequence, register.Sequence)
	}
}

// checkCommittedWasSubmitted: nothing is committed that no operator put.
func (c *cluster) checkCommittedWasSubmitted(m *member, register chainreplication.Register) {
	if _, put := c.versionByBody[string(register.Body)]; register.Version > 0 && !put {
		c.violationf("%s holds a configuration that nobody put: %q", m.name, register.Body)
	}
}

// checkCommittedIsNotRejected: what was answered by 409 is never committed.
func (c *cluster) checkCommittedIsNotRejected(m *member, register chainreplication.Register) {
	if body := string(register.Body); c.coreHistory.rejectedBodies[body] {
		c.violationf("%s: version %d %s is committed, which was rejected", m.name, register.Version, bodyLabel(body))
	}
}

// checkRejection: only configurations are answered by 409, and none that was committed.
func (c *cluster) checkRejection(m *member, call *operatorCall) {
	if call.action.Kind != PutConfig {
		c.violationf("call %d, %s, is answered 409", call.number, call.action.Kind)
	}
	c.coreHistory.rejectedBodies[call.body] = true
	if c.coreHistory.sequenceByBody[call.body] > 0 {
		c.violationf("%s rejects call %d, version %d %s, which was committed", m.name, call.number, call.version, bodyLabel(call.body))
	}
}

// checkVersionIsUnique: no two configurations are acknowledged under one version, as long as members remember it.
func (c *cluster) checkVersionIsUnique(call *operatorCall) {
	h := &c.coreHistory
	earlier, ok := h.claims[call.version]
	if !ok {
		sequence := valueAt(h.sequences, call.startedAt) // it may have been committed among others, and not been seen
		if seen := h.sequenceByBody[call.body]; seen > 0 {
			sequence = seen // it may have been committed long before it was acknowledged
		}
		h.claims[call.version] = claim{call.body, sequence}
		return
	}
	if earlier.body != call.body && h.newestSequence-earlier.sequence < claimRetention && !h.isEvictedClaim(call.version) {
		c.violationf("version %d is acknowledged as %s and as %s", call.version, bodyLabel(earlier.body), bodyLabel(call.body))
	}
}
