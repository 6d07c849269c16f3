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
	catchUpTime            = 4 * time.Second // a machine that came back counts as lost for so long
	restartTime            = 300 * time.Millisecond
	calmBeforeCall         = 6 * time.Second // calm before a call, after which it must be acknowledged
	contactTimeout         = 3 * time.Second // calm before a forager's doings are judged
	configPropagationBound = 2 * time.Second
	drainDeadline          = 2 * time.Second
	evacuationBound        = 5 * time.Second
	warmupRate             = 4.0
	warmupBurstFactor      = 1.5
	warmupSlack            = 5.0
	generatedZones         = 3 // in drawn schedules
	serviceName            = "shop"

	// A comb's messages to other combs in a second: beats, gossip and orders come to a few dozen a peer.
	maxMessagesPerSecond = 400
)

// zoneName is the name of the zone that a machine or a replica stands in.
func (c *cluster) zoneName(i int) string { return string(rune('a' + i%c.zoneCount())) }

func (c *cluster) zoneCount() int {
	if c.schedule.Zones > 0 {
		return c.schedule.Zones
	}
	return 2
}

// Result is what was seen.
type Result struct {
	Violations             []string
	Trace                  []string
	Acknowledged           int
	AnsweredCalls          int
	Requests               int // requests that foragers sent to replicas
	WarmupRequests         int // of them, to cold ones
	NewestView             uint64
	RequestLatencies       [2][]time.Duration // of requests, while no forager was out, and while one was
	DrainedWindows         int                // windows in which a forager was drained
	Operations             []Operation
	CommandLatencies       []time.Duration // of orders, from the call that was answered to its acknowledgement
	ViewRepairTimes        []time.Duration // after a kill, freeze or cut of a member of the chain: until a view without it stood
	ConfigPropagationTimes []time.Duration // from a configuration's commit to each forager that held to a comb

	// Of days with a Tolerance.
	Attempts           []Attempt
	CatchUpTimes       []time.Duration // from a machine's start until it was in the chain and held on disk what was committed
	JoinTimes          []time.Duration // the same of machines at a new address
	AnswersWhileCut    []time.Duration // from a cut's begin to each answer that the one cut off still gave
	HeartbeatsWhileCut []time.Duration // the same, to beats of replicas
	AnswersAfterThaw   []time.Duration // from a wake to each answer that was given while a newer view stood elsewhere
	MaxDiskBytes       int             // most bytes on one disk
	NewestSequence     uint64
}

// Operation is one call of an operator, for a check of the whole history: a write raises the register to at least its version,
// a read returns it.
type Operation struct {
	Read         bool
	Version      uint64
	Call, Return time.Duration // End 0: no clear answer
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events, the earliest first; of those at one moment the one that was put in first. It is written out as
// a third of a play's time went into container/heap.
type eventQueue []event

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.sequence < o.sequence }

