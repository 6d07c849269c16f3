package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// overloadBuckets is the number of buckets of an overload window.
const overloadBuckets = 20

// overloadWindow is a sliding window that compares the work arriving at a replica with its capacity. It covers the fleet's
// overload window in buckets of equal length.
type overloadWindow struct {
	arrivedWork  [overloadBuckets]float64
	capacity     [overloadBuckets]float64
	latestBucket int64 // absolute number of the latest bucket
}

// currentBucket returns the absolute number of the bucket that contains the current time.
func (m *monitor) currentBucket() int64 {
	return int64(m.sim.now) * overloadBuckets / int64(m.sim.fleet.OverloadWindow)
}

// advanceWindow advances a replica's window to the current time. It is called often enough that the current capacity is a good
// approximation for each new bucket.
func (m *monitor) advanceWindow(r *replica) {
	bucket := m.currentBucket()
	if r.latestBucket == 0 || bucket-r.latestBucket >= overloadBuckets {
		r.arrivedWork, r.capacity = [overloadBuckets]float64{}, [overloadBuckets]float64{}
		r.latestBucket = bucket - 1
	}
	for r.latestBucket < bucket {
		r.latestBucket++
		i := r.latestBucket % overloadBuckets
		r.arrivedWork[i] = 0
		r.capacity[i] = r.coreRate() * float64(r.cores) * m.sim.fleet.OverloadWindow.Seconds() / overloadBuckets
	}
}

// recordWarmupWork adds the work of an attempt to the window of a warming replica. If the work of a full window exceeds the
// fleet's overload multiple of the capacity, the replica crashes permanently, which violates an invariant.
func (m *monitor) recordWarmupWork(r *replica, work float64) {
	if !r.isWarmingUp() {
		return
	}
	m.advanceWindow(r)
	r.arrivedWork[r.latestBucket%overloadBuckets] += work
	arrived, capacity := 0.0, 0.0
	for i := range r.arrivedWork {
		if r.capacity[i] == 0 {
			return // no full window yet
		}
		arrived, capacity = arrived+r.arrivedWork[i], capacity+r.capacity[i]
	}
	if arrived < capacity*m.sim.fleet.OverloadMultiple {
		return
	}
	r.crash(false)
	r.overloaded, r.state = true, rules.Deregistered
	m.sim.discovery.update(r)
	m.violate(WarmupLoadBounded, "replica %d, %.1f s old, was brought %.1f times what it can do", r.id, time.Duration(m.sim.now-r.startedAt).Seconds(), arrived/capacity)
}
