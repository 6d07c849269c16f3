package emulate

import (
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// channelBatch is a message in a governor's channel until the channel has sent it.
type channelBatch struct {
	sentAt rules.Time
	lines  float64
}

// proxyMessage is what one message tells a proxy. Tables are shown as they stand at the end of the step.
type proxyMessage struct {
	session    *proxySession
	tables     []*tableSnapshot // by traffic group; nil: unbound
	admissions []rules.Admit
	ejected    map[rules.ReplicaID]bool // nil: as before
	lines      float64
}

// publish puts one message for each proxy concerned by the step into the channel. A mark asks proxies to acknowledge theirs.
func (g *governor) publish(mark *rules.AckRequest) {
	var messages []proxyMessage
	for _, session := range g.sessionOrder {
		lines := float64(g.changedLines(session))
		if lines == 0 && (mark == nil || !mark.AllProxies) {
			continue
		}
		if mark != nil {
			lines++
		}
		messages = append(messages, g.compose(session, lines+g.sim.fleet.MessageOverhead))
	}
	for _, message := range messages {
		g.send(message, mark)
	}
	for _, t := range g.tables {
		t.changedLines, t.cleared, t.changedAdmissions = 0, false, 0
	}
	g.sim.monitor.checkChannel(g)
}

// changedLines counts the lines that it takes to bring a proxy up to date.
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
		if session.rebound&(1<<group) != 0 || t.cleared { // all of it has to be sent
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

// compose makes the message of a session.
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
	if session.changedEjections > 0 || session.rebound != 0 {
		message.ejected = g.ejections(session)
	}
	session.changedEjections = 0
	return message
}

// admission is what holds for a traffic group of a table: the stricter level of the table's order and the one for all tables.
func (g *governor) admission(t *weightTable, group int) rules.Admit {
	admission := defaultAdmission
	if t.admissionGroups>>group&1 == 1 {
		admission = t.admissions[group]
	}
	if all, is := g.allTables[rules.GroupID(group)]; is {
		admission.Level = min(admission.Level, all.Level)
	}
	return admission
}

// ejections are the replicas that a proxy may not use: those ejected for all proxies and those for it alone.
func (g *governor) ejections(session *proxySession) map[rules.ReplicaID]bool {
	ejected := map[rules.ReplicaID]bool{}
	for id, out := range g.withdrawn {
		ejected[id] = out
	}
	for id, out := range session.ejected {
		ejected[id] = ejected[id] || out
	}
	return ejected
}

// send puts a message into the channel and schedules its arrival. The messages of a session arrive in order.
func (g *governor) send(message proxyMessage, mark *rules.AckRequest) {
	sim, session := g.sim, message.session
	g.enqueue(session, message.lines)
	travel := rules.Time(sim.uniform(sim.fleet.MaxMessageDelay/4, sim.fleet.MaxMessageDelay))
	session.lastArrival = max(g.channelFreeAt+travel, session.lastArrival)
	delay := time.Duration(session.lastArrival - sim.now)
	incarnation := g.incarnation
	sim.schedule(delay, func() {
		if g.sessions[session.proxy.id] == session && g.incarnation == incarnation && session.proxy.up {
			g.receiveMessage(message, mark, delay)
		}
	})
	session.rebound = 0
}

// receiveMessage has a proxy apply a message, and acknowledge it where it carries a mark.
func (g *governor) receiveMessage(message proxyMessage, mark *rules.AckRequest, delay time.Duration) {
	sim, session, p := g.sim, message.session, message.session.proxy
	p.busyUntil = max(p.busyUntil, sim.now) + rules.Time(time.Duration(message.lines)*sim.fleet.ApplyTimePerLine)
	p.applyMessage(message)
	if mark == nil {
		return
	}
	incarnation := g.incarnation
	sim.schedule(time.Duration(p.busyUntil-sim.now)+sim.fleet.LocalDelay, func() {
		if g.sessions[p.id] == session && g.incarnation == incarnation {
			g.post(rules.Applied{Proxy: p.id, Version: mark.Version, Delay: delay})
		}
	})
}

// enqueue puts the lines of a message into the channel, which sends at a fixed rate in order.
func (g *governor) enqueue(session *proxySession, lines float64) {
	sim := g.sim
	sending := time.Duration(lines / sim.fleet.ChannelRate * g.channelSlowdown * float64(time.Second))
	if sim.config.UnlimitedChannel {
		sending = 0
	}
	g.channelFreeAt = max(g.channelFreeAt, sim.now) + rules.Time(sending)
	g.channelBatches = append(g.channelBatches, channelBatch{g.channelFreeAt, lines})
	sim.current.ChannelLines += lines
	sim.current.Messages++
	windowStart := sim.now - rules.Time(sim.fleet.MessageWindow)
	for len(session.recentMessages) > 0 && session.recentMessages[0] <= windowStart {
		session.recentMessages = session.recentMessages[1:]
	}
	session.recentMessages = append(session.recentMessages, sim.now)
	sim.monitor.checkMessages(g, session)
}

// queuedLines is how many lines are in the channel.
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
