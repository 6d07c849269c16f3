package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
)

const (
	operatorDeadline       = 5 * time.Second // of a call including retries
	operatorAttemptTimeout = time.Second     // of one attempt, after which another member is called
	connectRetryDelay      = 200 * time.Millisecond
	inconclusiveRetryDelay = 100 * time.Millisecond
	maxAttemptsAtSame      = 4 // with Action.RetrySame
	finalReadDeadline      = 6 * time.Second
	finalReadTimeout       = 5 * time.Second
	delayedCallTime        = time.Second // with the planted bug AcceptDelayedCalls
	finalReadCallNumber    = -1
)

// operatorCall is a call of an operator including retries.
type operatorCall struct {
	number     int // index of the action
	action     Action
	body       string // configuration to submit
	version    uint64
	minVersion uint64 // highest version acknowledged before a read starts
	deadline   time.Duration

	startedAt time.Duration
	done      bool
	endedAt   time.Duration

	attempts      int
	attemptedAt   time.Duration // start of the last attempt
	calledMembers []*member
	redirect      *member // target of the last redirect
	responseLost  bool    // a response was dropped on purpose

	attemptIndex   int // 1 + the index of the current attempt in Result.Attempts; 0: none
	operationIndex int // index of a write in Result.Operations
}

// zone returns the zone that a call refers to.
func (c *cluster) zone(call *operatorCall) string { return c.zoneName(call.action.Target) }

// startAction executes an action of an operator or replica.
func (c *cluster) startAction(index int, action Action) {
	switch action.Kind {
	case DrainReplica:
		if action.Target < len(c.replicas) {
			c.drainReplica(c.replicas[action.Target])
		}
		return
	case StartReplica:
		c.startReplica(action.Target, true)
		return
	case DrainShardedReplica:
		if r := c.shardedReplica(action.Target); r != nil {
			c.drainReplica(r)
		}
		return
	case StartShardedReplica:
		c.startShardedReplica(action.Target, true)
		return
	}
	call := &operatorCall{number: index, action: action, startedAt: c.now, deadline: c.now + operatorDeadline, minVersion: c.acknowledgedVersion}
	switch action.Kind {
	case PutConfig:
		c.preparePut(call)
	case RestoreZone:
		c.prepareRestore(call)
	}
	c.attempt(call)
}

// preparePut creates the configuration of a call and records the write.
func (c *cluster) preparePut(call *operatorCall) {
	name := call.number
	if call.action.Body > 0 {
		name = call.action.Body
	}
	call.version, call.body = call.action.Version, configurationBody(call.action.Version, name, c.schedule.ShardedReplicas > 0)
	c.versionByBody[call.body] = call.version
	call.operationIndex = len(c.result.Operations)
	c.result.Operations = append(c.result.Operations, Operation{Version: call.version, Call: call.startedAt})
}

// prepareRestore records that a zone is about to be restored.
func (c *cluster) prepareRestore(call *operatorCall) {
	zone := c.zone(call)
	if at, evacuated := c.evacuatedAt[zone]; evacuated && c.now > at+evacuationBound && c.faultFreeFor(contactTimeout) {
		for _, r := range c.replicas { // without requests the replicas may have become cold again
			if r.zone == zone && r.alive {
				r.warmupUntil = max(r.warmupUntil, c.now+warmupTime)
			}
		}
	}
	delete(c.evacuatedAt, zone)
	c.restoreCalls = append(c.restoreCalls, call)
}

// attempt makes the next attempt of a call.
func (c *cluster) attempt(call *operatorCall) {
	c.recordAttemptEnd(call)
	if call.done || c.now > call.deadline || c.finished {
		c.checkCallAnswered(call)
		return
	}
	call.attempts++
	call.attemptedAt = c.now
	m := c.nextMember(call)
	if !m.up || m.paused && c.schedule.Tolerance == 0 || m.controller == nil {
		c.after(connectRetryDelay, func() { c.attempt(call) })
		return
	}
	c.lastToken++
	event := c.callEvent(call, c.lastToken)
	m.waitingCalls[event.Token] = call
	attempt := call.attempts
	m.pendingCalls[event.Token] = func(response controller.Response) {
		if c.schedule.Tolerance == 0 || call.attempts == attempt && !c.dropsResponse(m, call, response) {
			c.receiveResponse(m, call, response)
		}
	}
	c.deliverCall(m, event)
	c.after(operatorAttemptTimeout, func() {
		if !call.done && call.attempts == attempt {
			c.attempt(call)
		}
	})
}

