// Package clients is the side of the proxies and collectors: their connections, and what each proxy's tables
// hold.
package clients

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/exchange"
	"zincloft.example/zincloft/rules"
)

// Side is the client side.
type Side struct {
	book
	codec  codec
	bounds config.Bounds
	log    zerolog.Logger
	post   func(exchange.Event)
	passed atomic.Int64 // messages passed over

	mu         sync.Mutex
	conns      map[*conn]struct{}
	collectors map[rules.ZoneID][]*conn // oldest first
	closing    bool
	running    sync.WaitGroup
}

// New returns a client side that serves nobody yet. What it hears goes to post.
func New(c config.Config, names exchange.Names, log zerolog.Logger, post func(exchange.Event)) *Side {
	return &Side{book: newBook(len(c.Settings.Groups)), codec: newCodec(c.Settings, names), bounds: c.Bounds, log: log,
		post: post, conns: map[*conn]struct{}{}, collectors: map[rules.ZoneID][]*conn{}}
}

// Serve takes connections until the listener is closed. When none can be taken, as when descriptors have run
// out, it waits a little and goes on.
func (s *Side) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			s.log.Warn().Err(err).Msg("accept failed")
			<-time.After(s.bounds.AcceptPause)
			continue
		}
		s.add(nc)
	}
}

// add starts a connection. Where there are too many the oldest that has not named itself makes room: strangers
// may not keep proxies out.
func (s *Side) add(nc net.Conn) {
	c := &conn{Conn: nc, side: s, role: stranger, since: time.Now(), more: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.bounds.Connections {
		var oldest *conn
		for o := range s.conns {
			o.mu.Lock()
			open := o.role == stranger && !o.ended
			o.mu.Unlock()
			if open && (oldest == nil || o.since.Before(oldest.since)) {
				oldest = o
			}
		}
		if oldest == nil {
			s.log.Warn().Stringer("peer", nc.RemoteAddr()).Msg("no room for a connection")
			nc.Close()
			return
		}
		oldest.end("made room for another connection")
	}
	if s.closing {
		nc.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.running.Add(2)
	go func() { defer s.running.Done(); c.read() }()
	go func() { defer s.running.Done(); c.write() }()
}

func (s *Side) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// collect notes a collector of a zone. The oldest of too many is let go: it has most likely vanished without a
// word, as nothing is ever written that could tell.
func (s *Side) collect(c *conn, zone rules.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := slices.DeleteFunc(s.collectors[zone], func(o *conn) bool {
		_, known := s.conns[o]
		return o == c || !known
	})
	if open = append(open, c); len(open) > s.bounds.Collectors {
		open[0].end("replaced by a new collector")
	}
	s.collectors[zone] = open
}

// Close ends all connections and returns when nothing runs any more.
func (s *Side) Close() {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.end("the governor stops")
	}
	s.mu.Unlock()
	s.running.Wait()
	s.log.Info().Int64("messages", s.passed.Load()).Msg("passed over")
}

// Heed takes note of what a connection told and tells whether it counts. A new stream of a proxy takes the
// place of the old one at once; what the old one still says, its end too, is about nobody.
func (s *Side) Heed(e exchange.Event) bool {
	c := e.From.(*conn)
	switch fact := e.Fact.(type) {
	case rules.Joined:
		if m := s.members[fact.Proxy]; m != nil {
			const cause = "replaced by a new stream"
			m.conn.end(cause)
			s.leave(fact.Proxy, cause)
		}
		s.join(fact, c)
		s.log.Info().Uint16("proxy", uint16(fact.Proxy)).Bool("fresh", fact.Fresh).Msg("join")
	case rules.Left:
		m := s.members[fact.Proxy]
		if m == nil || m.conn != c {
			return false
		}
		s.leave(fact.Proxy, c.ending())
	case rules.Applied:
		m := s.members[fact.Proxy]
		return m != nil && m.conn == c
	case rules.Intake:
		return s.members[fact.Proxy] != nil
	}
	return true
}

func (s *Side) leave(id rules.ProxyID, cause string) {
	s.log.Info().Uint16("proxy", uint16(id)).Str("cause", cause).Msg("leave")
	delete(s.members, id)
}

// Carry writes the orders of one Step, as one message to each proxy concerned. It never waits for a peer.
func (s *Side) Carry(orders []rules.Order) {
	for _, o := range orders {
		s.take(o)
	}
	s.write(&s.codec)
}
