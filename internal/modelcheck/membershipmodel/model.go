// Package membershipmodel is the rules of views and chain as a small state machine, explored exhaustively: every order of
// messages (late, lost, repeated), of writes reaching the disk, of kills and of lost disks, within bounds. The engines
// in controlplane/membership and controlplane/chainreplication follow these rules; faults can be put in to see that the check finds them.
package membershipmodel

import (
	"fmt"
	"hash/maphash"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// Fault is a bug put in on purpose.
type Fault int

const (
	Sound           Fault = iota
	NoViewNumber          // a pass of any view is taken, from anyone
	Amnesia               // a machine that lost its disk keeps its vote
	AckBeforeSync         // a pass or an acknowledgement leaves before its register is on disk
	FreshHead             // a member that was never filled may become head
	SplitMajorities       // a view is decided by the members of its new chain alone
	OutsiderVotes         // a machine that is no voter promises and accepts, and its word counts
)

// Bounds limit what happens in a run.
type Bounds struct {
	Members   int
	Orders    int // 2 at the most
	Losses    int // lost disks; each waits until the one before has been made good
	Proposals int
	States    int // exploring ends after so many

	// Joining begins in view 2, whose second member has just come in and is empty, after an order was acknowledged in
	// view 1.
	Joining bool

	// Swapped begins in view 2, in which the last member has the seat of the one before it; that one has not heard of it.
	Swapped bool
}

// Result is what an exploration found.
type Result struct {
	States   int
	Complete bool     // all states within the bounds were seen
	Broken   string   // empty: nothing
	Trace    []string // the shortest way there
}

const (
	most    = 5 // members
	maxView = 4

	walkMost = 80 // steps
)

type (
	reg  [2]uint8 // what entered under each number: 1 + the view it entered in, by whom; 0: nothing
	view struct {
		n     uint8
		chain [most]int8 // members in order; -1: none
		inc   [most]uint8
		fresh uint8 // bits: those of the chain that may not be filled

		voters uint8 // bits: who decides on the next view
	}
	member struct {
		inc       uint8 // of its disk
		view      view
		promised  uint8
		accB      uint8
		accV      view
		mem, disk reg
		synced    uint8 // view; on disk with it
		memSynced uint8
	}
	state struct {
		m         [most]member
		committed reg
		in        uint8 // the newest view that acknowledged
		orders    uint8
		losses    uint8
		proposals uint8
		decided   [maxView + 2]view // as somebody has learnt
	}
	kind    uint8
	message struct {
		k    kind
		n, b uint8
		from int8
		inc  uint8
		accB uint8
		v    view
		r    reg
	}
)

const (
	prepare kind = iota + 1
	promise
	accept
	accepted
	pass
)

func (r reg) length() int {
	n := 0
	for n < len(r) && r[n] != 0 {
		n++
	}
	return n
}

func (v view) place(i int) int {
	for p, x := range v.chain {
		if int(x) == i {
			return p
		}
	}
	return -1
}

func (v view) length() int {
	n := 0
	for n < most && v.chain[n] >= 0 {
		n++
	}
	return n
}

// node is a state with the messages that were ever sent; they are never taken away, so each may come at any time, more
// than once or never.
type node struct {
	s    state
	sent []uint16 // numbers of messages, in order

	broken string
}

// book gives messages numbers.
type book struct {
	number map[message]uint16
	all    []message
}

func (b *book) of(m message) uint16 {
	n, ok := b.number[m]
	if !ok {
		n = uint16(len(b.all))
		b.number[m] = n
		b.all = append(b.all, m)
	}
	return n
}

type key [2]uint64

var keySeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

func (x *node) key() (k key) {
	for i := range k {
		h := maphash.Comparable(keySeeds[i], x.s)
		for _, n := range x.sent {
			h = (h ^ uint64(n)) * 0x9e3779b97f4a7c15
			h ^= h >> 29
		}
		k[i] = h
	}
	return k
}

func (x *node) clone() *node { return &node{s: x.s, sent: slices.Clone(x.sent)} }

func (e *explorer) send(x *node, m message) {
	n := e.book.of(m)
	if i, ok := slices.BinarySearch(x.sent, n); !ok {
		x.sent = slices.Insert(x.sent, i, n)
	}
}

type explorer struct {
	b     Bounds
	fault Fault
	book  *book
	msgs  []message // of the state at hand
	next  func(y *node, what string, args ...any)
}

func begin(b Bounds) *node {
	start := &node{}
	first := view{n: 1, voters: 1<<b.Members - 1}
	for i := range most {
		first.chain[i] = -1
		if i < b.Members {
			first.chain[i] = int8(i)
		}
	}
	for i := range b.Members {
		start.s.m[i] = member{view: first}
		if i == 0 {
			start.s.m[i].synced, start.s.m[i].memSynced = 1, 1
		}
	}
	if b.Joining {
		const order = 1 + 1*8 + 1
		v := view{n: 2, chain: [most]int8{0, int8(b.Members) - 1, -1, -1, -1}, fresh: 1 << (b.Members - 1), voters: first.voters}
		for i := range b.Members {
			start.s.m[i] = member{view: v, mem: reg{order}, disk: reg{order}, synced: 1, memSynced: 1}
		}
		start.s.m[0].synced, start.s.m[0].memSynced = 2, 2
		start.s.m[b.Members-1] = member{view: v}
		start.s.committed, start.s.in, start.s.orders = reg{order}, 1, 1
	}
	if b.Swapped {
		in, out := b.Members-1, b.Members-2
		first.voters &^= 1 << in
		first.chain[in] = -1
		second := first
		second.n, second.chain[out], second.voters = 2, int8(in), first.voters&^(1<<out)|1<<in
		for i := range b.Members {
			start.s.m[i].view = second
		}
		start.s.m[0].synced, start.s.m[0].memSynced = 2, 2
		start.s.m[out].view = first
		start.s.decided[2] = second
	}
	return start
}

// Walk takes random ways through the states, for faults that lie deeper than exploring reaches.
func Walk(b Bounds, fault Fault, seed uint64, walks int) Result {
	r := rand.New(rand.NewPCG(seed, 1))
	e := &explorer{b: b, fault: fault, book: &book{number: map[message]uint16{}}}
	var res Result
	type step struct {
		y    *node
		what string
		args []any
	}
	var next []step
	e.next = func(y *node, what string, args ...any) { next = append(next, step{y, what, args}) }
	for range walks {
		x := begin(b)
		var trace []step
		for {
			res.States++
			e.msgs = e.msgs[:0]
			for _, n := range x.sent {
				e.msgs = append(e.msgs, e.book.all[n])
			}
			next = next[:0]
			if res.Broken = e.steps(x); res.Broken != "" {
				for _, s := range trace {
					res.Trace = append(res.Trace, fmt.Sprintf(s.what, s.args...))
				}
				return res
			}
			if len(next) == 0 || len(trace) > walkMost {
				break
			}
			s := next[r.IntN(len(next))]
			trace, x = append(trace, s), s.y
		}
	}
	return res
}

// Explore searches breadth first.
func Explore(b Bounds, fault Fault) Result {
	start := begin(b)
	type from struct {
		at   key
		what string
		args []any
	}
	seen := map[key]from{start.key(): {}}
	queue := []*node{start}
	res := Result{Complete: true}
	var at key
	e := &explorer{b: b, fault: fault, book: &book{number: map[message]uint16{}}}
	e.next = func(y *node, what string, args ...any) {
		k := y.key()
		if _, ok := seen[k]; !ok {
			seen[k] = from{at, what, args}
			queue = append(queue, y)
		}
	}
	for head := 0; head < len(queue); head++ {
		x := queue[head]
		queue[head] = nil
		if res.States++; res.States >= b.States {
			res.Complete = false
			break
		}
		at = x.key()
		e.msgs = e.msgs[:0]
		for _, n := range x.sent {
			e.msgs = append(e.msgs, e.book.all[n])
		}
		if res.Broken = e.steps(x); res.Broken != "" {
			for k := at; seen[k].what != ""; k = seen[k].at {
				res.Trace = append(res.Trace, fmt.Sprintf(seen[k].what, seen[k].args...))
			}
			slices.Reverse(res.Trace)
			return res
		}
	}
	return res
}

func (e *explorer) votes(m *member, i int, base view) bool {
	if base.voters&(1<<i) == 0 && e.fault != OutsiderVotes {
		return false
	}
	return e.fault == Amnesia || base.inc[i] == m.inc
}

// majority is how many of a view's voters decide on the next.
func (v view) majority() int { return bits.OnesCount8(v.voters)/2 + 1 }

// steps tries everything that can happen in a state.
func (e *explorer) steps(x *node) string {
	if e.settle(x) { // what may happen at once without taking anything else away does
		if x.broken != "" {
			return x.broken
		}
		e.next(x, "passes and acknowledgements go out")
		return ""
	}
	for i := range e.b.Members {
		m := &x.s.m[i]
		if m.mem != m.disk || m.memSynced != m.synced {
			y := x.clone()
			y.s.m[i].disk, y.s.m[i].synced = m.mem, m.memSynced
			e.next(y, "%d syncs", i)
			y = x.clone()
			y.s.m[i].mem, y.s.m[i].memSynced = m.disk, m.synced
			e.next(y, "%d is killed before it syncs", i)
		}
		if x.s.losses < uint8(e.b.Losses) && e.whole(x) {
			y := x.clone()
			z := &y.s.m[i]
			y.s.losses++
			*z = member{inc: z.inc + 1, view: view{chain: firstChain(0)}}
			if e.fault == Amnesia {
				z.inc--
				z.view = view{n: 1, chain: firstChain(e.b.Members), voters: 1<<e.b.Members - 1}
			}
			e.next(y, "%d loses its disk", i)
		}
		e.order(x, i)
		e.propose(x, i)
		for _, msg := range e.msgs {
			e.receive(x, i, msg)
		}
		e.learn(x, i)
	}
	return x.broken
}

func firstChain(n int) (c [most]int8) {
	for i := range c {
		c[i] = -1
		if i < n {
			c[i] = int8(i)
		}
	}
	return c
}

// order has the head take one.
func (e *explorer) order(x *node, i int) {
	m := &x.s.m[i]
	if m.view.place(i) != 0 || x.s.orders >= uint8(e.b.Orders) || m.inc != m.view.inc[i] || m.mem.length() >= len(m.mem) {
		return
	}
	y := x.clone()
	y.s.orders++
	z := &y.s.m[i]
	z.mem[m.mem.length()], z.memSynced = 1+m.view.n*8+y.s.orders, m.view.n
	e.write(z)
	e.next(y, "order %d enters at %d in view %d", y.s.orders, i, m.view.n)
}

// whole tells whether all members are in one view, filled and with the disks they had when it was agreed: only then may
// another one be lost.
func (e *explorer) whole(x *node) bool {
	for i := range e.b.Members {
		m := &x.s.m[i]
		if m.view.n != x.s.m[0].view.n || m.view.place(i) < 0 || m.inc != m.view.inc[i] || m.synced != m.view.n || m.disk.length() < x.s.committed.length() {
			return false
		}
	}
	return true
}

// settle has every member pass on what it holds, and the tail acknowledge it. Messages stay for ever, so sending them at
// once takes no other course of events away, and acknowledging early only makes promises that are harder to keep.
func (e *explorer) settle(x *node) (changed bool) {
	for i := range e.b.Members {
		m := &x.s.m[i]
		p := m.view.place(i)
		if p < 0 || m.inc != m.view.inc[i] {
			continue
		}
		r, synced := m.disk, m.synced
		if e.fault == AckBeforeSync {
			r, synced = m.mem, m.memSynced
		}
		if synced != m.view.n {
			continue
		}
		if p+1 < m.view.length() {
			before := len(x.sent)
			e.send(x, message{k: pass, n: m.view.n, from: int8(i), r: r})
			changed = changed || len(x.sent) > before
			continue
		}
		old := x.s.committed
		if r == old && x.s.in >= m.view.n || r.length() < old.length() && m.view.n <= x.s.in && r[0] == old[0]*min(r[0], 1) {
			continue // known, or the late word of an older view
		}
		for s := range old {
			if old[s] != 0 && r[s] != old[s] && x.broken == "" {
				x.broken = fmt.Sprintf("number %d was acknowledged as %d; the tail %d of view %d now acknowledges %d", s+1, old[s], i, m.view.n, r[s])
			}
		}
		x.s.committed, x.s.in, changed = r, max(x.s.in, m.view.n), true
	}
	return changed
}

// write brings what a member holds on disk. Where nothing is told before that, a loss between the two is the same as not
// having heard.
func (e *explorer) write(m *member) {
	if e.fault != AckBeforeSync {
		m.disk, m.synced = m.mem, m.memSynced
	}
}

// propose has a member of the chain begin an agreement on a view without one other, or with one more.
func (e *explorer) propose(x *node, i int) {
	m := &x.s.m[i]
	if m.view.place(i) < 0 || m.inc != m.view.inc[i] || x.s.proposals >= uint8(e.b.Proposals) || m.view.n >= maxView {
		return
	}
	n := m.view.n + 1
	b := (m.promised/8+1)*8 + uint8(i) + 1
	y := x.clone()
	y.s.proposals++
	e.send(y, message{k: prepare, n: n, b: b, from: int8(i), v: m.view})
	e.next(y, "%d prepares view %d", i, n)
}

// wanted lists the views that a proposer may want after its own.
func (e *explorer) wanted(m *member, i int, x *node) (out []view) {
	settled := x.s.m[i].synced == m.view.n && m.view.fresh == 0
	for drop := -1; drop < e.b.Members; drop++ {
		for join := -1; join < e.b.Members; join++ {
			if drop < 0 && join < 0 || drop == i {
				continue
			}
			v := view{n: m.view.n + 1, inc: m.view.inc, voters: m.view.voters}
			for k := range v.chain {
				v.chain[k] = -1
			}
			k := 0
			for _, c := range m.view.chain {
				if c >= 0 && int(c) != drop {
					v.chain[k] = c
					if m.view.fresh&(1<<c) != 0 && !settled {
						v.fresh |= 1 << c
					}
					k++
				}
			}
			if drop >= 0 && m.view.place(drop) < 0 {
				continue
			}
			if join >= 0 {
				if v.place(join) >= 0 {
					continue
				}
				v.chain[k] = int8(join)
				v.inc[join] = x.s.m[join].inc
				v.fresh |= 1 << join
				k++
			}
			if k < m.view.majority() || k == 0 {
				continue
			}
			if v.fresh&(1<<v.chain[0]) != 0 && e.fault != FreshHead {
				continue
			}
			out = append(out, v)
		}
	}
	return out
}

func (e *explorer) receive(x *node, i int, msg message) {
	m := &x.s.m[i]
	switch msg.k {
	case prepare:
		base := msg.v
		if m.view.n < base.n { // the base is decided: it may be learnt from the message
			y := x.clone()
			adopt(&y.s.m[i], i, base)
			e.next(y, "%d learns view %d", i, base.n)
			return
		}
		if m.view.n != msg.n-1 || msg.b <= m.promised || !e.votes(m, i, m.view) {
			return
		}
		y := x.clone()
		y.s.m[i].promised = msg.b
		e.send(y, message{k: promise, n: msg.n, b: msg.b, from: int8(i), inc: m.inc, accB: m.accB, v: m.accV})
		e.next(y, "%d promises ballot %d of view %d", i, msg.b, msg.n)
	case promise:
		if m.view.n != msg.n-1 || int(msg.b%8)-1 != i {
			return
		}
		have, best, value := 0, uint8(0), view{}
		for _, o := range e.msgs {
			if o.k == promise && o.n == msg.n && o.b == msg.b {
				have++
				if o.accB > best {
					best, value = o.accB, o.v
				}
			}
		}
		if have < m.view.majority() || slices.ContainsFunc(e.msgs, func(o message) bool { return o.k == accept && o.n == msg.n && o.b == msg.b }) {
			return
		}
		values := []view{value}
		if best == 0 {
			values = e.wanted(m, i, x)
		}
		for _, v := range values {
			y := x.clone()
			e.send(y, message{k: accept, n: msg.n, b: msg.b, v: v})
			e.next(y, "%d asks to accept view %d: chain %v", i, msg.n, v.chain[:v.length()])
		}
	case accept:
		if m.view.n != msg.n-1 || msg.b < m.promised || m.accB == msg.b || !e.votes(m, i, m.view) {
			return
		}
		y := x.clone()
		z := &y.s.m[i]
		z.promised, z.accB, z.accV = msg.b, msg.b, msg.v
		e.send(y, message{k: accepted, n: msg.n, b: msg.b, from: int8(i), inc: m.inc, v: msg.v})
		e.next(y, "%d accepts view %d", i, msg.n)
	case pass:
		p := m.view.place(i)
		if p < 1 || m.inc != m.view.inc[i] {
			return
		}
		if (msg.n != m.view.n || m.view.chain[p-1] != msg.from) && e.fault != NoViewNumber {
			return
		}
		if m.memSynced == m.view.n && msg.r.length() <= m.mem.length() {
			return
		}
		y := x.clone()
		z := &y.s.m[i]
		z.mem, z.memSynced = msg.r, m.view.n
		e.write(z)
		e.next(y, "%d takes a pass of view %d from %d", i, msg.n, msg.from)
	}
}

func adopt(m *member, i int, v view) {
	m.view, m.promised, m.accB, m.accV = v, 0, 0, view{}
	if v.place(i) == 0 && m.inc == v.inc[i] {
		m.synced, m.memSynced = v.n, v.n // the head has nobody to be filled by
		m.mem = m.disk
	}
}

// base is the view whose voters decide on a number.
func (e *explorer) base(x *node, n uint8) view {
	if v := x.s.decided[n-1]; v.n != 0 {
		return v
	}
	return view{voters: 1<<e.b.Members - 1} // the first
}

// learn has a member hear of a decision.
func (e *explorer) learn(x *node, i int) {
	m := &x.s.m[i]
	for _, msg := range e.msgs {
		if msg.k != accepted || msg.n <= m.view.n {
			continue
		}
		have, need := 0, e.base(x, msg.n).majority()
		for _, o := range e.msgs {
			if o.k == accepted && o.n == msg.n && o.b == msg.b {
				have++
			}
		}
		if e.fault == SplitMajorities {
			need = max(msg.v.length()-1, 1)
		}
		if have < need {
			continue
		}
		if x.s.decided[msg.n] != (view{}) && x.s.decided[msg.n] != msg.v {
			x.broken = fmt.Sprintf("view %d is decided as chain %v and as chain %v", msg.n, x.s.decided[msg.n].chain, msg.v.chain)
			return
		}
		y := x.clone()
		y.s.decided[msg.n] = msg.v
		adopt(&y.s.m[i], i, msg.v)
		e.next(y, "%d learns view %d: chain %v", i, msg.n, msg.v.chain[:msg.v.length()])
		return
	}
}
