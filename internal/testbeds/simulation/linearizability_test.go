package simulation

import (
	"cmp"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// maxEffectDelay is for how long a command without a clear answer may still take effect after its caller gave up.
const maxEffectDelay = 500 * time.Millisecond

// registerModel is what operators should see of a control plane as a whole: one register that only grows.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		op := input.(Operation)
		if op.Read {
			return op.Version == state.(uint64), state
		}
		return true, max(state.(uint64), op.Version)
	},
}

// operationHistory turns calls into what the check takes. A call without a clear answer may take effect until the end.
func operationHistory(operations []Operation) (history []porcupine.Operation) {
	for i, op := range operations {
		end := int64(op.Return)
		if op.Return == 0 {
			end = int64(time.Hour)
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.Call), Return: end})
	}
	return history
}

// registerState is what the register holds under one key: the newest configuration, or whether a zone is evacuated (body 1).
type registerState struct {
	version uint64
	body    int
}

// keyedRegisterModel is the register with all that operators ask of it, by key: the configuration, where the highest version
// holds, a second body under it is rejected, and what is not above it changes nothing; and each zone. A command without a
// clear answer may take effect once, until maxEffectDelay after it was given up, or never.
var keyedRegisterModel = (&porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{registerState{}} },
	Step: func(state, input, _ any) []any {
		var next []any
		for _, s := range stepRegister(state.(registerState), input.(Attempt)) {
			next = append(next, s)
		}
		return next
	},
}).ToModel()

func partitionByKey(all []porcupine.Operation) (parts [][]porcupine.Operation) {
	byKey := map[string][]porcupine.Operation{}
	for _, o := range all {
		key := o.Input.(Attempt).Key
		byKey[key] = append(byKey[key], o)
	}
	for _, key := range sortedKeys(byKey) {
		parts = append(parts, byKey[key])
	}
	return parts
}

// stepRegister returns the states that the register may be in after an attempt; none if the attempt cannot have been answered
// as it was.
func stepRegister(state registerState, attempt Attempt) []registerState {
	next := state
	switch attempt.Kind {
	case AttemptRead:
		if attempt.Answered && state != (registerState{attempt.Version, attempt.BodyID}) {
			return nil
		}
		return []registerState{state}
	case AttemptEvacuate:
		next.body = 1
	case AttemptRestore:
		next.body = 0
	case AttemptPut:
		conflicts := attempt.Version == state.version && attempt.BodyID != state.body
		switch {
		case attempt.Conflict && !conflicts && attempt.Version >= state.version, attempt.Answered && !attempt.Conflict && conflicts:
			return nil
		case !attempt.Conflict && attempt.Version > state.version:
			next = registerState{attempt.Version, attempt.BodyID}
		}
	}
	if attempt.Answered || next == state {
		return []registerState{next}
	}
	return []registerState{state, next}
}

// attemptHistory turns attempts into what the check takes. As each committed register was seen, much of it is decided
// beforehand; a check of hundreds of calls that are made again and again while members are away would not end otherwise:
//   - left out are reads without an answer, and whatever was not clearly answered and brought about no change that was seen
//     (nor one that may have been passed over); of attempts at a zone the last few that may have are kept;
//   - left out are configurations that were acknowledged when a newer one had been seen, or itself, and changed nothing;
//   - where one attempt alone can have brought a configuration in, it did so between the two registers that were seen.
func attemptHistory(all []Attempt) (history []porcupine.Operation) {
	h := newHistoryReduction(all)
	for i, attempt := range all {
		h.dropped[i] = h.isIrrelevant(attempt)
		h.addCandidate(i, attempt)
	}
	h.keepZoneChanges()
	for i, attempt := range all {
		if h.dropped[i] {
			continue
		}
		call, end := attempt.Call, attempt.latestEffect()
		if candidates := h.candidates[attempt.BodyID]; attempt.Kind == AttemptPut && len(candidates) == 1 && candidates[0] == i {
			seen := h.firstSeen[attempt.BodyID]
			call, end = max(call, seen.notBefore), min(end, seen.at)
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: attempt, Call: int64(call), Return: int64(end)})
	}
	return history
}

// firstCommit is when a configuration was first seen committed, and the register before that.
type firstCommit struct{ notBefore, at time.Duration }

// historyReduction decides which attempts a check needs.
type historyReduction struct {
	all              []Attempt
	rejectedVersions map[uint64]bool
	readByOperators  map[int]bool         // configurations, by body
	configs          []Attempt            // as seen committed, in order
	zones            map[string][]Attempt // the same of zones
	firstSeen        map[int]firstCommit  // by body
	candidates       map[int][]int        // attempts that may have brought a body in
	dropped          map[int]bool
}

func newHistoryReduction(all []Attempt) *historyReduction {
	h := &historyReduction{
		all:              all,
		rejectedVersions: map[uint64]bool{},
		readByOperators:  map[int]bool{},
		zones:            map[string][]Attempt{},
		firstSeen:        map[int]firstCommit{0: {}},
		candidates:       map[int][]int{},
		dropped:          map[int]bool{},
	}
	for _, attempt := range all {
		if attempt.Conflict {
			h.rejectedVersions[attempt.Version] = true
		}
		switch {
		case attempt.Kind != AttemptRead:
		case attempt.Sequence > 0:
			h.addCommitted(attempt)
		case attempt.Answered:
			h.readByOperators[attempt.BodyID] = true
		}
	}
	return h
}

