package rules

import "slices"

// channelBatch is what one Step has queued in the channel to the proxies.
type channelBatch struct {
	sentAt                   Time
	entries                  float64
	messages, unacknowledged float64 // number of messages, and of those not yet acknowledged
}

// reserve reserves channel space for up to n changes of so many entries each, for every proxy given, and returns for how many
// changes there is space below limit. The fixed cost of a message counts once per proxy and Step.
func (g *Governor) reserve(now Time, proxies []*proxy, n int, entries, limit float64, messages int) int {
	overhead := 0.0
	for _, p := range proxies {
		if p.lastStep == g.step {
			continue
		}
		overhead += g.cfg.messageEntries
		for len(p.messages) > 0 && p.messages[0] <= now-Time(g.cfg.messageSpan) {
			p.messages = p.messages[1:]
		}
		if len(p.messages) >= messages {
			return 0
		}
	}
	perChange := float64(len(proxies)) * entries
	if perChange > 0 {
		n = min(n, max(int((limit-g.queuedEntries-overhead)/perChange), 0))
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
	overhead += float64(n) * perChange
	g.stepEntries, g.queuedEntries = g.stepEntries+overhead, g.queuedEntries+overhead
	return n
}

// recordBatch records what this Step has queued in the channel, and requests its acknowledgement.
func (g *Governor) recordBatch(now Time) {
	if g.stepMessages > 0 {
		g.channelVersion++
		g.orders = append(g.orders, AckRequest{Version: g.channelVersion})
		g.channel = append(g.channel, channelBatch{now, g.stepEntries, g.stepMessages, g.stepMessages})
	}
}

// acknowledge records that a proxy has applied a message, and releases all earlier batches. Entries count as queued until they
// are acknowledged, so that a slow channel is not overfilled.
func (g *Governor) acknowledge(e Applied) {
	older := len(g.channel) - 1 - int(g.channelVersion-e.Version)
	if older < 0 {
		return
	}
	g.releaseBatches(older)
	c := &g.channel[0]
	if c.unacknowledged--; c.unacknowledged <= 0 {
		g.releaseBatches(1)
	}
	g.queuedEntries -= c.entries / c.messages
}

// discardExpired drops batches older than batchLifetime, forgotten replicas, and pending changes that were not sent.
func (g *Governor) discardExpired(now Time) {
	g.replicas = slices.DeleteFunc(g.replicas, func(r *replica) bool { return g.byID[r.id] != r })
	for _, t := range g.tables {
		t.urgent, t.changes, t.movedFlows = t.urgent[:0], t.changes[:0], 0
	}
	expired := 0
	for expired < len(g.channel) && now-g.channel[expired].sentAt > Time(g.cfg.batchLifetime) {
		expired++
	}
	g.releaseBatches(expired)
}

// releaseBatches removes the n oldest batches from the count of queued entries.
func (g *Governor) releaseBatches(n int) {
	for _, c := range g.channel[:n] {
		g.queuedEntries -= c.entries * c.unacknowledged / c.messages
	}
	g.channel = g.channel[n:]
}
