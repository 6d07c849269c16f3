package simulation

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/messages"
)

const (
	watchInterval    = 50 * time.Millisecond
	discoveryLag     = 5 * time.Second        // a machine that is gone stands in lists of addresses for so long
	terminationGrace = 6 * time.Second        // from SIGTERM to SIGKILL
	formationBound   = 5 * time.Second        // seven from three seeds, one after the other: 3.9 s, and up to 4.5 s where links lose messages
	maxDiskBytes     = 64 << 10               // bytes of files on a disk, on days with a Tolerance
	maxFaultWait     = 6 * time.Second        // of a trouble that waits for a moment
	claimHorizon     = 60                     // changes for which it is known which body was acknowledged under a number
	lateEffectBound  = 500 * time.Millisecond // an order without a clear answer may still take effect for so long after it was given up
)

// coreHistory is what is watched on days with a Tolerance.
type coreHistory struct {
	newestSequence       uint64 // newest number committed anywhere
	hasCommit            bool
	sequences            []observation
	acknowledgedVersions []observation     // versions acknowledged, rising
	sequenceByBody       map[string]uint64 // bodies, and the number of the first register that held each
	rejectedBodies       map[string]bool
	claims               map[uint64]claim // acknowledged, by version
	bodyIDs              map[string]int   // of bodies
	pendingFaults        []Fault
	newestSpare          *member
	spareCount           int
	formed               bool // the first view's machines have had their time
	watchCount           int
}

// claim is a configuration that was acknowledged, and the number with which it was committed, or the newest before it.
type claim struct {
	body     string
	sequence uint64
}

type observation struct {
	at    time.Duration
	value uint64
}

// valueAt is the newest number of no later than a moment.
func valueAt(all []observation, at time.Duration) uint64 {
	for _, m := range slices.Backward(all) {
		if m.at <= at {
			return m.value
		}
	}
	return 0
}

func (h *coreHistory) initialize() {
	h.sequenceByBody, h.rejectedBodies, h.claims, h.bodyIDs = map[string]uint64{}, map[string]bool{}, map[uint64]claim{}, map[string]int{"": 0}
}

func (h *coreHistory) bodyID(body string) int {
	n, ok := h.bodyIDs[body]
	if !ok {
		n = len(h.bodyIDs)
		h.bodyIDs[body] = n
	}
	return n
}

// Attempt is one call to one comb, as porcupine takes it: what it asked for and what came of it.
type Attempt struct {
	Key      string // what it is about: the configuration (empty), or a zone
	Kind     string // put, out, back, read
	Version  uint64
	BodyID   int    // of the configuration, or 1 with a zone that is out
	Sequence uint64 // read, of a committed register: its number
	Conflict bool   // 409
	Answered bool
	Call     time.Duration
	Return   time.Duration // without a clear answer: when it was given up
}

// unsettle is something that unsettles the core.
func (c *cluster) unsettle() {
	if c.schedule.Tolerance > 0 {
		c.unsettledUntil = max(c.unsettledUntil, c.now+restartTime)
	}
}

// isSevered tells whether nothing goes from one node to another.
func isSevered(from, to *process) bool {
	return from.isolationCuts > 0 || to.isolationCuts > 0 || from.isMember && to.isMember && (from.outboundCuts > 0 || to.inboundCuts > 0)
}

func (p *process) isCutOff() bool {
	return p.isolationCuts > 0 || p.outboundCuts > 0 || p.inboundCuts > 0
}

// listedMembers lists the combs that a list of addresses may hold.
func (c *cluster) listedMembers() (all []*member) {
	for _, m := range c.members {
		if !m.gone || c.now-m.goneAt < discoveryLag {
			all = append(all, m)
		}
	}
	return all
}

// seedAddresses are the addresses in a settings file: at the first start the same for all, later any three, one of them at least of
// a machine that is not gone.
func (c *cluster) seedAddresses(first bool) (seeds []string) {
	if first || c.coreHistory.spareCount == 0 {
		for _, o := range c.members[:c.schedule.InitialMembers] {
			seeds = append(seeds, o.address)
		}
		return seeds
	}
	all, stays := c.listedMembers(), false
	for _, i := range c.random.Perm(len(all)) {
		m := all[i]
		if len(seeds) < 2 || len(seeds) == 2 && (stays || !m.gone) {
			seeds, stays = append(seeds, m.address), stays || !m.gone
		}
	}
	return seeds
}

