package simulation

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

const (
	shardedServiceName = "ledger"
	maxLease           = 10 * time.Second       // longest lease that a replica accepts
	thawSlack          = 300 * time.Millisecond // grants within it after a resume or the end of a cut are not counted
	slowestClock       = 0.98                   // rate of a replica's clock

	busyKeys  = 16 // neighbouring keys that get half of the requests
	otherKeys = 48
)

// shardKey is a key that requests bear. Replicas hold ranges of all keys, of which the simulation follows only these.
type shardKey struct {
	key        uint16
	lastHolder string // ID of the replica that was last granted the key
	handover   string // of the last release that was answered, until the next grant
}

// shardHolder is the part of a sharded replica that holds keys.
type shardHolder struct {
	process
	keys     []heldKey // by index in cluster.shardKeys
	releases []pendingRelease
}

// heldKey is what a replica knows about one key.
type heldKey struct {
	token    uint64        // greatest fencing token seen
	until    time.Duration // end of the lease
	released bool          // the lease ended by a release
	running  int           // requests in execution
	watched  watchedLease
}

// pendingRelease is a release that is answered once no request runs on the keys.
type pendingRelease struct {
	call   ownership.Call
	answer func(handover string)
}

// startSharding draws the keys that requests bear and starts the initial replicas.
func (c *cluster) startSharding() {
	if c.schedule.ShardedReplicas == 0 {
		return
	}
	busy := c.random.IntN(ownership.MaxKey - busyKeys)
	drawn := map[uint16]bool{0: true, ownership.MaxKey: true}
	for i := range busyKeys {
		drawn[uint16(busy+i)] = true
	}
	for len(drawn) < busyKeys+otherKeys {
		drawn[uint16(c.random.IntN(ownership.MaxKey+1))] = true
	}
	for key := range drawn {
		c.shardKeys = append(c.shardKeys, shardKey{key: key})
	}
	slices.SortFunc(c.shardKeys, func(a, b shardKey) int { return int(a.key) - int(b.key) })
	c.keyedTally.firstBusy = slices.IndexFunc(c.shardKeys, func(k shardKey) bool { return int(k.key) == busy })
	for i := range c.schedule.ShardedReplicas {
		c.startShardedReplica(i%c.zoneCount(), false)
	}
}

// startShardedReplica starts a replica that holds no keys. The clocks of half of the replicas are as slow as they may be.
func (c *cluster) startShardedReplica(zone int, warming bool) {
	c.startReplica(zone, warming)
	r := c.replicas[len(c.replicas)-1]
	r.service = shardedServiceName
	r.shards = &shardHolder{process: process{name: "replica " + r.id}, keys: make([]heldKey, len(c.shardKeys))}
	c.startProcess(&r.shards.process)
	r.shards.clockRate = slowestClock
	if c.random.IntN(2) == 0 {
		r.shards.clockRate += (1 - slowestClock) * c.random.Float64()
	}
}

