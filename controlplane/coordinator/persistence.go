package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

const (
	// slowWriteThreshold is how long a write may take before the disk counts as unhealthy.
	slowWriteThreshold = 400 * time.Millisecond

	// writeRetryInterval is after how long a write that failed is tried again.
	writeRetryInterval = 300 * time.Millisecond

	// hintsWriteInterval is how often the state is written at most if only the hints have changed.
	hintsWriteInterval = time.Second
)

// Values of Actions.DiskHealth, beside the problem that was passed to StatePersisted.
const (
	DiskHealthy = "healthy"
	diskSlow    = "slow"
)

// PersistentState is what a member keeps on disk, as one CBOR value.
type PersistentState struct {
	DiskID     string                    `cbor:"1,keyasint"` // the disk's identity, which is the member's ID
	View       membership.DurableState   `cbor:"2,keyasint"`
	Register   chainreplication.Register `cbor:"3,keyasint"`
	SyncedView uint64                    `cbor:"4,keyasint"` // number of the last view in which the register was synced

	// Instances are kept as a hint only: after a loss of all members, one that restarts would otherwise know just the few
	// replicas whose heartbeats come first, and would have all traffic sent to them.
	Instances []fleet.Instance `cbor:"5,keyasint,omitempty"`
}

// Hints provides what is kept on disk beside the durable state and may be lost.
type Hints interface {
	// Revision rises when Instances changes.
	Revision() uint64
	Instances() []fleet.Instance
}

// DecodePersistentState decodes the bytes of an Actions.StateToPersist.
func DecodePersistentState(raw []byte) (PersistentState, error) {
	var state PersistentState
	if err := cbor.Unmarshal(raw, &state); err != nil {
		return state, fmt.Errorf("decoding the persistent state: %w", err)
	}
	return state, nil
}

// Initialize completes the state of an empty disk and leaves any other as it is. At the very first start of a system the disk
// gets the identity that the seeds' initial view names. Otherwise its identity is made from the address and a random suffix: a
// member that has lost its disk has lost its promises, and must not be taken for the one that made them.
func (s *PersistentState) Initialize(address string, seeds []string, firstStart bool, suffix string) {
	if s.DiskID != "" {
		return
	}
	if !firstStart {
		s.DiskID = address + "/" + suffix
		return
	}
	s.DiskID = initialDiskID(address)
	if view := initialView(seeds); view.HasVoter(s.DiskID) {
		s.View.View = view
	}
}

// initialView is the view with which a system starts for the first time: its seeds, in order of their addresses.
func initialView(addresses []string) membership.View {
	view := membership.View{Number: 1}
	for _, address := range slices.Compact(slices.Sorted(slices.Values(addresses))) {
		id := initialDiskID(address)
		view.Voters = append(view.Voters, fleet.Member{ID: id, Addr: address})
		view.Chain = append(view.Chain, id)
	}
	return view
}

func initialDiskID(address string) string { return address + "/0" }

// persistence tracks which state is on stable storage. The state in memory has a generation, which rises with each change; one
// write is in flight at a time.
type persistence struct {
	generation uint64 // of the state in memory
	persisted  uint64 // newest generation on stable storage
	writing    uint64 // generation of the newest write

	writeInFlight  bool
	writeStartedAt time.Duration
	writeRetryAt   time.Duration // no write before, because one has failed
	diskUnhealthy  bool

	hints          Hints
	hintsRevision  uint64 // at the newest write
	hintsWrittenAt time.Duration

	deferred []deferredMessage // in order of their generations
}

// deferredMessage waits until a generation is on stable storage.
type deferredMessage struct {
	generation uint64
	to         fleet.Member
	message    Message
}

func (p *persistence) markChanged() { p.generation++ }

func (p *persistence) isPersisted() bool { return p.generation == p.persisted }

func (p *persistence) isWriteSlow(now time.Duration) bool {
	return p.writeInFlight && now-p.writeStartedAt > slowWriteThreshold
}

func (p *persistence) deferMessage(to fleet.Member, message Message) {
	p.deferred = append(p.deferred, deferredMessage{p.generation, to, message})
}

// takeReleased removes and returns the deferred messages whose state is on stable storage.
func (p *persistence) takeReleased() []deferredMessage {
	count := 0
	for count < len(p.deferred) && p.deferred[count].generation <= p.persisted {
		count++
	}
	released := p.deferred[:count]
	p.deferred = slices.Clone(p.deferred[count:])
	return released
}

// EncodeState encodes what must be on disk now.
func (c *Coordinator) EncodeState() ([]byte, error) {
	return cbor.Marshal(PersistentState{
		DiskID:     c.membership.Self().ID,
		View:       c.membership.State(),
		Register:   c.chain.Latest(),
		SyncedView: c.chain.SyncedView(),
		Instances:  c.persistence.hints.Instances(),
	})
}

// startWriteIfDue asks for a write if the state has changed, if the disk may have recovered, or if the hints have changed since
// a while.
func (c *Coordinator) startWriteIfDue(now time.Duration) {
	p := &c.persistence
	revision := p.hints.Revision()
	hintsDue := revision != p.hintsRevision && now-p.hintsWrittenAt > hintsWriteInterval
	needed := !p.isPersisted() || p.diskUnhealthy || hintsDue
	if p.writeInFlight || !needed || now < p.writeRetryAt {
		return
	}
	raw, err := c.EncodeState()
	if err != nil {
		return // the state stays unpersisted, so nothing that rests on it is sent
	}
	c.actions.StateToPersist = raw
	p.writeInFlight, p.writeStartedAt, p.writing = true, now, p.generation
	p.hintsRevision, p.hintsWrittenAt = revision, now
}

// StatePersisted says that the last Actions.StateToPersist is on stable storage, or, if problem is not empty, why it is not.
func (c *Coordinator) StatePersisted(now time.Duration, problem string) Actions {
	p := &c.persistence
	p.writeInFlight = false
	if problem != "" {
		c.setDiskUnhealthy(true, problem)
		p.writeRetryAt = now + writeRetryInterval
		return c.takeActions(now)
	}
	c.setDiskUnhealthy(now-p.writeStartedAt > slowWriteThreshold, diskSlow)
	p.persisted = p.writing
	for _, released := range p.takeReleased() {
		c.send(released.to, released.message)
	}
	return c.takeActions(now)
}

func (c *Coordinator) setDiskUnhealthy(unhealthy bool, problem string) {
	if unhealthy == c.persistence.diskUnhealthy {
		return
	}
	c.persistence.diskUnhealthy = unhealthy
	c.membership.SetDiskUnhealthy(unhealthy)
	c.actions.DiskHealth = DiskHealthy
	if unhealthy {
		c.actions.DiskHealth = problem
	}
}
