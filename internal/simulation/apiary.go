// Package simulation plays many governors in simulated time: combs with their real decisions (controlplane/controller) on their real store
// (internal/statestore), and foragers (dataplane/router), over simulated links, disks, clocks and replicas. One seed is one schedule
// of delays, losses, late messages, cuts, freezes, kills, losses of power and of disks. It watches what the gateway
// promises and writes a trace that reads like a story.
package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/gatewayconfig"
)

const (
	catchUp    = 4 * time.Second // a machine that came back counts as lost for so long
	restart    = 300 * time.Millisecond
	beatable   = 6 * time.Second // calm before a call, after which it must be acknowledged
	contact    = 3 * time.Second // calm before a forager's doings are judged
	configIn   = 2 * time.Second
	drainIn    = 2 * time.Second
	evacuateIn = 5 * time.Second
	coldPerS   = 4.0
	coldTimes  = 1.5
	coldSlack  = 5.0
	zones      = 3 // in drawn schedules
	service    = "shop"

	// A comb's messages to other combs in a second: beats, gossip and orders come to a few dozen a peer.
	messagesMost = 400
)

// zone is the name of the zone that a machine or a replica stands in.
func (w *world) zone(i int) string { return string(rune('a' + i%w.zones())) }

func (w *world) zones() int {
	if w.s.Zones > 0 {
		return w.s.Zones
	}
	return 2
}

// Result is what was seen.
type Result struct {
	Broken  []string
	Trace   []string
	Acked   int
	Calls   int
	Picks   int // requests that foragers sent to replicas
	Colds   int // of them, to cold ones
	Views   uint64
	Waits   [2][]time.Duration // of requests, while no forager was out, and while one was
	Drained int                // windows in which a forager was drained
	Ops     []Op
	Took    []time.Duration // of orders, from the call that was answered to its acknowledgement
	Mended  []time.Duration // after a kill, freeze or cut of a member of the chain: until a view without it stood
	Told    []time.Duration // from a configuration's commit to each forager that held to a comb

	// Of days with a Tolerance.
	Tries   []Try
	Caught  []time.Duration // from a machine's start until it was in the chain and held on disk what was committed
	TakenIn []time.Duration // the same of machines at a new address
	Still   []time.Duration // from a cut's begin to each answer that the one cut off still gave
	Beats   []time.Duration // the same, to beats of replicas
	Thawed  []time.Duration // from a wake to each answer that was given while a newer view stood elsewhere
	Kept    int             // most bytes on one disk
	Changes uint64
}