// shardedReplica returns the i-th running replica of the sharded service, counted round, or nil if none runs.
func (c *cluster) shardedReplica(i int) *replica {
	var running []*replica
	for _, r := range c.replicas {
		if r.shards != nil && r.alive {
			running = append(running, r)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[i%len(running)]
}

// isSilent reports whether a sharded replica cannot send heartbeats.
func (r *replica) isSilent() bool {
	return r.shards != nil && (r.shards.paused || r.shards.isolations > 0)
}

// keysIn returns the indexes of the keys in the range of a call, as a half-open interval.
func (c *cluster) keysIn(call ownership.Call) (from, to int) {
	compare := func(k shardKey, key int) int { return int(k.key) - key }
	from, _ = slices.BinarySearchFunc(c.shardKeys, int(call.From), compare)
	to, _ = slices.BinarySearchFunc(c.shardKeys, int(call.To)+1, compare)
	return from, to
}

// grant has a replica handle a grant that arrived at the given time. The lease counts from then. Counted tells whether the watcher of owners
// counts the grant.
func (c *cluster) grant(r *replica, call ownership.Call, arrivedAt time.Duration, counted bool) ownership.CallOutcome {
	if call.From > call.To || call.Hold <= 0 || call.Hold > maxLease {
		return ownership.CallRejected
	}
	from, to := c.keysIn(call)
	if slices.ContainsFunc(r.shards.keys[from:to], func(k heldKey) bool { return k.token > call.Token }) {
		c.result.Sharded.Fenced++
		return ownership.CallFenced
	}
	c.result.Sharded.Grants++
	if !counted {
		c.result.Sharded.UncountedGrants++
	}
	until := arrivedAt + time.Duration(float64(call.Hold)/r.shards.clockRate)
	for i := from; i < to; i++ {
		held := &r.shards.keys[i]
		held.token, held.until, held.released = call.Token, max(held.until, until), false
		if counted {
			c.watchGrant(r, i, held.until)
		}
		c.recordMove(r, i, call.Handover)
	}
	return ownership.CallAccepted
}

// recordMove records who was granted a key, and whether with the handover of its last holder.
func (c *cluster) recordMove(r *replica, i int, handover string) {
	key := &c.shardKeys[i]
	if key.lastHolder != "" && key.lastHolder != r.id {
		c.result.Sharded.KeyMoves++
		if handover == "" || handover != key.handover {
			c.result.Sharded.ColdKeyMoves++
		}
	}
	key.lastHolder, key.handover = r.id, ""
}

// release has a replica handle a release, which is answered once no request runs on the keys.
func (c *cluster) release(r *replica, call ownership.Call, answer func(handover string)) {
	c.result.Sharded.Releases++
	from, to := c.keysIn(call)
	for i := from; i < to; i++ {
		held := &r.shards.keys[i]
		held.token = max(held.token, call.Token)
		if held.until > c.now {
			held.until, held.released = c.now, true
		}
		held.watched.until = min(held.watched.until, c.now)
	}
	r.shards.releases = append(r.shards.releases, pendingRelease{call, answer})
	c.answerReleases(r)
}

// answerReleases answers the releases on whose keys no request runs any more.
func (c *cluster) answerReleases(r *replica) {
	pending := r.shards.releases
	r.shards.releases = nil
	for _, release := range pending {
		from, to := c.keysIn(release.call)
		if slices.ContainsFunc(r.shards.keys[from:to], func(k heldKey) bool { return k.running > 0 }) {
			r.shards.releases = append(r.shards.releases, release)
			continue
		}
		handover := fmt.Sprintf("%s-%d", r.id, release.call.Token)
		for i := from; i < to; i++ {
			if c.shardKeys[i].lastHolder == r.id {
				c.shardKeys[i].handover = handover
			}
		}
		release.answer(handover)
	}
}

// injectShardedReplicaFault injects a fault into one sharded replica.
func (c *cluster) injectShardedReplicaFault(fault Fault) {
	r := c.shardedReplica(fault.Target)
	if r == nil {
		return
	}
	c.tracef("%s: %s", r.id, fault.Kind)
	switch fault.Kind {
	case CrashShardedReplica:
		c.endReplica(r)
		c.after(fault.For, func() { c.startShardedReplica(fault.Target, true) })
	case PauseShardedReplica:
		c.pause(&r.shards.process, fault.For)
	case IsolateShardedReplica:
		r.shards.adjustIsolation(fault.Kind, 1)
		c.after(fault.For, func() {
			r.shards.adjustIsolation(fault.Kind, -1)
			r.shards.isolationEndedAt = c.now
		})
	}
}

// cutFromReplicas cuts the links between a member and all sharded replicas, in the directions that the fault affects.
func (c *cluster) cutFromReplicas(m *member, fault Fault) {
	var links []link
	for _, r := range c.replicas {
		if r.shards == nil {
			continue
		}
		if fault.Kind != CutAnswersOfReplicas {
			links = append(links, link{m.name, r.shards.name})
		}
		if fault.Kind != CutCallsToReplicas {
			links = append(links, link{r.shards.name, m.name})
		}
	}
	c.cutFor(links, fault.For)
	c.endFault(fault, func() {})
}

// stepWallClock moves a member's time of day by a random number of seconds for the duration of the fault.
func (c *cluster) stepWallClock(m *member, fault Fault) {
	step := c.randomBelow(maxWallClockStep) - maxWallClockStep/2
	m.wallClockOffset += step
	c.endFault(fault, func() { m.wallClockOffset -= step })
}

const maxWallClockStep = 2 * time.Hour // width of the range of steps around zero