// pickMember is a comb that a caller picks.
func (c *cluster) pickMember() *member {
	if c.schedule.Tolerance == 0 {
		return c.members[c.random.IntN(len(c.members))]
	}
	all := c.listedMembers()
	return all[c.random.IntN(len(all))]
}

// nextMember is the comb of an operator's next try: the one named, the one that a redirect names, the same again, or one that was
// not called yet.
func (c *cluster) nextMember(call *operatorCall) *member {
	if c.schedule.Tolerance == 0 {
		return c.members[c.random.IntN(len(c.members))]
	}
	all := c.listedMembers()
	m := call.redirect
	switch call.redirect = nil; {
	case m != nil:
	case len(call.calledMembers) == 0 && call.action.To > 0:
		m = all[(call.action.To-1)%len(all)]
	case len(call.calledMembers) > 0 && call.action.RetrySame && call.calledMembers[0].up && !call.calledMembers[0].frozen && call.attempts < 4:
		m = call.calledMembers[0]
	default:
		left := slices.DeleteFunc(slices.Clone(all), func(m *member) bool { return slices.Contains(call.calledMembers, m) })
		if len(left) == 0 {
			left, call.calledMembers = all, call.calledMembers[:0]
		}
		m = left[c.random.IntN(len(left))]
	}
	call.calledMembers = append(call.calledMembers, m)
	return m
}

// recordAttempt takes down that a call is made.
func (c *cluster) recordAttempt(call *operatorCall) {
	if c.schedule.Tolerance == 0 {
		return
	}
	t := Attempt{Kind: call.action.Kind, Version: call.version, Call: c.now}
	switch call.action.Kind {
	case "put":
		t.BodyID = c.coreHistory.bodyID(call.body)
	case "evacuate":
		t.Kind, t.Key = "out", c.zoneName(call.action.Target)
	case "restore":
		t.Kind, t.Key = "back", c.zoneName(call.action.Target)
	}
	c.result.Attempts = append(c.result.Attempts, t)
	call.attemptIndex = len(c.result.Attempts)
}

// recordGiveUp takes down that nothing more is heard of a call's last try.
func (c *cluster) recordGiveUp(call *operatorCall) {
	if call.attemptIndex > 0 {
		c.result.Attempts[call.attemptIndex-1].Return = c.now
	}
	call.attemptIndex = 0
}

// receiveUnclearAnswer takes an answer that is neither yes nor no.
func (c *cluster) receiveUnclearAnswer(call *operatorCall, answer controller.Response) {
	c.recordGiveUp(call)
	if c.schedule.Tolerance == 0 {
		return
	}
	switch {
	case answer.Status == http.StatusTemporaryRedirect:
		call.redirect = c.memberByAddress[answer.Address]
	case answer.Status >= 400 && answer.Status < 500 && answer.Status != http.StatusRequestTimeout && answer.Status != http.StatusTooManyRequests:
		c.violationf("call %d is answered %d", call.number, answer.Status)
	}
}

// losesAnswer has an answer lost on its way, once, where the schedule says so.
func (c *cluster) losesAnswer(m *member, call *operatorCall, answer controller.Response) bool {
	if !call.action.LoseAnswer || call.answerLost || answer.Status != http.StatusOK {
		return false
	}
	call.answerLost = true
	c.tracef("%s: the answer %d to call %d is lost", m.name, answer.Status, call.number)
	return true
}

