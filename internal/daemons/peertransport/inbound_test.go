package peertransport

import (
	"testing"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

type countingCloser struct{ closes int }

func (c *countingCloser) Close() error { c.closes++; return nil }

// TestInboundConnsNewestConnectionWins guards against processing buffered messages of an older connection after those of a newer
// one.
func TestInboundConnsNewestConnectionWins(t *testing.T) {
	var conns InboundConns
	hello := func(incarnation, dialedAt uint64) *messages.Hello {
		return &messages.Hello{Member: fleet.Member{Addr: "a"}, Incarnation: incarnation, DialedAt: dialedAt}
	}
	first, second, late, restarted := &countingCloser{}, &countingCloser{}, &countingCloser{}, &countingCloser{}
	if !conns.Admit(hello(7, 10), first) || !conns.IsCurrent("a", first) {
		t.Fatal("the first connection was not admitted")
	}
	if !conns.Admit(hello(7, 20), second) || conns.IsCurrent("a", first) || first.closes != 1 {
		t.Error("a newer connection did not replace the previous one")
	}
	if conns.Admit(hello(7, 15), late) || !conns.IsCurrent("a", second) {
		t.Error("a connection dialed earlier but accepted later was admitted")
	}
	conns.Remove("a", first)
	if !conns.IsCurrent("a", second) {
		t.Error("removing an older connection removed the newer one")
	}
	conns.Remove("a", second)
	if conns.IsCurrent("a", second) || conns.Admit(hello(7, 15), late) {
		t.Error("an older connection was admitted after the newest one had been removed")
	}
	if !conns.Admit(hello(8, 1), restarted) || !conns.IsCurrent("a", restarted) {
		t.Error("a connection of a new incarnation, whose dial times start again from zero, was not admitted")
	}
}
