package simulation

import (
	"fmt"

	"zincloft.example/zincloft/controlplane/chainreplication"
)

// claimRetention is the number of changes for which members remember the configuration acknowledged with a version.
const claimRetention = 60

// maxClaims is the number of versions that members remember, the highest ones (chainreplication.Register.Claims).
const maxClaims = 64

// isEvictedClaim reports whether maxClaims higher versions were acknowledged, so that members need not remember this
// one.
func (h *controlPlaneHistory) isEvictedClaim(version uint64) bool {
	higher := 0
	for claimed := range h.claims {
		if claimed > version {
			higher++
		}
	}
	return higher >= maxClaims
}

// registerCommitted checks and records a register that a member considers committed.
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

// checkSequenceAgreement checks that members agree on the register committed with each sequence number.
func (c *cluster) checkSequenceAgreement(m *member, register chainreplication.Register) {
	description := fmt.Sprintf("version %d %q, evacuated %v", register.Version, bodyLabel(string(register.Body)), register.EvacuatedZones)
	if before, ok := c.committedBySequence[register.Sequence]; ok && before != description {
		c.violationf("sequence number %d is committed as %s on %s, and as %s on another member", register.Sequence, description, m.name, before)
	} else if !ok {
		c.committedBySequence[register.Sequence] = description
		c.tracef("%s: committed %d: %s", m.name, register.Sequence, description)
	}
}

// checkSequenceMonotonic checks that a member's committed sequence number does not decrease within an incarnation.
func (c *cluster) checkSequenceMonotonic(m *member, register chainreplication.Register) {
	if register.Sequence < m.newestSequence {
		c.violationf("%s: committed sequence number decreased from %d to %d within an incarnation", m.name, m.newestSequence, register.Sequence)
	}
}

// checkCommittedWasSubmitted checks that only configurations submitted by operators are committed.
func (c *cluster) checkCommittedWasSubmitted(m *member, register chainreplication.Register) {
	if _, put := c.versionByBody[string(register.Body)]; register.Version > 0 && !put {
		c.violationf("%s committed a configuration that no operator submitted: %q", m.name, register.Body)
	}
}

// checkCommittedIsNotRejected checks that a configuration rejected with 409 is never committed.
func (c *cluster) checkCommittedIsNotRejected(m *member, register chainreplication.Register) {
	if body := string(register.Body); c.controlPlaneHistory.rejectedBodies[body] {
		c.violationf("%s: version %d %s is committed, but was rejected before", m.name, register.Version, bodyLabel(body))
	}
}

// checkRejection checks that only configurations that were never committed are rejected with 409.
func (c *cluster) checkRejection(m *member, call *operatorCall) {
	if call.action.Kind != PutConfig {
		c.violationf("call %d (%s) was rejected with 409", call.number, call.action.Kind)
	}
	c.controlPlaneHistory.rejectedBodies[call.body] = true
	if c.controlPlaneHistory.sequenceByBody[call.body] > 0 {
		c.violationf("%s rejected call %d, version %d %s, which was committed before", m.name, call.number, call.version, bodyLabel(call.body))
	}
}

// checkVersionIsUnique checks that no two configurations are acknowledged with the same version while members remember
// it.
func (c *cluster) checkVersionIsUnique(call *operatorCall) {
	h := &c.controlPlaneHistory
	earlier, ok := h.claims[call.version]
	if !ok {
		sequence := valueAt(h.sequences, call.startedAt) // lower bound, as the commit may not have been observed
		if seen := h.sequenceByBody[call.body]; seen > 0 {
			sequence = seen // the commit may precede the acknowledgement by far
		}
		h.claims[call.version] = claim{call.body, sequence}
		return
	}
	if earlier.body != call.body && h.newestSequence-earlier.sequence < claimRetention && !h.isEvictedClaim(call.version) {
		c.violationf("version %d is acknowledged as %s and as %s", call.version, bodyLabel(earlier.body), bodyLabel(call.body))
	}
}
