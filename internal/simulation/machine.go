package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/statestore"
)

const (
	stateKey        = "state"
	maxStateBytes   = 64 << 10 // bytes that a comb keeps: a configuration of some hundred, a dozen replicas, windows with their audit
	maxPendingCalls = 60       // that wait at a comb
)

// member is a core machine with its comb.
type member struct {
	process
	index           int
	address         string
	controller      *controller.Controller
	store           *statestore.Store
	disk            *disk
	wipeCount       int
	newestSequence  uint64 // newest committed number in this life
	pendingCalls    map[uint64]func(controller.Response)
	waitingCalls    map[uint64]*operatorCall // operators' calls that wait here
	streams         map[uint64]*gatewayNode
	seeds           []string
	wallClockOffset time.Duration // by which its time of day is off
	isSpare         bool          // came at a new address
	gone            bool
	leaving         bool
	goneAt          time.Duration
	caughtUp        bool
	messagesSent    int // messages in the second at hand
	messagesSecond  time.Duration
}

// startMember begins a comb's life as its daemon does: the store is opened, what an empty disk lacks is made up, and the first
// write is awaited before anything is listened on.
func (c *cluster) startMember(m *member, first bool) {
	c.startProcess(&m.process)
	c.unsettle()
	m.newestSequence, m.controller, m.caughtUp = 0, nil, first
	m.pendingCalls, m.waitingCalls, m.streams = map[uint64]func(controller.Response){}, map[uint64]*operatorCall{}, map[uint64]*gatewayNode{}
	store, err := statestore.Open(m.disk)
	if err != nil {
		c.violationf("%s cannot open its store: %v", m.name, err)
		return
	}
	m.store = store
	var state coordinator.PersistentState
	if raw, ok := store.Get(stateKey); ok {
		if state, err = coordinator.DecodePersistentState(raw); err != nil {
			c.violationf("%s cannot read its disk: %v", m.name, err)
			return
		}
	}
	seeds := c.seedAddresses(first)
	if state.DiskID == "" && !first {
		m.wipeCount++
	}
	if c.schedule.PlantedBug == ForgetClaims {
		state.Register.Claims = nil
	}
	state.Initialize(m.address, seeds, first || c.schedule.PlantedBug == KeepVoteAfterWipe, fmt.Sprintf("w%d", m.wipeCount))
	m.controller = controller.New(c.monotonicTime(&m.process), controller.Options{Zone: c.zoneName(m.index), ControlAddr: m.address, Zones: []string{"a", "b", "c"}, RegionByZone: map[string]string{"a": "r0", "b": "r1", "c": "r2"}, Seeds: seeds, LinkMbps: 1000,
		DrainDeadline: drainDeadline, HeartbeatInterval: heartbeatInterval, RandomSeed: c.random.Uint64()}, membership.Member{ID: state.DiskID, Addr: m.address, Zone: c.zoneName(m.index), APIAddr: m.address}, state)
	c.tracef("%s starts as %s, view %d, register %d (version %d)", m.name, state.DiskID, state.View.View.Number, state.Register.Sequence, state.Register.Version)
	raw, err := m.controller.PersistentState()
	if err != nil {
		c.violationf("%s: %v", m.name, err)
		return
	}
	c.history.start(c, m, raw)
	decisions := m.controller
	m.controller = nil // nothing reaches it before
	var begin func()
	begin = func() {
		c.persist(m, raw, func(problem string) {
			if problem != "" {
				c.after(300*time.Millisecond, func() {
					if m.up && m.store == store {
						begin()
					}
				})
				return
			}
			m.controller = decisions
			c.step(m, controller.Event{Start: true})
			c.scheduleTick(m, m.incarnation)
		})
	}
	c.runDiskOperations(m, begin) // once files that were set aside are renamed: two at the disk at once would take each other's operations
}

func (c *cluster) scheduleTick(m *member, incarnation int) {
	if m.frozen && c.schedule.Tolerance > 0 {
		m.heldTick = func() { c.step(m, controller.Event{}) }
	} else {
		c.runOn(&m.process, incarnation, func() { c.step(m, controller.Event{}) })
	}
	if m.up && m.incarnation == incarnation {
		late := time.Duration(c.random.IntN(5)) * time.Millisecond
		if c.random.IntN(200) == 0 {
			late += 60 * time.Millisecond
		}
		c.after(controller.TickInterval+late, func() { c.scheduleTick(m, incarnation) })
	}
}

