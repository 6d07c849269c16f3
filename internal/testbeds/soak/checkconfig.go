package soak

import (
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds the search; a history that it does not decide counts as sound, and is told in the evidence of nothing.
const linearizabilityTimeout = 20 * time.Second

// registerModel is what operators should see of the control plane as a whole: one register that only grows. A put raises it to its
// version at least, a read returns it.
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

// checkOperations checks what operators asked and were answered.
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
			end = int64(c.record.EndedAt + time.Hour) // it may take effect until the end
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: operation, Call: int64(operation.Call), Return: end})
	}
	if porcupine.CheckOperationsTimeout(registerModel, history, linearizabilityTimeout) == porcupine.Illegal {
		c.reportStaleReads()
	}
	c.checkFinalReads()
	c.checkAcknowledgements()
}

// reportStaleReads finds the reads that answered less than what was acknowledged before they were sent. Where there is none, the
// history as a whole is at fault.
func (c *checker) reportStaleReads() {
	found := false
	for _, read := range c.record.Operations {
		if read.Kind != ReadOperation || !read.Acknowledged() {
			continue
		}
		if put := c.newestAcknowledged(read.Call); put.Version > read.Version {
			found = true
			c.report(RuleLinearizability, read.Return, "%s answered version %d, %d was acknowledged by %s at %.3f s, before the read was sent at %.3f s",
				read.Member, read.Version, put.Version, put.Member, put.Return.Seconds(), read.Call.Seconds())
		}
	}
	if !found {
		c.report(RuleLinearizability, c.record.EndedAt, "no order of the operations explains what was answered")
	}
}

// newestAcknowledged is the put of the highest version that was acknowledged by a moment.
func (c *checker) newestAcknowledged(by time.Duration) (newest Operation) {
	for _, operation := range c.record.Operations {
		if operation.Kind == PutOperation && operation.Acknowledged() && operation.Return <= by && operation.Version > newest.Version {
			newest = operation
		}
	}
	return newest
}

// checkFinalReads checks that what was acknowledged is read back at the end.
func (c *checker) checkFinalReads() {
	answered := false
	for _, read := range c.record.Operations {
		if read.Operator != operatorCount || read.Kind != ReadOperation || !read.Acknowledged() {
			continue
		}
		answered = true
		if put := c.newestAcknowledged(read.Call); put.Version > read.Version {
			c.report(RuleConfigLost, read.Return, "%s answers version %d at the end, %d was acknowledged by %s", read.Member, read.Version, put.Version, put.Member)
		}
	}
	if !answered {
		c.report(RuleConfigLost, c.record.EndedAt, "no member answers a read at the end")
	}
}

// checkAcknowledgements checks that an order which is given again and again is acknowledged in calm times.
func (c *checker) checkAcknowledgements() {
	type order struct {
		kind    OperationKind
		version uint64
	}
	first, acknowledged, last := map[order]time.Duration{}, map[order]bool{}, map[order]time.Duration{}
	for _, operation := range c.record.Operations {
		if operation.Kind != PutOperation {
			continue
		}
		key := order{operation.Kind, operation.Version}
		if _, known := first[key]; !known {
			first[key] = operation.Call
		}
		last[key] = operation.Return
		acknowledged[key] = acknowledged[key] || operation.Acknowledged()
	}
	for key, at := range first {
		if !acknowledged[key] && last[key]-at > time.Second && c.stableBetween(at, at+ackBound) {
			c.report(RuleUnacknowledged, at, "version %d, called until %.2f s", key.version, last[key].Seconds())
		}
	}
}

// stableBetween tells whether nothing acted on the control plane or its callers between two moments.
func (c *checker) stableBetween(from, to time.Duration) bool {
	return c.controlPlaneStable(from) && !slices.ContainsFunc(c.record.Faults, func(fault FaultEvent) bool {
		disturbs := fault.Kind.affectsControlPlane() || fault.Kind == DropResponses
		return disturbs && fault.BeganAt <= to && fault.EndedAt >= from-contactBound
	})
}

// checkConfigurations checks which configuration the gateways served by, as probes saw it: a probe's path has a route from its
// version on.
func (c *checker) checkConfigurations() {
	seen := map[string]Request{} // the answered probe of the highest version, by gateway
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

// checkMissingRoute checks a probe that found no route: the gateway serves by an older configuration than the probe's, or by one so
// much newer that the route is gone.
func (c *checker) checkMissingRoute(probe, seen Request) {
	if c.newestSent(probe.EndedAt) >= probe.Version+probeRoutes {
		return
	}
	if seen.Version >= probe.Version && probe.SentAt > seen.EndedAt+rollbackSlack && c.sameProcess(probe.Gateway, seen.SentAt, probe.EndedAt) {
		c.report(RuleConfigRollback, probe.SentAt, "%s has no route of version %d, which it had at %.2f s", probe.Gateway, probe.Version, seen.EndedAt.Seconds())
	}
	acknowledged := c.acknowledgedAt(probe.Version)
	if probe.SentAt > acknowledged+configBound+schedulingSlack && c.inContact(probe.Gateway, probe.SentAt) {
		c.report(RuleStaleConfig, probe.SentAt, "%s has no route of version %d, which was acknowledged at %.2f s", probe.Gateway, probe.Version, acknowledged.Seconds())
	}
}

// newestSent is the highest version that an operator had sent by a moment.
func (c *checker) newestSent(by time.Duration) (version uint64) {
	for _, operation := range c.record.Operations {
		if operation.Kind == PutOperation && operation.Call <= by {
			version = max(version, operation.Version)
		}
	}
	return version
}

// acknowledgedAt is when a version or a higher one was first acknowledged.
func (c *checker) acknowledgedAt(version uint64) time.Duration {
	at := c.record.EndedAt
	for _, operation := range c.record.Operations {
		if operation.Kind == PutOperation && operation.Acknowledged() && operation.Version >= version {
			at = min(at, operation.Return)
		}
	}
	return at
}

// sameProcess tells whether a gateway's process neither ended nor began between two moments.
func (c *checker) sameProcess(gateway string, from, to time.Duration) bool {
	return !slices.ContainsFunc(c.record.Processes, func(event ProcessEvent) bool {
		return event.Process == gateway && event.At >= from && event.At <= to
	})
}