// recordAnswer takes a clear answer down, and watches what it says.
func (c *cluster) recordAnswer(m *member, call *operatorCall, answer controller.Response) {
	if c.schedule.Tolerance == 0 {
		return
	}
	c.measureStaleAnswer(m)
	if call.attemptIndex > 0 {
		t := &c.result.Attempts[call.attemptIndex-1]
		t.Return, t.Answered, t.Conflict = c.now, true, answer.Status == http.StatusConflict
		if t.Kind == "read" && answer.Status == http.StatusOK {
			t.Version, t.BodyID = c.versionByBody[string(answer.Body)], c.coreHistory.bodyID(string(answer.Body))
		}
		call.attemptIndex = 0
	}
	if call.action.Kind == "read" {
		return
	}
	if answer.Status == http.StatusConflict {
		if c.tracef("%s: call %d (%s) is refused", m.name, call.number, bodyLabel(call.body)); call.action.Kind != "put" {
			c.violationf("call %d, %s, is answered 409", call.number, call.action.Kind)
		}
		if c.coreHistory.rejectedBodies[call.body] = true; c.coreHistory.sequenceByBody[call.body] > 0 {
			c.violationf("%s refuses call %d, version %d %s, which was taken", m.name, call.number, call.version, bodyLabel(call.body))
		}
		return
	}
	c.tracef("%s: call %d (%s %d %s) is acknowledged", m.name, call.number, call.action.Kind, max(call.version, uint64(call.action.Target)), bodyLabel(call.body))
	if call.action.Kind != "put" {
		return
	}
	if had, ok := c.coreHistory.claims[call.version]; !ok {
		top := valueAt(c.coreHistory.sequences, call.startedAt) // it may have been taken among others, and not been seen
		if seq := c.coreHistory.sequenceByBody[call.body]; seq > 0 {
			top = seq // it may have been taken long before it was acknowledged
		}
		c.coreHistory.claims[call.version] = claim{call.body, top}
	} else if had.body != call.body && c.coreHistory.newestSequence-had.sequence < claimHorizon {
		c.violationf("version %d is acknowledged as %s and as %s", call.version, bodyLabel(had.body), bodyLabel(call.body))
	}
	if call.version > valueAt(c.coreHistory.acknowledgedVersions, c.now) {
		c.coreHistory.acknowledgedVersions = append(c.coreHistory.acknowledgedVersions, observation{c.now, call.version})
	}
}

// measureStaleAnswer measures how long one that was cut off, or that has just thawed and missed a view, still answers.
func (c *cluster) measureStaleAnswer(m *member) {
	if m.isCutOff() {
		c.result.AnswersWhileCut = append(c.result.AnswersWhileCut, c.now-m.cutAt)
	}
	if m.thawedAt > 0 && m.controller.Coordinator().View().Number < c.result.NewestView {
		c.result.AnswersAfterThaw = append(c.result.AnswersAfterThaw, c.now-m.thawedAt)
	}
}

// checkFirstState watches what a forager that is new to a comb is told there: nothing older than what was acknowledged some time ago.
func (c *cluster) checkFirstState(m *member, g *gatewayNode, state *messages.StateUpdate) {
	if c.schedule.Tolerance == 0 || !state.Full || g.member != m {
		return
	}
	c.measureStaleAnswer(m)
	if floor := valueAt(c.coreHistory.acknowledgedVersions, c.now-contactTimeout); state.ConfigVersion < floor {
		c.violationf("%s tells %s, which is new to it, of version %d; %d was acknowledged over %v before", m.name, g.name, state.ConfigVersion, floor, contactTimeout)
	}
	for _, z := range sortedKeys(c.evacuatedAt) {
		if c.now > c.evacuatedAt[z]+contactTimeout && !slices.Contains(state.EvacuatedZones, z) {
			c.violationf("%s tells %s, which is new to it, nothing of zone %s, whose evacuation was acknowledged at %.2f s", m.name, g.name, z, c.evacuatedAt[z].Seconds())
		}
	}
}

// recordCommitted takes the newest committed register down as what could be read at this moment.
func (c *cluster) recordCommitted(m *member, register chainreplication.Register) {
	history := &c.coreHistory
	if c.schedule.Tolerance == 0 || history.hasCommit && register.Sequence <= history.newestSequence {
		return
	}
	history.hasCommit, history.newestSequence = true, register.Sequence
	history.sequences = append(history.sequences, observation{c.now, register.Sequence})
	c.result.NewestSequence = register.Sequence
	if body := string(register.Body); body != "" {
		if history.sequenceByBody[body] == 0 {
			history.sequenceByBody[body] = register.Sequence
		}
		if history.rejectedBodies[body] {
			c.violationf("%s: version %d %s is committed, which was refused", m.name, register.Version, bodyLabel(body))
		}
	}
	c.result.Attempts = append(c.result.Attempts, Attempt{Kind: "read", Version: register.Version, BodyID: history.bodyID(string(register.Body)), Sequence: register.Sequence, Answered: true, Call: c.now, Return: c.now})
	for i := range c.zoneCount() {
		out := 0
		if register.EvacuatedZones[c.zoneName(i)] {
			out = 1
		}
		c.result.Attempts = append(c.result.Attempts, Attempt{Key: c.zoneName(i), Kind: "read", BodyID: out, Sequence: register.Sequence, Answered: true, Call: c.now, Return: c.now})
	}
}