// persist has the store write, and carries its operations out one after the other.
func (c *cluster) persist(m *member, raw []byte, done func(problem string)) {
	c.history.persist(c, m, raw)
	m.disk.pending = nil
	err := m.store.Put(map[string][]byte{stateKey: raw})
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if c.schedule.PlantedBug == AcknowledgeBeforeSync {
		incarnation := m.incarnation
		c.after(100*time.Microsecond, func() { c.runOn(&m.process, incarnation, func() { done(problem) }) })
		c.runDiskOperations(m, nil)
		return
	}
	c.runDiskOperations(m, func() { done(problem) })
}

func (c *cluster) runDiskOperations(m *member, done func()) {
	incarnation := m.incarnation
	var next func()
	next = func() {
		if !m.up || m.incarnation != incarnation {
			return
		}
		if len(m.disk.pending) == 0 {
			if done != nil {
				c.runOn(&m.process, incarnation, done)
			}
			return
		}
		if m.disk.stalled {
			c.after(5*time.Millisecond, next)
			return
		}
		o := m.disk.pending[0]
		took := 50 * time.Microsecond
		if o.kind == "sync" || o.kind == "folder" {
			took = 500*time.Microsecond + time.Duration(c.random.ExpFloat64()*float64(time.Millisecond))
		}
		c.after(took, func() {
			if m.up && m.incarnation == incarnation && len(m.disk.pending) > 0 {
				m.disk.pending = m.disk.pending[1:]
				m.disk.apply(o)
				c.history.operation(c, m, o)
				next()
			}
		})
	}
	next()
}

// step has a comb decide and carries out what it says.
func (c *cluster) step(m *member, event controller.Event) {
	if m.controller == nil {
		return
	}
	if c.schedule.PlantedBug == IgnoreViewNumber && event.Message != nil && event.Message.Coordinator != nil && event.Message.Coordinator.Chain != nil {
		event = acceptAnyView(m, event)
	}
	if event.Message != nil && event.Message.Coordinator != nil {
		event = c.plantBug(m, event)
	}
	viewNumber, sequence := m.controller.Coordinator().View().Number, m.newestSequence
	if c.schedule.Tolerance > 0 {
		event.WallClock = c.wallClockTime(m)
	}
	actions := m.controller.Step(c.monotonicTime(&m.process), event)
	c.history.event(c, m, event)
	if len(actions.Write) > maxStateBytes || len(m.pendingCalls) > maxPendingCalls {
		c.violationf("%s holds %d bytes to be kept and %d calls", m.name, len(actions.Write), len(m.pendingCalls))
	}
	if now := c.now / time.Second; now != m.messagesSecond {
		m.messagesSecond, m.messagesSent = now, 0
	}
	if m.messagesSent += len(actions.Send); m.messagesSent > maxMessagesPerSecond*max(len(c.members)-1, 1) {
		c.violationf("%s sends %d messages within a second", m.name, m.messagesSent)
	}
	for _, outgoing := range actions.Send {
		to := c.memberByAddress[outgoing.To]
		if to == nil || to == m {
			continue
		}
		from, msg := m.controller.Coordinator().Self(), outgoing.Message
		c.send(&m.process, &to.process, c.schedule.LossRate, c.schedule.ReorderRate, func() { c.step(to, controller.Event{From: &from, Message: &msg}) })
	}
	if actions.Write != nil {
		c.persist(m, actions.Write, func(problem string) {
			c.step(m, controller.Event{WriteResult: &controller.WriteResult{Error: problem}})
		})
	}
	if view := m.controller.Coordinator().View(); view.Number != viewNumber {
		c.viewInstalled(m, view)
	}
	if r, known := m.controller.Coordinator().Register(); known && r.Sequence != sequence {
		c.checkCommitted(m, r)
	}
	for i := range actions.Publish {
		for _, stream := range actions.Publish[i].Streams {
			if g := m.streams[stream]; g != nil {
				c.sendState(m, g, stream, &actions.Publish[i].Update)
			}
		}
	}
	for _, answer := range actions.Responses {
		c.history.answer(c, m, answer)
		if done := m.pendingCalls[answer.Token]; done != nil {
			delete(m.pendingCalls, answer.Token)
			delete(m.waitingCalls, answer.Token)
			done(answer)
		}
	}
	for _, stream := range actions.CloseStreams {
		if g := m.streams[stream]; g != nil {
			c.endStream(m, stream)
			c.send(&m.process, &g.process, 0, 0, func() { c.streamLost(g, stream) })
		}
	}
	if actions.ShutdownComplete {
		c.tracef("%s has left", m.name)
		c.stopMember(m, "kill", -1)
	}
}

