package simulation

import (
	"slices"
	"time"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// Request load and timing.
const (
	meanRequestInterval = 60 * time.Millisecond // per gateway
	drainingRequests    = 4                     // one in this many requests still reaches a gateway that is not serving
	requestLatency      = time.Second           // the route's latency target
	requestTimeLeft     = 3 * time.Second
	forwardingTime      = 2 * time.Millisecond // a gateway forwards requests sequentially
	serviceTime         = 150 * time.Millisecond
	connectRefusedTime  = time.Millisecond
)

// requestRepeatedly sends requests to a gateway at random intervals.
func (c *cluster) requestRepeatedly(g *gatewayNode, incarnation int) {
	if !g.up || g.incarnation != incarnation {
		return
	}
	c.runOn(&g.process, incarnation, func() { c.forwardRequest(g) })
	c.after(c.randomBelow(2*meanRequestInterval), func() { c.requestRepeatedly(g, incarnation) })
}

// forwardRequest has a gateway route one request to a replica or reject it.
func (c *cluster) forwardRequest(g *gatewayNode) {
	if g.router.Config() == nil {
		return
	}
	now := c.monotonicTime(&g.process)
	c.checkWindowSettles(g)
	c.checkWarmupQuotas()
	if !g.router.IsServing() && c.random.IntN(drainingRequests) > 0 || g.router.RejectsRequests(now) {
		return
	}
	g.router.StartRequest(now, serviceName)
	c.retryLog.requests = append(c.retryLog.requests, c.now)
	c.exhaustRetryBudget(g)
	pick := g.router.Pick(now, router.PickRequest{Service: serviceName, Admission: admission.Request{Route: "r", LatencyTarget: requestLatency, TimeLeft: requestTimeLeft}})
	if c.history != nil {
		c.history.add(entryPick, c.now, historyGateways+g.index, now, pick)
	}
	c.checkConfigIsCurrent(g)
	if pick.EndpointID == "" {
		g.router.EndRequest(now, true, false)
		return
	}
	c.measureRequest(g)
	i := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.id == pick.EndpointID })
	if i < 0 {
		c.violationf("%s sends to %s, which never existed", g.name, pick.EndpointID)
		return
	}
	c.checkRequest(g, c.replicas[i])
	c.endAttemptLater(g, c.replicas[i], pick.AttemptID)
}

// measureRequest records the latency of a request that is forwarded now.
func (c *cluster) measureRequest(g *gatewayNode) {
	c.result.Requests++
	start := max(c.now, g.idleAt)
	g.idleAt = start + forwardingTime
	latencies := &c.result.RequestLatencies[c.openWindowIndex()]
	*latencies = append(*latencies, start-c.now+forwardingTime+serviceTime)
}

// endAttemptLater ends an attempt after the service time, or almost immediately with a refused connection if the
// replica is gone.
func (c *cluster) endAttemptLater(g *gatewayNode, r *replica, attemptID uint64) {
	result, took := router.AttemptResult{AttemptID: attemptID, Result: loadbalancer.Success, Latency: serviceTime, Load: loadbalancer.Load{Running: replicaSlots, Waiting: 1, Slots: replicaSlots}}, serviceTime
	if !r.alive {
		result, took = router.AttemptResult{AttemptID: attemptID, Result: loadbalancer.ConnectFailed, ConnectionRefused: true}, connectRefusedTime
	}
	incarnation := g.incarnation
	c.after(took, func() {
		c.runOn(&g.process, incarnation, func() { c.endAttempt(g, result) })
	})
}

// endAttempt passes the outcome of an attempt to the gateway, which reports it to its member if it is an outlier.
func (c *cluster) endAttempt(g *gatewayNode, result router.AttemptResult) {
	g.router.EndRequest(c.monotonicTime(&g.process), true, false)
	ended := g.router.EndAttempt(c.monotonicTime(&g.process), result)
	if c.history != nil {
		c.history.add(entryAttempt, c.now, historyGateways+g.index, result, ended)
	}
	if ended.Observation != nil && g.member != nil {
		c.sendReport(g.member, g, g.stream, &messages.LoadReport{Observations: []fleet.Observation{*ended.Observation}})
	}
}