// newestView is the newest view held by a process that runs.
func (c *cluster) newestView() (v membership.View) {
	for _, m := range c.members {
		if m.up && m.controller != nil && m.controller.Coordinator().View().Number > v.Number {
			v = m.controller.Coordinator().View()
		}
	}
	return v
}

// durableSequence is the number of what a loss of power would leave on a disk, and how many bytes there are now.
func (m *member) durableSequence() (seq uint64, bytes int) {
	for _, f := range m.disk.files {
		bytes += len(f.content)
	}
	if k := m.disk.durableState(); k != nil {
		seq = k.Register.Sequence
	}
	return seq, bytes
}

func (m *member) isHealthy() bool {
	return m.up && !m.leaving && !m.frozen && m.controller != nil && !m.isCutOff() && !m.disk.full && !m.disk.failing && !m.disk.stalled
}

// watchCore looks at the core from outside, again and again: after some calm all that run are filled, in touch and in the
// chain, and enough of them vote.
func (c *cluster) watchCore() {
	if c.finished {
		return
	}
	c.after(watchInterval, c.watchCore)
	view, history := c.newestView(), &c.coreHistory
	for _, m := range c.members {
		if m.isHealthy() && !m.caughtUp && slices.Contains(view.Chain, m.controller.Coordinator().Self().ID) {
			if seq, _ := m.durableSequence(); seq >= history.newestSequence {
				m.caughtUp = true
				if took := c.now - m.startedAt; m.isSpare {
					c.result.JoinTimes = append(c.result.JoinTimes, took)
				} else {
					c.result.CatchUpTimes = append(c.result.CatchUpTimes, took)
				}
			}
		}
	}
	if history.watchCount++; history.watchCount%10 > 0 {
		return
	}
	history.formed = history.formed || c.calmFor(catchUpTime) && c.now > catchUpTime+restartTime
	if !c.calmFor(catchUpTime) || !history.hasCommit || c.now < formationBound {
		return
	}
	well, out, voting := 0, 0, 0
	for _, m := range c.members {
		if !m.isHealthy() {
			if !m.gone {
				out++
			}
			continue
		}
		well++
		id := m.controller.Coordinator().Self().ID
		if view.HasVoter(id) {
			voting++
		}
		seq, bytes := m.durableSequence()
		c.result.MaxDiskBytes = max(c.result.MaxDiskBytes, bytes)
		if had := valueAt(history.sequences, c.now-time.Second); seq < had || !slices.Contains(view.Chain, id) {
			c.violationf("%s has been up since %.2f s, and is not filled: it holds %d of %d on disk, the chain of view %d is %s", m.name, m.startedAt.Seconds(), seq, had, view.Number, strings.Join(view.Chain, " > "))
			return
		}
		if bytes > maxDiskBytes {
			c.violationf("%s keeps %d bytes after %d changes", m.name, bytes, history.newestSequence)
		}
		if c.calmFor(calmBeforeCall) && !m.controller.Coordinator().HasQuorumContact(c.monotonicTime(&m.process)) {
			c.violationf("%s is not in touch, though all has been calm", m.name)
			return
		}
	}
	if !c.calmFor(calmBeforeCall) {
		return
	}
	// As many more may be lost as the tolerance leaves: with all there, that takes 2f+1 voters or more.
	if more := max(c.schedule.Tolerance-max(c.schedule.Members-well, out), 0); voting-more < view.Quorum() {
		c.violationf("%d of %d voters of view %d are there, and %d more may be lost", voting, len(view.Voters), view.Number, more)
	}
}

