// Package clients serves the proxies and collectors: it has their connections, the codec of their protocol, and the routing
// state of each proxy.
package clients

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/counts"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// Categories of counts, which are keys of the log.
const (
	skippedMessages   counts.Category = "passed over" // invalid messages on connections that have joined
	unidentifiedConns counts.Category = "strangers"   // connections that ended without a join
	delayedMessages   counts.Category = "held back"   // messages of streams over their rate limit
	refusedConns      counts.Category = "refused"     // connections that were not accepted
)

// readBurstSeconds is the burst of a stream's rate limit: it may bring the bytes of so many seconds at once, as after the
// proxy was suspended.
const readBurstSeconds = 4

// Server serves the connections of proxies and collectors. Accept, Execute and Forget belong to the deciding goroutine.
type Server struct {
	routingState
	codec                codec
	bounds               config.Bounds
	streamBytesPerSecond int // rate limit of reading a stream; 0: none
	log                  zerolog.Logger
	counts               *counts.Counter

	inbox       Inbox
	unsentBytes atomic.Int64 // of all connections

	mu         sync.Mutex
	conns      map[*conn]struct{}
	connClosed chan struct{} // a connection has been removed
	collectors map[rules.ZoneID][]*conn
	closing    chan struct{}
	handlers   sync.WaitGroup
}

// Inbox takes the events of connections. Post waits for room; TryPost does not, and reports whether there was any.
type Inbox interface {
	eventqueue.ReplicaNames
	Post(eventqueue.Input)
	TryPost(eventqueue.Input) bool
}

// New returns a Server without connections.
func New(c config.Config, log zerolog.Logger, inbox Inbox, counter *counts.Counter) *Server {
	return &Server{
		routingState:         newRoutingState(len(c.Settings.Groups)),
		codec:                newCodec(c, inbox),
		bounds:               c.Bounds,
		streamBytesPerSecond: c.StreamBytesPerSecond(),
		log:                  log,
		counts:               counter,
		inbox:                inbox,
		conns:                map[*conn]struct{}{},
		connClosed:           make(chan struct{}, 1),
		collectors:           map[rules.ZoneID][]*conn{},
		closing:              make(chan struct{}),
	}
}

// Serve accepts connections until the listener is closed. When that fails for another reason, as when there are no more
// descriptors, it tries again after a delay.
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

// logCounts logs what was counted, a line at intervals.
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

// addConn starts a connection as soon as there is room for it, and closes it where there will be none.
func (s *Server) addConn(netConn net.Conn) {
	c := &conn{Conn: netConn, server: s, role: roleUnidentified, acceptedAt: time.Now()}
	if s.streamBytesPerSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(s.streamBytesPerSecond), s.streamBytesPerSecond*readBurstSeconds)
	}
	if !s.lockWithRoom() {
		c.closeConn()
		return
	}
	defer s.mu.Unlock()
	c.acceptedAt = time.Now()
	s.conns[c] = struct{}{}
	s.handlers.Go(c.readLoop)
}

// lockWithRoom waits until there is room for another connection and returns with mu locked. It returns false, without the
// lock, where there will be no room, or the server is closing.
func (s *Server) lockWithRoom() bool {
	for {
		s.mu.Lock()
		if s.isClosing() {
			s.mu.Unlock()
			return false
		}
		if len(s.conns) < s.bounds.MaxConnections {
			return true
		}
		wait := s.evict()
		s.mu.Unlock()
		if wait == 0 {
			s.counts.Add(refusedConns, "no room")
			return false
		}
		select {
		case <-s.connClosed:
		case <-time.After(wait):
		}
	}
}

// isClosing reports whether Close has been called.
func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// removeConn forgets a connection that has ended.
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

// Close ends all connections and returns when all goroutines have ended.
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

// Accept updates the state of a proxy with an event of a connection and reports whether the event is current. A new stream
// of a proxy replaces the old one at once; what the old one still sends, its end too, is ignored.
func (s *Server) Accept(e eventqueue.Input) bool {
	c := e.Connection.(*conn)
	if e.Batch != nil {
		proxy := s.proxies[e.Batch.Proxy]
		return proxy != nil && proxy.conn == c
	}
	switch fact := e.Event.(type) {
	case rules.Joined:
		if proxy := s.proxies[fact.Proxy]; proxy != nil {
			proxy.conn.closeWith("replaced by a new stream", "")
			s.removeProxy(fact.Proxy, proxy.conn.closeReason())
		}
		s.addProxy(fact, c)
		s.log.Info().Uint16("proxy", uint16(fact.Proxy)).Bool("fresh", fact.Fresh).Msg("join")
	case rules.Left:
		proxy := s.proxies[fact.Proxy]
		if proxy == nil || proxy.conn != c {
			return false
		}
		s.removeProxy(fact.Proxy, c.closeReason())
	case rules.Applied:
		proxy := s.proxies[fact.Proxy]
		return proxy != nil && proxy.conn == c
	case rules.GroupTraffic:
		return s.proxies[fact.Proxy] != nil
	}
	return true
}

// removeProxy drops a proxy and logs its leave.
func (s *Server) removeProxy(id rules.ProxyID, reason closeReason) {
	reason.log(s.log.Info().Uint16("proxy", uint16(id)))
	s.dropProxy(id)
}

// Execute writes the orders of one step, as one message to each proxy concerned. It never waits for a peer.
func (s *Server) Execute(orders []rules.Order) {
	for _, o := range orders {
		s.apply(o)
	}
	s.sendChanges(&s.codec)
}
