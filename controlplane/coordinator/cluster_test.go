package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/fleet"
)

type noHints struct{}

func (noHints) Revision() uint64            { return 0 }
func (noHints) Instances() []fleet.Instance { return nil }

// testMember is one member: its coordinator, its disk, its clock, and what arrived while it was frozen.
type testMember struct {
	addr        string
	coordinator *Coordinator
	disk        []byte
	startedAt   time.Duration
	up          bool
	frozen      bool
	diskFull    bool          // its disk refuses writes
	clockLag    time.Duration // its clock stood still for so long
	delayed     []func()
	incarnation int
}

// testCluster connects coordinators by links that carry every message in order, in a millisecond; a write takes as long.
type testCluster struct {
	t             *testing.T
	now           time.Duration
	members       map[string]*testMember
	seeds         []string
	cut           map[[2]string]bool // links, by sender and receiver
	queue         []event
	eventSequence int
	responses     map[string]callerResponse    // by the request's name
	requestNames  map[string]map[uint64]string // by member and request ID
	messageDelay  func(from, to string, message Message) time.Duration
	writeDelay    time.Duration
}

// callerResponse is the response that a caller got. Its zero value stands for none.
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

// start begins a new incarnation of a member on the disk that is there.
func (n *testCluster) start(addr string, firstStart bool) *testMember {
	member := n.members[addr]
	if member == nil {
		member = &testMember{addr: addr}
		n.members[addr] = member
	}
	member.incarnation++
	member.up, member.frozen, member.startedAt, member.clockLag, member.delayed = true, false, n.now, 0, nil
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
	raw, err := member.coordinator.EncodeState()
	if err != nil {
		n.t.Fatal(err)
	}
	member.disk = raw
	n.perform(member, member.coordinator.Start(n.local(member)))
	n.tick(member, member.incarnation)
	return member
}

// local is the time by a member's own clock.
func (n *testCluster) local(member *testMember) time.Duration {
	return n.now - member.startedAt - member.clockLag + time.Millisecond
}

// deliver runs something on a member if it is still of an incarnation: now, or when it is thawed.
func (n *testCluster) deliver(member *testMember, incarnation int, run func()) {
	switch {
	case !member.up || member.incarnation != incarnation:
	case member.frozen:
		member.delayed = append(member.delayed, run)
	default:
		run()
	}
}

func (n *testCluster) tick(member *testMember, incarnation int) {
	n.deliver(member, incarnation, func() { n.perform(member, member.coordinator.Tick(n.local(member))) })
	if member.up && member.incarnation == incarnation {
		n.after(100*time.Millisecond, func() { n.tick(member, incarnation) })
	}
}

// perform does what a member's coordinator asks for.
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
				n.perform(receiver, receiver.coordinator.Step(n.local(receiver), from, message))
			})
		}
	})
}

func (n *testCluster) write(member *testMember, raw []byte) {
	if member.diskFull {
		n.perform(member, member.coordinator.StatePersisted(n.local(member), "no space"))
		return
	}
	member.disk = raw
	n.perform(member, member.coordinator.StatePersisted(n.local(member), ""))
}

// advance lets time pass and runs what falls due, in order.
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

// propose proposes a command at a member, under a name by which its response is found.
func (n *testCluster) propose(addr, name string, command chainreplication.Command) {
	member := n.members[addr]
	n.deliver(member, member.incarnation, func() {
		id, actions := member.coordinator.Propose(n.local(member), command)
		n.requestNames[addr][id] = name
		n.perform(member, actions)
	})
}

// read reads the configuration at a member, under a name by which its response is found.
func (n *testCluster) read(addr, name string) {
	member := n.members[addr]
	n.deliver(member, member.incarnation, func() {
		id, actions := member.coordinator.Read(n.local(member))
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

// isolate cuts a member off from all others, in both directions, or connects it to them again.
func (n *testCluster) isolate(addr string, isolated bool) {
	for other := range n.members {
		n.cut[[2]string{addr, other}], n.cut[[2]string{other, addr}] = isolated, isolated
	}
}

// thaw lets a frozen member go on, with all that arrived meanwhile.
func (n *testCluster) thaw(addr string) {
	member := n.members[addr]
	delayed := member.delayed
	member.frozen, member.delayed = false, nil
	for _, run := range delayed {
		run()
	}
}

// voters lists the addresses of the voters in a member's view.
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