// targetOf is the machine that a trouble means.
func (c *cluster) targetOf(fault Fault) *member {
	view := c.newestView()
	of := func(id string) *member {
		addr, _, _ := strings.Cut(id, "/")
		return c.memberByAddress[addr]
	}
	if n := len(view.Chain); n > 0 {
		switch fault.Role {
		case "head":
			return of(view.Chain[0])
		case "tail":
			return of(view.Chain[n-1])
		case "middle":
			return of(view.Chain[n/2])
		}
	}
	if fault.Role == "newest" && c.coreHistory.newestSpare != nil {
		return c.coreHistory.newestSpare
	}
	if fault.Target < len(c.members) && !c.members[fault.Target].gone {
		return c.members[fault.Target]
	}
	var there []*member
	for _, m := range c.members {
		if !m.gone {
			there = append(there, m)
		}
	}
	return there[fault.Target%len(there)]
}

// injectPendingFaults strikes with what waited for a view.
func (c *cluster) injectPendingFaults(view membership.View) {
	if len(c.coreHistory.pendingFaults) == 0 {
		return
	}
	in := func(ids []string) bool {
		return c.coreHistory.newestSpare != nil && slices.ContainsFunc(ids, func(id string) bool { return strings.HasPrefix(id, c.coreHistory.newestSpare.address+"/") })
	}
	var voters []string
	for _, m := range view.Voters {
		voters = append(voters, m.ID)
	}
	waits := c.coreHistory.pendingFaults
	c.coreHistory.pendingFaults = nil
	for _, fault := range waits {
		if fault.When == "joined" && !in(view.Chain) || fault.When == "voter" && !in(voters) {
			c.coreHistory.pendingFaults = append(c.coreHistory.pendingFaults, fault)
			continue
		}
		fault.When = ""
		most := 8 * time.Millisecond // at once, or as it settles
		if c.random.IntN(2) == 0 {
			most = 700 * time.Millisecond
		}
		c.after(time.Duration(c.random.Int64N(int64(most))), func() { c.injectFault(fault) })
	}
}

// injectCoreFault does what only days with a Tolerance have, and tells whether it was that.
func (c *cluster) injectCoreFault(fault Fault) bool {
	if fault.When != "" {
		c.coreHistory.pendingFaults = append(c.coreHistory.pendingFaults, fault)
		c.after(maxFaultWait, func() {
			c.coreHistory.pendingFaults = slices.DeleteFunc(c.coreHistory.pendingFaults, func(x Fault) bool { return x == fault })
		})
		return true
	}
	over := func(f func()) {
		c.after(fault.For, func() { f(); c.unsettle() })
	}
	switch fault.Kind {
	case "bkill", "bfreeze", "bcut", "rcrash", "step":
		return false
	case "all", "allpower", "wipepower":
		c.tracef("TROUBLE: %v", fault)
		lost := 0
		for i := range c.members {
			m, how := c.members[(i+fault.Target)%len(c.members)], "kill"
			if fault.Kind != "all" {
				how = "power"
			}
			if fault.Kind == "wipepower" && lost < c.schedule.Tolerance && m.up {
				how, lost = "wipe", lost+1
			}
			c.stopMember(m, how, fault.For+time.Duration(c.random.IntN(300))*time.Millisecond)
		}
		return true
	case "spare":
		c.coreHistory.spareCount++
		m := &member{index: len(c.members), process: process{name: "comb " + string(rune('A'+c.coreHistory.spareCount-1)), isMember: true}, address: spareAddress(c.coreHistory.spareCount), disk: newDisk(), isSpare: true}
		c.tracef("TROUBLE: %s is new", m.name)
		c.members = append(c.members, m)
		c.memberByAddress[m.address], c.coreHistory.newestSpare = m, m
		c.startMember(m, false)
		return true
	}
	m := c.targetOf(fault)
	c.tracef("TROUBLE: %s: %v", m.name, fault)
	c.unsettle()
	switch fault.Kind {
	case "kill":
		c.stopMember(m, "kill", restartTime)
	case "power", "wipe":
		c.stopMember(m, fault.Kind, fault.For)
	case "gone", "leave":
		if m.up {
			c.downSince[m.index] = c.now
		}
		if fault.Kind == "leave" {
			c.terminate(m)
		} else {
			c.stopMember(m, "power", -1)
			m.gone = true
		}
		if fault.For > 0 { // it comes back with its disk, when nobody counts on it any more
			c.after(fault.For, func() {
				if m.gone && !m.up {
					m.gone, m.leaving = false, false
					c.startMember(m, false)
				}
			})
		}
	case "freeze", "still", "stopped":
		if m.up && !m.frozen {
			c.downSince[m.index], m.cutAt = c.now, c.now
			incarnation, from := m.incarnation, c.now
			c.after(fault.For, func() {
				if m.incarnation == incarnation && fault.Kind != "freeze" {
					m.clockOffset -= time.Duration(float64(c.now-from) * m.clockRate)
				}
				if m.incarnation == incarnation && fault.Kind == "stopped" {
					m.wallClockOffset -= c.now - from
				}
			})
			c.freeze(&m.process, fault.For)
			over(func() { delete(c.downSince, m.index) })
		}
	case "cut", "island", "deaf", "mute":
		c.downSince[m.index] = c.now
		if !m.isCutOff() {
			m.cutAt = c.now
		}
		add := func(n int) {
			switch fault.Kind {
			case "cut":
				m.isolationCuts += n
			case "island":
				m.inboundCuts, m.outboundCuts = m.inboundCuts+n, m.outboundCuts+n
			case "deaf":
				m.inboundCuts += n
			case "mute":
				m.outboundCuts += n
			}
		}
		add(1)
		over(func() { add(-1); delete(c.downSince, m.index) })
	case "full":
		m.disk.full = true
		over(func() { m.disk.full = false })
	case "refuse":
		m.disk.failing = true
		over(func() { m.disk.failing = false })
	case "stall":
		m.disk.stalled = true
		over(func() { m.disk.stalled = false })
	default:
		c.violationf("no such trouble: %s", fault.Kind)
	}
	if fault.Reconnect && len(c.gateways) > 0 {
		c.after(time.Duration(c.random.Int64N(int64(1500*time.Millisecond))), func() { c.restartGatewayAt(m) })
		c.after(max(fault.For-300*time.Millisecond, 0)+time.Duration(c.random.Int64N(int64(600*time.Millisecond))), func() { c.restartGatewayAt(m) })
	}
	return true
}

