package simulation

import (
	"slices"
	"time"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/router"
)

const (
	meanKeyedInterval = 40 * time.Millisecond // between requests with a key, per gateway
	keyedRetryDelay   = 50 * time.Millisecond
	keyedTimeout      = time.Second // after which an attempt without an answer ends
)

// keyedRequest is a client's request with a shard key. It is retried until its deadline.
type keyedRequest struct {
	gateway     *gatewayNode
	incarnation int // of the gateway
	key         int // index in cluster.shardKeys
	deadline    time.Duration
	calm        bool // it started in calm times
}

// requestKeysRepeatedly sends requests to the sharded service through a gateway at random intervals.
func (c *cluster) requestKeysRepeatedly(g *gatewayNode, incarnation int) {
	if !g.up || g.incarnation != incarnation || c.finished {
		return
	}
	request := &keyedRequest{gateway: g, incarnation: incarnation, key: c.drawKey(), deadline: c.now + requestTimeLeft, calm: c.isCalmForKeys()}
	c.attemptKeyed(request)
	c.after(c.randomBelow(2*meanKeyedInterval), func() { c.requestKeysRepeatedly(g, incarnation) })
}

// drawKey returns the index of a random key: one of the busy ones for half of the requests.
func (c *cluster) drawKey() int {
	if c.random.IntN(2) == 0 {
		return c.keyedTally.firstBusy + c.random.IntN(busyKeys)
	}
	return c.random.IntN(len(c.shardKeys))
}

// attemptKeyed has the gateway route a request once.
func (c *cluster) attemptKeyed(request *keyedRequest) {
	g := request.gateway
	if c.now >= request.deadline {
		c.endKeyed(request, false)
		return
	}
	c.runOn(&g.process, request.incarnation, func() {
		if g.router.Config() == nil || g.router.RejectsRequests(c.monotonicTime(&g.process)) {
			c.retryKeyed(request)
			return
		}
		now := c.monotonicTime(&g.process)
		g.router.StartRequest(now, shardedServiceName)
		pick := g.router.Pick(now, c.keyedPick(request))
		if pick.EndpointID == "" {
			g.router.EndRequest(now, true, false)
			c.retryKeyed(request)
			return
		}
		i := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.id == pick.EndpointID })
		c.after(minMessageDelay, func() { c.arriveKeyed(request, c.replicas[i], pick.AttemptID) })
	})
}

// keyedPick asks the router for the replica of a request.
func (c *cluster) keyedPick(request *keyedRequest) router.PickRequest {
	return router.PickRequest{Service: shardedServiceName, Sharded: true, Key: c.shardKeys[request.key].key, Admission: admission.Request{Route: "s", LatencyTarget: requestLatency, TimeLeft: request.deadline - c.now}}
}

func (c *cluster) retryKeyed(request *keyedRequest) {
	c.after(keyedRetryDelay, func() { c.attemptKeyed(request) })
}

// arriveKeyed has a replica handle a request.
func (c *cluster) arriveKeyed(request *keyedRequest, r *replica, attempt uint64) {
	g, holder := request.gateway, r.shards
	end := func(result loadbalancer.Result, took time.Duration) {
		c.after(took, func() {
			c.endKeyedAttempt(request, router.AttemptResult{AttemptID: attempt, Result: result, Latency: took})
		})
	}
	switch {
	case !r.alive:
		end(loadbalancer.ConnectFailed, connectRefusedTime)
	case holder.paused || c.isCut(&g.process, &holder.process) || c.isCut(&holder.process, &g.process):
		end(loadbalancer.NoResponse, keyedTimeout)
	case holder.keys[request.key].until <= c.now:
		c.result.Sharded.NotHeld++
		end(loadbalancer.NotOwner, minMessageDelay)
	default:
		c.checkRequest(g, r)
		c.checkOwner(r, request.key)
		holder.keys[request.key].running++
		c.after(serviceTime, func() { c.completeKeyed(request, r, attempt) })
	}
}

// completeKeyed ends the execution of a request. It fails if the lease has run out meanwhile.
func (c *cluster) completeKeyed(request *keyedRequest, r *replica, attempt uint64) {
	result := router.AttemptResult{AttemptID: attempt, Result: loadbalancer.Success, Latency: serviceTime}
	if !r.alive {
		result.Result = loadbalancer.NoResponse
		c.endKeyedAttempt(request, result)
		return
	}
	c.runOn(&r.shards.process, r.shards.incarnation, func() {
		held := &r.shards.keys[request.key]
		held.running--
		if held.until <= c.now && !held.released {
			c.result.Sharded.FailedInRun++
			result.Result = loadbalancer.BadResponse
		}
		c.endKeyedAttempt(request, result)
		c.answerReleases(r)
	})
}

// endKeyedAttempt passes the outcome of an attempt to the gateway.
func (c *cluster) endKeyedAttempt(request *keyedRequest, result router.AttemptResult) {
	c.runOn(&request.gateway.process, request.incarnation, func() {
		c.endAttempt(request.gateway, result)
		if result.Result == loadbalancer.Success {
			c.endKeyed(request, true)
			return
		}
		c.retryKeyed(request)
	})
}
