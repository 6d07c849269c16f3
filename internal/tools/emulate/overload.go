package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// overloadWindowParts is how finely the load of a replica that warms up is watched.
const overloadWindowParts = 20

// overloadWindow compares the work that arrives at a replica with the work that it could do, over the fleet's overload
// window in parts of equal length.
type overloadWindow struct {
	arrivedWork  [overloadWindowParts]float64
	possibleWork [overloadWindowParts]float64
	windowPart   int64 // number of the latest part
}

// currentPart is the number of the part of the overload window that now belongs to.
func (m *monitor) currentPart() int64 {
	return int64(m.sim.now) * overloadWindowParts / int64(m.sim.fleet.OverloadWindow)
}

// advanceWindow brings a replica's parts up to now. Parts are visited often enough that the capacity of each is the one at
// its beginning.
func (m *monitor) advanceWindow(r *replica) {
	part := m.currentPart()
	if r.windowPart == 0 || part-r.windowPart >= overloadWindowParts {
		r.arrivedWork, r.possibleWork = [overloadWindowParts]float64{}, [overloadWindowParts]float64{}
		r.windowPart = part - 1
	}
	for r.windowPart < part {
		r.windowPart++
		i := r.windowPart % overloadWindowParts
		r.arrivedWork[i] = 0
		r.possibleWork[i] = r.coreRate() * float64(r.cores) * m.sim.fleet.OverloadWindow.Seconds() / overloadWindowParts
	}
}

// recordWarmupWork adds the work of an attempt at a replica that warms up. The replica crashes for good, which violates an
// invariant, once a whole window has brought it more than the fleet's multiple of what it can do.
func (m *monitor) recordWarmupWork(r *replica, work float64) {
	if !r.isWarmingUp() {
		return
	}
	m.advanceWindow(r)
	r.arrivedWork[r.windowPart%overloadWindowParts] += work
	arrived, possible := 0.0, 0.0
	for i := range r.arrivedWork {
		if r.possibleWork[i] == 0 {
			return // not watched for a whole window yet
		}
		arrived, possible = arrived+r.arrivedWork[i], possible+r.possibleWork[i]
	}
	if arrived < possible*m.sim.fleet.OverloadMultiple {
		return
	}
	r.crash(false)
	r.overloaded, r.state = true, rules.Deregistered
	m.sim.discovery.update(r)
	m.violate(WarmupLoadBounded, "replica %d, %.1f s old, was brought %.1f times what it can do", r.id, time.Duration(m.sim.now-r.startedAt).Seconds(), arrived/possible)
}