// acceptAnyView is a fault: a pass, or the tail's word that it is committed, counts whatever view it is of.
func acceptAnyView(m *member, event controller.Event) controller.Event {
	view := m.controller.Coordinator().View()
	msg, inner, pass := *event.Message, *event.Message.Coordinator, *event.Message.Coordinator.Chain
	inner.Chain, msg.Coordinator, event.Message = &pass, &inner, &msg
	if i := view.Position(m.controller.Coordinator().Self().ID); pass.Kind == chainreplication.Forward && i > 0 {
		pass.ViewNumber, pass.From = view.Number, view.Chain[i-1]
	} else if pass.Kind == chainreplication.Commit {
		pass.ViewNumber = view.Number
	}
	return event
}

func (c *cluster) viewInstalled(m *member, view membership.View) {
	c.injectPendingFaults(view)
	for _, fault := range c.onViewChange {
		c.onViewChange, c.unsettledUntil = nil, c.now+fault.For+restartTime
		c.after(time.Duration(c.random.Int64N(int64(6*time.Millisecond))), func() { fault.Kind = "all"; c.injectFault(fault) })
		break
	}
	c.result.NewestView = max(c.result.NewestView, view.Number)
	c.tracef("%s is in view %d: chain %s", m.name, view.Number, strings.Join(view.Chain, " > "))
	for i, at := range c.downSince {
		if !slices.ContainsFunc(view.Chain, func(id string) bool { return strings.HasPrefix(id, c.members[i].address+"/") }) && i != m.index {
			c.result.ViewRepairTimes = append(c.result.ViewRepairTimes, c.now-at)
			delete(c.downSince, i)
		}
	}
}

// checkCommitted watches that no two machines hold different states to be committed under one number, that nobody goes back, and
// that nothing is held that nobody sent.
func (c *cluster) checkCommitted(m *member, register chainreplication.Register) {
	what := fmt.Sprintf("version %d %q, out %v", register.Version, bodyLabel(string(register.Body)), register.EvacuatedZones)
	if had, ok := c.committedBySequence[register.Sequence]; ok && had != what {
		c.violationf("number %d is committed as %s at %s, and as %s elsewhere", register.Sequence, what, m.name, had)
	} else if !ok {
		c.committedBySequence[register.Sequence] = what
		c.tracef("%s: committed %d: %s", m.name, register.Sequence, what)
	}
	if register.Sequence < m.newestSequence {
		c.violationf("%s went back from %d to %d within a life", m.name, m.newestSequence, register.Sequence)
	}
	m.newestSequence = register.Sequence
	c.recordCommitted(m, register)
	c.checkWindows(m, register)
	if _, ok := c.committedAt[register.Version]; !ok {
		c.committedAt[register.Version] = c.now
	}
	if _, sent := c.versionByBody[string(register.Body)]; register.Version > 0 && !sent {
		c.violationf("%s holds a configuration that nobody sent: %q", m.name, register.Body)
	}
}

// stopMember ends a comb's process: by itself, or with the power, or with the disk.
func (c *cluster) stopMember(m *member, cause string, downtime time.Duration) {
	if !m.up {
		return
	}
	if m.controller != nil && m.controller.Coordinator().View().Position(m.controller.Coordinator().Self().ID) >= 0 && downtime >= time.Second {
		c.downSince[m.index] = c.now
	}
	m.up, m.frozen = false, false
	switch cause {
	case "kill":
		m.disk.processKilled(c.random)
	case "power":
		m.disk.powerLost(c.random)
	case "wipe":
		m.disk.files, m.disk.pending = map[string]*file{}, nil
		m.disk.revision++
	}
	c.history.disk(entryKill, c, m)
	if m.store != nil {
		m.store.Close()
	}
	for _, token := range sortedTokens(m.waitingCalls) {
		call := m.waitingCalls[token]
		c.after(0, func() { c.attempt(call) })
	}
	if cause == "kill" { // its connections end at once; without power nobody is told
		for _, n := range sortedTokens(m.streams) {
			g := m.streams[n]
			c.send(&m.process, &g.process, 0, 0, func() { c.streamLost(g, n) })
		}
	}
	c.unsettle()
	if downtime < 0 {
		m.gone, m.goneAt = true, c.now
		return
	}
	c.after(downtime, func() {
		delete(c.downSince, m.index)
		if !m.up && !m.gone {
			c.startMember(m, false)
		}
	})
}

