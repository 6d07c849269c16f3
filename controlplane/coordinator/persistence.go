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
	// slowWriteThreshold is the duration of a write above which the disk is considered unhealthy.
	slowWriteThreshold = 400 * time.Millisecond

	// writeRetryInterval is the delay before a failed write is retried.
	writeRetryInterval = 300 * time.Millisecond

	// hintsWriteInterval is the minimum interval between writes that are due to changed hints only.
	hintsWriteInterval = time.Second
)

// Values of Actions.DiskHealth, besides the problem passed to StatePersisted.
const (
	DiskHealthy = "healthy"
	diskSlow    = "slow"
)

// PersistentState is the state that a member keeps on disk, encoded as one CBOR value.
type PersistentState struct {
	DiskID     string                    `cbor:"1,keyasint"` // identity of the disk, used as the member's ID
	View       membership.DurableState   `cbor:"2,keyasint"`
	Register   chainreplication.Register `cbor:"3,keyasint"`
	SyncedView uint64                    `cbor:"4,keyasint"` // number of the last view in which the register was synced

	// Instances is a hint. It lets a control plane that restarts after a loss of all members route traffic to all known
	// replicas instead of only those whose heartbeats arrive first.
	Instances []fleet.Instance `cbor:"5,keyasint,omitempty"`
}

// Hints provides state that is persisted along with the durable state but may be lost.
type Hints interface {
	// Revision increases whenever Instances changes.
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

// Initialize initializes the state of an empty disk; it does nothing if the disk has an identity. On the first start of a
// cluster, the disk gets the identity used in the seeds' initial view. Otherwise the identity consists of the address and a
// random suffix: a member that lost its disk has lost its Paxos promises and must not be identified with its predecessor.
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

// initialView returns the view of the first start of a cluster: its seeds, ordered by address.
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

// persistence tracks which state is on stable storage. The generation of the in-memory state increases with each change, and at
// most one write is in flight.
type persistence struct {
	generation uint64 // of the in-memory state
	persisted  uint64 // latest generation on stable storage
	writing    uint64 // generation of the latest write

	writeInFlight  bool
	writeStartedAt time.Duration
	writeRetryAt   time.Duration // earliest time of the next write after a failure
	diskUnhealthy  bool

	hints          Hints
	hintsRevision  uint64 // at the latest write
	hintsWrittenAt time.Duration

	deferred []deferredMessage // in order of their generations
}

// deferredMessage is a message to be sent once a generation is on stable storage.
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

// takeReleased removes and returns the deferred messages whose generation is on stable storage.
func (p *persistence) takeReleased() []deferredMessage {
	count := 0
	for count < len(p.deferred) && p.deferred[count].generation <= p.persisted {
		count++
	}
	released := p.deferred[:count]
	p.deferred = slices.Clone(p.deferred[count:])
	return released
}

// EncodeState encodes the current state to be persisted.
func (c *Coordinator) EncodeState() ([]byte, error) {
	return cbor.Marshal(PersistentState{
		DiskID:     c.membership.Self().ID,
		View:       c.membership.State(),
		Register:   c.chain.Latest(),
		SyncedView: c.chain.SyncedView(),
		Instances:  c.persistence.hints.Instances(),
	})
}

// startWriteIfDue requests a write if the state has changed, if the disk is unhealthy and has to be probed, or if changed hints
// have not been written for hintsWriteInterval.
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
		return // the state remains unpersisted, so no message that depends on it is sent
	}
	c.actions.StateToPersist = raw
	p.writeInFlight, p.writeStartedAt, p.writing = true, now, p.generation
	p.hintsRevision, p.hintsWrittenAt = revision, now
}

// StatePersisted reports the completion of the last write of Actions.StateToPersist. A failed write has a non-empty problem.
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