// Op is one call of an operator, for a check of the whole history: a write raises the register to at least its version,
// a read returns it.
type Op struct {
	Read      bool
	Version   uint64
	Call, End time.Duration // End 0: no clear answer
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

// queue is a heap of events, the earliest first; of those at one moment the one that was put in first. It is written out as
// a third of a play's time went into container/heap.
type queue []event

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (q *queue) push(e event) {
	*q = append(*q, e)
	h, i := *q, len(*q)-1
	for i > 0 {
		up := (i - 1) / 2
		if !e.before(h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

func (q *queue) pop() event {
	h := *q
	first, n := h[0], len(h)-1
	e := h[n]
	h[n] = event{}
	h = h[:n]
	*q = h
	for i := 0; n > 0; {
		down := 2*i + 1
		if down+1 < n && h[down+1].before(h[down]) {
			down++
		}
		if down >= n || !h[down].before(e) {
			h[i] = e
			break
		}
		h[i] = h[down]
		i = down
	}
	return first
}

// node is what a comb's machine and a forager's have in common: a process on links, which dies, freezes and wakes.
type node struct {
	name   string
	life   int // counts starts
	began  time.Duration
	rate   float64 // of its steady clock
	skew   time.Duration
	up     bool
	frozen bool
	held   []func() // what came while frozen
	ticks  func()   // and one tick, as a timer does not pile up

	core          bool // a comb's; the next two cut it from other combs alone
	deaf, mute    int
	apart         int // from all
	cutAt, wokeAt time.Duration
}

type world struct {
	s         Schedule
	history   *historyChecksum // nil: none is taken down
	r         *rand.Rand
	now       time.Duration
	q         queue
	seq       int
	combs     []*machine
	byAddr    map[string]*machine
	bees      []*bee
	replicas  []*replica
	cut       map[[2]string]int
	fifo      map[[2]string]time.Duration
	res       Result
	bySeq     map[uint64]string // what was committed under each number
	versions  map[string]uint64 // of what operators sent, by body
	acked     uint64            // newest acknowledged version
	ackedAt   time.Duration
	committed map[uint64]time.Duration // versions, when first committed anywhere
	outAt     map[string]time.Duration // zones whose evacuation was acknowledged and is not taken back
	restoring []*call                  // calls that take an evacuation back
	trouble   time.Duration            // until when something is or was wrong
	down      map[int]time.Duration
	quiet     bool
	onAck     []Trouble
	onView    []Trouble
	onGrant   []Trouble
	tokens    uint64

	hard hard

	windows    maintenance.State // as committed
	windowsRev uint64
	windowsAt  time.Duration
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Run plays a schedule.
func Run(s Schedule) Result { return run(s, nil) }

// run plays a schedule and takes its history down, if one is given.
func run(s Schedule, h *historyChecksum) Result {
	w := &world{s: s, history: h, r: rand.New(rand.NewPCG(s.Seed, 2)), byAddr: map[string]*machine{}, cut: map[[2]string]int{}, fifo: map[[2]string]time.Duration{},
		bySeq: map[uint64]string{}, versions: map[string]uint64{}, committed: map[uint64]time.Duration{}, outAt: map[string]time.Duration{}, down: map[int]time.Duration{}}
	for i := range s.Machines {
		m := &machine{i: i, node: node{name: fmt.Sprintf("comb %d", i), core: true}, addr: fmt.Sprintf("10.0.0.%d:7000", i+1), disk: newDisk()}
		m.disk.lax = s.Fault == NoFolderSync
		w.combs = append(w.combs, m)
		w.byAddr[m.addr] = m
	}
	for _, m := range w.combs {
		if s.Spread == 0 {
			w.start(m, true)
		} else {
			w.after(time.Duration(w.r.Int64N(int64(s.Spread))), func() { w.start(m, true) })
		}
	}
	for i := range s.Foragers {
		b := &bee{i: i, node: node{name: gatewayName(i)}}
		w.bees = append(w.bees, b)
		w.wake(b)
	}
	for i := range s.Replicas {
		w.begin(i%w.zones(), false)
	}
	for _, t := range s.Troubles {
		w.after(t.At, func() { w.strike(t) })
	}
	for n, a := range s.Acts {
		w.after(a.At, func() { w.act(n, a) })
	}
	end := s.Lasts
	for _, t := range s.Troubles {
		end = max(end, t.At+t.For+restart)
	}
	if s.Tolerance > 0 {
		w.hard.begin()
		w.watch()
		end += 4 * time.Second
	}
	w.after(end+8*time.Second, func() { w.last() })
	for len(w.q) > 0 && w.now < end+14*time.Second && len(w.res.Broken) == 0 {
		e := w.q.pop()
		w.now = e.at
		e.do()
	}
	h.end(w)
	return w.res
}

// gatewayName is the name by which a gateway makes itself known. It must not change: the control plane chooses by a hash of
// it which gateways call a replica, so that histories and kept schedules rest on it.
func gatewayName(i int) string { return fmt.Sprintf("forager %d", i) }

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	w.q.push(event{w.now + d, w.seq, f})
}

func (w *world) say(format string, a ...any) {
	w.res.Trace = append(w.res.Trace, fmt.Sprintf("%8.3f  ", w.now.Seconds())+fmt.Sprintf(format, a...))
}

func (w *world) broken(format string, a ...any) {
	w.say("BROKEN: "+format, a...)
	w.res.Broken = append(w.res.Broken, fmt.Sprintf(format, a...))
}

// calm tells whether nothing has been wrong anywhere for so long.
func (w *world) calm(most time.Duration) bool { return w.now > w.trouble+most }

// begins starts a node's life, with a clock of its own.
func (w *world) begins(n *node) {
	n.life++
	n.up, n.frozen, n.held, n.began, n.skew, n.ticks, n.wokeAt = true, false, nil, w.now, 0, nil, 0
	n.rate = 1 + 0.004*(w.r.Float64()-0.5)
}

// local is a node's steady clock: it starts at nothing with its process, and runs a little fast or slow.
func (w *world) local(n *node) time.Duration {
	return time.Duration(float64(w.now-n.began)*n.rate) + n.skew
}

// run has a node do something now, or when it wakes.
func (w *world) run(n *node, life int, f func()) {
	switch {
	case !n.up || n.life != life:
	case n.frozen:
		n.held = append(n.held, f)
	default:
		f()
	}
}

func (w *world) freeze(n *node, span time.Duration) {
	if !n.up {
		return
	}
	n.frozen = true
	life := n.life
	w.after(span, func() {
		if n.up && n.life == life && n.frozen {
			n.frozen, n.wokeAt = false, w.now
			held := n.held
			n.held = nil
			if n.ticks != nil { // it may come before what lay in the sockets, or after
				held, n.ticks = slices.Insert(held, w.r.IntN(len(held)+1), n.ticks), nil
			}
			w.say("%s wakes", n.name)
			for _, f := range held {
				f()
			}
		}
	})
}

// carry brings something from one node to another, in order, if it arrives at all.
func (w *world) carry(from, to *node, loss, reorder float64, arrive func()) {
	link := [2]string{from.name, to.name}
	if w.r.Float64() < loss {
		return
	}
	at := w.now + 500*time.Microsecond + time.Duration(w.r.ExpFloat64()*float64(time.Millisecond))
	if w.r.Float64() < reorder { // on an older connection, handled late
		at += time.Duration(w.r.Int64N(int64(max(w.s.Late, 1))))
	} else {
		at = max(at, w.fifo[link])
		w.fifo[link] = at
	}
	life := to.life
	w.after(at-w.now, func() {
		if w.cut[link] == 0 && !severed(from, to) {
			w.run(to, life, arrive)
		}
	})
}

// part cuts links of a node to some others for a while.
func (w *world) part(links [][2]string, span time.Duration) {
	for _, l := range links {
		w.cut[l]++
		w.after(span, func() { w.cut[l]-- })
	}
}

func (w *world) strike(t Trouble) {
	switch t.Kind {
	case "ackpower", "ackwipe", "ackallpower":
		w.onAck = append(w.onAck, t)
		w.after(2*time.Second, func() { w.onAck = slices.DeleteFunc(w.onAck, func(x Trouble) bool { return x == t }) })
		return
	case "grantpower", "grantall":
		w.onGrant = append(w.onGrant, t)
		w.after(6*time.Second, func() { w.onGrant = slices.DeleteFunc(w.onGrant, func(x Trouble) bool { return x == t }) })
		return
	case "viewall":
		w.onView = append(w.onView, t)
		w.after(2*time.Second, func() { w.onView = slices.DeleteFunc(w.onView, func(x Trouble) bool { return x == t }) })
		return
	}
	if w.s.Tolerance > 0 && w.strikeHard(t) {
		return
	}
	w.say("TROUBLE: %v", t)
	w.trouble = max(w.trouble, w.now+t.For+restart)
	switch t.Kind {
	case "all", "allpower", "wipepower":
		lost := (w.s.Machines - 1) / 2
		for i := range w.combs {
			m := w.combs[(i+t.On)%len(w.combs)]
			how := "kill"
			if t.Kind != "all" {
				how = "power"
			}
			if t.Kind == "wipepower" && i < lost && i < (w.s.Seeds-1)/2 {
				how = "wipe"
			}
			w.kill(m, how, t.For+time.Duration(w.r.IntN(300))*time.Millisecond)
		}
		return
	case "zone":
		for _, m := range w.combs {
			if w.zone(m.i) == w.zone(t.On) {
				w.kill(m, "power", t.For)
			}
		}
		for _, b := range w.bees {
			if w.zone(b.i) == w.zone(t.On) {
				w.sting(b, Trouble{For: t.For, Kind: "bkill"})
			}
		}
		return
	case "bkill", "bfreeze", "bcut":
		if t.On < len(w.bees) {
			w.sting(w.bees[t.On], t)
		}
		return
	case "rcrash":
		if t.On < len(w.replicas) {
			w.replicas[t.On].alive = false
		}
		return
	}
	if t.On >= len(w.combs) {
		return
	}
	m := w.combs[t.On]
	switch t.Kind {
	case "kill":
		w.kill(m, "kill", restart)
	case "power", "wipe":
		w.kill(m, t.Kind, t.For)
	case "freeze":
		if m.up {
			w.down[m.i] = w.now
			w.freeze(&m.node, t.For)
		}
	case "step":
		m.skew += t.For / 2
		w.say("%s: its clock jumps by %.2fs", m.name, (t.For / 2).Seconds())
	case "cut", "oneway":
		if t.Kind == "cut" {
			w.down[m.i] = w.now
		}
		in := w.r.IntN(2) == 0
		var links [][2]string
		others := []string{}
		for _, o := range w.combs {
			others = append(others, o.name)
		}
		for _, b := range w.bees {
			others = append(others, b.name)
		}
		for _, o := range others {
			if o == m.name {
				continue
			}
			if t.Kind == "cut" || !in {
				links = append(links, [2]string{m.name, o})
			}
			if t.Kind == "cut" || in {
				links = append(links, [2]string{o, m.name})
			}
		}
		w.part(links, t.For)
	case "full":
		m.disk.full = true
		w.after(t.For, func() { m.disk.full = false })
	case "refuse":
		m.disk.refuse = true
		w.after(t.For, func() { m.disk.refuse = false })
	case "stall":
		m.disk.stalled = true
		w.after(t.For, func() { m.disk.stalled = false })
	}
}

// configuration is a body that operators send.
func configuration(version uint64, n int) string {
	return fmt.Sprintf(`{"version":"%08x","services":[{"name":%q,"max_connections":100,"cold_start":"3s","cold_per_s":%g}],"virtual_hosts":[{"hostname":"h%d","path_routes":[`+
		`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":%q}]}]}`, version, service, coldPerS, n, service)
}

// spoilt are bodies that must never be in force.
var spoilt = []string{`{"version":"ffffffff"}`, `{"version":"fffffff0","services":[],"virtual_hosts":[{"hostname":"","path_routes":[]}]}`}

func versionOf(body string) uint64 {
	c, err := gatewayconfig.Parse([]byte(body))
	if err != nil {
		return 0
	}
	return c.Version
}

func short(body string) string {
	if i := strings.Index(body, `"hostname":`); i >= 0 {
		return strings.Trim(strings.SplitN(body[i+len(`"hostname":`):], ",", 2)[0], `"`)
	}
	return body
}