// callEvent returns the controller event of an attempt and records the attempt.
func (c *cluster) callEvent(call *operatorCall, token uint64) controller.Event {
	event := controller.Event{Token: token}
	c.recordAttempt(call)
	switch call.action.Kind {
	case ReadConfig:
		call.minVersion = max(call.minVersion, c.acknowledgedVersion)
		event.ReadConfiguration = true
	case SetWindowFloors, RequestWindow, FinishWindow, CancelWindows:
		event.MaintenanceCommand = c.windowCommand(call.action)
	case PutConfig:
		event.Command = &chainreplication.Command{Version: call.version, Body: []byte(call.body)}
	default:
		event.Command = &chainreplication.Command{Zone: c.zone(call), Evacuated: call.action.Kind == EvacuateZone}
	}
	return event
}

// deliverCall delivers a call to a member. In schedules with a Tolerance, a paused member receives it when it resumes.
func (c *cluster) deliverCall(m *member, event controller.Event) {
	if c.schedule.Tolerance == 0 {
		c.step(m, event)
		return
	}
	inSocket := m.paused
	if inSocket {
		m.callsInSocket++
	}
	c.runOn(&m.process, m.incarnation, func() {
		if inSocket {
			m.callsInSocket--
		}
		if c.hasBug(AcceptDelayedCalls) && c.now-m.resumedAt < delayedCallTime {
			incarnation := m.incarnation
			c.after(delayedCallTime, func() { c.runOn(&m.process, incarnation, func() { c.step(m, event) }) })
			return
		}
		c.step(m, event)
	})
}

// nextMember returns the member for the next attempt: the one given by a redirect or the action, the first one again,
// or a random one that has not been called.
func (c *cluster) nextMember(call *operatorCall) *member {
	if c.schedule.Tolerance == 0 {
		return c.pickMember()
	}
	listed := c.listedMembers()
	m := call.redirect
	call.redirect = nil
	switch {
	case m != nil:
	case len(call.calledMembers) == 0 && call.action.To > 0:
		m = listed[(call.action.To-1)%len(listed)]
	case call.retriesSame():
		m = call.calledMembers[0]
	default:
		remaining := slices.DeleteFunc(slices.Clone(listed), func(m *member) bool { return slices.Contains(call.calledMembers, m) })
		if len(remaining) == 0 {
			remaining, call.calledMembers = listed, call.calledMembers[:0]
		}
		m = remaining[c.random.IntN(len(remaining))]
	}
	call.calledMembers = append(call.calledMembers, m)
	return m
}

// retriesSame reports whether the next attempt calls the first member again.
func (call *operatorCall) retriesSame() bool {
	if len(call.calledMembers) == 0 || !call.action.RetrySame || call.attempts >= maxAttemptsAtSame {
		return false
	}
	first := call.calledMembers[0]
	return first.up && !first.paused
}

// dropsResponse reports whether a response is lost in transit, which happens once per call with Action.LoseResponse.
func (c *cluster) dropsResponse(m *member, call *operatorCall, response controller.Response) bool {
	if !call.action.LoseResponse || call.responseLost || response.Status != http.StatusOK {
		return false
	}
	call.responseLost = true
	c.tracef("%s: response %d to call %d is lost", m.name, response.Status, call.number)
	return true
}

// receiveResponse handles a response to an operator.
func (c *cluster) receiveResponse(m *member, call *operatorCall, response controller.Response) {
	if call.done {
		return
	}
	if !isConclusive(response.Status) {
		c.receiveInconclusiveResponse(call, response)
		return
	}
	call.done, call.endedAt = true, c.now
	c.result.AnsweredCalls++
	c.recordResponse(m, call, response)
	switch {
	case call.action.Kind == ReadConfig:
		c.receiveRead(m, call, response)
	case response.Status != http.StatusConflict:
		c.receiveAcknowledgement(m, call)
	}
}

