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
	"zincloft.example/zincloft/internal/exchange"
	"zincloft.example/zincloft/rules"
)

// What is counted, by cause.
const (
	passedOver counts.What = "passed over" // messages on connections that have joined
	strangers  counts.What = "strangers"   // connections that ended without a joining
	held       counts.What = "held back"   // messages of streams that were read later
	refused    counts.What = "refused"     // connections that were not taken
)

const paceBurst = 4 // seconds' bytes that a stream may bring at once, as after it was held up

// Side is the client side.
type Side struct {
	book
	codec  codec
	bounds config.Bounds
	bytes  int // a second, that are read of a stream; 0: no bound
	log    zerolog.Logger
	counts *counts.Counts

	exchange Inbox
	unread   atomic.Int64 // bytes that wait for all peers

	mu         sync.Mutex
	conns      map[*conn]struct{}
	freed      chan struct{} // a connection has gone
	collectors map[rules.ZoneID][]*conn
	closing    chan struct{}
	running    sync.WaitGroup
}

// Inbox takes what the client side hears. Post waits for room; Offer does not, and tells whether there was any.
type Inbox interface {
	exchange.Names
	Post(exchange.Event)
	Offer(exchange.Event) bool
}

// New returns a client side that serves nobody yet.
func New(c config.Config, log zerolog.Logger, x Inbox, n *counts.Counts) *Side {
	return &Side{book: newBook(len(c.Settings.Groups)), codec: newCodec(c, x), bounds: c.Bounds, bytes: c.StreamBytes(), log: log,
		exchange: x, counts: n, conns: map[*conn]struct{}{}, freed: make(chan struct{}, 1), collectors: map[rules.ZoneID][]*conn{},
		closing: make(chan struct{})}
}

// Serve takes connections until the listener is closed. When none can be taken, as when descriptors have run
// out, it waits a little and goes on.
func (s *Side) Serve(l net.Listener) {
	go s.report()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			s.counts.Add(refused, err.Error())
			<-time.After(s.bounds.AcceptPause)
			continue
		}
		s.add(nc)
	}
}

// report writes what was counted, a line at intervals.
func (s *Side) report() {
	for {
		select {
		case <-time.After(s.bounds.Counts):
			s.counts.Log(s.log)
		case <-s.closing:
			return
		}
	}
}

// add starts a connection, as soon as there is room for it.
func (s *Side) add(nc net.Conn) {
	c := &conn{Conn: nc, side: s, role: stranger, since: time.Now()}
	if s.bytes > 0 {
		c.pace = rate.NewLimiter(rate.Limit(s.bytes), s.bytes*paceBurst)
	}
	for {
		s.mu.Lock()
		if s.closed() {
			s.mu.Unlock()
			nc.Close()
			return
		}
		if len(s.conns) < s.bounds.Connections {
			break
		}
		wait := s.makeRoom()
		s.mu.Unlock()
		if wait == 0 {
			s.counts.Add(refused, "no room")
			nc.Close()
			return
		}
		select {
		case <-s.freed:
		case <-time.After(wait):
		}
	}
	defer s.mu.Unlock()
	c.since = time.Now()
	s.conns[c] = struct{}{}
	s.running.Go(c.read)
}

func (s *Side) closed() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// makeRoom lets the oldest stranger go, or where there are none the collector that has been of no use for longest,
// and tells how long to wait before another look; 0 if all others are of use. A stranger has its turn first: a
// proxy's joining comes with its connection, and many strangers at once must not keep it from being read.
func (s *Side) makeRoom() time.Duration {
	var out *conn
	for c := range s.conns {
		c.mu.Lock()
		role, ended := c.role, c.ended
		c.mu.Unlock()
		if ended {
			return s.bounds.AcceptPause
		}
		if role == stranger && (out == nil || c.since.Before(out.since)) {
			out = c
		}
	}
	if out != nil {
		if turn := s.bounds.Turn - time.Since(out.since); turn > 0 {
			return turn
		}
	} else {
		out = s.idlest(slices.Concat(slices.Collect(maps.Values(s.collectors))...))
	}
	if out == nil {
		return 0
	}
	out.end("made room", "")
	return s.bounds.AcceptPause
}

func (s *Side) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.role == collector {
		s.collectors[c.zone] = slices.DeleteFunc(s.collectors[c.zone], func(o *conn) bool { return o == c })
	}
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// collect notes a collector of a zone. Of too many the idlest goes: it has most likely vanished without a word, as
// nothing is ever written that could tell. Where the others all work, it is the new one: whoever names a zone must
// not end its good collector.
func (s *Side) collect(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Info().Str("collector", s.codec.zones[c.zone]).Msg("join")
	others := s.collectors[c.zone]
	s.collectors[c.zone] = append(slices.Clone(others), c)
	if len(others) >= s.bounds.Collectors {
		out := s.idlest(others)
		if out == nil {
			out = c
		}
		out.end("too many collectors", "")
	}
}

// idlest is the collector that has been of no use for longest, nil where all have lately passed something on.
func (s *Side) idlest(collectors []*conn) (idlest *conn) {
	for _, c := range collectors {
		c.mu.Lock()
		idle := time.Since(c.worked) > s.bounds.Idle
		c.mu.Unlock()
		if idle && (idlest == nil || c.use().Before(idlest.use())) {
			idlest = c
		}
	}
	return idlest
}

// use is when a collector was last of use, or came.
func (c *conn) use() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.worked.IsZero() {
		return c.since
	}
	return c.worked
}

// relieve ends the connection that leaves most unread: too much waits in all.
func (s *Side) relieve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var most *conn
	bytes := 0
	for c := range s.conns {
		c.mu.Lock()
		if !c.ended && c.waiting > bytes {
			most, bytes = c, c.waiting
		}
		c.mu.Unlock()
	}
	if most != nil {
		most.end("does not read", "too much waits for all peers")
	}
}

// Close ends all connections and returns when nothing runs any more.
func (s *Side) Close() {
	s.mu.Lock()
	close(s.closing)
	for c := range s.conns {
		c.end("the governor stops", "")
	}
	s.mu.Unlock()
	s.running.Wait()
	s.counts.Log(s.log)
}

// Heed takes note of what a connection told and tells whether it counts. A new stream of a proxy takes the
// place of the old one at once; what the old one still says, its end too, is about nobody.
func (s *Side) Heed(e exchange.Event) bool {
	c := e.From.(*conn)
	if e.Batch != nil {
		m := s.members[e.Batch.Proxy]
		return m != nil && m.conn == c
	}
	switch fact := e.Fact.(type) {
	case rules.Joined:
		if m := s.members[fact.Proxy]; m != nil {
			const cause = "replaced by a new stream"
			m.conn.end(cause, "")
			s.leave(fact.Proxy, m.conn.ending())
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

func (s *Side) leave(id rules.ProxyID, e ending) {
	e.log(s.log.Info().Uint16("proxy", uint16(id)))
	s.drop(id)
}

// Carry writes the orders of one Step, as one message to each proxy concerned. It never waits for a peer.
func (s *Side) Carry(orders []rules.Order) {
	for _, o := range orders {
		s.take(o)
	}
	s.write(&s.codec)
}
