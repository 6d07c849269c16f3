package peertransport

import (
	"testing"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/messages"
)

type countingCloser struct{ closes int }

func (c *countingCloser) Close() error { c.closes++; return nil }

// TestInboundConnsNewestConnectionWins guards against words of an earlier connection that are taken after those of a newer one: they lay in its socket.
func TestInboundConnsNewestConnectionWins(t *testing.T) {
	var e InboundConns
	hello := func(life, dial uint64) *messages.Hello {
		return &messages.Hello{Member: membership.Member{Addr: "a"}, Incarnation: life, DialedAt: dial}
	}
	first, second, late, reborn := &countingCloser{}, &countingCloser{}, &countingCloser{}, &countingCloser{}
	if !e.Admit(hello(7, 10), first) || !e.IsCurrent("a", first) {
		t.Fatal("the first connection is not taken")
	}
	if !e.Admit(hello(7, 20), second) || e.IsCurrent("a", first) || first.closes != 1 {
		t.Error("a newer connection does not end the one before")
	}
	if e.Admit(hello(7, 15), late) || !e.IsCurrent("a", second) {
		t.Error("one that was dialled earlier and accepted later is taken")
	}
	e.Remove("a", first)
	if !e.IsCurrent("a", second) {
		t.Error("the end of an earlier one ends the newer")
	}
	e.Remove("a", second)
	if e.IsCurrent("a", second) || e.Admit(hello(7, 15), late) {
		t.Error("the epoch is forgotten with its connection")
	}
	if !e.Admit(hello(8, 1), reborn) || !e.IsCurrent("a", reborn) {
		t.Error("a new life, whose clock begins anew, is not taken")
	}
}
