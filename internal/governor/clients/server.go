// Package clients serves the connections of proxies and collectors. It decodes and encodes their protocol and tracks the
// routing state of each proxy.
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

// Categories of counts, which are log keys.
const (
	skippedMessages   counts.Category = "passed over" // invalid messages on connections that have joined
	unidentifiedConns counts.Category = "strangers"   // connections that ended without a join
	delayedMessages   counts.Category = "held back"   // messages of streams that exceed their rate limit
	refusedConns      counts.Category = "refused"     // connections that were not accepted
)

// readBurstSeconds is the burst of a stream's rate limit, in seconds of its rate. It lets a proxy that was suspended catch up.
const readBurstSeconds = 4

// Server serves the connections of proxies and collectors. Accept, Execute and Forget may be called only by the event loop.
type Server struct {
	routingState
	codec                codec
	bounds               config.Bounds
	streamBytesPerSecond int // rate limit for reading from a stream; 0: none
	log                  zerolog.Logger
	counts               *counts.Counter

	inbox       Inbox
	unsentBytes atomic.Int64 // total of all connections

	mu         sync.Mutex
	conns      map[*conn]struct{}
	connClosed chan struct{} // signals that a connection has been removed
	collectors map[rules.ZoneID][]*conn
	closing    chan struct{}
	handlers   sync.WaitGroup
}

// Inbox receives the events of connections. Post blocks while the queue is full; TryPost reports false instead.
type Inbox interface {
	eventqueue.ReplicaNames
	Post(eventqueue.Input)
	TryPost(eventqueue.Input) bool
}

// New returns a Server that accepts no connections before Serve.
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

// Serve accepts connections until the listener is closed. After any other error, such as running out of file descriptors, it
// retries after AcceptRetryDelay.
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

// logCounts logs the counts every CountLogInterval.
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

// addConn starts serving a connection once there is room for it, or closes it if none can be made.
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

// lockWithRoom waits until there is room for another connection and returns true with mu locked. It returns false without the
// lock if no room can be made or the server is closing.
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

// removeConn removes a closed connection.
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

// Close closes all connections and waits for their goroutines.
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

// Accept updates the state of a proxy with an input from a connection and reports whether the input is current. A new stream
// of a proxy replaces the old one at once, and later inputs from the old one, including its end, are not current.
func (s *Server) Accept(e eventqueue.Input) bool {
	c := e.Connection.(*conn)
	if e.Batch != nil {
		proxy := s.proxies[e.Batch.Proxy]
		return proxy != nil && proxy.conn == c
	}
	switch event := e.Event.(type) {
	case rules.Joined:
		if proxy := s.proxies[event.Proxy]; proxy != nil {
			proxy.conn.closeWith("replaced by a new stream", "")
			s.removeProxy(event.Proxy, proxy.conn.closeReason())
		}
		s.addProxy(event, c)
		s.log.Info().Uint16("proxy", uint16(event.Proxy)).Bool("fresh", event.Fresh).Msg("join")
	case rules.Left:
		proxy := s.proxies[event.Proxy]
		if proxy == nil || proxy.conn != c {
			return false
		}
		s.removeProxy(event.Proxy, c.closeReason())
	case rules.Applied:
		proxy := s.proxies[event.Proxy]
		return proxy != nil && proxy.conn == c
	case rules.GroupTraffic:
		return s.proxies[event.Proxy] != nil
	}
	return true
}

// removeProxy deletes a proxy and logs that it left.
func (s *Server) removeProxy(id rules.ProxyID, reason closeReason) {
	reason.log(s.log.Info().Uint16("proxy", uint16(id)))
	s.deleteProxy(id)
}

// Execute sends the orders of one step, as one message to each proxy concerned. It never blocks on a peer.
func (s *Server) Execute(orders []rules.Order) {
	for _, o := range orders {
		s.apply(o)
	}
	s.sendChanges(&s.codec)
}
