package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin/shardreplica"
)

const (
	// thawSlack is how long after its sender was resumed, or a link healed, an arriving grant is not counted.
	thawSlack = 300 * time.Millisecond

	// resumptionSlack is how late a resumption may be recorded.
	resumptionSlack = 50 * time.Millisecond

	// shardCalmTime is how long keys may take to be served again after a fault or a departure.
	shardCalmTime = 8 * time.Second
)

// checkOwnership checks that keys have one holder at a time, and that they are served when they must be.
func (c *checker) checkOwnership() {
	holds := c.countedHolds()
	overlaps := shardreplica.FindOverlaps(shardedService, holds, c.record.ShardExecutions)
	for _, overlap := range overlaps {
		c.report(RuleOwner, overlap.Holds[0].Begin, "%v", overlap)
	}
	if len(overlaps) == 0 { // the stricter rule: nobody may rely on the absence of requests
		for _, held := range shardreplica.FindDoubleHolds(holds) {
			c.report(RuleDoubleHold, held.Begin, "%v", held)
		}
	}
	if len(c.record.UnservedKeys) > 0 {
		c.report(RuleKeysUnserved, c.record.FaultsEndedAt, "%d sampled keys within %v: %v", len(c.record.UnservedKeys), recoveryTimeout, c.record.UnservedKeys)
	}
	c.checkCalmRequests()
}

// countedHolds returns the holds of all sharded replicas without the grants that may have been held back by a fault.
func (c *checker) countedHolds() (holds []shardreplica.Hold) {
	calls := map[string][]shardreplica.Call{}
	for _, call := range c.record.ShardCalls {
		if call.Path == "/api/grant" && c.mayHaveBeenHeldBack(call) {
			continue
		}
		calls[call.Replica] = append(calls[call.Replica], call)
	}
	for replica, received := range calls {
		end := c.record.EndedAt
		if instance := c.instances[replica]; instance != nil && instance.EndedAt > 0 {
			end = instance.EndedAt
		}
		holds = append(holds, shardreplica.ReplayHolds(replica, received, end)...)
	}
	return holds
}

func (c *checker) mayHaveBeenHeldBack(call shardreplica.Call) bool {
	return slices.ContainsFunc(c.record.Resumptions, func(r Resumption) bool {
		concerned := (r.Member == "" || r.Member == call.Sender) && (r.Instance == "" || r.Instance == call.Replica)
		return concerned && call.At >= r.At-resumptionSlack && call.At <= r.At+thawSlack
	})
}

// period is a time during which requests on shard keys may fail.
type period struct{ from, to time.Duration }

func periodOverlaps(periods []period, from, to time.Duration) bool {
	return slices.ContainsFunc(periods, func(p period) bool { return p.from <= to && p.to >= from })
}

// departures returns the times of announced departures and evacuations, after which keys move.
func (c *checker) departures() (periods []period) {
	for _, instance := range c.record.Instances {
		if instance.Service == shardedService && instance.AcknowledgedAt > 0 {
			periods = append(periods, period{instance.AcknowledgedAt, instance.AcknowledgedAt})
		}
	}
	for _, operation := range c.record.Operations {
		if operation.Kind == EvacuateOperation || operation.Kind == RestoreOperation {
			periods = append(periods, period{operation.Call, operation.Return})
		}
	}
	return periods
}

// faultPeriods returns the times of faults and of changes of processes.
func (c *checker) faultPeriods() (periods []period) {
	for _, fault := range c.record.Faults {
		periods = append(periods, period{fault.BeganAt, fault.EndedAt})
	}
	for _, event := range c.record.Processes {
		periods = append(periods, period{event.At, event.At})
	}
	return periods
}

// stallPeriods returns the times during which daemons may be out of contact because the machine stalled.
func (c *checker) stallPeriods() (periods []period) {
	for _, stall := range c.record.Stalls {
		periods = append(periods, period{stall.Began, stall.Ended + contactBound})
	}
	return periods
}

// checkCalmRequests checks that requests on shard keys are served if all keys were seen to be served and nothing happened since, or if nothing
// happened for shardCalmTime, and if the machine did not stall.
func (c *checker) checkCalmRequests() {
	departures, faults, stalls := c.departures(), c.faultPeriods(), c.stallPeriods()
	for i := range c.record.Requests {
		request := &c.record.Requests[i]
		if !request.Kind.isSharded() || request.Status == 200 || request.SentAt < c.record.TrafficFrom {
			continue
		}
		first := !periodOverlaps(faults, c.record.TrafficFrom, request.EndedAt)
		last := c.record.KeysServedAt > 0 && request.SentAt >= c.record.KeysServedAt
		calm := first || last || !periodOverlaps(faults, request.SentAt-shardCalmTime, request.EndedAt)
		if calm && !periodOverlaps(departures, request.SentAt-shardCalmTime, request.EndedAt) && !periodOverlaps(stalls, request.SentAt, request.EndedAt) {
			c.report(RuleShardUnserved, request.SentAt, "%s for key %d by %s: status %d %s", request.ID, request.Key, request.Gateway, request.Status, request.Problem)
		}
	}
}

// checkOpenConnections checks that each request on an open connection got a complete response, also while its gateway was being stopped.
func (c *checker) checkOpenConnections() {
	for i := range c.record.Requests {
		request := &c.record.Requests[i]
		lost := request.Reused && request.Status == 0 && !request.TimedOut
		if lost && c.connectionUndisturbed(request) {
			c.report(RuleConnectionLost, request.SentAt, "%s (%s) to %s: %s%s", request.ID, request.Kind, request.Gateway, request.Problem, c.lastStop(request))
		}
	}
}

// connectionUndisturbed reports whether no fault but a stop acted on a request's connection.
func (c *checker) connectionUndisturbed(request *Request) bool {
	from, to := request.SentAt-schedulingSlack, request.EndedAt+schedulingSlack
	for _, event := range c.record.Processes {
		ended := event.Event == ProcessKilled || event.Event == ProcessEnded
		if ended && event.Process == request.Gateway && event.At >= from && event.At <= to {
			return false
		}
	}
	return !slices.ContainsFunc(c.record.Faults, func(fault FaultEvent) bool {
		disturbs := slices.Contains([]FaultKind{KillGateway, RestartPartitionedGateway, KillEverything, PauseGateway, ResetClients}, fault.Kind) ||
			strings.HasPrefix(string(fault.Kind), "hoard")
		return disturbs && fault.BeganAt <= to && fault.EndedAt >= from
	})
}

// lastStop describes the end of a request's gateway by SIGTERM at about the time of the request.
func (c *checker) lastStop(request *Request) string {
	for _, event := range c.record.Processes {
		if event.Event == ProcessStopped && event.Process == request.Gateway && event.At >= request.SentAt-schedulingSlack && event.At <= request.EndedAt+schedulingSlack {
			return fmt.Sprintf(", stopped %v after it was sent", event.At-request.SentAt)
		}
	}
	return ""
}
