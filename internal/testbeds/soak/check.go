package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds that the checker verifies, as in settingsTemplate.
const (
	contactBound    = 3 * time.Second
	configBound     = 2 * time.Second
	drainBound      = drainDeadline
	evacuationBound = 5 * time.Second
	ackBound        = 5 * time.Second
	rollbackSlack   = 250 * time.Millisecond

	// schedulingSlack allows for scheduling delays on a loaded machine.
	schedulingSlack = 250 * time.Millisecond

	// lateResponseSlack is how long after its deadline a request may still be answered.
	lateResponseSlack = 500 * time.Millisecond
)

// Rule describes the violation of one guarantee.
type Rule string

// Rules that Check verifies.
const (
	RuleExecutedTwice    Rule = "unsafe request executed twice"
	RuleRejectedExecuted Rule = "request rejected as not executed was executed"
	RuleResponseMismatch Rule = "response does not match its request"
	RuleUnknownRequest   Rule = "executed request was not sent by any client"
	RuleDeadlineExceeded Rule = "running gateway did not answer a request by its deadline"
	RuleLinearizability  Rule = "reads and acknowledgements are not linearizable"
	RuleConfigCorrupted  Rule = "configuration read back differs from the one written"
	RuleConfigLost       Rule = "acknowledged configuration lost"
	RuleStaleConfig      Rule = "gateway uses an outdated configuration"
	RuleConfigRollback   Rule = "gateway reverted to an older configuration"
	RuleDeparture        Rule = "request executed by a replica after its acknowledged departure"
	RuleEvacuation       Rule = "request executed in an evacuated zone"
	RuleUnacknowledged   Rule = "operation not acknowledged by a stable control plane"
	RuleUnexpectedExit   Rule = "process exited unexpectedly"
	RuleInternalFault    Rule = "daemon reported an internal fault"
	RuleRecovery         Rule = "gateways did not recover after the last fault"

	RuleUnresponsive   Rule = "member does not respond"
	RuleOwner          Rule = "two replicas held a key and both began requests on it"
	RuleDoubleHold     Rule = "two replicas held a key at the same time"
	RuleKeysUnserved   Rule = "shard keys are not served after the last fault"
	RuleShardUnserved  Rule = "request on a shard key was not served in a calm time"
	RuleConnectionLost Rule = "request on an open connection got no complete response"
)

// Violation is one violation of a guarantee.
type Violation struct {
	Rule     Rule
	At       time.Duration
	Evidence string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.2f s: %s", v.Rule, v.At.Seconds(), v.Evidence)
}

const maxViolationsPerRule = 5

// checker indexes one record and collects its violations.
type checker struct {
	record     *Record
	requests   map[string]*Request
	executions map[string][]Execution // by request
	instances  map[string]*Instance
	violations []Violation
	counts     map[Rule]int
}

// Check returns the violations in a record, sorted by time, with at most maxViolationsPerRule for each rule.
func Check(record *Record) []Violation {
	c := &checker{
		record:     record,
		requests:   map[string]*Request{},
		executions: map[string][]Execution{},
		instances:  map[string]*Instance{},
		counts:     map[Rule]int{},
	}
	for i := range record.Requests {
		c.requests[record.Requests[i].ID] = &record.Requests[i]
	}
	for _, execution := range record.Executions {
		c.executions[execution.RequestID] = append(c.executions[execution.RequestID], execution)
	}
	for _, instance := range record.Instances {
		c.instances[instance.ID] = instance
	}
	c.checkRequests()
	c.checkExecutions()
	c.checkConfigurations()
	c.checkOperations()
	c.checkProcesses()
	c.checkSilences()
	c.checkOwnership()
	c.checkOpenConnections()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.violations
}

func (c *checker) report(rule Rule, at time.Duration, format string, arguments ...any) {
	if c.counts[rule]++; c.counts[rule] <= maxViolationsPerRule {
		c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, arguments...)})
	}
}

// checkRequests compares each request's response with its executions and its deadline.
func (c *checker) checkRequests() {
	for i := range c.record.Requests {
		request := &c.record.Requests[i]
		executions := c.executions[request.ID]
		if request.Kind.isUnsafe() && len(executions) > 1 {
			c.report(RuleExecutedTwice, request.SentAt, "%s by %s: %v", request.ID, request.Gateway, executions)
		}
		if promisesNotExecuted(request.Status) && len(executions) > 0 {
			c.report(RuleRejectedExecuted, request.SentAt, "%s got status %d from %s: %v", request.ID, request.Status, request.Gateway, executions)
		}
		if request.Status == 200 && !matchesExecution(request, executions) {
			c.report(RuleResponseMismatch, request.EndedAt, "%s got body %q from %s: %v", request.ID, request.Body, request.Gateway, executions)
		}
		took := request.EndedAt - request.SentAt
		late := request.TimedOut || took > requestDeadline+lateResponseSlack
		if late && c.clientPathUndisturbed(request.Gateway, request.SentAt, request.EndedAt) {
			c.report(RuleDeadlineExceeded, request.SentAt, "%s (%s) to %s took %v, deadline %v: status %d %s", request.ID, request.Kind, request.Gateway,
				took.Round(time.Millisecond), requestDeadline, request.Status, request.Problem)
		}
	}
}

