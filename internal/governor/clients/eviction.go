package clients

import (
	"maps"
	"slices"
	"time"
)

// evict closes the oldest connection that has not joined, or, where there is none, the collector that has been idle for
// longest. It returns how long to wait before another look, 0 if no connection may be closed. A connection that has not
// joined keeps MinEvictionAge: the join of a proxy comes with its connection, and many others at once must not keep it from
// being read. The caller holds mu.
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

// addCollector adds a collector of a zone. Where there are too many, the one that has been idle for longest is closed: it has
// most likely vanished without a notice, as nothing is ever written to it that could tell. Where the others are all active,
// the new one is closed: whoever names a zone must not end its working collector.
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

// idlest returns the collector that has been idle for longest, nil where all have delivered something lately.
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

// lastUse returns when a collector last delivered something, or was accepted.
func (c *conn) lastUse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastUsefulAt.IsZero() {
		return c.acceptedAt
	}
	return c.lastUsefulAt
}

// evictLargestBacklog closes the connection with the most unsent bytes, as there are too many in all.
func (s *Server) evictLargestBacklog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var most *conn
	bytes := 0
	for c := range s.conns {
		c.mu.Lock()
		if !c.closed && c.unsentBytes > bytes {
			most, bytes = c, c.unsentBytes
		}
		c.mu.Unlock()
	}
	if most != nil {
		most.closeWith("does not read", "too much waits for all peers")
	}
}
