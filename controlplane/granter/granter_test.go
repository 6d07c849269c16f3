package granter

import (
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
)

const service = "ledger"

// head drives the Granter of a member that is the head of the chain and commits each proposal at once.
type head struct {
	t       *testing.T
	granter *Granter
	now     time.Duration
	input   Input
	silent  map[string]bool // replicas that do not respond
	calls   []ownership.Call
}

func newHead(t *testing.T, replicas ...string) *head {
	h := &head{t: t, granter: New(Options{}), now: time.Hour, silent: map[string]bool{}}
	h.input = Input{View: 1, Head: true, Services: []string{service}}
	for _, id := range replicas {
		h.input.Instances = append(h.input.Instances, fleet.Instance{ID: id, Service: service, Addr: id + ":80", Slots: 4})
	}
	return h
}

// dividedHead returns a head that has divided the keys and granted all of them.
func dividedHead(t *testing.T, replicas ...string) *head {
	h := newHead(t, replicas...)
	h.run(divisionQuietPeriod + time.Second)
	if len(h.input.Table.Services[service]) == 0 {
		t.Fatal("the keys were not divided")
	}
	return h
}

// run advances the time in ticks with confirmed authority.
func (h *head) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 100 * time.Millisecond
		h.input.AuthorizedUntil = h.now + AuthorityDuration
		h.step()
	}
}

// step steps the granter, answers the calls of replicas that respond, and commits the proposal.
func (h *head) step() {
	output := h.granter.Step(h.now, h.input)
	h.calls = append(h.calls, output.Calls...)
	for _, call := range output.Calls {
		outcome := ownership.CallAccepted
		if h.silent[call.Replica] {
			outcome = ownership.CallUnanswered
		}
		h.granter.HandleResult(h.now, ownership.CallResult{ID: call.ID, Outcome: outcome, Handover: "handover of " + call.Replica})
	}
	if output.Proposal == nil {
		return
	}
	h.input.Table = *output.Proposal
	for name, ranges := range h.input.Table.Services {
		if err := ownership.CheckPartition(ranges); err != nil {
			h.t.Fatalf("%s: %v", name, err)
		}
	}
	if _, divided := h.input.Table.Services[service]; !divided && slices.Contains(h.input.Services, service) {
		h.t.Fatal("the proposed table lacks a configured service")
	}
}

// owners returns the owners of granted ranges.
func (h *head) owners() map[string]bool {
	owners := map[string]bool{}
	for _, r := range h.input.Table.Services[service] {
		if r.Phase == ownership.PhaseGranted {
			owners[r.Owner] = true
		}
	}
	return owners
}

func (h *head) drain(id string) {
	i := slices.IndexFunc(h.input.Instances, func(instance fleet.Instance) bool { return instance.ID == id })
	h.input.Instances[i].Draining = true
}

func TestEachReplicaIsGrantedKeysAndRenewed(t *testing.T) {
	h := dividedHead(t, "a", "b", "c")
	h.calls = nil
	h.run(4 * time.Second)
	renewals := map[ownership.Range]int{}
	for _, call := range h.calls {
		renewals[ownership.Range{From: call.From, To: call.To, Owner: call.Replica, Token: call.Token}]++
	}
	for _, r := range h.input.Table.Services[service] {
		if n := renewals[ownership.Range{From: r.From, To: r.To, Owner: r.Owner, Token: r.Token}]; n < 3 || n > 5 {
			t.Errorf("range %d to %d of %s was renewed %d times in 4 s", r.From, r.To, r.Owner, n)
		}
	}
	if len(h.owners()) != 3 {
		t.Errorf("owners: %v, want three", h.owners())
	}
}

func TestNoCallWithoutAuthority(t *testing.T) {
	h := dividedHead(t, "a", "b")
	h.drain("a")
	h.calls = nil
	h.now += AuthorityDuration
	h.input.AuthorizedUntil = h.now
	h.step()
	h.input.AuthorizedUntil = h.now + AuthorityDuration
	h.input.Head = false
	h.step()
	if len(h.calls) > 0 {
		t.Errorf("%d calls without authority, the first %+v", len(h.calls), h.calls[0])
	}
}

