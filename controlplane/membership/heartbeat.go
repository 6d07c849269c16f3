package membership

// broadcastHeartbeat sends a heartbeat to all peers.
func (node *Node) broadcastHeartbeat(now Time) {
	heartbeat := node.heartbeat(now)
	heartbeat.ReplyRequested = !node.HasQuorumContact(now)
	for _, m := range node.Peers(now) {
		node.send(m, heartbeat, false)
	}
}

// heartbeat returns a heartbeat message with this node's current state.
func (node *Node) heartbeat(now Time) Message {
	echoes := map[string]ClockReading{}
	for id, p := range node.peers {
		if !p.isSilent(now) {
			echoes[id] = p.clock.reading
		}
	}
	return Message{
		Kind:          Heartbeat,
		ViewNumber:    node.state.View.Number,
		DiskUnhealthy: node.diskUnhealthy,
		Clock:         node.Clock(now),
		Echoes:        echoes,
		Leaving:       node.leaving,
		SyncedView:    node.syncedView,
	}
}

// handleHeartbeat updates the state of the sending peer.
func (node *Node) handleHeartbeat(now Time, m Message) {
	if m.From.ID == node.self.ID {
		return
	}
	p := node.peers[m.From.ID]
	wasSilent := p == nil || p.isSilent(now)
	if p == nil {
		p = &peer{}
		node.peers[m.From.ID] = p
	}
	echo, receivesFromUs := m.Echoes[node.self.ID]
	if wasSilent || receivesFromUs && !p.receivesFromUs {
		p.connectedSince = now
	}
	if m.DiskUnhealthy && !p.diskUnhealthy {
		p.diskUnhealthySince = now
	}
	node.observeClock(now, p, m.Clock)
	p.Member, p.lastHeartbeat = m.From, now
	p.receivesFromUs, p.echoes = receivesFromUs, m.Echoes
	p.diskUnhealthy, p.leaving, p.syncedView = m.DiskUnhealthy, m.Leaving, m.SyncedView
	if receivesFromUs {
		node.observeEcho(now, p, echo)
	}

	// Bring an outdated peer up to date first: it may no longer be a voter.
	if m.ViewNumber < node.state.View.Number {
		node.sendDecided(m.From)
	}
	// Reply immediately, so that the peer learns that its heartbeats arrive. After a restart of all members, nothing can
	// start before.
	if wasSilent || m.ReplyRequested {
		node.send(m.From, node.heartbeat(now), false)
	}
}
