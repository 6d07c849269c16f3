package simulation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
)

// historyChecksum is a checksum of everything that happens in one simulation: each event with its simulated time, the node that
// it happens to and its data in their wire encoding. Two builds that decide alike have the same history. It depends on
// no identifier, log line or trace text of the source, so that it does not change when these are renamed.
//
// A nil one records nothing.
type historyChecksum struct {
	digest  *xxhash.Digest
	entries int
}

// historyEntry tells apart what is recorded. The values are part of the checksum.
type historyEntry uint8

const (
	entryStart      historyEntry = iota + 1 // a control-plane process starts
	entryEvent                              // a controller has decided on an event
	entryResponse                           // a caller is answered
	entryPersist                            // a controller's state is handed to its store
	entryDisk                               // a disk operation was carried out
	entryKill                               // a process or a machine has ended
	entryUpdate                             // a gateway has taken a state update
	entryPick                               // a gateway has picked a replica
	entryAttempt                            // an attempt of a gateway has ended
	entryResult                             // what was measured in all
	entryFinalState                         // a node's state at the end
	entryOverflow                           // a step of an overflow scenario
)

// Offsets of the indexes of nodes that are not control-plane members.
const (
	historyGateways = 1000
	historyReplicas = 2000
)

// historyEncoding has the entries of maps in order, unlike the encoding on the wire.
var historyEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func newHistoryChecksum() *historyChecksum { return &historyChecksum{digest: xxhash.New()} }

// add records an entry. Values are numbers, bytes, strings that travel on the wire, or structs whose fields all have
// numbers in CBOR.
func (h *historyChecksum) add(entry historyEntry, now time.Duration, node int, values ...any) {
	if h == nil {
		return
	}
	raw, err := historyEncoding.Marshal([]any{entry, now, node, values})
	if err != nil {
		panic(fmt.Sprintf("simulation: history: %v", err))
	}
	h.entries++
	if _, err := h.digest.Write(raw); err != nil {
		panic(fmt.Sprintf("simulation: history: %v", err))
	}
}

// sum is the checksum so far.
func (h *historyChecksum) sum() string { return fmt.Sprintf("%016x.%d", h.digest.Sum64(), h.entries) }

// start records that a member starts, and with what state.
func (h *historyChecksum) start(c *cluster, m *member, raw []byte) {
	if h == nil {
		return
	}
	h.add(entryStart, c.now, m.index, m.incarnation, decodedState(raw))
}

// event records an event that a member has decided on, and the state that it is in since.
func (h *historyChecksum) event(c *cluster, m *member, event controller.Event) {
	if h == nil {
		return
	}
	if event.WriteResult != nil && event.WriteResult.Error != "" { // its text is no part of the history
		event.WriteResult = &controller.WriteResult{Error: "failed"}
	}
	local := c.monotonicTime(&m.process)
	core := m.controller.Coordinator()
	register, known := core.Register()
	h.add(entryEvent, c.now, m.index, local, event, core.View().Number, register.Sequence, known, core.HasQuorumContact(local))
}

// answer records an answer to a caller. The text of a refusal is no part of the history.
func (h *historyChecksum) response(c *cluster, m *member, response controller.Response) {
	if h == nil {
		return
	}
	if response.Status != 200 {
		response.Body = nil
	}
	h.add(entryResponse, c.now, m.index, response)
}

// persist records the state that a member hands to its store.
func (h *historyChecksum) persist(c *cluster, m *member, raw []byte) {
	if h == nil {
		return
	}
	h.add(entryPersist, c.now, m.index, decodedState(raw))
}

// decodedState is a state that can be encoded with its maps in order; nil where there is none.
func decodedState(raw []byte) *coordinator.PersistentState {
	k, err := coordinator.DecodePersistentState(raw)
	if err != nil {
		return nil
	}
	return &k
}

// diskEntryKinds are the values of kinds of disk operations in the checksum.
var diskEntryKinds = map[diskOperationKind]int{diskCreate: 1, diskWrite: 2, diskSync: 3, diskSyncFolder: 4, diskRename: 5}

// operation records a disk operation. The contents of the files are compared as states, since the order of what they
// hold is not fixed.
func (h *historyChecksum) operation(c *cluster, m *member, o diskOperation) {
	if h == nil {
		return
	}
	h.add(entryDisk, c.now, m.index, diskEntryKinds[o.kind], o.name, o.offset, len(o.data))
}

// disk records what a member would find on its disk after a loss of power, and how long its files are.
func (h *historyChecksum) disk(entry historyEntry, c *cluster, m *member) {
	if h == nil {
		return
	}
	var sizes []int
	for _, name := range sortedKeys(m.disk.files) {
		f := m.disk.files[name]
		sizes = append(sizes, len(f.content), len(f.synced), len(f.unsynced))
	}
	h.add(entry, c.now, m.index, m.disk.durableState(), sizes, m.up, m.incarnation)
}

// end records what was measured and each node's last state.
func (h *historyChecksum) end(c *cluster) {
	if h == nil {
		return
	}
	r := &c.result
	h.add(entryResult, c.now, 0, len(r.Violations), r.Acknowledged, r.AnsweredCalls, r.Requests, r.WarmupRequests, r.NewestView, r.RequestLatencies, r.DrainedWindows, r.CommandLatencies, r.ViewRepairTimes, r.ConfigPropagationTimes,
		r.CatchUpTimes, r.JoinTimes, r.ResponsesWhileIsolated, r.HeartbeatsWhileIsolated, r.ResponsesAfterResume, r.MaxDiskBytes, r.NewestSequence)
	for _, o := range r.Operations {
		h.add(entryResult, c.now, 1, o.Read, o.Version, o.Call, o.Return)
	}
	for _, t := range r.Attempts {
		h.add(entryResult, c.now, 2, t.Version, t.BodyID, t.Sequence, t.Conflict, t.Answered, t.Call, t.Return)
	}
	for _, m := range c.members {
		h.disk(entryFinalState, c, m)
		if m.up && m.controller != nil {
			if raw, err := m.controller.PersistentState(); err == nil {
				h.add(entryFinalState, c.now, m.index, decodedState(raw), m.controller.Coordinator().View())
			}
		}
	}
	for _, g := range c.gateways {
		h.add(entryFinalState, c.now, historyGateways+g.index, g.up, g.incarnation, g.version, g.sequence, g.router.Sequence(), g.router.IsServing())
	}
	for i, r := range c.replicas {
		h.add(entryFinalState, c.now, historyReplicas+i, r.heartbeatSequence, r.alive, r.draining, r.warmupUntil, r.drainAcknowledgedAt)
	}
}

// endOverflow records what was measured in an overflow scenario.
func (h *historyChecksum) endOverflow(o *overflowSimulation) {
	if h == nil {
		return
	}
	r := &o.result
	h.add(entryResult, o.now, 0, len(r.Violations), r.Lookups, r.UnansweredLookups, r.Orders, r.AnsweredOrders, r.UncertainOrders, r.ForwardedRequests, r.LocalLatencies, r.ForwardedLatencies, r.UsedSlotSeconds, r.IdleSlotSeconds)
	for _, q := range o.requests {
		h.add(entryOverflow, o.now, q.home, q.id, q.isOrder, q.arrivedAt, q.executions, q.answered, q.uncertain, q.attempts)
	}
}