// isConclusive reports whether a status tells the outcome of a call.
func isConclusive(status int) bool {
	return status == http.StatusOK || status == http.StatusNotFound || status == http.StatusConflict
}

// receiveInconclusiveResponse handles a response that leaves the outcome unknown, and retries the call.
func (c *cluster) receiveInconclusiveResponse(call *operatorCall, response controller.Response) {
	c.recordAttemptEnd(call)
	if c.schedule.Tolerance > 0 {
		if response.Status == http.StatusTemporaryRedirect {
			call.redirect = c.memberByAddress[response.Address]
		} else {
			c.checkNotClientError(call, response.Status)
		}
	}
	attempt := call.attempts
	c.after(inconclusiveRetryDelay, func() {
		if call.attempts == attempt {
			c.attempt(call)
		}
	})
}

func (c *cluster) receiveRead(m *member, call *operatorCall, response controller.Response) {
	version := c.checkReadBody(m, response)
	c.result.Operations = append(c.result.Operations, Operation{Read: true, Version: version, Call: call.startedAt, Return: c.now})
	c.checkReadIsCurrent(m, call, version)
}

func (c *cluster) receiveAcknowledgement(m *member, call *operatorCall) {
	c.result.Acknowledged++
	c.result.CommandLatencies = append(c.result.CommandLatencies, c.now-call.attemptedAt)
	c.injectNextDeferred(&c.onAcknowledgement, m)
	c.checkAcknowledgerHasContact(m, call)
	switch call.action.Kind {
	case PutConfig:
		c.result.Operations[call.operationIndex].Return = c.now
		if call.version > c.acknowledgedVersion {
			c.acknowledgedVersion, c.acknowledgedAt = call.version, c.now
		}
	case EvacuateZone:
		if !c.overlapsRestore(call) {
			c.evacuatedAt[c.zone(call)] = c.now
		}
	}
	c.checkDurability(call)
}

// overlapsRestore reports whether a call to restore the same zone was concurrent, which leaves the final state
// undetermined.
func (c *cluster) overlapsRestore(call *operatorCall) bool {
	return slices.ContainsFunc(c.restoreCalls, func(other *operatorCall) bool {
		return c.zone(other) == c.zone(call) && (other.startedAt >= call.startedAt || !other.done || other.endedAt >= call.startedAt)
	})
}

// finalRead reads the configuration after all faults have ended. It must return what was acknowledged.
func (c *cluster) finalRead() {
	c.tracef("final read, expects version %d or newer", c.acknowledgedVersion)
	call := &operatorCall{number: finalReadCallNumber, action: Action{Kind: ReadConfig}, minVersion: c.acknowledgedVersion, startedAt: c.now, deadline: c.now + finalReadDeadline}
	c.attempt(call)
	c.after(finalReadTimeout, func() {
		if !call.done {
			c.violationf("the final read received no conclusive response")
		}
		c.finished = true
	})
}

// configurationBody returns a configuration document, with or without the sharded service. The name distinguishes configurations with the same
// version.
func configurationBody(version uint64, name int, sharded bool) string {
	if sharded {
		return fmt.Sprintf(`{"version":"%08x","services":[{"name":%q,"max_connections":100,"cold_start":"3s","cold_per_s":%g},`+
			`{"name":%q,"max_connections":100,"cold_start":"3s","cold_per_s":%g,"sharded":true,"warm_up":"2s"}],"virtual_hosts":[{"hostname":"h%d","path_routes":[`+
			`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":%q},`+
			`{"name":"s","path_prefix":"/s/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":%q}]}]}`,
			version, serviceName, warmupRate, shardedServiceName, warmupRate, name, serviceName, shardedServiceName)
	}
	return fmt.Sprintf(`{"version":"%08x","services":[{"name":%q,"max_connections":100,"cold_start":"3s","cold_per_s":%g}],"virtual_hosts":[{"hostname":"h%d","path_routes":[`+
		`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":%q}]}]}`, version, serviceName, warmupRate, name, serviceName)
}

// bodyLabel returns the hostname in a configuration, which identifies it in the trace.
func bodyLabel(body string) string {
	const key = `"hostname":`
	if i := strings.Index(body, key); i >= 0 {
		return strings.Trim(strings.SplitN(body[i+len(key):], ",", 2)[0], `"`)
	}
	return body
}
