package clients

import (
	"testing"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/rules"
)

func mark(version uint16) rules.AckRequest { return rules.AckRequest{Version: version} }

func set(table rules.TableID, r rules.ReplicaID, weight float64) rules.EndpointWeight {
	return rules.EndpointWeight{Table: table, Replica: r, Weight: weight}
}

func bind(p rules.ProxyID, t rules.TableID, groups rules.GroupSet) rules.Bind {
	return rules.Bind{Proxy: p, Table: t, Groups: groups}
}

// TestOneMessagePerStep has a proxy get one message for all changes of a step.
func TestOneMessagePerStep(t *testing.T) {
	run(t, func(p *play) {
		a := p.dial("a", "attach sidecar 0 az a share 2 standing 1")
		p.dial("b", "attach sidecar 1 az b share 2 standing 1")
		p.note("levels that differ stand in parts of their own; a proxy that is not bound is told nothing")
		p.order(set(0, 1, 60), set(0, 2, 40), rules.Admit{Table: 0, Groups: 3, Level: 1, Retry: rules.RetryUnprocessed},
			rules.Admit{Table: 0, Groups: 4, Level: 0.5, Retry: rules.RetryNever}, bind(0, 0, 0), mark(1))
		p.say(a, "done sidecar 0 version 1 lag_ms 310.4")
		p.note("what is bound in a Step gets the table as it stands at its end, the others its changes")
		p.order(set(0, 2, 0), bind(1, 0, 0), set(0, 3, 2.5), mark(2))
		p.note("a table for one group only")
		p.order(set(7, 4, 1), bind(0, 7, 2), rules.Admit{Table: 7, Level: 0.7}, mark(3))
		p.note("a cleared table is sent anew")
		p.order(rules.ClearTable{Table: 0}, set(0, 5, 9), mark(4))
		p.note("the lower of two levels holds")
		p.order(rules.Admit{Table: rules.AllTables, Level: 0.6, Retry: rules.RetryNever}, mark(5))
		p.note("a mark for all, and none for those that are told nothing")
		p.order(rules.AckRequest{Version: 6, AllProxies: true})
		p.order(mark(7))
	})
}

// TestWithdrawals withdraws replicas, also from a proxy whose ejections are not known.
func TestWithdrawals(t *testing.T) {
	reports = config.ReportsPairs // only then governors order proxies to shut replicas out
	defer func() { reports = config.ReportsOff }()
	run(t, func(p *play) {
		p.dial("a", "attach sidecar 0 az a standing 1")
		p.order(set(0, 1, 1), set(0, 2, 1), bind(0, 0, 0), rules.ReplicaEjection{Replica: 2, Ejected: true}, mark(1))
		p.note("a proxy that had orders before may shut out anything: what gets a line is let back, once")
		p.dial("b", "attach sidecar 1 az a standing 0")
		p.order(bind(1, 0, 0), mark(2))
		p.order(set(0, 1, 3), set(0, 3, 1), mark(3))
		p.order(rules.ReplicaEjection{Replica: 2}, mark(4))
		p.order(set(0, 3, 0), rules.ReplicaEjection{Replica: 3, Ejected: true}, mark(5))
		p.note("what is gone is forgotten; under its number again, it is new to every proxy")
		p.server.Forget(3)
		p.order(set(0, 3, 1), mark(6))
	})
}

// TestPairEjection ejects a replica for one proxy alone, beside a withdrawal from all, and over a binding.
func TestPairEjection(t *testing.T) {
	run(t, func(p *play) {
		p.dial("a", "attach sidecar 1 az a share 2 standing 1")
		p.dial("b", "attach sidecar 2 az a share 2 standing 1")
		p.order(rules.EndpointWeight{Table: 0, Replica: 1, Weight: 50}, rules.EndpointWeight{Table: 0, Replica: 2, Weight: 50},
			rules.Bind{Proxy: 1, Table: 0}, rules.Bind{Proxy: 2, Table: 0}, rules.AckRequest{Version: 1})
		p.note("one alone")
		p.order(rules.PairEjection{Proxy: 1, Replica: 2, Ejected: true}, rules.AckRequest{Version: 2})
		p.note("all, and then not all: the one still does")
		p.order(rules.ReplicaEjection{Replica: 2, Ejected: true}, rules.AckRequest{Version: 3})
		p.order(rules.ReplicaEjection{Replica: 2}, rules.AckRequest{Version: 4})
		p.note("a line that changes goes to both")
		p.order(rules.EndpointWeight{Table: 0, Replica: 2, Weight: 20}, rules.AckRequest{Version: 5})
		p.order(rules.PairEjection{Proxy: 1, Replica: 2}, rules.AckRequest{Version: 6})
	})
}