func (q *eventQueue) push(e event) {
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

func (q *eventQueue) pop() event {
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

// process is what a comb's machine and a forager's have in common: a process on links, which dies, freezes and wakes.
type process struct {
	name            string
	incarnation     int // counts starts
	startedAt       time.Duration
	clockRate       float64 // of its steady clock
	clockOffset     time.Duration
	up              bool
	frozen          bool
	heldWhileFrozen []func() // what came while frozen
	heldTick        func()   // and one tick, as a timer does not pile up

	isMember                  bool // a comb's; the next two cut it from other combs alone
	inboundCuts, outboundCuts int
	isolationCuts             int // from all
	cutAt, thawedAt           time.Duration
}

type cluster struct {
	schedule            Schedule
	history             *historyChecksum // nil: none is taken down
	random              *rand.Rand
	now                 time.Duration
	queue               eventQueue
	lastEvent           int
	members             []*member
	memberByAddress     map[string]*member
	gateways            []*gatewayNode
	replicas            []*replica
	cutLinks            map[[2]string]int
	lastArrival         map[[2]string]time.Duration
	result              Result
	committedBySequence map[uint64]string // what was committed under each number
	versionByBody       map[string]uint64 // of what operators sent, by body
	acknowledgedVersion uint64            // newest acknowledged version
	acknowledgedAt      time.Duration
	committedAt         map[uint64]time.Duration // versions, when first committed anywhere
	evacuatedAt         map[string]time.Duration // zones whose evacuation was acknowledged and is not taken back
	restoreCalls        []*operatorCall          // calls that take an evacuation back
	unsettledUntil      time.Duration            // until when something is or was wrong
	downSince           map[int]time.Duration
	finished            bool
	onAcknowledgement   []Fault
	onViewChange        []Fault
	onWindowGrant       []Fault
	lastToken           uint64

	coreHistory coreHistory

	windowState      maintenance.State // as committed
	windowRevision   uint64
	windowsChangedAt time.Duration
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Run plays a schedule.
func Run(schedule Schedule) Result { return run(schedule, nil) }

// run plays a schedule and takes its history down, if one is given.
func run(s Schedule, h *historyChecksum) Result {
	w := &cluster{schedule: s, history: h, random: rand.New(rand.NewPCG(s.Seed, 2)), memberByAddress: map[string]*member{}, cutLinks: map[[2]string]int{}, lastArrival: map[[2]string]time.Duration{},
		committedBySequence: map[uint64]string{}, versionByBody: map[string]uint64{}, committedAt: map[uint64]time.Duration{}, evacuatedAt: map[string]time.Duration{}, downSince: map[int]time.Duration{}}
	for i := range s.Members {
		m := &member{index: i, process: process{name: fmt.Sprintf("comb %d", i), isMember: true}, address: fmt.Sprintf("10.0.0.%d:7000", i+1), disk: newDisk()}
		m.disk.skipsFolderSync = s.PlantedBug == SkipFolderSync
		w.members = append(w.members, m)
		w.memberByAddress[m.address] = m
	}
	for _, m := range w.members {
		if s.StartSpread == 0 {
			w.startMember(m, true)
		} else {
			w.after(time.Duration(w.random.Int64N(int64(s.StartSpread))), func() { w.startMember(m, true) })
		}
	}
	for i := range s.Gateways {
		b := &gatewayNode{index: i, process: process{name: gatewayName(i)}}
		w.gateways = append(w.gateways, b)
		w.startGateway(b)
	}
	for i := range s.Replicas {
		w.startReplica(i%w.zoneCount(), false)
	}
	for _, t := range s.Faults {
		w.after(t.At, func() { w.injectFault(t) })
	}
	for n, a := range s.Actions {
		w.after(a.At, func() { w.perform(n, a) })
	}
	end := s.Duration
	for _, t := range s.Faults {
		end = max(end, t.At+t.For+restartTime)
	}
	if s.Tolerance > 0 {
		w.coreHistory.initialize()
		w.watchCore()
		end += 4 * time.Second
	}
	w.after(end+8*time.Second, func() { w.finalRead() })
	for len(w.queue) > 0 && w.now < end+14*time.Second && len(w.result.Violations) == 0 {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
	h.end(w)
	return w.result
}

// gatewayName is the name by which a gateway makes itself known. It must not change: the control plane chooses by a hash of
// it which gateways call a replica, so that histories and kept schedules rest on it.
func gatewayName(i int) string { return fmt.Sprintf("forager %d", i) }

func (c *cluster) after(d time.Duration, f func()) {
	c.lastEvent++
	c.queue.push(event{c.now + d, c.lastEvent, f})
}

func (c *cluster) tracef(format string, a ...any) {
	c.result.Trace = append(c.result.Trace, fmt.Sprintf("%8.3f  ", c.now.Seconds())+fmt.Sprintf(format, a...))
}

func (c *cluster) violationf(format string, a ...any) {
	c.tracef("BROKEN: "+format, a...)
	c.result.Violations = append(c.result.Violations, fmt.Sprintf(format, a...))
}

// calmFor tells whether nothing has been wrong anywhere for so long.
func (c *cluster) calmFor(most time.Duration) bool { return c.now > c.unsettledUntil+most }

// startProcess starts a node's life, with a clock of its own.
func (c *cluster) startProcess(p *process) {
	p.incarnation++
	p.up, p.frozen, p.heldWhileFrozen, p.startedAt, p.clockOffset, p.heldTick, p.thawedAt = true, false, nil, c.now, 0, nil, 0
	p.clockRate = 1 + 0.004*(c.random.Float64()-0.5)
}

// monotonicTime is a node's steady clock: it starts at nothing with its process, and runs a little fast or slow.
func (c *cluster) monotonicTime(p *process) time.Duration {
	return time.Duration(float64(c.now-p.startedAt)*p.clockRate) + p.clockOffset
}

// runOn has a node do something now, or when it wakes.
func (c *cluster) runOn(p *process, incarnation int, f func()) {
	switch {
	case !p.up || p.incarnation != incarnation:
	case p.frozen:
		p.heldWhileFrozen = append(p.heldWhileFrozen, f)
	default:
		f()
	}
}

func (c *cluster) freeze(p *process, span time.Duration) {
	if !p.up {
		return
	}
	p.frozen = true
	incarnation := p.incarnation
	c.after(span, func() {
		if p.up && p.incarnation == incarnation && p.frozen {
			p.frozen, p.thawedAt = false, c.now
			held := p.heldWhileFrozen
			p.heldWhileFrozen = nil
			if p.heldTick != nil { // it may come before what lay in the sockets, or after
				held, p.heldTick = slices.Insert(held, c.random.IntN(len(held)+1), p.heldTick), nil
			}
			c.tracef("%s wakes", p.name)
			for _, f := range held {
				f()
			}
		}
	})
}

// send brings something from one node to another, in order, if it arrives at all.
func (c *cluster) send(from, to *process, loss, reorder float64, arrive func()) {
	link := [2]string{from.name, to.name}
	if c.random.Float64() < loss {
		return
	}
	at := c.now + 500*time.Microsecond + time.Duration(c.random.ExpFloat64()*float64(time.Millisecond))
	if c.random.Float64() < reorder { // on an older connection, handled late
		at += time.Duration(c.random.Int64N(int64(max(c.schedule.MaxReorderDelay, 1))))
	} else {
		at = max(at, c.lastArrival[link])
		c.lastArrival[link] = at
	}
	incarnation := to.incarnation
	c.after(at-c.now, func() {
		if c.cutLinks[link] == 0 && !isSevered(from, to) {
			c.runOn(to, incarnation, arrive)
		}
	})
}

// cutFor cuts links of a node to some others for a while.
func (c *cluster) cutFor(links [][2]string, span time.Duration) {
	for _, l := range links {
		c.cutLinks[l]++
		c.after(span, func() { c.cutLinks[l]-- })
	}
}

func (c *cluster) injectFault(fault Fault) {
	switch fault.Kind {
	case "ackpower", "ackwipe", "ackallpower":
		c.onAcknowledgement = append(c.onAcknowledgement, fault)
		c.after(2*time.Second, func() {
			c.onAcknowledgement = slices.DeleteFunc(c.onAcknowledgement, func(x Fault) bool { return x == fault })
		})
		return
	case "grantpower", "grantall":
		c.onWindowGrant = append(c.onWindowGrant, fault)
		c.after(6*time.Second, func() { c.onWindowGrant = slices.DeleteFunc(c.onWindowGrant, func(x Fault) bool { return x == fault }) })
		return
	case "viewall":
		c.onViewChange = append(c.onViewChange, fault)
		c.after(2*time.Second, func() { c.onViewChange = slices.DeleteFunc(c.onViewChange, func(x Fault) bool { return x == fault }) })
		return
	}
	if c.schedule.Tolerance > 0 && c.injectCoreFault(fault) {
		return
	}
	c.tracef("TROUBLE: %v", fault)
	c.unsettledUntil = max(c.unsettledUntil, c.now+fault.For+restartTime)
	switch fault.Kind {
	case "all", "allpower", "wipepower":
		lost := (c.schedule.Members - 1) / 2
		for i := range c.members {
			m := c.members[(i+fault.Target)%len(c.members)]
			how := "kill"
			if fault.Kind != "all" {
				how = "power"
			}
			if fault.Kind == "wipepower" && i < lost && i < (c.schedule.InitialMembers-1)/2 {
				how = "wipe"
			}
			c.stopMember(m, how, fault.For+time.Duration(c.random.IntN(300))*time.Millisecond)
		}
		return
	case "zone":
		for _, m := range c.members {
			if c.zoneName(m.index) == c.zoneName(fault.Target) {
				c.stopMember(m, "power", fault.For)
			}
		}
		for _, b := range c.gateways {
			if c.zoneName(b.index) == c.zoneName(fault.Target) {
				c.injectGatewayFault(b, Fault{For: fault.For, Kind: "bkill"})
			}
		}
		return
	case "bkill", "bfreeze", "bcut":
		if fault.Target < len(c.gateways) {
			c.injectGatewayFault(c.gateways[fault.Target], fault)
		}
		return
	case "rcrash":
		if fault.Target < len(c.replicas) {
			c.replicas[fault.Target].alive = false
		}
		return
	}
	if fault.Target >= len(c.members) {
		return
	}
	m := c.members[fault.Target]
	switch fault.Kind {
	case "kill":
		c.stopMember(m, "kill", restartTime)
	case "power", "wipe":
		c.stopMember(m, fault.Kind, fault.For)
	case "freeze":
		if m.up {
			c.downSince[m.index] = c.now
			c.freeze(&m.process, fault.For)
		}
	case "step":
		m.clockOffset += fault.For / 2
		c.tracef("%s: its clock jumps by %.2fs", m.name, (fault.For / 2).Seconds())
	case "cut", "oneway":
		if fault.Kind == "cut" {
			c.downSince[m.index] = c.now
		}
		in := c.random.IntN(2) == 0
		var links [][2]string
		others := []string{}
		for _, o := range c.members {
			others = append(others, o.name)
		}
		for _, b := range c.gateways {
			others = append(others, b.name)
		}
		for _, o := range others {
			if o == m.name {
				continue
			}
			if fault.Kind == "cut" || !in {
				links = append(links, [2]string{m.name, o})
			}
			if fault.Kind == "cut" || in {
				links = append(links, [2]string{o, m.name})
			}
		}
		c.cutFor(links, fault.For)
	case "full":
		m.disk.full = true
		c.after(fault.For, func() { m.disk.full = false })
	case "refuse":
		m.disk.failing = true
		c.after(fault.For, func() { m.disk.failing = false })
	case "stall":
		m.disk.stalled = true
		c.after(fault.For, func() { m.disk.stalled = false })
	}
}

// configurationBody is a body that operators send.
func configurationBody(version uint64, n int) string {
	return fmt.Sprintf(`{"version":"%08x","services":[{"name":%q,"max_connections":100,"cold_start":"3s","cold_per_s":%g}],"virtual_hosts":[{"hostname":"h%d","path_routes":[`+
		`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":%q}]}]}`, version, serviceName, warmupRate, n, serviceName)
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

func bodyLabel(body string) string {
	if i := strings.Index(body, `"hostname":`); i >= 0 {
		return strings.Trim(strings.SplitN(body[i+len(`"hostname":`):], ",", 2)[0], `"`)
	}
	return body
}
