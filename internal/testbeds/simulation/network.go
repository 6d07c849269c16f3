package simulation

import "time"

// Message delays: a fixed part and an exponentially distributed one.
const (
	minMessageDelay       = 500 * time.Microsecond
	meanExtraMessageDelay = time.Millisecond // in addition to minMessageDelay
)

// link is a connection in one direction between two nodes, by name.
type link struct{ from, to string }

// send delivers a message from one process to another. Messages on a link arrive in order, except for a share
// (reorder) that is delayed; another share (loss) is lost. Messages are also lost if the link is cut or the receiver
// has ended by the time of arrival.
func (c *cluster) send(from, to *process, loss, reorder float64, arrive func()) {
	if c.random.Float64() < loss {
		return
	}
	l := link{from.name, to.name}
	at := c.now + minMessageDelay + time.Duration(c.random.ExpFloat64()*float64(meanExtraMessageDelay))
	if c.random.Float64() < reorder { // delayed, as on an older connection
		at += c.randomBelow(max(c.schedule.MaxReorderDelay, 1))
	} else {
		at = max(at, c.lastArrival[l])
		c.lastArrival[l] = at
	}
	incarnation := to.incarnation
	c.after(at-c.now, func() {
		if !c.isCut(from, to) {
			c.runOn(to, incarnation, arrive)
		}
	})
}

// sendReliably delivers a message without loss or reordering, unless the link is cut.
func (c *cluster) sendReliably(from, to *process, arrive func()) { c.send(from, to, 0, 0, arrive) }

// cutFor cuts links for a while. Cuts of a link may overlap.
func (c *cluster) cutFor(links []link, duration time.Duration) {
	for _, l := range links {
		c.cutLinks[l]++
		c.after(duration, func() {
			c.cutLinks[l]--
			c.healedAt[l] = c.now
		})
	}
}

// isCut reports whether messages from one process to another are dropped.
func (c *cluster) isCut(from, to *process) bool {
	if c.cutLinks[link{from.name, to.name}] > 0 || from.isolations > 0 || to.isolations > 0 {
		return true
	}
	return from.isMember && to.isMember && (from.outboundCuts > 0 || to.inboundCuts > 0)
}

// isIsolated reports whether a member is cut off from all other members in at least one direction.
func (p *process) isIsolated() bool {
	return p.isolations > 0 || p.outboundCuts > 0 || p.inboundCuts > 0
}
