// Package clients is the side of the proxies and collectors: their connections, and what each proxy's tables
// hold.
package clients

import (
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/counts"
	"zincloft.example/zincloft/internal/eventqueue"
	"zincloft.example/zincloft/rules"
)

// What is counted, by cause.
const (
	skippedMessages   counts.Category = "passed over" // messages on connections that have joined
	unidentifiedConns counts.Category = "strangers"   // connections that ended without a joining
	delayedMessages   counts.Category = "held back"   // messages of streams that were read later
	refusedConns      counts.Category = "refused"     // connections that were not taken
)

const readBurstSeconds = 4 // seconds' bytes that a stream may bring at once, as after it was held up

// Server is the client side.
type Server struct {
	routingState
	codec                codec
	bounds               config.Bounds
	streamBytesPerSecond int // a second, that are read of a stream; 0: no bound
	log                  zerolog.Logger
	counts               *counts.Counter

	inbox       Inbox
	unsentBytes atomic.Int64 // bytes that wait for all peers

	mu         sync.Mutex
	conns      map[*conn]struct{}
	connClosed chan struct{} // a connection has gone
	collectors map[rules.ZoneID][]*conn
	closing    chan struct{}
	handlers   sync.WaitGroup
}

// Inbox takes what the client side hears. Post waits for room; Offer does not, and tells whether there was any.
type Inbox interface {
	eventqueue.ReplicaNames
	Post(eventqueue.Event)
	TryPost(eventqueue.Event) bool
}

// New returns a client side that serves nobody yet.
func New(c config.Config, log zerolog.Logger, x Inbox, n *counts.Counter) *Server {
	return &Server{routingState: newRoutingState(len(c.Settings.Groups)), codec: newCodec(c, x), bounds: c.Bounds, streamBytesPerSecond: c.StreamBytesPerSecond(), log: log,
		inbox: x, counts: n, conns: map[*conn]struct{}{}, connClosed: make(chan struct{}, 1), collectors: map[rules.ZoneID][]*conn{},
		closing: make(chan struct{})}
}

// Serve takes connections until the listener is closed. When none can be taken, as when descriptors have run
// out, it waits a little and goes on.
func (s *Server) Serve(l net.Listener) {
	go s.logCounts()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			s.counts.Add(refusedConns, err.Error())
			<-time.After(s.bounds.AcceptRetryDelay)
			continue
		}
		s.addConn(nc)
	}
}

// logCounts writes what was counted, a line at intervals.
func (s *Server) logCounts() {
	for {
		select {
		case <-time.After(s.bounds.CountLogInterval):
			s.counts.Log(s.log)
		case <-s.closing:
			return
		}
	}
}

// addConn starts a connection, as soon as there is room for it.
func (s *Server) addConn(nc net.Conn) {
	c := &conn{Conn: nc, server: s, role: roleUnidentified, acceptedAt: time.Now()}
	if s.streamBytesPerSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(s.streamBytesPerSecond), s.streamBytesPerSecond*readBurstSeconds)
	}
	for {
		s.mu.Lock()
		if s.isClosing() {
			s.mu.Unlock()
			nc.Close()
			return
		}
		if len(s.conns) < s.bounds.MaxConnections {
			break
		}
		wait := s.evict()
		s.mu.Unlock()
		if wait == 0 {
			s.counts.Add(refusedConns, "no room")
			nc.Close()
			return
		}
		select {
		case <-s.connClosed:
		case <-time.After(wait):
		}
	}
	defer s.mu.Unlock()
	c.acceptedAt = time.Now()
	s.conns[c] = struct{}{}
	s.handlers.Go(c.readLoop)
}

