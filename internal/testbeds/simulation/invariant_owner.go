package simulation

import "time"

// watchedLease is a lease of a key as the watcher of owners sees it: without the grants that are not counted. It knows nothing of the member that
// granted it.
type watchedLease struct {
	from, until time.Duration
	beganAt     time.Duration // last start of a request during the lease; 0: none
}

// watchGrant records a counted grant of a key to a replica, and checks that no other one holds the key. This is stricter than the rule OWNER, which
// checkOwner checks.
func (c *cluster) watchGrant(r *replica, key int, until time.Duration) {
	lease := &r.shards.keys[key].watched
	if lease.until <= c.now {
		*lease = watchedLease{from: c.now}
	}
	lease.until = max(lease.until, until)
	if lease.until <= c.now {
		return
	}
	for _, other := range c.otherHolders(r, key) {
		c.result.Sharded.DoublyHeldKeys++
		c.violationf("key %d is granted to %s until %.3f s while %s holds it until %.3f s", c.shardKeys[key].key, r.id, lease.until.Seconds(), other.id, other.shards.keys[key].watched.until.Seconds())
	}
}

// checkOwner checks that no two replicas that run hold a key at the same time and both begin requests on it during that time.
func (c *cluster) checkOwner(r *replica, key int) {
	lease := &r.shards.keys[key].watched
	if lease.until <= c.now {
		return
	}
	lease.beganAt = c.now
	for _, other := range c.otherHolders(r, key) {
		others := other.shards.keys[key].watched
		if both := max(lease.from, others.from); others.beganAt >= both {
			c.violationf("OWNER: %s and %s hold key %d since %.3f s and both began requests on it, %s at %.3f s",
				r.id, other.id, c.shardKeys[key].key, both.Seconds(), other.id, others.beganAt.Seconds())
		}
	}
}

// otherHolders returns the running replicas other than r that hold a key.
func (c *cluster) otherHolders(r *replica, key int) (holders []*replica) {
	for _, other := range c.replicas {
		if other != r && other.alive && other.shards != nil && other.shards.keys[key].watched.until > c.now {
			holders = append(holders, other)
		}
	}
	return holders
}