func sortedTokens[V any](m map[uint64]V) []uint64 {
	var all []uint64
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// operatorCall is one call of an operator.
type operatorCall struct {
	number         int
	action         Action
	body           string
	version        uint64
	minimumVersion uint64 // acknowledged before a read began
	startedAt      time.Duration
	attempts       int
	done           bool
	deadline       time.Duration
	attemptedAt    time.Duration // the try at hand
	calledMembers  []*member     // called already
	redirect       *member       // a redirect's
	answerLost     bool          // an answer was lost on its way
	attemptIndex   int           // of Result.Tries
	operationIndex int           // of a write
	endedAt        time.Duration
}

// perform has operators call, and replicas come and go.
func (c *cluster) perform(position int, action Action) {
	switch action.Kind {
	case "drain":
		if action.Target < len(c.replicas) {
			c.drainReplica(c.replicas[action.Target])
		}
		return
	case "begin":
		c.startReplica(action.Target, true)
		return
	}
	call := &operatorCall{number: position, action: action, startedAt: c.now, deadline: c.now + 5*time.Second, minimumVersion: c.acknowledgedVersion}
	switch action.Kind {
	case "put":
		if action.Body > 0 {
			position = action.Body
		}
		call.version, call.body = action.Version, configurationBody(action.Version, position)
		c.versionByBody[call.body] = call.version
		call.operationIndex = len(c.result.Operations)
		c.result.Operations = append(c.result.Operations, Operation{false, call.version, call.startedAt, 0})
	case "restore":
		if at, out := c.evacuatedAt[c.zoneName(action.Target)]; out && c.now > at+evacuationBound && c.calmFor(contactTimeout) {
			for _, r := range c.replicas { // they may have turned cold shortly before
				if r.zone == c.zoneName(action.Target) && r.alive {
					r.warmupUntil = max(r.warmupUntil, c.now+warmupTime)
				}
			}
		}
		delete(c.evacuatedAt, c.zoneName(action.Target))
		c.restoreCalls = append(c.restoreCalls, call)
	}
	c.attempt(call)
}

// attempt sends a call to some machine, once more.
func (c *cluster) attempt(call *operatorCall) {
	c.recordGiveUp(call)
	if call.done || c.now > call.deadline || c.finished {
		if !call.done && !c.finished && call.startedAt > c.unsettledUntil+calmBeforeCall && call.attempts > 0 {
			c.violationf("call %d, made at %.2f s when all had been calm, was not answered", call.number, call.startedAt.Seconds())
		}
		return
	}
	call.attempts++
	call.attemptedAt = c.now
	m := c.nextMember(call)
	if !m.up || m.frozen && c.schedule.Tolerance == 0 || m.controller == nil {
		c.after(200*time.Millisecond, func() { c.attempt(call) })
		return
	}
	c.lastToken++
	event := controller.Event{Token: c.lastToken}
	c.recordAttempt(call)
	switch call.action.Kind {
	case "read":
		call.minimumVersion = max(call.minimumVersion, c.acknowledgedVersion)
		event.ReadConfiguration = true
	case "agree", "ask", "finish", "cancel":
		event.MaintenanceCommand = c.windowCommand(call.action)
	case "put":
		event.Command = &chainreplication.Command{Version: call.version, Body: []byte(call.body)}
	default:
		event.Command = &chainreplication.Command{Zone: c.zoneName(call.action.Target), Evacuated: call.action.Kind == "evacuate"}
	}
	m.waitingCalls[event.Token] = call
	attempt := call.attempts
	m.pendingCalls[event.Token] = func(a controller.Response) {
		if c.schedule.Tolerance == 0 || call.attempts == attempt && !c.losesAnswer(m, call, a) {
			c.receiveAnswer(m, call, a)
		}
	}
	if c.schedule.Tolerance > 0 { // it may lie in the socket of one that is frozen
		c.runOn(&m.process, m.incarnation, func() {
			if c.schedule.PlantedBug == AcceptDelayedCalls && c.now-m.thawedAt < time.Second {
				incarnation := m.incarnation
				c.after(time.Second, func() { c.runOn(&m.process, incarnation, func() { c.step(m, event) }) })
				return
			}
			c.step(m, event)
		})
	} else {
		c.step(m, event)
	}
	c.after(time.Second, func() { // silence: another machine is asked
		if !call.done && call.attempts == attempt {
			c.attempt(call)
		}
	})
}

func (c *cluster) receiveAnswer(m *member, call *operatorCall, answer controller.Response) {
	if call.done {
		return
	}
	switch answer.Status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
	default:
		c.receiveUnclearAnswer(call, answer)
		attempt := call.attempts
		c.after(100*time.Millisecond, func() {
			if call.attempts == attempt {
				c.attempt(call)
			}
		})
		return
	}
	call.done, call.endedAt = true, c.now
	c.result.AnsweredCalls++
	c.recordAnswer(m, call, answer)
	if call.action.Kind == "read" {
		version := uint64(0)
		if answer.Status == http.StatusOK {
			sentVersion, sent := c.versionByBody[string(answer.Body)]
			if !sent {
				c.violationf("%s answers a configuration that nobody sent: %q", m.name, answer.Body)
			}
			version = sentVersion
		}
		c.result.Operations = append(c.result.Operations, Operation{true, version, call.startedAt, c.now})
		if version < call.minimumVersion {
			c.violationf("%s answers version %d, %d was acknowledged before it was asked", m.name, version, call.minimumVersion)
		}
		return
	}
	if answer.Status == http.StatusConflict {
		return
	}
	c.result.Acknowledged++
	c.result.CommandLatencies = append(c.result.CommandLatencies, c.now-call.attemptedAt)
	for _, fault := range c.onAcknowledgement {
		c.onAcknowledgement, c.unsettledUntil = c.onAcknowledgement[1:], c.now+fault.For+restartTime
		fault.Target, fault.Kind = m.index, strings.TrimPrefix(fault.Kind, "ack")
		c.after(time.Duration(c.random.Int64N(int64(4*time.Millisecond))), func() { c.injectFault(fault) })
		break
	}
	if c.isIsolated(m) {
		c.violationf("%s acknowledges call %d though it has been cut off for long", m.name, call.number)
	}
	switch call.action.Kind {
	case "put":
		c.result.Operations[call.operationIndex].Return = c.now
		if call.version > c.acknowledgedVersion {
			c.acknowledgedVersion, c.acknowledgedAt = call.version, c.now
		}
	case "evacuate":
		overlaps := func(o *operatorCall) bool {
			return c.zoneName(o.action.Target) == c.zoneName(call.action.Target) && (o.startedAt >= call.startedAt || !o.done || o.endedAt >= call.startedAt)
		}
		if !slices.ContainsFunc(c.restoreCalls, overlaps) { // else it cannot be said which of the two came last
			c.evacuatedAt[c.zoneName(call.action.Target)] = c.now
		}
	}
	c.checkDurability(call)
}

