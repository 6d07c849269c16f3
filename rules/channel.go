package rules

import "slices"

// channelBatch is what one Step has put into the channel to the proxies.
type channelBatch struct {
	sentAt                   Time
	entries                  float64
	messages, unacknowledged float64 // messages in all, and those not yet acknowledged
}

// reserve reserves room for up to n times so many entries to each proxy, and returns for how many times there is room. The
// fixed cost of a message is counted once a proxy and Step.
func (g *Governor) reserve(now Time, proxies []*proxy, n int, lines, room float64, messages int) int {
	heads := 0.0
	for _, p := range proxies {
		if p.lastStep == g.step {
			continue
		}
		heads += g.cfg.messageEntries
		for len(p.messages) > 0 && p.messages[0] <= now-Time(g.cfg.messageSpan) {
			p.messages = p.messages[1:]
		}
		if len(p.messages) >= messages {
			return 0
		}
	}
	each := float64(len(proxies)) * lines
	if each > 0 {
		n = min(n, max(int((room-g.queuedEntries-heads)/each), 0))
	}
	if n == 0 {
		return 0
	}
	for _, p := range proxies {
		if p.lastStep != g.step {
			p.lastStep, p.messages = g.step, append(p.messages, now)
			g.stepMessages++
		}
	}
	heads += float64(n) * each
	g.stepEntries, g.queuedEntries = g.stepEntries+heads, g.queuedEntries+heads
	return n
}

// recordBatch records what this Step has put into the channel, and requests its acknowledgement.
func (g *Governor) recordBatch(now Time) {
	if g.stepMessages > 0 {
		g.channelVersion++
		g.orders = append(g.orders, AckRequest{Version: g.channelVersion})
		g.channel = append(g.channel, channelBatch{now, g.stepEntries, g.stepMessages, g.stepMessages})
	}
}

// acknowledge records that a proxy has applied a message. Until then all of a batch may still wait, however slow the
// channel has become.
func (g *Governor) acknowledge(e Applied) {
	at := len(g.channel) - 1 - int(g.channelVersion-e.Version)
	if at < 0 {
		return
	}
	g.releaseBatches(at)
	c := &g.channel[0]
	if c.unacknowledged--; c.unacknowledged <= 0 {
		g.releaseBatches(1)
	}
	g.queuedEntries -= c.entries / c.messages
}

// discardExpired drops batches that are older than batchLifetime, forgotten replicas, and the pending changes of an earlier
// publication.
func (g *Governor) discardExpired(now Time) {
	g.replicas = slices.DeleteFunc(g.replicas, func(r *replica) bool { return g.byID[r.id] != r })
	for _, t := range g.tables {
		t.urgent, t.changes, t.movedFlows = t.urgent[:0], t.changes[:0], 0
	}
	old := 0
	for old < len(g.channel) && now-g.channel[old].sentAt > Time(g.cfg.batchLifetime) {
		old++
	}
	g.releaseBatches(old)
}

// releaseBatches drops the channel's n oldest batches.
func (g *Governor) releaseBatches(n int) {
	for _, c := range g.channel[:n] {
		g.queuedEntries -= c.entries * c.unacknowledged / c.messages
	}
	g.channel = g.channel[n:]
}
