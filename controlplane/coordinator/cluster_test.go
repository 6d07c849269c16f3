package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

type noHints struct{}

func (noHints) Revision() uint64            { return 0 }
func (noHints) Instances() []fleet.Instance { return nil }

// testMember is one member with its coordinator, disk and clock, and the events delayed while it is suspended.
type testMember struct {
	addr        string
	coordinator *Coordinator
	disk        []byte
	startedAt   time.Duration
	running     bool
	suspended   bool
	diskFull    bool          // writes to its disk fail
	clockLag    time.Duration // total time for which its clock was stopped
	delayed     []func()
	incarnation int
}

// testCluster connects coordinators by links that deliver messages in order. By default messages and writes take 1 ms.
type testCluster struct {
	t             *testing.T
	now           time.Duration
	members       map[string]*testMember
	seeds         []string
	cut           map[[2]string]bool // links that drop messages, by sender and receiver
	queue         []event
	eventSequence int
	responses     map[string]callerResponse    // by request name
	requestNames  map[string]map[uint64]string // by member and request ID
	messageDelay  func(from, to string, message Message) time.Duration
	writeDelay    time.Duration
	tolerance     membership.FaultTolerance // in effect for members that are started from then on
}

// callerResponse is the response received by a caller. It is zero if there is none.
type callerResponse struct {
	Status     int
	Body       []byte
	RedirectTo string
}

type event struct {
	when     time.Duration
	sequence int
	run      func()
}

func newTestCluster(t *testing.T, seeds ...string) *testCluster {
	n := &testCluster{
		t:            t,
		members:      map[string]*testMember{},
		seeds:        seeds,
		cut:          map[[2]string]bool{},
		responses:    map[string]callerResponse{},
		requestNames: map[string]map[uint64]string{},
		messageDelay: func(string, string, Message) time.Duration { return time.Millisecond },
		writeDelay:   time.Millisecond,
	}
	for _, addr := range seeds {
		n.start(addr, true)
	}
	return n
}

func (n *testCluster) after(delay time.Duration, run func()) {
	n.eventSequence++
	n.queue = append(n.queue, event{n.now + delay, n.eventSequence, run})
}

// start starts a member with the current content of its disk.
func (n *testCluster) start(addr string, firstStart bool) *testMember {
	member := n.members[addr]
	if member == nil {
		member = &testMember{addr: addr}
		n.members[addr] = member
	}
	member.incarnation++
	member.running, member.suspended, member.startedAt, member.clockLag, member.delayed = true, false, n.now, 0, nil
	n.requestNames[addr] = map[uint64]string{}
	var state PersistentState
	if member.disk != nil {
		var err error
		if state, err = DecodePersistentState(member.disk); err != nil {
			n.t.Fatal(err)
		}
	}
	state.Initialize(addr, n.seeds, firstStart, fmt.Sprint("w", member.incarnation))
	random := rand.New(rand.NewPCG(uint64(len(addr)), uint64(n.eventSequence)))
	self := fleet.Member{ID: state.DiskID, Addr: addr, Zone: "z", APIAddr: addr}
	member.coordinator = New(self, state, n.seeds, random.Float64, noHints{})
	member.coordinator.SetFaultTolerance(n.tolerance)
	raw, err := member.coordinator.EncodeState()
	if err != nil {
		n.t.Fatal(err)
	}
	member.disk = raw
	n.perform(member, member.coordinator.Start(n.localTime(member)))
	n.tick(member, member.incarnation)
	return member
}

// localTime returns the time on a member's own clock.
func (n *testCluster) localTime(member *testMember) time.Duration {
	return n.now - member.startedAt - member.clockLag + time.Millisecond
}

// deliver runs an event on a member, once it is not suspended, unless the member was stopped or restarted in between.
func (n *testCluster) deliver(member *testMember, incarnation int, run func()) {
	switch {
	case !member.running || member.incarnation != incarnation:
	case member.suspended:
		member.delayed = append(member.delayed, run)
	default:
		run()
	}
}

