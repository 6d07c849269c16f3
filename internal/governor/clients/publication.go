package clients

// sendChanges sends each proxy the changes of the step that concern it. Proxies with equal messages share the bytes.
func (s *routingState) sendChanges(c *codec) {
	toAll := s.ackRequest != nil && s.ackRequest.AllProxies
	for _, id := range s.proxyIDs {
		proxy := s.proxies[id]
		if !toAll && s.isUnchanged(proxy) {
			continue
		}
		s.viewsBuffer = s.viewsFor(proxy, s.viewsBuffer[:0])
		message := s.message(c, proxy, s.viewsBuffer)
		if len(message) > 0 && s.ackRequest != nil {
			proxy.conn.sendWithAckRequest(message, s.ackRequest.Version)
		} else if len(message) > 0 {
			proxy.conn.send(message)
		}
		proxy.newlyBound, proxy.pairEjectionsChanged = 0, false
	}
	s.endStep()
}

// endStep clears the changes of the step and the caches built from them.
func (s *routingState) endStep() {
	for _, t := range s.tables {
		t.cleared, t.changedLevels = false, 0
		clear(t.changedWeights)
	}
	clear(s.renderedViews)
	clear(s.encodedMessages)
	s.ackRequest, s.fleetEjectionsChanged = nil, false
}

// message returns the encoded message for a proxy, empty if there is nothing to send. Proxies that have equal views and no
// ejections share one message.
func (s *routingState) message(c *codec, proxy *proxyState, views []tableView) []byte {
	isShared := len(s.fleetEjections) == 0 && len(proxy.sentEjections) == 0 && len(proxy.pairEjections) == 0 && proxy.weighted == nil
	if isShared {
		s.keyBuffer = appendKey(s.keyBuffer[:0], views)
		if message, cached := s.encodedMessages[string(s.keyBuffer)]; cached {
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

// appendKey appends a key that identifies the views.
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

// parts returns the parts of a proxy's message. The last part carries the acknowledgement request.
func (s *routingState) parts(proxy *proxyState, views []tableView) []assignment {
	var parts []assignment
	for _, view := range views {
		parts = append(parts, s.assignments(view)...)
	}
	if changes := s.ejectionChanges(proxy, parts); changes.entryCount() > 0 {
		parts = append(parts, changes)
	}
	if s.ackRequest == nil || len(parts) == 0 && !s.ackRequest.AllProxies {
		return parts
	}
	if len(parts) == 0 {
		parts = append(parts, assignment{})
	}
	parts[len(parts)-1].ackRequest = s.ackRequest
	return parts
}
