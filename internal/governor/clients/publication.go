package clients

// sendChanges sends each proxy what the step has changed for it. Proxies that get the same share the bytes.
func (s *routingState) sendChanges(c *codec) {
	toAll := s.mark != nil && s.mark.AllProxies
	for _, id := range s.order {
		proxy := s.proxies[id]
		if !toAll && s.isUnchanged(proxy) {
			continue
		}
		s.viewsBuffer = s.viewsFor(proxy, s.viewsBuffer[:0])
		message := s.message(c, proxy, s.viewsBuffer)
		if len(message) > 0 && s.mark != nil {
			proxy.conn.sendMarked(message, s.mark.Version)
		} else if len(message) > 0 {
			proxy.conn.send(message)
		}
		proxy.newlyBound, proxy.ejectionsChanged = 0, false
	}
	s.endStep()
}

// endStep forgets the changes of the step and what was made of them.
func (s *routingState) endStep() {
	for _, t := range s.tables {
		t.cleared, t.changedLevels = false, 0
		clear(t.changedWeights)
	}
	clear(s.renderedViews)
	clear(s.encodedMessages)
	s.mark, s.withdrawalsChanged = nil, false
}

// message returns what a proxy is to be sent, empty if nothing. Proxies without ejections of any kind that have the same
// views share one message.
func (s *routingState) message(c *codec, proxy *proxyState, views []tableView) []byte {
	isShared := len(s.withdrawn) == 0 && len(proxy.ejected) == 0 && len(proxy.ejections) == 0 && proxy.seen == nil
	if isShared {
		s.keyBuffer = appendKey(s.keyBuffer[:0], views)
		if message, made := s.encodedMessages[string(s.keyBuffer)]; made {
			return message
		}
	}
	var message []byte
	parts := s.parts(proxy, views)
	for i := range parts {
		parts[i].continued = i < len(parts)-1
		message = c.encode(message, &parts[i])
	}
	if isShared {
		s.encodedMessages[string(s.keyBuffer)] = message
	}
	return message
}

// appendKey appends what tells views apart.
func appendKey(key []byte, views []tableView) []byte {
	for _, view := range views {
		full := byte(0)
		if view.full {
			full = 1
		}
		key = append(key, byte(view.table), byte(view.table>>8), byte(view.set), byte(view.set>>8), full)
	}
	return key
}

// parts returns the parts of a message, the last of which has the version to acknowledge.
func (s *routingState) parts(proxy *proxyState, views []tableView) []assignment {
	var parts []assignment
	for _, view := range views {
		parts = append(parts, s.assignments(view)...)
	}
	if changes := s.ejectionChanges(proxy, parts); changes.lineCount() > 0 {
		parts = append(parts, changes)
	}
	if s.mark == nil || len(parts) == 0 && !s.mark.AllProxies {
		return parts
	}
	if len(parts) == 0 {
		parts = append(parts, assignment{})
	}
	parts[len(parts)-1].mark = s.mark
	return parts
}