// isIsolated tells whether a machine has reached no other for seconds.
func (c *cluster) isIsolated(m *member) bool {
	if c.schedule.Tolerance > 0 {
		return m.isCutOff() && c.now-m.cutAt > contactTimeout
	}
	at, ok := c.downSince[m.index]
	if !ok || c.now-at <= 3*time.Second || m.frozen {
		return false
	}
	for _, other := range c.members {
		if other != m && c.cutLinks[[2]string{m.name, other.name}] == 0 {
			return false
		}
	}
	return true
}

// checkDurability watches that what was just acknowledged is on more disks than may be lost at once, whatever power takes away.
func (c *cluster) checkDurability(call *operatorCall) {
	copies := 0
	for _, m := range c.members {
		if m.gone {
			continue
		}
		if state := m.disk.durableState(); state != nil && (call.action.Kind != "put" || state.Register.Version >= call.version) {
			copies++
		}
	}
	tolerated := min((c.schedule.Members-1)/2, (c.schedule.InitialMembers-1)/2)
	if c.coreHistory.formed {
		tolerated = c.schedule.Tolerance
	}
	if copies <= tolerated {
		c.violationf("call %d was acknowledged with only %d disks that hold it", call.number, copies)
	}
}

// finalRead asks once more, when all is calm again: what was acknowledged must be there.
func (c *cluster) finalRead() {
	c.tracef("the last question: version %d or newer", c.acknowledgedVersion)
	call := &operatorCall{number: -1, action: Action{Kind: "read"}, minimumVersion: c.acknowledgedVersion, startedAt: c.now, deadline: c.now + 6*time.Second}
	c.attempt(call)
	c.after(5*time.Second, func() {
		if !call.done {
			c.violationf("the last question was not answered")
		}
		c.finished = true
	})
}

// deliverHeartbeat has a replica's word reach a comb; done is told whether it was acknowledged.
func (c *cluster) deliverHeartbeat(m *member, instance registry.Instance, leave bool, done func(ok bool, next string)) {
	c.lastToken++
	event := controller.Event{Token: c.lastToken, Heartbeat: &instance}
	if leave {
		event = controller.Event{Token: c.lastToken, Deregister: instance.ID}
	}
	m.pendingCalls[event.Token] = func(a controller.Response) {
		if a.Status == http.StatusOK && m.isCutOff() {
			c.result.HeartbeatsWhileCut = append(c.result.HeartbeatsWhileCut, c.now-m.cutAt)
		}
		done(a.Status == http.StatusOK, a.Address)
	}
	c.step(m, event)
}