func spareAddress(n int) string { return "10.0.1." + string(rune('0'+n)) + ":7000" }

// plantBug puts a bug in what the machines say to one another.
func (c *cluster) plantBug(m *member, event controller.Event) controller.Event {
	msg, inner := *event.Message, *event.Message.Coordinator
	switch f := c.schedule.PlantedBug; {
	case f == ConfirmSupersededView && inner.ConfirmViewResponse != nil:
		x := *inner.ConfirmViewResponse
		x.Confirmed, inner.ConfirmViewResponse = true, &x
	case f == DropCommandID && inner.ProposeRequest != nil:
		x := *inner.ProposeRequest
		x.Command.ID, inner.ProposeRequest = 0, &x
	case f == HideConflict && inner.ProposeResponse != nil:
		x := *inner.ProposeResponse
		x.Conflict, inner.ProposeResponse = false, &x
	default:
		return event
	}
	msg.Coordinator, event.Message = &inner, &msg
	return event
}

// terminate ends a machine in order: SIGTERM, then SIGKILL after the grace.
func (c *cluster) terminate(m *member) {
	if !m.up {
		m.gone, m.goneAt = true, c.now
		return
	}
	incarnation := m.incarnation
	if m.leaving = true; c.schedule.PlantedBug == LeaveWithoutHandover {
		c.stopMember(m, "kill", -1)
		return
	}
	c.runOn(&m.process, incarnation, func() { c.step(m, controller.Event{Shutdown: true}) })
	c.after(terminationGrace, func() {
		if m.up && m.incarnation == incarnation {
			c.tracef("%s has not ended within the grace", m.name)
			c.stopMember(m, "kill", -1)
		}
	})
}

// wallClockTime is the time of day at a machine.
func (c *cluster) wallClockTime(m *member) time.Duration {
	return 1000*time.Hour + c.now + m.wallClockOffset
}

// restartGatewayAt has a forager begin a new life and call one comb first.
func (c *cluster) restartGatewayAt(m *member) {
	g := c.gateways[c.random.IntN(len(c.gateways))]
	if !g.up || c.finished {
		return
	}
	g.up = false
	if g.member != nil {
		m, n := g.member, g.stream
		c.send(&g.process, &m.process, 0, 0, func() { c.endStream(m, n) })
	}
	c.after(20*time.Millisecond, func() {
		if !g.up {
			c.startGateway(g)
			g.nextMember = m
		}
	})
}