func TestDrainingReplicaHandsItsKeysOver(t *testing.T) {
	h := dividedHead(t, "a", "b", "c")
	h.drain("a")
	h.calls = nil
	h.run(time.Second)
	if owners := h.owners(); owners["a"] || len(owners) != 2 {
		t.Fatalf("owners: %v, want b and c", owners)
	}
	handedOver := 0
	for _, call := range h.calls {
		if call.Kind == ownership.CallGrant && call.Handover == "handover of a" {
			handedOver++
		}
	}
	if handedOver == 0 {
		t.Error("no grant carries the handover")
	}
}

func TestSilentOwnerKeepsItsKeysUntilItsLeaseEnds(t *testing.T) {
	h := dividedHead(t, "a", "b")
	h.run(12 * time.Second) // beyond the leases of a former head
	h.silent["a"] = true
	silentSince := h.now
	lastCallTo := func() (last time.Duration) {
		return h.granter.service(service).leases.latestArrival(0, ownership.MaxKey)
	}
	for h.owners()["a"] || slices.ContainsFunc(h.input.Table.Services[service], func(r ownership.Range) bool { return r.Owner == "a" }) {
		h.run(100 * time.Millisecond)
		if h.now-silentSince > 20*time.Second {
			t.Fatal("the keys were not given to the other replica")
		}
	}
	if waited := h.now - silentSince; waited < h.granter.Lease() {
		t.Errorf("the keys were given away %v after the last answer, within the lease", waited)
	}
	if lastCallTo() < silentSince {
		t.Error("no call was recorded")
	}
}

func TestNewHeadWaitsForLeasesOfFormerHead(t *testing.T) {
	former := dividedHead(t, "a", "b")
	h := newHead(t, "a", "b")
	h.input.Table = former.input.Table
	h.silent["a"] = true
	h.drain("a")
	takenOverAt := h.now
	for slices.ContainsFunc(h.input.Table.Services[service], func(r ownership.Range) bool { return r.Owner == "a" }) {
		h.run(100 * time.Millisecond)
		if h.now-takenOverAt > 20*time.Second {
			t.Fatal("the keys were not given to the other replica")
		}
	}
	if waited := h.now - takenOverAt; waited < AuthorityDuration+h.granter.Lease() {
		t.Errorf("the new head waited %v, less than the former head's authority and lease", waited)
	}
}

func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	h := dividedHead(t, "a")
	h.now += renewInterval + 100*time.Millisecond
	h.input.AuthorizedUntil = h.now + AuthorityDuration
	refused := h.granter.Step(h.now, h.input).Calls[0]
	h.granter.HandleResult(h.now, ownership.CallResult{ID: refused.ID, Outcome: ownership.CallFenced})
	h.calls = nil
	h.run(2 * time.Second)
	granted := false
	for _, call := range h.calls {
		if call.From <= refused.From && refused.From <= call.To {
			granted = granted || call.Token > refused.Token
			if call.Token == refused.Token {
				t.Fatalf("token %d was used again", refused.Token)
			}
		}
	}
	if !granted {
		t.Error("the keys were not granted with a new token")
	}
}

// Guards against a service that serves nobody as long as replicas keep being added.
func TestKeysAreDividedWhileReplicasAreAdded(t *testing.T) {
	h := newHead(t)
	for i := range 12 {
		id := string(rune('a' + i))
		h.input.Instances = append(h.input.Instances, fleet.Instance{ID: id, Service: service, Addr: id + ":80", Slots: 4})
		h.run(time.Second)
	}
	if len(h.owners()) < 8 {
		t.Errorf("owners after 12 s: %v, want most of 12 replicas", h.owners())
	}
}