func (n *testCluster) tick(member *testMember, incarnation int) {
	n.deliver(member, incarnation, func() { n.perform(member, member.coordinator.Tick(n.localTime(member))) })
	if member.running && member.incarnation == incarnation {
		n.after(100*time.Millisecond, func() { n.tick(member, incarnation) })
	}
}

// perform performs the actions requested by a member's coordinator.
func (n *testCluster) perform(member *testMember, actions Actions) {
	for _, outbound := range actions.Messages {
		n.transmit(member, outbound)
	}
	if actions.StateToPersist != nil {
		incarnation := member.incarnation
		n.after(n.writeDelay, func() {
			n.deliver(member, incarnation, func() { n.write(member, actions.StateToPersist) })
		})
	}
	for _, response := range actions.Responses {
		if name, ok := n.requestNames[member.addr][response.RequestID]; ok {
			n.responses[name] = callerResponse{response.Status(), response.Body, response.RedirectTo()}
		}
	}
}

func (n *testCluster) transmit(sender *testMember, outbound Outbound) {
	receiver := n.members[outbound.To]
	if receiver == nil {
		return
	}
	from, message, incarnation := sender.coordinator.Self(), outbound.Message, receiver.incarnation
	n.after(n.messageDelay(sender.addr, outbound.To, message), func() {
		if !n.cut[[2]string{sender.addr, receiver.addr}] {
			n.deliver(receiver, incarnation, func() {
				n.perform(receiver, receiver.coordinator.Step(n.localTime(receiver), from, message))
			})
		}
	})
}

func (n *testCluster) write(member *testMember, raw []byte) {
	if member.diskFull {
		n.perform(member, member.coordinator.StatePersisted(n.localTime(member), "no space"))
		return
	}
	member.disk = raw
	n.perform(member, member.coordinator.StatePersisted(n.localTime(member), ""))
}

// advance advances the time and runs the events that fall due, in order.
func (n *testCluster) advance(duration time.Duration) {
	for end := n.now + duration; ; {
		next := -1
		for i, e := range n.queue {
			if e.when <= end && (next < 0 || e.when < n.queue[next].when || e.when == n.queue[next].when && e.sequence < n.queue[next].sequence) {
				next = i
			}
		}
		if next < 0 {
			n.now = end
			return
		}
		due := n.queue[next]
		n.queue = slices.Delete(n.queue, next, next+1)
		n.now = due.when
		due.run()
	}
}

// propose submits a command to a member. The name identifies its response.
func (n *testCluster) propose(addr, name string, command chainreplication.Command) {
	member := n.members[addr]
	n.deliver(member, member.incarnation, func() {
		id, actions := member.coordinator.Propose(n.localTime(member), command)
		n.requestNames[addr][id] = name
		n.perform(member, actions)
	})
}

// read submits a read to a member. The name identifies its response.
func (n *testCluster) read(addr, name string) {
	member := n.members[addr]
	n.deliver(member, member.incarnation, func() {
		id, actions := member.coordinator.Read(n.localTime(member))
		n.requestNames[addr][id] = name
		n.perform(member, actions)
	})
}

func (n *testCluster) expectStatus(name string, status int) {
	n.t.Helper()
	if response, ok := n.responses[name]; !ok || response.Status != status {
		n.t.Errorf("%s: answered %v with %d, want %d", name, ok, response.Status, status)
	}
}

// isolate cuts or restores all links of a member, in both directions.
func (n *testCluster) isolate(addr string, isolated bool) {
	for other := range n.members {
		n.cut[[2]string{addr, other}], n.cut[[2]string{other, addr}] = isolated, isolated
	}
}

// resume resumes a suspended member and runs its delayed events.
func (n *testCluster) resume(addr string) {
	member := n.members[addr]
	delayed := member.delayed
	member.suspended, member.delayed = false, nil
	for _, run := range delayed {
		run()
	}
}

// voters returns the sorted addresses of the voters in a member's view.
func (n *testCluster) voters(addr string) []string {
	var addresses []string
	for _, voter := range n.members[addr].coordinator.View().Voters {
		addresses = append(addresses, voter.Addr)
	}
	slices.Sort(addresses)
	return addresses
}

func config(version uint64, body string) chainreplication.Command {
	return chainreplication.Command{Version: version, Body: []byte(body)}
}
