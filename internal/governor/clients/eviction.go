package clients

import (
	"maps"
	"slices"
	"time"
)

// evict closes the oldest unidentified connection or, if there is none, the collector that has been idle the longest. It
// returns how long to wait before trying again, or 0 if no connection may be closed. Unidentified connections are not evicted
// before MinEvictionAge, so that a burst of connections cannot evict a proxy before its join is read. The caller holds mu.
func (s *Server) evict() time.Duration {
	var victim *conn
	for c := range s.conns {
		c.mu.Lock()
		role, ended := c.role, c.closed
		c.mu.Unlock()
		if ended {
			return s.bounds.AcceptRetryDelay
		}
		if role == roleUnidentified && (victim == nil || c.acceptedAt.Before(victim.acceptedAt)) {
			victim = c
		}
	}
	if victim != nil {
		if remaining := s.bounds.MinEvictionAge - time.Since(victim.acceptedAt); remaining > 0 {
			return remaining
		}
	} else {
		victim = s.idlest(slices.Concat(slices.Collect(maps.Values(s.collectors))...))
	}
	if victim == nil {
		return 0
	}
	victim.closeWith("made room", "")
	return s.bounds.AcceptRetryDelay
}

// addCollector adds a collector of a zone. If there are too many, it closes the one that has been idle the longest, whose peer
// has probably vanished: nothing is written to collectors, so a lost peer is not detected otherwise. If all others are active,
// it closes the new one, so that an impostor cannot replace a working collector.
func (s *Server) addCollector(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info().Str("collector", s.codec.zones[c.zone]).Msg("join")
	others := s.collectors[c.zone]
	s.collectors[c.zone] = append(slices.Clone(others), c)
	if len(others) >= s.bounds.MaxCollectorsPerZone {
		victim := s.idlest(others)
		if victim == nil {
			victim = c
		}
		victim.closeWith("too many collectors", "")
	}
}

// idlest returns the collector that has been idle the longest, or nil if none has exceeded CollectorIdleTimeout.
func (s *Server) idlest(collectors []*conn) (idlest *conn) {
	for _, c := range collectors {
		c.mu.Lock()
		idle := time.Since(c.lastUsefulAt) > s.bounds.CollectorIdleTimeout
		c.mu.Unlock()
		if idle && (idlest == nil || c.lastUse().Before(idlest.lastUse())) {
			idlest = c
		}
	}
	return idlest
}

// lastUse returns when a collector last delivered a valid report or, if it has not, when it was accepted.
func (c *conn) lastUse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastUsefulAt.IsZero() {
		return c.acceptedAt
	}
	return c.lastUsefulAt
}

// evictLargestBacklog closes the connection with the most unsent bytes. It is called when the total exceeds its limit.
func (s *Server) evictLargestBacklog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var largest *conn
	bytes := 0
	for c := range s.conns {
		c.mu.Lock()
		if !c.closed && c.unsentBytes > bytes {
			largest, bytes = c, c.unsentBytes
		}
		c.mu.Unlock()
	}
	if largest != nil {
		largest.closeWith("does not read", "too much waits for all peers")
	}
}
