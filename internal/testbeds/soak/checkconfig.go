package soak

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search. A history that is not decided in this time counts as linearizable and is not reported.
const linearizabilityTimeout = 20 * time.Second

// registerModel models the configuration version as a register that never decreases: a put raises it to at least its version, a read
// returns it.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		operation := input.(Operation)
		if operation.Kind == ReadOperation {
			return operation.Version == state.(uint64), state
		}
		return true, max(state.(uint64), operation.Version)
	},
}

// checkOperations checks that the operators' puts and reads are linearizable, and that reads return unmodified configurations.
func (c *checker) checkOperations() {
	var history []porcupine.Operation
	for i, operation := range c.record.Operations {
		isPut := operation.Kind == PutOperation
		isRead := operation.Kind == ReadOperation && operation.Acknowledged()
		if isRead && operation.Altered {
			c.report(RuleConfigCorrupted, operation.Return, "version %d, read at %s", operation.Version, operation.Member)
		}
		if !isPut && !isRead {
			continue
		}
		end := int64(operation.Return)
		if !operation.Acknowledged() {
			end = int64(c.record.EndedAt + time.Hour) // it may take effect at any later time
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: operation, Call: int64(operation.Call), Return: end})
	}
	if porcupine.CheckOperationsTimeout(registerModel, history, linearizabilityTimeout) == porcupine.Illegal {
		c.reportStaleReads()
	}
	c.checkFinalReads()
	c.checkAcknowledgements()
}

// reportStaleReads reports the reads that returned an older version than one acknowledged before they were sent. If there are none, it
// reports the history as a whole.
func (c *checker) reportStaleReads() {
	found := false
	for _, read := range c.record.Operations {
		if read.Kind != ReadOperation || !read.Acknowledged() {
			continue
		}
		if put := c.newestAcknowledged(read.Call); put.Version > read.Version {
			found = true
			c.report(RuleLinearizability, read.Return, "%s returned version %d, but version %d was acknowledged by %s at %.3f s, before the read was sent at %.3f s",
				read.Member, read.Version, put.Version, put.Member, put.Return.Seconds(), read.Call.Seconds())
		}
	}
	if !found {
		c.report(RuleLinearizability, c.record.EndedAt, "no sequential order of the operations is consistent with their results")
	}
}

// newestAcknowledged returns the put with the highest version acknowledged by a time.
func (c *checker) newestAcknowledged(by time.Duration) (newest Operation) {
	for _, operation := range c.record.Operations {
		if operation.Kind == PutOperation && operation.Acknowledged() && operation.Return <= by && operation.Version > newest.Version {
			newest = operation
		}
	}
	return newest
}

// checkFinalReads checks that the reads at the end of the run return the newest acknowledged configuration.
func (c *checker) checkFinalReads() {
	answered := false
	for _, read := range c.record.Operations {
		if read.Operator != finalReadOperator || read.Kind != ReadOperation || !read.Acknowledged() {
			continue
		}
		answered = true
		if put := c.newestAcknowledged(read.Call); put.Version > read.Version {
			c.report(RuleConfigLost, read.Return, "final read at %s returned version %d, but version %d was acknowledged by %s", read.Member, read.Version, put.Version, put.Member)
		}
	}
	if !answered {
		c.report(RuleConfigLost, c.record.EndedAt, "no member answered a final read")
	}
}

// checkAcknowledgements checks that a stable control plane acknowledges each repeated put.
func (c *checker) checkAcknowledgements() {
	type put struct {
		kind    OperationKind
		version uint64
	}
	first, acknowledged, last := map[put]time.Duration{}, map[put]bool{}, map[put]time.Duration{}
	for _, operation := range c.record.Operations {
		if operation.Kind != PutOperation {
			continue
		}
		key := put{operation.Kind, operation.Version}
		if _, known := first[key]; !known {
			first[key] = operation.Call
		}
		last[key] = operation.Return
		acknowledged[key] = acknowledged[key] || operation.Acknowledged()
	}
	for key, at := range first {
		if !acknowledged[key] && last[key]-at > time.Second && c.stableBetween(at, at+ackBound) {
			c.report(RuleUnacknowledged, at, "version %d, attempted until %.2f s", key.version, last[key].Seconds())
		}
	}
}

// stableBetween reports whether no fault acted on the control plane or its responses between two times.
func (c *checker) stableBetween(from, to time.Duration) bool {
	return c.controlPlaneStable(from) && !slices.ContainsFunc(c.record.Faults, func(fault FaultEvent) bool {
		disturbs := fault.Kind.affectsControlPlane() || fault.Kind == DropResponses
		return disturbs && fault.BeganAt <= to && fault.EndedAt >= from-contactBound
	})
}

// checkConfigurations checks from probes which configuration the gateways used: a probe's path is routed from its version on.
func (c *checker) checkConfigurations() {
	seen := map[string]Request{} // successful probe with the highest version, by gateway
	probes := slices.Clone(c.record.Requests)
	slices.SortStableFunc(probes, func(a, b Request) int { return int(a.EndedAt - b.EndedAt) })
	for _, probe := range probes {
		if probe.Kind != ProbeRequest {
			continue
		}
		switch probe.Status {
		case 200:
			if before, ok := seen[probe.Gateway]; !ok || before.Version < probe.Version || !c.sameProcess(probe.Gateway, before.EndedAt, probe.EndedAt) {
				seen[probe.Gateway] = probe
			}
		case 404:
			c.checkMissingRoute(probe, seen[probe.Gateway])
		}
	}
}

// checkMissingRoute checks a probe that was not routed: the gateway uses an older configuration than the probe's version, or one so
// much newer that it no longer has the route.
func (c *checker) checkMissingRoute(probe, seen Request) {
	if c.newestSent(probe.EndedAt) >= probe.Version+probeRoutes {
		return
	}
	if seen.Version >= probe.Version && probe.SentAt > seen.EndedAt+rollbackSlack && c.sameProcess(probe.Gateway, seen.SentAt, probe.EndedAt) {
		c.report(RuleConfigRollback, probe.SentAt, "%s has no route for version %d, which it had at %.2f s", probe.Gateway, probe.Version, seen.EndedAt.Seconds())
	}
	acknowledged := c.acknowledgedAt(probe.Version)
	if probe.SentAt > acknowledged+configBound+schedulingSlack && c.inContact(probe.Gateway, probe.SentAt) {
		c.report(RuleStaleConfig, probe.SentAt, "%s has no route for version %d, which was acknowledged at %.2f s", probe.Gateway, probe.Version, acknowledged.Seconds())
	}
}

// newestSent returns the highest version that an operator had sent by a time.
func (c *checker) newestSent(by time.Duration) (version uint64) {
	for _, operation := range c.record.Operations {
		if operation.Kind == PutOperation && operation.Call <= by {
			version = max(version, operation.Version)
		}
	}
	return version
}

// acknowledgedAt returns when a version or a higher one was first acknowledged.
func (c *checker) acknowledgedAt(version uint64) time.Duration {
	at := c.record.EndedAt
	for _, operation := range c.record.Operations {
		if operation.Kind == PutOperation && operation.Acknowledged() && operation.Version >= version {
			at = min(at, operation.Return)
		}
	}
	return at
}

// sameProcess reports whether a gateway's process neither exited nor started between two times.
func (c *checker) sameProcess(gateway string, from, to time.Duration) bool {
	return !slices.ContainsFunc(c.record.Processes, func(event ProcessEvent) bool {
		return event.Process == gateway && event.At >= from && event.At <= to
	})
}