func promisesNotExecuted(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// matchesExecution reports whether a response body is from a replica that executed the request.
func matchesExecution(request *Request, executions []Execution) bool {
	return slices.ContainsFunc(executions, func(execution Execution) bool {
		if request.Kind.isSharded() {
			return request.Body == fmt.Sprintf("key %d of %s from %s\n", request.Key, request.ID, execution.Instance)
		}
		return request.Body == "body of "+request.ID+" from "+execution.Instance+"\n"
	})
}

// clientPathUndisturbed reports whether a gateway kept running and no fault acted on its client links between two times.
func (c *checker) clientPathUndisturbed(gateway string, from, to time.Duration) bool {
	for _, event := range c.record.Processes {
		if event.Process == gateway && event.At >= from-schedulingSlack && event.At <= to {
			return false
		}
	}
	return !slices.ContainsFunc(c.record.Faults, func(fault FaultEvent) bool {
		disturbs := fault.Kind == PauseGateway || fault.Kind == ResetClients || fault.Kind == StopGateway || fault.Kind == RollGateways
		return disturbs && fault.BeganAt <= to && fault.EndedAt >= from
	})
}

// checkExecutions checks that no request was executed by a replica that had left or in an evacuated zone.
func (c *checker) checkExecutions() {
	for _, execution := range c.record.Executions {
		request := c.requests[execution.RequestID]
		if request == nil {
			c.report(RuleUnknownRequest, execution.At, "%q at %s", execution.RequestID, execution.Instance)
			continue
		}
		if !c.inContact(request.Gateway, execution.At) || !c.inContact(request.Gateway, request.SentAt) {
			continue
		}
		instance := c.instances[execution.Instance]
		if ack := instance.AcknowledgedAt; ack > 0 && execution.At > ack+drainBound+schedulingSlack {
			c.report(RuleDeparture, execution.At, "%s sent by %s to %s, whose %s was acknowledged by %s %v earlier", request.ID, request.Gateway, instance.ID,
				instance.Departure, instance.AcknowledgedBy, (execution.At - ack).Round(time.Millisecond))
		}
		if since, evacuated := c.evacuatedSince(instance.Zone, execution.At); evacuated && execution.At > since+evacuationBound+schedulingSlack {
			c.report(RuleEvacuation, execution.At, "%s sent by %s to %s in zone %s, whose evacuation was acknowledged %v earlier", request.ID, request.Gateway,
				instance.ID, instance.Zone, execution.At-since)
		}
	}
}

// evacuatedSince returns when the latest evacuation of a zone was acknowledged, unless a restore had been requested by then.
func (c *checker) evacuatedSince(zone string, by time.Duration) (since time.Duration, evacuated bool) {
	for _, operation := range c.record.Operations {
		switch {
		case operation.Zone != zone:
		case operation.Kind == EvacuateOperation && operation.Acknowledged() && operation.Return <= by:
			since, evacuated = operation.Return, true
		case operation.Kind == RestoreOperation && operation.Call <= by:
			evacuated = false
		}
	}
	return since, evacuated
}

// controlPlaneStable reports whether no fault had acted on the control plane for at least the contact bound.
func (c *checker) controlPlaneStable(at time.Duration) bool {
	for _, fault := range c.record.Faults {
		contact := contactBound
		if fault.Kind == KillEverything { // gateways and members both have to reconnect
			contact *= 2
		}
		if fault.Kind.affectsControlPlane() && fault.BeganAt <= at && fault.EndedAt+contact >= at {
			return false
		}
	}
	return !c.processChanged(at, func(process string) bool { return strings.HasPrefix(process, "member") })
}

func (c *checker) processChanged(at time.Duration, concerns func(string) bool) bool {
	return slices.ContainsFunc(c.record.Processes, func(event ProcessEvent) bool {
		return concerns(event.Process) && event.At <= at && event.At+contactBound >= at
	})
}

// inContact reports whether the control plane was stable and no fault had acted on the gateway for at least the contact bound.
func (c *checker) inContact(gateway string, at time.Duration) bool {
	if !c.controlPlaneStable(at) || c.processChanged(at, func(process string) bool { return process == gateway }) {
		return false
	}
	return !slices.ContainsFunc(c.record.Faults, func(fault FaultEvent) bool {
		return fault.Kind.affectsGateways() && fault.BeganAt <= at && fault.EndedAt+contactBound >= at
	})
}

// checkProcesses checks that no daemon exited unexpectedly or reported an internal fault, and that all gateways recovered.
func (c *checker) checkProcesses() {
	for _, event := range c.record.Processes {
		if event.Event == ProcessEnded {
			c.report(RuleUnexpectedExit, event.At, "%s: %s", event.Process, event.Detail)
		}
	}
	for _, finding := range c.record.Findings {
		c.report(RuleInternalFault, c.record.EndedAt, "%s: %s", finding.Process, finding.Text)
	}
	if c.record.RecoveredAt == 0 {
		c.report(RuleRecovery, c.record.FaultsEndedAt, "not within %v", recoveryTimeout)
	}
}
