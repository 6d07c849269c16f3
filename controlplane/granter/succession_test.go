package granter

import (
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// longLedHead returns a head that has renewed all grants just now, after the leases of any former head have ended.
func longLedHead(t *testing.T, replicas ...string) *head {
	h := dividedHead(t, replicas...)
	h.run(12 * time.Second)
	h.runUntil("a renewal", func() bool { return len(h.calls) > 0 })
	return h
}

// runUntil forgets earlier calls and runs until a condition holds.
func (h *head) runUntil(what string, condition func() bool) {
	h.calls = nil
	for start := h.now; !condition(); {
		h.run(100 * time.Millisecond)
		if h.now-start > 20*time.Second {
			h.t.Fatalf("%s was not seen", what)
		}
	}
}

func (h *head) isDivided() bool { return len(h.input.Table.Services[service]) > 0 }

func TestReturningServiceIsNotDividedDuringItsEarlierLeases(t *testing.T) {
	h := longLedHead(t, "a", "b")
	grantedAt, earlier := h.now, h.input.Table.LastToken
	h.input.Services = nil
	h.run(200 * time.Millisecond)
	h.input.Services = []string{service}
	h.input.Table = ownership.RemoveServices(h.input.Table, func(string) bool { return false })
	h.runUntil("a division", h.isDivided)
	if waited := h.now - grantedAt; waited < h.granter.Lease() {
		t.Errorf("divided %v after the last grant, within the lease", waited)
	}
	if token := h.input.Table.Services[service][0].Token; token <= earlier {
		t.Errorf("divided with token %d after %d", token, earlier)
	}
}

func TestNewHeadDoesNotDivideDuringLeasesOfARemovedService(t *testing.T) {
	h := newHead(t, "a", "b")
	h.input.Table.LastToken = 7 // a former head granted and removed ranges
	takenOverAt := h.now
	h.runUntil("a division", h.isDivided)
	if waited := h.now - takenOverAt; waited < AuthorityDuration+h.granter.Lease() {
		t.Errorf("divided after %v, less than the former head's authority and lease", waited)
	}
}

func TestServiceRemovedForAMomentKeepsItsOwners(t *testing.T) {
	h := longLedHead(t, "a", "b")
	before := h.input.Table
	h.input.Services = nil
	h.run(500 * time.Millisecond)
	h.input.Services = []string{service}
	h.run(2 * time.Second)
	if h.input.Table.LastToken != before.LastToken || !slices.Equal(h.input.Table.Services[service], before.Services[service]) {
		t.Errorf("tokens %d and then %d: the ranges were granted anew", before.LastToken, h.input.Table.LastToken)
	}
}

func TestRemovedServiceLeavesTheTableAfterItsLeases(t *testing.T) {
	h := longLedHead(t, "a", "b")
	grantedAt := h.now
	h.input.Services = nil
	h.runUntil("the removal", func() bool { return !h.isDivided() })
	if waited := h.now - grantedAt; waited < h.granter.Lease() {
		t.Errorf("removed %v after the last grant, within the lease", waited)
	}
	h.run(100 * time.Millisecond)
	if len(h.granter.services) > 0 {
		t.Error("the state of the removed service was kept")
	}
}

func TestLeasesAreRememberedWhileTheirServiceIsNotConfigured(t *testing.T) {
	h := longLedHead(t, "a", "b")
	grantedAt := h.now
	h.silent["a"] = true
	h.drain("a")
	h.run(100 * time.Millisecond)
	h.input.Services = nil
	h.input.ProposalPending = true // the removal is not committed
	h.run(100 * time.Millisecond)
	h.input.Services = []string{service}
	h.input.ProposalPending = false
	h.runUntil("the move of all ranges", func() bool { return !h.owns("a") })
	if waited := h.now - grantedAt; waited < h.granter.Lease() {
		t.Errorf("moved %v after the last grant, within the lease", waited)
	}
}

// owns reports whether the table names a replica as an owner, of granted or releasing ranges.
func (h *head) owns(id string) bool {
	return slices.ContainsFunc(h.input.Table.Services[service], func(r ownership.Range) bool { return r.Owner == id })
}

func TestGrantThatEndsAfterTheRemovalOfItsServiceCounts(t *testing.T) {
	h := longLedHead(t, "a")
	h.now += renewInterval
	h.input.AuthorizedUntil = h.now + AuthorityDuration
	calls := h.granter.Step(h.now, h.input).Calls
	h.input.Services = nil
	h.run(300 * time.Millisecond)
	for _, call := range calls {
		h.granter.HandleResult(h.now, ownership.CallResult{ID: call.ID, Outcome: ownership.CallAccepted})
	}
	endedAt := h.now
	if inFlight := h.granter.replica("a").grantsInFlight; inFlight != 0 {
		t.Errorf("%d grants are in flight after all have ended", inFlight)
	}
	h.runUntil("the removal", func() bool { return !h.isDivided() })
	h.input.Services = []string{service}
	h.runUntil("a division", h.isDivided)
	if waited := h.now - endedAt; waited < h.granter.Lease() {
		t.Errorf("divided %v after the end of a grant, within the lease", waited)
	}
}

func TestNewHeadWaitsForLeasesLongerThanItsOwn(t *testing.T) {
	h := newHead(t, "a", "b")
	h.granter = New(Options{MaxLease: time.Second})
	h.input.Table = dividedHead(t, "a", "b").input.Table
	h.silent["a"] = true
	h.drain("a")
	takenOverAt := h.now
	h.runUntil("the move of all ranges", func() bool { return !h.owns("a") })
	if waited := h.now - takenOverAt; waited < AuthorityDuration+defaultLease {
		t.Errorf("the new head waited %v, less than the former head's authority and lease", waited)
	}
}
