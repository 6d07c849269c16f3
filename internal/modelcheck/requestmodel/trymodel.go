// Package requestmodel is the way of requests to replicas and back as a small state machine without I/O, explored
// exhaustively: two clients, two replicas, two connections, two tries each, and every order of what may happen between
// them (deliveries, answers that are whole, cut, surplus, late, nobody's or another's, resets, silence, clients that
// leave, connections that are forgotten). The decisions are those of dataplane/retry; what internal/replica makes of a
// connection's bytes is told here once more, as rules. Faults can be put in to see that the check finds them.
//
// Against what a replica may say the model has it tell the truth in one point: it refuses only what it does not run.
package requestmodel

import (
	"fmt"
	"hash/maphash"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// Fault is a bug put in on purpose.
type Fault int

const (
	Sound               Fault = iota
	ReusesWithBytes           // a connection is used again with bytes behind the answer
	RepeatsAfterSilence       // an unsafe request goes to a second replica after a silence
	IgnoresIdentity           // an answer's identity is not compared
	PromisesAfterReset        // a reset is taken for proof that the request has not run
	ReusesPastTime            // a pooled connection is used beyond its Keep-Alive
	BelievesNameless          // a refusal that names nobody is believed
	ForgetsDoubt              // the verdict of the last try counts, not the worst of all
	OffersForNobody           // a request whose client has left is offered again
	ReusesAfterSilence        // a connection goes back to the pool when its try ends without an answer
	KeepsBeatenTry            // the connection of a beaten try goes back to the pool before its answer came
)

// Bounds limit what happens in a run.
type Bounds struct {
	Safe    [2]bool // the clients' requests
	Surplus uint8   // answers that nobody asked for
	Breaks  uint8   // resets, silences, cut and spoilt answers
	States  int     // exploring ends after so many
}

// Result is what an exploration found.
type Result struct {
	States   int
	Complete bool
	Broken   string // empty: nothing
	Trace    []string
}

type (
	kind uint8
	item struct {
		what kind
		id   uint8 // that it names: a client, from 1; 0: none
		of   uint8 // whose it is in truth; 0: nobody's
	}
	conn struct {
		state   uint8 // closed, idle, busy
		replica uint8
		client  uint8 // whose try it carries
		try     uint8
		used    uint8
		had     uint8 // bits of clients
		taint   bool
		past    bool // beyond the time that the replica told
		forgot  bool // by the replica
		ending  bool // its end is on the way
		ended   bool // and has arrived
		sent    uint8
		work    uint8 // at the replica
		done    uint8 // bits: answered or refused there, so that it may say so once more
		refused uint8 // bits
		wire    [2]item
		buf     [2]item
	}
	try struct {
		state   uint8 // not made, under way, ended
		replica uint8
		verdict retry.Verdict
	}
	client struct {
		state   uint8 // to come, under way, told
		gone    bool
		tries   [2]try
		told    uint8
		last    retry.Verdict
		runs    uint8
		flying  uint8 // bits of replicas that a closed connection's request may still reach
		offered uint8
	}
	state struct {
		c       [2]client
		k       [2]conn
		surplus uint8
		breaks  uint8
		wrong   uint8
	}
	step struct {
		s     state
		label string
	}
)

const (
	nothing kind = iota
	answer
	refusal
	cutShort
	noAnswer
)

const (
	closed = iota
	idle
	busy
)

const (
	toCome = iota
	underWay
	over
)

const (
	toldNothing = iota
	toldAnswer
	toldNotRun
	toldDoubt
	toldLeft
)

const (
	right = iota
	wrongCaller
	sentPast
	sentOnBytes
	sentForNobody
	sentSecond
)

var wrongs = [...]string{"", "an answer went to another caller", "a request was sent on a connection past its time",
	"a request was sent on a connection with bytes behind the answer", "a request was offered though its client had left", "a request was sent on a connection that still carried another"}

// machine explores one set of bounds.
type machine struct {
	b     Bounds
	fault Fault
	out   []step
	tells bool // steps have labels
	seed  maphash.Seed
}

func (m *machine) say(format string, args ...any) string {
	if !m.tells {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

func (m *machine) add(s state, format string, args ...any) {
	for i := range s.c { // what bears on nothing any more
		if c := &s.c[i]; c.state == over {
			*c = client{state: over, told: c.told, runs: c.runs, flying: c.flying}
			if m.b.Safe[i] && c.told != toldNotRun {
				c.runs, c.flying = 0, 0
			}
		}
		if m.b.Safe[i] {
			s.c[i].runs = min(s.c[i].runs, 1)
		}
	}
	m.out = append(m.out, step{s, m.say(format, args...)})
}

// hash is the same for states that differ in the names of connections and replicas only.
func (m *machine) hash(s state) uint64 {
	other := s
	for i := range other.c {
		c := &other.c[i]
		c.flying = c.flying>>1 | c.flying&1<<1
		for j := range c.tries {
			if c.tries[j].state != toCome {
				c.tries[j].replica = 1 - c.tries[j].replica
			}
		}
	}
	for k := range other.k {
		if other.k[k].state != closed {
			other.k[k].replica = 1 - other.k[k].replica
		}
	}
	h := uint64(1<<64 - 1)
	for _, v := range [...]state{s, other} {
		h = min(h, maphash.Comparable(m.seed, v))
		v.k[0], v.k[1] = v.k[1], v.k[0]
		h = min(h, maphash.Comparable(m.seed, v))
	}
	return h
}

// check tells which promise a state breaks.
func (m *machine) check(s *state) string {
	if s.wrong != right {
		return wrongs[s.wrong]
	}
	for i, c := range s.c {
		if !m.b.Safe[i] && c.runs > 1 {
			return "an unsafe request ran twice"
		}
		if c.told == toldNotRun && c.runs > 0 {
			return "a request that ran was told not to have run"
		}
	}
	return ""
}

func push(q *[2]item, x item) bool {
	for i := range q {
		if q[i].what == nothing {
			q[i] = x
			return true
		}
	}
	return false
}

func pop(q *[2]item) item {
	x := q[0]
	q[0], q[1] = q[1], item{}
	return x
}

// shut ends a connection at the forager. What it had sent may still arrive.
func shut(s *state, k int) {
	c := &s.k[k]
	if c.sent > 0 {
		s.c[c.sent-1].flying |= 1 << c.replica
	}
	*c = conn{}
}

// offer sends a client's next try to each replica in turn that has not had it, by each connection that could be taken.
func (m *machine) offer(s state, i, n int, label string) bool {
	offered := false
	for r := uint8(0); r < 2; r++ {
		if n == 1 && s.c[i].tries[0].replica == r {
			continue
		}
		fresh := false
		for k := range s.k {
			c := s.k[k]
			old := c.state == idle && c.replica == r && (c.had>>i)&1 == 0 && !c.ended
			if old && (c.past && m.fault != ReusesPastTime || c.buf[0].what != nothing && m.fault != ReusesWithBytes) {
				old = false
			}
			if !old && (c.state != closed || fresh) {
				continue
			}
			t := s
			c = t.k[k]
			if !old {
				fresh = true
				c = conn{replica: r}
			}
			if c.past {
				t.wrong = sentPast
			}
			if c.buf[0].what != nothing {
				t.wrong = sentOnBytes
			}
			if c.sent+c.work > 0 {
				t.wrong = sentSecond
			}
			if t.c[i].gone {
				t.wrong = sentForNobody
			}
			c.state, c.client, c.try, c.sent = busy, uint8(i), uint8(n), uint8(i+1)
			c.used++
			c.had |= 1 << i
			t.k[k] = c
			t.c[i].state = underWay
			t.c[i].offered++
			t.c[i].tries[n] = try{state: underWay, replica: r}
			m.add(t, "%s; try %d of client %d to replica %d on connection %d (use %d)", label, n, i, r, k, c.used)
			offered = true
		}
	}
	return offered
}

// ended takes a try's verdict and goes on as internal/gateway does.
func (m *machine) ended(s state, k int, v retry.Verdict, keep bool, label string) {
	c := s.k[k]
	i, n := int(c.client), int(c.try)
	if keep {
		c.state, c.client, c.try = idle, 0, 0
		s.k[k] = c
	} else {
		shut(&s, k)
	}
	cl := &s.c[i]
	if cl.state != underWay {
		m.add(s, "%s", label)
		return
	}
	cl.tries[n].state, cl.tries[n].verdict = over, v
	if v == retry.Answered {
		for j := range s.k { // the beaten one is closed
			if b := &s.k[j]; b.state == busy && int(b.client) == i {
				if m.fault == KeepsBeatenTry {
					b.state, b.client, b.try = idle, 0, 0
				} else {
					shut(&s, j)
				}
			}
		}
		cl.state, cl.told = over, toldAnswer
		m.add(s, "%s: told", label)
		return
	}
	if v > cl.last || m.fault == ForgetsDoubt {
		cl.last = v
	}
	pending := cl.tries[0].state == underWay || cl.tries[1].state == underWay
	if pending {
		m.add(s, "%s", label)
		return
	}
	safe := m.b.Safe[i] || m.fault == RepeatsAfterSilence
	again := retry.Again(v, retry.Request{Safe: safe, MaxAttempts: 2, Sent: int(cl.offered), Left: time.Second})
	if cl.gone && m.fault != OffersForNobody {
		again = false
	}
	if again && m.offer(s, i, 1, label) {
		return
	}
	cl.state = over
	switch {
	case cl.gone:
		cl.told = toldLeft
	case retry.Final(cl.last, false) == 503:
		cl.told = toldNotRun
	default:
		cl.told = toldDoubt
	}
	m.add(s, "%s: the end", label)
}

// read is what internal/replica makes of the next bytes on a connection that carries a try.
func (m *machine) read(s state, k int) {
	c := &s.k[k]
	x := pop(&c.buf)
	i := c.client
	label := m.say("connection %d reads %v", k, x)
	id := x.id
	if m.fault == IgnoresIdentity {
		id = i + 1
	}
	quiet := c.buf[0].what == nothing && !c.ended || m.fault == ReusesWithBytes
	switch {
	case x.what == noAnswer || x.what == cutShort:
		m.ended(s, k, retry.MayHaveRun, false, label)
	case id != 0 && id != i+1:
		c.taint = true
		m.add(s, "%s: another's", label)
	case x.what == refusal && (id != 0 || m.fault == BelievesNameless):
		m.ended(s, k, retry.NotRun, quiet && !c.taint, label)
	case x.what == refusal || id == 0:
		m.ended(s, k, retry.MayHaveRun, false, label)
	default:
		if x.of != i+1 {
			s.wrong = wrongCaller
		}
		m.ended(s, k, retry.Answered, quiet && !c.taint, label)
	}
}

func (m *machine) next(s state) []step {
	m.out = m.out[:0]
	for i := range s.c {
		c := s.c[i]
		if c.state == toCome {
			m.offer(s, i, 0, m.say("client %d asks", i))
		}
		if c.state == underWay && c.tries[1].state == toCome && c.tries[0].state == underWay && m.b.Safe[i] && !c.gone {
			m.offer(s, i, 1, "a second beside the first")
		}
		if c.state == underWay && !c.gone {
			t := s
			t.c[i].gone = true
			if m.b.Safe[i] {
				for k := range t.k {
					if t.k[k].state == busy && int(t.k[k].client) == i {
						shut(&t, k)
					}
				}
				t.c[i].state, t.c[i].told = over, toldLeft
			}
			m.add(t, "client %d leaves", i)
		}
		for r := range 2 {
			if c.flying&(1<<r) != 0 {
				t := s
				t.c[i].flying &^= 1 << r
				m.add(t, "what client %d had sent to replica %d is lost", i, r)
				t.c[i].runs++
				m.add(t, "what client %d had sent to replica %d arrives after all, and runs", i, r)
			}
		}
	}
	for k := range s.k {
		if s.k[k].state == closed {
			continue
		}
		m.arrivals(s, k)
		m.replica(s, k)
		c := s.k[k]
		switch {
		case c.state == busy && c.buf[0].what != nothing:
			m.read(s, k)
		case c.state == busy && c.ended:
			v := retry.MayHaveRun
			if m.fault == PromisesAfterReset {
				v = retry.NotRun
			}
			m.ended(s, k, v, false, m.say("connection %d ended", k))
		case c.state == busy && s.breaks > 0:
			t := s
			t.breaks--
			m.ended(t, k, retry.MayHaveRun, m.fault == ReusesAfterSilence, m.say("silence on connection %d", k))
		case c.state == idle && !c.past:
			t := s
			t.k[k].past = true
			m.add(t, "connection %d has rested for its time", k)
		case c.state == idle:
			t := s
			shut(&t, k)
			m.add(t, "connection %d is swept", k)
		}
	}
	return m.out
}

// arrivals move what is on the way.
func (m *machine) arrivals(s state, k int) {
	c := s.k[k]
	if c.wire[0].what != nothing {
		t := s
		x := pop(&t.k[k].wire)
		if push(&t.k[k].buf, x) {
			m.add(t, "%v arrives on connection %d", x, k)
		}
	} else if c.ending && !c.ended {
		t := s
		t.k[k].ended = true
		m.add(t, "the end of connection %d arrives", k)
	}
}

// replica is all that the other end may do.
func (m *machine) replica(s state, k int) {
	c := s.k[k]
	emit := func(s state, breaks, ends bool, x item, label string) {
		t := &s.k[k]
		if breaks {
			if s.breaks == 0 {
				return
			}
			s.breaks--
		}
		if x.what != nothing && !push(&t.wire, x) {
			return
		}
		t.ending = t.ending || ends
		m.add(s, "on connection %d the replica %s", k, label)
	}
	if c.ending {
		return
	}
	if q := c.sent; q > 0 {
		t := s
		t.k[k].sent = 0
		switch {
		case c.forgot:
			emit(t, false, true, item{}, "knows nothing of the connection")
		case c.work == 0:
			emit(t, true, true, item{}, "breaks off before it ran anything")
			u := t
			u.k[k].done |= 1 << (q - 1)
			u.k[k].refused |= 1 << (q - 1)
			emit(u, false, false, item{refusal, q, q}, "refuses")
			emit(u, true, false, item{refusal, 0, q}, "refuses and names nobody")
			t.k[k].work = q
			t.c[q-1].runs++
			m.add(t, "on connection %d the replica runs what client %d asks", k, q-1)
		}
	}
	if q := c.work; q > 0 {
		t := s
		t.k[k].work = 0
		t.k[k].done |= 1 << (q - 1)
		emit(t, false, false, item{answer, q, q}, "answers")
		emit(t, false, true, item{answer, q, q}, "answers and closes")
		emit(t, true, false, item{answer, 0, q}, "answers and names nobody")
		emit(t, true, false, item{answer, 3 - q, q}, "answers and names another")
		emit(t, true, true, item{cutShort, q, q}, "cuts its answer short")
		emit(t, true, true, item{noAnswer, 0, 0}, "sends what is no answer")
		emit(t, true, true, item{}, "breaks off")
	}
	if s.surplus > 0 {
		t := s
		t.surplus--
		for q := uint8(1); q <= 2; q++ {
			if c.done>>(q-1)&1 == 0 {
				continue
			}
			if c.refused>>(q-1)&1 == 1 {
				emit(t, false, false, item{refusal, q, q}, "refuses once more")
				emit(t, false, false, item{refusal, 0, q}, "refuses once more and names nobody")
				continue
			}
			emit(t, false, false, item{answer, q, q}, "answers once more")
			emit(t, false, false, item{answer, 0, q}, "answers once more and names nobody")
		}
		if c.used > 0 {
			emit(t, false, false, item{noAnswer, 0, 0}, "sends bytes")
		}
	}
	if c.state == idle && !c.forgot && (c.past || s.breaks > 0) {
		t := s
		if !c.past {
			t.breaks--
		}
		t.k[k].forgot = true
		m.add(t, "the replica forgets connection %d", k)
		t.k[k].ending = true
		m.add(t, "the replica closes connection %d", k)
	}
}

// Explore sees all states within the bounds, the nearest first.
func Explore(b Bounds, fault Fault) Result {
	m := &machine{b: b, fault: fault, seed: maphash.MakeSeed()}
	type node struct {
		s    state
		from int
	}
	begin := state{surplus: b.Surplus, breaks: b.Breaks}
	all := []node{{s: begin, from: -1}}
	seen := map[uint64]struct{}{m.hash(begin): {}}
	for at := 0; at < len(all); at++ {
		if len(all) > b.States {
			return Result{States: len(all)}
		}
		for _, n := range m.next(all[at].s) {
			h := m.hash(n.s)
			if _, ok := seen[h]; ok {
				continue
			}
			seen[h] = struct{}{}
			all = append(all, node{n.s, at})
			if broken := m.check(&n.s); broken != "" {
				r := Result{States: len(all), Broken: broken}
				m.tells = true
				for i := len(all) - 1; i > 0; i = all[i].from {
					for _, x := range m.next(all[all[i].from].s) {
						if x.s == all[i].s {
							r.Trace = append([]string{x.label}, r.Trace...)
							break
						}
					}
				}
				return r
			}
		}
	}
	return Result{States: len(all), Complete: true}
}