func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// evict lets the oldest stranger go, or where there are none the collector that has been of no use for longest,
// and tells how long to wait before another look; 0 if all others are of use. A stranger has its turn first: a
// proxy's joining comes with its connection, and many strangers at once must not keep it from being read.
func (s *Server) evict() time.Duration {
	var out *conn
	for c := range s.conns {
		c.mu.Lock()
		role, ended := c.role, c.closed
		c.mu.Unlock()
		if ended {
			return s.bounds.AcceptRetryDelay
		}
		if role == roleUnidentified && (out == nil || c.acceptedAt.Before(out.acceptedAt)) {
			out = c
		}
	}
	if out != nil {
		if turn := s.bounds.MinEvictionAge - time.Since(out.acceptedAt); turn > 0 {
			return turn
		}
	} else {
		out = s.idlest(slices.Concat(slices.Collect(maps.Values(s.collectors))...))
	}
	if out == nil {
		return 0
	}
	out.closeWith("made room", "")
	return s.bounds.AcceptRetryDelay
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.role == roleCollector {
		s.collectors[c.zone] = slices.DeleteFunc(s.collectors[c.zone], func(o *conn) bool { return o == c })
	}
	select {
	case s.connClosed <- struct{}{}:
	default:
	}
}

// addCollector notes a collector of a zone. Of too many the idlest goes: it has most likely vanished without a word, as
// nothing is ever written that could tell. Where the others all work, it is the new one: whoever names a zone must
// not end its good collector.
func (s *Server) addCollector(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info().Str("collector", s.codec.zones[c.zone]).Msg("join")
	others := s.collectors[c.zone]
	s.collectors[c.zone] = append(slices.Clone(others), c)
	if len(others) >= s.bounds.MaxCollectorsPerZone {
		out := s.idlest(others)
		if out == nil {
			out = c
		}
		out.closeWith("too many collectors", "")
	}
}

// idlest is the collector that has been of no use for longest, nil where all have lately passed something on.
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

// lastUse is when a collector was last of use, or came.
func (c *conn) lastUse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastUsefulAt.IsZero() {
		return c.acceptedAt
	}
	return c.lastUsefulAt
}

// evictLargestBacklog ends the connection that leaves most unread: too much waits in all.
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

// Close ends all connections and returns when nothing runs any more.
func (s *Server) Close() {
	s.mu.Lock()
	close(s.closing)
	for c := range s.conns {
		c.closeWith("the governor stops", "")
	}
	s.mu.Unlock()
	s.handlers.Wait()
	s.counts.Log(s.log)
}

// Accept takes note of what a connection told and tells whether it counts. A new stream of a proxy takes the
// place of the old one at once; what the old one still says, its end too, is about nobody.
func (s *Server) Accept(e eventqueue.Event) bool {
	c := e.Connection.(*conn)
	if e.Batch != nil {
		m := s.proxies[e.Batch.Proxy]
		return m != nil && m.conn == c
	}
	switch fact := e.Fact.(type) {
	case rules.Joined:
		if m := s.proxies[fact.Proxy]; m != nil {
			const cause = "replaced by a new stream"
			m.conn.closeWith(cause, "")
			s.removeProxy(fact.Proxy, m.conn.closeReason())
		}
		s.addProxy(fact, c)
		s.log.Info().Uint16("proxy", uint16(fact.Proxy)).Bool("fresh", fact.Fresh).Msg("join")
	case rules.Left:
		m := s.proxies[fact.Proxy]
		if m == nil || m.conn != c {
			return false
		}
		s.removeProxy(fact.Proxy, c.closeReason())
	case rules.Applied:
		m := s.proxies[fact.Proxy]
		return m != nil && m.conn == c
	case rules.GroupTraffic:
		return s.proxies[fact.Proxy] != nil
	}
	return true
}

func (s *Server) removeProxy(id rules.ProxyID, e closeReason) {
	e.log(s.log.Info().Uint16("proxy", uint16(id)))
	s.dropProxy(id)
}

// Execute writes the orders of one Step, as one message to each proxy concerned. It never waits for a peer.
func (s *Server) Execute(orders []rules.Order) {
	for _, o := range orders {
		s.apply(o)
	}
	s.sendChanges(&s.codec)
}
