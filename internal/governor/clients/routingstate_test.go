package clients

import (
	"testing"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/rules"
)

func ackRequest(version uint16) rules.AckRequest { return rules.AckRequest{Version: version} }

func setWeight(table rules.TableID, r rules.ReplicaID, weight float64) rules.EndpointWeight {
	return rules.EndpointWeight{Table: table, Replica: r, Weight: weight}
}

func bind(p rules.ProxyID, t rules.TableID, groups rules.GroupSet) rules.Bind {
	return rules.Bind{Proxy: p, Table: t, Groups: groups}
}

// TestOneMessagePerStep checks that a proxy gets one message for all changes of a step.
func TestOneMessagePerStep(t *testing.T) {
	run(t, func(h *harness) {
		a := h.dial("a", "attach sidecar 0 az a share 2 standing 1")
		h.dial("b", "attach sidecar 1 az b share 2 standing 1")
		h.note("levels that differ stand in parts of their own; a proxy that is not bound is told nothing")
		h.execute(setWeight(0, 1, 60), setWeight(0, 2, 40), rules.Admit{Table: 0, Groups: 3, Level: 1, Retry: rules.RetryUnprocessed},
			rules.Admit{Table: 0, Groups: 4, Level: 0.5, Retry: rules.RetryNever}, bind(0, 0, 0), ackRequest(1))
		h.send(a, "done sidecar 0 version 1 lag_ms 310.4")
		h.note("what is bound in a Step gets the table as it stands at its end, the others its changes")
		h.execute(setWeight(0, 2, 0), bind(1, 0, 0), setWeight(0, 3, 2.5), ackRequest(2))
		h.note("a table for one group only")
		h.execute(setWeight(7, 4, 1), bind(0, 7, 2), rules.Admit{Table: 7, Level: 0.7}, ackRequest(3))
		h.note("a cleared table is sent anew")
		h.execute(rules.ClearTable{Table: 0}, setWeight(0, 5, 9), ackRequest(4))
		h.note("the lower of two levels holds")
		h.execute(rules.Admit{Table: rules.AllTables, Level: 0.6, Retry: rules.RetryNever}, ackRequest(5))
		h.note("a mark for all, and none for those that are told nothing")
		h.execute(rules.AckRequest{Version: 6, AllProxies: true})
		h.execute(ackRequest(7))
	})
}

// TestWithdrawals ejects replicas for all proxies, including one whose earlier ejections are unknown.
func TestWithdrawals(t *testing.T) {
	reportsMode = config.ReportsPairs // pair ejections are ordered only in this mode
	defer func() { reportsMode = config.ReportsOff }()
	run(t, func(h *harness) {
		h.dial("a", "attach sidecar 0 az a standing 1")
		h.execute(setWeight(0, 1, 1), setWeight(0, 2, 1), bind(0, 0, 0), rules.ReplicaEjection{Replica: 2, Ejected: true}, ackRequest(1))
		h.note("a proxy that had orders before may shut out anything: what gets a line is let back, once")
		h.dial("b", "attach sidecar 1 az a standing 0")
		h.execute(bind(1, 0, 0), ackRequest(2))
		h.execute(setWeight(0, 1, 3), setWeight(0, 3, 1), ackRequest(3))
		h.execute(rules.ReplicaEjection{Replica: 2}, ackRequest(4))
		h.execute(setWeight(0, 3, 0), rules.ReplicaEjection{Replica: 3, Ejected: true}, ackRequest(5))
		h.note("what is gone is forgotten; under its number again, it is new to every proxy")
		h.server.Forget(3)
		h.execute(setWeight(0, 3, 1), ackRequest(6))
	})
}

// TestPairEjection ejects a replica for one proxy, also while it is ejected for all proxies.
func TestPairEjection(t *testing.T) {
	run(t, func(h *harness) {
		h.dial("a", "attach sidecar 1 az a share 2 standing 1")
		h.dial("b", "attach sidecar 2 az a share 2 standing 1")
		h.execute(rules.EndpointWeight{Table: 0, Replica: 1, Weight: 50}, rules.EndpointWeight{Table: 0, Replica: 2, Weight: 50},
			rules.Bind{Proxy: 1, Table: 0}, rules.Bind{Proxy: 2, Table: 0}, rules.AckRequest{Version: 1})
		h.note("one alone")
		h.execute(rules.PairEjection{Proxy: 1, Replica: 2, Ejected: true}, rules.AckRequest{Version: 2})
		h.note("all, and then not all: the one still does")
		h.execute(rules.ReplicaEjection{Replica: 2, Ejected: true}, rules.AckRequest{Version: 3})
		h.execute(rules.ReplicaEjection{Replica: 2}, rules.AckRequest{Version: 4})
		h.note("a line that changes goes to both")
		h.execute(rules.EndpointWeight{Table: 0, Replica: 2, Weight: 20}, rules.AckRequest{Version: 5})
		h.execute(rules.PairEjection{Proxy: 1, Replica: 2}, rules.AckRequest{Version: 6})
	})
}
