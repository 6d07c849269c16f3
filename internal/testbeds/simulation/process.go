package simulation

import (
	"slices"
	"time"
)

// clockDrift is the width of the range from which clocks' rates are drawn, around that of simulated time.
const clockDrift = 0.004

// process is what members and gateways have in common: a process on a machine with links and a clock, which may be killed,
// frozen and thawed.
type process struct {
	name        string // in the trace, and of its links
	incarnation int    // counts its starts
	startedAt   time.Duration
	up          bool

	clockRate   float64 // of its monotonic clock, against simulated time
	clockOffset time.Duration

	paused            bool
	queuedWhilePaused []func() // what arrived meanwhile
	pendingTick       func()   // at most one, since a timer that has elapsed several times fires once
	resumedAt         time.Duration

	isMember                  bool
	inboundCuts, outboundCuts int // how many faults cut it from other members, by direction
	isolations                int // how many cut it from all nodes
	isolatedAt                time.Duration
}

// startProcess begins a new incarnation, with a clock of its own.
func (c *cluster) startProcess(p *process) {
	p.incarnation++
	p.up, p.startedAt = true, c.now
	p.paused, p.queuedWhilePaused, p.pendingTick, p.resumedAt = false, nil, nil, 0
	p.clockOffset = 0
	p.clockRate = 1 + clockDrift*(c.random.Float64()-0.5)
}

// monotonicTime is what a process reads from its monotonic clock, which starts at zero with the process and drifts.
func (c *cluster) monotonicTime(p *process) time.Duration {
	return time.Duration(float64(c.now-p.startedAt)*p.clockRate) + p.clockOffset
}

// runOn has a process do something now, or when it thaws, or never if that incarnation has ended.
func (c *cluster) runOn(p *process, incarnation int, do func()) {
	switch {
	case !p.up || p.incarnation != incarnation:
	case p.paused:
		p.queuedWhilePaused = append(p.queuedWhilePaused, do)
	default:
		do()
	}
}

// freeze stops a process for a while, as a paused virtual machine is. What arrives meanwhile is done when it thaws.
func (c *cluster) pause(p *process, span time.Duration) {
	if !p.up {
		return
	}
	p.paused = true
	incarnation := p.incarnation
	c.after(span, func() {
		if p.up && p.incarnation == incarnation && p.paused {
			c.resume(p)
		}
	})
}

func (c *cluster) resume(p *process) {
	p.paused, p.resumedAt = false, c.now
	held := p.queuedWhilePaused
	p.queuedWhilePaused = nil
	if p.pendingTick != nil { // the timer may fire before what lay in the sockets is read, or after
		held, p.pendingTick = slices.Insert(held, c.random.IntN(len(held)+1), p.pendingTick), nil
	}
	c.tracef("%s thaws", p.name)
	for _, do := range held {
		do()
	}
}