// addCommitted takes a value that was seen committed.
func (h *historyReduction) addCommitted(seen Attempt) {
	if seen.Key != "" {
		h.zones[seen.Key] = append(h.zones[seen.Key], seen)
		return
	}
	notBefore := time.Duration(0)
	if n := len(h.configs); n > 0 {
		notBefore = h.configs[n-1].Call
	}
	if _, ok := h.firstSeen[seen.BodyID]; !ok {
		h.firstSeen[seen.BodyID] = firstCommit{notBefore, seen.Call}
	}
	h.configs = append(h.configs, seen)
}

// isIrrelevant reports whether an attempt is left out, but for what keepZoneChanges keeps.
func (h *historyReduction) isIrrelevant(attempt Attempt) bool {
	seen, wasSeen := h.firstSeen[attempt.BodyID]
	cameAfter := wasSeen && attempt.Call > seen.at
	switch {
	case attempt.Kind == AttemptRead, attempt.Key != "":
		return !attempt.Answered
	case h.readByOperators[attempt.BodyID] && !cameAfter:
		return false
	case attempt.Answered && !attempt.Conflict:
		return cameAfter || !wasSeen && h.wasSuperseded(attempt)
	case !attempt.Answered:
		return cameAfter || !wasSeen && !h.rejectedVersions[attempt.Version]
	}
	return false
}

// wasSuperseded reports whether a newer version than an attempt's had been seen when it was answered.
func (h *historyReduction) wasSuperseded(attempt Attempt) bool {
	n, _ := slices.BinarySearchFunc(h.configs, attempt.Return+1, func(seen Attempt, at time.Duration) int { return cmp.Compare(seen.Call, at) })
	return n > 0 && h.configs[n-1].Version > attempt.Version
}

// addCandidate notes an attempt that may have brought a configuration in that was seen.
func (h *historyReduction) addCandidate(i int, attempt Attempt) {
	seen, wasSeen := h.firstSeen[attempt.BodyID]
	if attempt.Kind == AttemptPut && wasSeen && !attempt.Conflict && attempt.Call <= seen.at && attempt.latestEffect() >= seen.notBefore {
		h.candidates[attempt.BodyID] = append(h.candidates[attempt.BodyID], i)
	}
}

// keepZoneChanges keeps, for each change of a zone that was seen or may have been passed over, the last few attempts that may
// have brought it about.
func (h *historyReduction) keepZoneChanges() {
	const kept = 4
	for _, key := range sortedKeys(h.zones) {
		before := Attempt{}
		for _, seen := range h.zones[key] {
			for body, kind := range []AttemptKind{AttemptRestore, AttemptEvacuate} {
				if (seen.BodyID == before.BodyID || seen.BodyID != body) && seen.Sequence <= before.Sequence+1 {
					continue // nothing was changed to that
				}
				possible := h.possibleCauses(key, kind, before.Call, seen.Call)
				for _, i := range possible[:min(len(possible), kept)] {
					h.dropped[i] = false
				}
			}
			before = seen
		}
	}
}

// possibleCauses are the attempts at a zone without a clear answer that may have taken effect between two moments, the last
// first.
func (h *historyReduction) possibleCauses(key string, kind AttemptKind, from, to time.Duration) (possible []int) {
	for i, attempt := range h.all {
		if attempt.Kind == kind && attempt.Key == key && !attempt.Answered && attempt.Call <= to && attempt.latestEffect() >= from {
			possible = append(possible, i)
		}
	}
	slices.SortFunc(possible, func(a, b int) int { return cmp.Compare(h.all[b].latestEffect(), h.all[a].latestEffect()) })
	return possible
}

// latestEffect is by when an attempt has taken effect, if ever.
func (attempt Attempt) latestEffect() time.Duration {
	switch {
	case attempt.Answered:
		return attempt.Return
	case attempt.Return == 0:
		return time.Hour
	}
	return attempt.Return + maxEffectDelay
}

// notLinearizable is what runChecked says of calls that do not add up to one register.
const notLinearizable = "the calls are not linearizable"

// undecidedHistories counts histories that took too long to check.
var undecidedHistories atomic.Int64

// runChecked runs a schedule with a Tolerance and returns what was wrong, if anything.
func runChecked(t *testing.T, schedule Schedule) (result Result, violation string) {
	t.Helper()
	result = Run(schedule)
	if len(result.Violations) > 0 {
		return result, result.Violations[0]
	}
	switch porcupine.CheckOperationsTimeout(keyedRegisterModel, attemptHistory(result.Attempts), 20*time.Second) {
	case porcupine.Illegal:
		return result, notLinearizable
	case porcupine.Unknown:
		undecidedHistories.Add(1)
	}
	return result, ""
}
