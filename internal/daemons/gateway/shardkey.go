package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	shardKeyHeader  = "X-Shard-Key"
	shardKeyBits    = 16
	shardKeyProblem = shardKeyHeader + " must be present once, as a decimal integer from 0 to 65535\n"

	// Requests wait for an owner until they have used these shares of the time in which they are to be answered.
	ownerWaitShare   = 0.6 // leaves enough to be served in time after an ordinary move
	overdueWaitShare = 0.2 // a client that is refused early can be served by a later attempt

	maxDeadlineShare = 0.45 // of the time until the deadline, for which a request waits at most

	maxOwnerWaits     = 1024                   // requests that wait at the same time
	ownerRetryAfter   = 300 * time.Millisecond // for a request whose shard key had no owner in time
	overdueRetryAfter = time.Second

	notOwnerPause        = 30 * time.Millisecond // before a replica that did not hold a shard key is tried again; doubled each time
	maxNotOwnerDoublings = 4
)

// ownershipWaits lets requests wait until the owners of shard keys change.
type ownershipWaits struct {
	changed chan struct{} // closed and replaced at each change
	count   atomic.Int64  // requests that wait
}

// broadcast wakes all waiting requests. The caller holds the lock that guards changed.
func (o *ownershipWaits) broadcast() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// readShardKey reads the request's shard key if its service needs one. It returns a rejection if the key is missing or
// malformed.
func (f *forwarding) readShardKey(r *http.Request) rejection {
	if !f.sharded {
		return rejection{}
	}
	if values := r.Header[shardKeyHeader]; len(values) == 1 {
		if key, err := strconv.ParseUint(values[0], 10, shardKeyBits); err == nil {
			f.key = uint16(key)
			return rejection{}
		}
	}
	return rejection{status: http.StatusBadRequest, badRequest: causeShardKey, message: shardKeyProblem}
}

// countKey counts the request by its shard key, if it has one.
func (f *forwarding) countKey() {
	if !f.sharded {
		return
	}
	f.gateway.mu.Lock()
	defer f.gateway.mu.Unlock()
	f.gateway.router.CountKey(f.service, f.key)
}

// awaitEndpoint picks an endpoint. While the request's shard key has no owner that can be reached, it waits for one.
func (f *forwarding) awaitEndpoint(client context.Context) pickedEndpoint {
	for waited := false; ; waited = true {
		picked := f.pickEndpoint(false)
		f.ownerToken = picked.Token
		if !picked.OwnerPending {
			return picked
		}
		if !waited {
			f.gateway.count(countOwnerWait)
		}
		share := ownerWaitShare
		if picked.MoveOverdue {
			share = overdueWaitShare
		}
		if !f.waitForOwnership(client, picked.ownershipChanged, f.waitLimit(share)) {
			return picked
		}
	}
}

// waitLimit returns the time until which the request may wait: a share of its latency target after its arrival, but no more than
// maxDeadlineShare of the time until its deadline. A route without a target uses the share of that time alone.
func (f *forwarding) waitLimit(share float64) time.Time {
	allowed := f.request.Deadline.Sub(f.arrivedAt)
	limit := min(share, maxDeadlineShare) * float64(allowed)
	if target := f.route.LatencyTarget; target > 0 {
		limit = min(limit, share*float64(target))
	}
	return f.arrivedAt.Add(time.Duration(limit))
}

// waitForOwnership waits until changed is closed. It returns false at the limit, if the client disconnects or if too many
// requests wait.
func (f *forwarding) waitForOwnership(client context.Context, changed <-chan struct{}, limit time.Time) bool {
	waits := &f.gateway.ownership
	defer waits.count.Add(-1)
	if waits.count.Add(1) > maxOwnerWaits {
		return false
	}
	startedAt := time.Now()
	defer func() { f.attemptTime += time.Since(startedAt) }()
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-client.Done():
	}
	return false
}

// pauseAfterNotOwner waits before another attempt after a replica did not hold the request's shard key: until the key has
// changed hands since the attempt was made, or for a time in which the owner's grant may arrive there.
func (f *forwarding) pauseAfterNotOwner(client context.Context, last pickedEndpoint) {
	limit := time.Now().Add(notOwnerPause << min(f.notOwnerAnswers, maxNotOwnerDoublings))
	f.notOwnerAnswers++
	if latest := f.waitLimit(ownerWaitShare); latest.Before(limit) {
		limit = latest
	}
	token, changed := last.Token, last.ownershipChanged
	for token == last.Token && f.waitForOwnership(client, changed, limit) {
		token, changed = f.gateway.keyToken(f.service, f.key)
	}
}

// keyToken returns the fencing token of a shard key's range, and a channel that is closed once it may have changed.
func (g *Gateway) keyToken(service string, key uint16) (token uint64, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.KeyToken(service, key), g.ownership.changed
}

// ownerPendingRejection returns the rejection of a request whose shard key had no owner in time.
func (f *forwarding) ownerPendingRejection(client context.Context, picked pickedEndpoint) rejection {
	if client.Err() != nil {
		return rejection{aborts: true, counter: countClientGone}
	}
	return rejection{status: http.StatusServiceUnavailable, counter: countOwnerPending, retryAfter: ownerRetryAfterOf(picked)}
}

// ownerRetryAfterOf returns when a client should retry after a pick that found no owner.
func ownerRetryAfterOf(picked pickedEndpoint) time.Duration {
	if picked.MoveOverdue {
		return overdueRetryAfter
	}
	return ownerRetryAfter
}
