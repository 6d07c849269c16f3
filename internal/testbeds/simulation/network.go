package simulation

import "time"

// Delays of messages: a fixed part and, on average, a random one.
const (
	minMessageDelay       = 500 * time.Microsecond
	meanExtraMessageDelay = time.Millisecond // beyond the fixed part
)

// link is one direction between two nodes, by their names.
type link struct{ from, to string }

// send takes a message from one process to another. Messages on a link arrive in order, but for the share (reorder) that
// comes late; another share (loss) is lost, as is what would arrive while the link is cut or after the receiver has ended.
func (c *cluster) send(from, to *process, loss, reorder float64, arrive func()) {
	if c.random.Float64() < loss {
		return
	}
	l := link{from.name, to.name}
	at := c.now + minMessageDelay + time.Duration(c.random.ExpFloat64()*float64(meanExtraMessageDelay))
	if c.random.Float64() < reorder { // on an older connection, handled late
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

// sendReliably takes a message over a connection that loses and reorders nothing, as long as the link is not cut.
func (c *cluster) sendReliably(from, to *process, arrive func()) { c.send(from, to, 0, 0, arrive) }

// cutFor cuts links for a while. Cuts of one link may overlap.
func (c *cluster) cutFor(links []link, span time.Duration) {
	for _, l := range links {
		c.cutLinks[l]++
		c.after(span, func() { c.cutLinks[l]-- })
	}
}

// isCut reports whether nothing passes from one process to another.
func (c *cluster) isCut(from, to *process) bool {
	if c.cutLinks[link{from.name, to.name}] > 0 || from.isolations > 0 || to.isolations > 0 {
		return true
	}
	return from.isMember && to.isMember && (from.outboundCuts > 0 || to.inboundCuts > 0)
}

// isCutOff reports whether a member is cut off, in one direction at least, from all other members.
func (p *process) isIsolated() bool {
	return p.isolations > 0 || p.outboundCuts > 0 || p.inboundCuts > 0
}
