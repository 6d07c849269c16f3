package simulation

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
)

// historyChecksum is a checksum of everything that happens in a simulation: each event with its simulated time, its
// node and its data in wire encoding. Two builds with the same behaviour produce the same checksum. It includes no
// identifiers, log lines or trace text, so that renaming them does not change it.
//
// A nil historyChecksum records nothing.
type historyChecksum struct {
	digest  *xxhash.Digest
	entries int
}

// historyEntry identifies the kind of an entry. The values are part of the checksum.
type historyEntry uint8

const (
	entryStart      historyEntry = iota + 1 // a control-plane process has started
	entryEvent                              // a controller has handled an event
	entryResponse                           // a member has responded to a call
	entryPersist                            // a controller has passed its state to the store
	entryDisk                               // a disk operation was applied
	entryKill                               // a process or machine has stopped
	entryUpdate                             // a gateway has applied a state update
	entryPick                               // a gateway has picked a replica
	entryAttempt                            // a gateway's attempt has ended
	entryResult                             // measurements of the whole run
	entryFinalState                         // state of a node at the end
	entryOverflow                           // a step of an overflow scenario
)

// Offsets that separate the indexes of gateways and replicas from those of members.
const (
	historyGateways = 1000
	historyReplicas = 2000
)

// historyEncoding is CBOR with sorted map entries, unlike the wire encoding.
var historyEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func newHistoryChecksum() *historyChecksum { return &historyChecksum{digest: xxhash.New()} }

// add records an entry. Values are numbers, bytes, strings in wire format, or structs whose fields all have CBOR
// numbers.
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

// sum returns the checksum and the number of entries.
func (h *historyChecksum) sum() string { return fmt.Sprintf("%016x.%d", h.digest.Sum64(), h.entries) }

// start records that a member starts, with its initial state.
func (h *historyChecksum) start(c *cluster, m *member, raw []byte) {
	if h == nil {
		return
	}
	h.add(entryStart, c.now, m.index, m.incarnation, decodedState(raw))
}

// event records an event that a member has handled, and the resulting state.
func (h *historyChecksum) event(c *cluster, m *member, event controller.Event) {
	if h == nil {
		return
	}
	if event.WriteResult != nil && event.WriteResult.Error != "" { // the text is excluded
		event.WriteResult = &controller.WriteResult{Error: "failed"}
	}
	local := c.monotonicTime(&m.process)
	core := m.controller.Coordinator()
	register, known := core.Register()
	h.add(entryEvent, c.now, m.index, local, event, core.View().Number, register.Sequence, known, core.HasQuorumContact(local))
}

// response records a response to a caller. The text of a rejection is excluded.
func (h *historyChecksum) response(c *cluster, m *member, response controller.Response) {
	if h == nil {
		return
	}
	if response.Status != 200 {
		response.Body = nil
	}
	h.add(entryResponse, c.now, m.index, response)
}

// persist records the state that a member passes to its store.
func (h *historyChecksum) persist(c *cluster, m *member, raw []byte) {
	if h == nil {
		return
	}
	h.add(entryPersist, c.now, m.index, decodedState(raw))
}

// decodedState decodes a state so that it can be encoded with sorted maps. It returns nil for an invalid state.
func decodedState(raw []byte) *coordinator.PersistentState {
	k, err := coordinator.DecodePersistentState(raw)
	if err != nil {
		return nil
	}
	return &k
}

// diskEntryKinds are the values of disk operation kinds in the checksum.
var diskEntryKinds = map[diskOperationKind]int{diskCreate: 1, diskWrite: 2, diskSync: 3, diskSyncDirectory: 4, diskRename: 5}

// operation records a disk operation without its data: the order of map entries in a file is not deterministic, so
// persist records the content.
func (h *historyChecksum) operation(c *cluster, m *member, o diskOperation) {
	if h == nil {
		return
	}
	h.add(entryDisk, c.now, m.index, diskEntryKinds[o.kind], o.name, o.offset, len(o.data))
}

// disk records the state that would survive a power loss, and the file sizes.
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

// end records the measurements and the final state of each node.
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

// endOverflow records the measurements of an overflow scenario.
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
