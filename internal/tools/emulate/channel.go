package emulate

import (
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// channelBatch is a message queued in a governor's channel.
type channelBatch struct {
	sentAt rules.Time
	lines  float64
}

// proxyMessage is an update for one proxy. It contains the tables as of the end of a step.
type proxyMessage struct {
	session    *proxySession
	tables     []*tableSnapshot // by traffic group; nil if unbound
	admissions []rules.Admit
	ejected    map[rules.ReplicaID]bool // nil if unchanged
	lines      float64
}

// publish sends one message to each proxy affected by the step. If ack is set, proxies acknowledge their message.
func (g *governor) publish(ack *rules.AckRequest) {
	var messages []proxyMessage
	for _, session := range g.sessionOrder {
		lines := float64(g.changedLines(session))
		if lines == 0 && (ack == nil || !ack.AllProxies) {
			continue
		}
		if ack != nil {
			lines++
		}
		messages = append(messages, g.compose(session, lines+g.sim.fleet.MessageOverhead))
	}
	for _, message := range messages {
		g.send(message, ack)
	}
	for _, t := range g.tables {
		t.changedLines, t.cleared, t.changedAdmissions = 0, false, 0
	}
	g.sim.monitor.checkChannel(g)
}

// changedLines counts the table lines needed to bring a proxy up to date.
func (g *governor) changedLines(session *proxySession) int {
	lines := session.changedEjections
	counted := make([]int, 0, maxTrafficGroups)
	for group, id := range session.tables {
		if id == unboundTable || slices.Contains(counted, id) {
			continue
		}
		counted = append(counted, id)
		t := g.tables[id]
		admissions := t.changedAdmissions
		if session.reboundGroups&(1<<group) != 0 || t.cleared { // the complete table is sent
			lines += len(t.order) + 1
			admissions = t.admissionGroups
		} else {
			lines += t.changedLines
		}
		for other := range g.sim.fleet.Groups {
			lines += int(admissions >> other & 1)
		}
	}
	return lines
}

// compose builds the message for a session and resets its pending ejection changes.
func (g *governor) compose(session *proxySession, lines float64) proxyMessage {
	message := proxyMessage{
		session:    session,
		tables:     make([]*tableSnapshot, len(session.tables)),
		admissions: make([]rules.Admit, len(session.tables)),
		lines:      lines,
	}
	for group, id := range session.tables {
		if id == unboundTable {
			continue
		}
		message.tables[group] = g.tables[id].snapshot()
		message.admissions[group] = g.admission(g.tables[id], group)
	}
	if session.changedEjections > 0 || session.reboundGroups != 0 {
		message.ejected = g.ejections(session)
	}
	session.changedEjections = 0
	return message
}

// admission returns the admission of a traffic group in a table, with the lower of the table's level and the global level.
func (g *governor) admission(t *weightTable, group int) rules.Admit {
	admission := defaultAdmission
	if t.admissionGroups>>group&1 == 1 {
		admission = t.admissions[group]
	}
	if global, ok := g.globalAdmissions[rules.GroupID(group)]; ok {
		admission.Level = min(admission.Level, global.Level)
	}
	return admission
}

// ejections returns the replicas that a proxy must not use: those ejected for all proxies and those ejected for this one.
func (g *governor) ejections(session *proxySession) map[rules.ReplicaID]bool {
	ejected := map[rules.ReplicaID]bool{}
	for id, out := range g.ejectedForAll {
		ejected[id] = out
	}
	for id, out := range session.ejected {
		ejected[id] = ejected[id] || out
	}
	return ejected
}

// send queues a message in the channel and schedules its arrival. Messages of a session arrive in order.
func (g *governor) send(message proxyMessage, ack *rules.AckRequest) {
	sim, session := g.sim, message.session
	g.enqueue(session, message.lines)
	transit := rules.Time(sim.uniform(sim.fleet.MaxMessageDelay/4, sim.fleet.MaxMessageDelay))
	session.lastArrival = max(g.channelFreeAt+transit, session.lastArrival)
	delay := time.Duration(session.lastArrival - sim.now)
	incarnation := g.incarnation
	sim.schedule(delay, func() {
		if g.sessions[session.proxy.id] == session && g.incarnation == incarnation && session.proxy.up {
			g.receiveMessage(message, ack, delay)
		}
	})
	session.reboundGroups = 0
}

// receiveMessage applies a message at its proxy and acknowledges it if requested.
func (g *governor) receiveMessage(message proxyMessage, ack *rules.AckRequest, delay time.Duration) {
	sim, session, p := g.sim, message.session, message.session.proxy
	p.busyUntil = max(p.busyUntil, sim.now) + rules.Time(time.Duration(message.lines)*sim.fleet.ApplyTimePerLine)
	p.applyMessage(message)
	if ack == nil {
		return
	}
	incarnation := g.incarnation
	sim.schedule(time.Duration(p.busyUntil-sim.now)+sim.fleet.LocalDelay, func() {
		if g.sessions[p.id] == session && g.incarnation == incarnation {
			g.post(rules.Applied{Proxy: p.id, Version: ack.Version, Delay: delay})
		}
	})
}

// enqueue adds the lines of a message to the channel, a FIFO queue with a fixed send rate.
func (g *governor) enqueue(session *proxySession, lines float64) {
	sim := g.sim
	sending := time.Duration(lines / sim.fleet.ChannelRate * g.channelSlowdown * float64(time.Second))
	if sim.config.UnlimitedChannel {
		sending = 0
	}
	g.channelFreeAt = max(g.channelFreeAt, sim.now) + rules.Time(sending)
	g.channelBatches = append(g.channelBatches, channelBatch{g.channelFreeAt, lines})
	sim.currentSecond.ChannelLines += lines
	sim.currentSecond.Messages++
	windowStart := sim.now - rules.Time(sim.fleet.MessageWindow)
	for len(session.recentMessages) > 0 && session.recentMessages[0] <= windowStart {
		session.recentMessages = session.recentMessages[1:]
	}
	session.recentMessages = append(session.recentMessages, sim.now)
	sim.monitor.checkMessages(g, session)
}

// queuedLines returns the number of lines queued in the channel.
func (g *governor) queuedLines() (lines float64) {
	sent := 0
	for sent < len(g.channelBatches) && g.channelBatches[sent].sentAt <= g.sim.now {
		sent++
	}
	g.channelBatches = g.channelBatches[sent:]
	for _, batch := range g.channelBatches {
		lines += batch.lines
	}
	return lines
}
