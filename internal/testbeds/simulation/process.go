package simulation

import (
	"slices"
	"time"
)

// clockDrift is the width of the range of clock rates around 1.
const clockDrift = 0.004

// process is a member or gateway process on a machine with links and a clock. It can be killed and paused.
type process struct {
	name        string // in the trace and in links
	incarnation int    // number of starts
	startedAt   time.Duration
	up          bool

	clockRate   float64 // of the monotonic clock, relative to simulated time
	clockOffset time.Duration

	paused            bool
	queuedWhilePaused []func()
	pendingTick       func() // at most one, since a timer that expires repeatedly during a pause fires once
	resumedAt         time.Duration

	isMember                  bool
	inboundCuts, outboundCuts int // active faults that cut it off from other members, by direction
	isolations                int // active faults that cut it off from all nodes
	isolatedAt                time.Duration
	isolationEndedAt          time.Duration // of the last isolation from all nodes
}

// startProcess starts a new incarnation with a new clock.
func (c *cluster) startProcess(p *process) {
	p.incarnation++
	p.up, p.startedAt = true, c.now
	p.paused, p.queuedWhilePaused, p.pendingTick, p.resumedAt = false, nil, nil, 0
	p.clockOffset = 0
	p.clockRate = 1 + clockDrift*(c.random.Float64()-0.5)
}

// monotonicTime returns the reading of a process's monotonic clock, which starts at zero with the process and drifts.
func (c *cluster) monotonicTime(p *process) time.Duration {
	return time.Duration(float64(c.now-p.startedAt)*p.clockRate) + p.clockOffset
}

// runOn runs a function on a process: now, when it resumes, or never if the incarnation has ended.
func (c *cluster) runOn(p *process, incarnation int, do func()) {
	switch {
	case !p.up || p.incarnation != incarnation:
	case p.paused:
		p.queuedWhilePaused = append(p.queuedWhilePaused, do)
	default:
		do()
	}
}

// pause stops a process for a while, like a suspended virtual machine. Its events are queued until it resumes.
func (c *cluster) pause(p *process, duration time.Duration) {
	if !p.up {
		return
	}
	p.paused = true
	incarnation := p.incarnation
	c.after(duration, func() {
		if p.up && p.incarnation == incarnation && p.paused {
			c.resume(p)
		}
	})
}

func (c *cluster) resume(p *process) {
	p.paused, p.resumedAt = false, c.now
	queued := p.queuedWhilePaused
	p.queuedWhilePaused = nil
	if p.pendingTick != nil { // the timer fires at a random position among the queued messages
		queued, p.pendingTick = slices.Insert(queued, c.random.IntN(len(queued)+1), p.pendingTick), nil
	}
	c.tracef("%s resumes", p.name)
	for _, do := range queued {
		do()
	}
}
