package granter

import (
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

func TestReplicaThatRespondsAgainReceivesKeys(t *testing.T) {
	h := dividedHead(t, "a", "b", "c")
	h.run(12 * time.Second)
	h.silent["a"] = true
	h.runUntil("the move of all ranges", func() bool { return !h.owns("a") })
	h.calls = nil
	h.run(5 * time.Second)
	if probes := len(h.callsTo("a")); probes < 2 || probes > 10 {
		t.Errorf("%d calls to the silent replica in 5 s, want a few", probes)
	}
	h.silent["a"] = false
	h.runUntil("a grant to the replica", func() bool { return h.owners()["a"] })
}

func TestProbeOfAReplicaLeavesOwnersAlone(t *testing.T) {
	h := dividedHead(t, "a", "b")
	h.run(12 * time.Second)
	h.silent["a"] = true
	h.runUntil("the move of all ranges", func() bool { return !h.owns("a") })
	token := h.input.Table.LastToken
	h.calls = nil
	h.run(5 * time.Second)
	for _, call := range h.callsTo("a") {
		if call.Kind != ownership.CallRelease || call.From != call.To || call.Token > token {
			t.Errorf("probe %+v, want the release of one key with an issued token", call)
		}
	}
	if h.input.Table.LastToken != token {
		t.Error("probes changed the table")
	}
}

func TestFailuresBeforeARemovalDoNotPreventADivision(t *testing.T) {
	h := dividedHead(t, "a")
	h.silent["a"] = true
	h.run(5 * time.Second)
	h.input.Services = nil
	h.runUntil("the removal", func() bool { return !h.isDivided() })
	h.input.Services = []string{service}
	h.runUntil("a division", h.isDivided)
}

func (h *head) callsTo(replica string) []ownership.Call {
	return slices.DeleteFunc(slices.Clone(h.calls), func(call ownership.Call) bool { return call.Replica != replica })
}