// Guards against a release call that is made after the proposal to grant the same keys to the same replica, and ends that grant.
func TestNoReleaseIsCalledWhileAProposalMayGrantTheKeys(t *testing.T) {
	h := newHead(t, "x", "y")
	h.input.Table = ownership.Table{LastToken: 5, Services: map[string][]ownership.Range{service: {
		{From: 0, To: 99, Owner: "x", Token: 5, Phase: ownership.PhaseReleasing, Target: "y"},
		{From: 100, To: 199, Owner: "y", Token: 5, Phase: ownership.PhaseReleasing, Target: "x"},
		{From: 200, To: ownership.MaxKey, Owner: "x", Token: 5, Phase: ownership.PhaseReleasing, Target: "y"},
	}}}
	var proposal *ownership.Table
	for range 4 {
		h.now += 100 * time.Millisecond
		h.input.AuthorizedUntil = h.now + AuthorityDuration
		output := h.granter.Step(h.now, h.input)
		for _, call := range output.Calls {
			if proposal != nil && call.Kind == ownership.CallRelease && call.Replica == "x" {
				t.Fatalf("release of %d to %d at x while keys 100 to 199 may be granted to it", call.From, call.To)
			}
			outcome := ownership.CallAccepted
			if call.Replica == "x" {
				outcome = ownership.CallRejected
			}
			h.granter.HandleResult(h.now, ownership.CallResult{ID: call.ID, Outcome: outcome})
		}
		if output.Proposal != nil {
			proposal, h.input.ProposalPending = output.Proposal, true
		}
	}
	if proposal == nil || proposal.Services[service][1].Owner != "x" {
		t.Fatal("keys 100 to 199 were not proposed to be granted to x")
	}
}

// Guards against keys that are refused for as long as their owner warms up again.
func TestKeysOfAReplicaThatWarmsUpAgainMove(t *testing.T) {
	for _, test := range []struct {
		instance fleet.Instance
		moves    bool
	}{
		{fleet.Instance{WarmupMillis: 3000}, true},
		{fleet.Instance{WarmupMillis: 300}, false},
		{fleet.Instance{WarmupMillis: 3000, Stale: true}, false},
		{fleet.Instance{WarmupStateUnknown: true}, false},
	} {
		h := dividedHead(t, "a", "b", "c")
		warming := &h.input.Instances[0]
		warming.WarmupMillis, warming.Stale, warming.WarmupStateUnknown = test.instance.WarmupMillis, test.instance.Stale, test.instance.WarmupStateUnknown
		h.run(500 * time.Millisecond)
		if moved := !h.owns("a"); moved != test.moves {
			t.Errorf("%+v: moved %v, want %v", test.instance, moved, test.moves)
		}
		h.input.Instances[0].WarmupMillis, warming.Stale, warming.WarmupStateUnknown = 0, false, false
		h.run(3 * time.Second)
		if !h.owners()["a"] {
			t.Errorf("%+v: the replica owns no keys after its warm-up", test.instance)
		}
	}
}

func TestAllReplicasThatWarmUpKeepTheirKeys(t *testing.T) {
	h := dividedHead(t, "a", "b")
	token := h.input.Table.LastToken
	for i := range h.input.Instances {
		h.input.Instances[i].WarmupMillis = 3000
	}
	h.run(2 * time.Second)
	if h.input.Table.LastToken != token {
		t.Error("keys were moved although no replica is warm")
	}
}

// Guards against leases that end between two renewals if the deployment allows only short ones.
func TestShortLeasesAreRenewedMoreOften(t *testing.T) {
	h := newHead(t, "a")
	h.granter = New(Options{MaxLease: 800 * time.Millisecond})
	h.run(divisionQuietPeriod + time.Second)
	h.calls = nil
	h.run(2 * time.Second)
	ranges := len(h.input.Table.Services[service])
	if renewals := len(h.calls) / ranges; renewals < 5 {
		t.Errorf("each lease of %v was renewed %d times in 2 s", h.granter.Lease(), renewals)
	}
}

// TestOwnLimitsDoNotCountAgainstReplica guards against moving the keys of replicas that the head itself could not call.
func TestOwnLimitsDoNotCountAgainstReplica(t *testing.T) {
	h := dividedHead(t, "a", "b")
	h.run(12 * time.Second)
	for range 30 {
		h.now += 100 * time.Millisecond
		h.input.AuthorizedUntil = h.now + AuthorityDuration
		output := h.granter.Step(h.now, h.input)
		for _, call := range output.Calls {
			h.granter.HandleResult(h.now, ownership.CallResult{ID: call.ID, Outcome: ownership.CallNotTried})
		}
		if output.Proposal != nil {
			t.Fatalf("ranges were moved: %s", output.Reason)
		}
	}
}
