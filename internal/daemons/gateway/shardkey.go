package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

const (
	shardKeyHeader     = "X-Shard-Key"
	shardKeyBits       = 16
	shardKeyProblem    = shardKeyHeader + " must be present once, as a decimal integer from 0 to 65535\n"
	maxOwnerWaits      = 1024                   // requests that wait for an owner at the same time
	ownerWaitShare     = 0.6                    // share of the latency target since arrival until which a request waits for an owner
	ownerRetryAfter    = 300 * time.Millisecond // for a request whose shard key had no owner in time
	notOwnerPause      = 30 * time.Millisecond  // before the owner that did not hold a key is tried again; doubled each time
	maxNotOwnerDoubled = 4
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
		if !picked.OwnerPending {
			return picked
		}
		if !waited {
			f.gateway.count(countOwnerWait)
		}
		if !f.waitForOwnership(client, picked, f.ownerWaitEnd()) {
			return picked
		}
	}
}

// ownerWaitEnd returns the time until which the request may wait for an owner, so that it can still be served within the
// latency target and the deadline.
func (f *forwarding) ownerWaitEnd() time.Time {
	target := f.route.LatencyTarget
	if target <= 0 {
		target = f.request.Deadline.Sub(f.arrivedAt)
	}
	end := f.arrivedAt.Add(time.Duration(ownerWaitShare * float64(target)))
	if deadline := f.request.Deadline; deadline.Before(end) {
		return deadline
	}
	return end
}

// waitForOwnership waits until the owners of shard keys have changed since the pick. It returns false at the end time, if the
// client disconnects, if too many requests wait, or if too little time is left for an attempt.
func (f *forwarding) waitForOwnership(client context.Context, picked pickedEndpoint, end time.Time) bool {
	waits := &f.gateway.ownership
	defer waits.count.Add(-1)
	if waits.count.Add(1) > maxOwnerWaits {
		return false
	}
	startedAt := time.Now()
	defer func() { f.attemptTime += time.Since(startedAt) }()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-picked.ownershipChanged:
		return retry.EnoughTime(f.timeLeft(), f.route.LatencyTarget)
	case <-timer.C:
	case <-client.Done():
	}
	return false
}

// pauseAfterNotOwner waits before another attempt after a replica did not hold the request's shard key: until the owners have
// changed since the attempt was made, or for a time in which the owner's grant may arrive there.
func (f *forwarding) pauseAfterNotOwner(client context.Context, last pickedEndpoint) {
	pause := notOwnerPause << min(f.notOwnerAnswers, maxNotOwnerDoubled)
	f.notOwnerAnswers++
	end := time.Now().Add(pause)
	if limit := f.ownerWaitEnd(); limit.Before(end) {
		end = limit
	}
	f.waitForOwnership(client, last, end)
}

// ownerPendingRejection returns the rejection of a request whose shard key had no owner in time.
func (f *forwarding) ownerPendingRejection(client context.Context) rejection {
	if client.Err() != nil {
		return rejection{aborts: true, counter: countClientGone}
	}
	return rejection{status: http.StatusServiceUnavailable, counter: countOwnerPending, retryAfter: ownerRetryAfter}
}
