package peertransport

import (
	"testing"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/messages"
)

type closed struct{ n int }

func (c *closed) Close() error { c.n++; return nil }

// TestEnds guards against words of an earlier connection that are taken after those of a newer one: they lay in its socket.
func TestEnds(t *testing.T) {
	var e Ends
	hello := func(life, dial uint64) *messages.Hello {
		return &messages.Hello{Member: membership.Member{Addr: "a"}, Life: life, Dial: dial}
	}
	first, second, late, reborn := &closed{}, &closed{}, &closed{}, &closed{}
	if !e.Begin(hello(7, 10), first) || !e.Holds("a", first) {
		t.Fatal("the first connection is not taken")
	}
	if !e.Begin(hello(7, 20), second) || e.Holds("a", first) || first.n != 1 {
		t.Error("a newer connection does not end the one before")
	}
	if e.Begin(hello(7, 15), late) || !e.Holds("a", second) {
		t.Error("one that was dialled earlier and accepted later is taken")
	}
	e.End("a", first)
	if !e.Holds("a", second) {
		t.Error("the end of an earlier one ends the newer")
	}
	e.End("a", second)
	if e.Holds("a", second) || e.Begin(hello(7, 15), late) {
		t.Error("the epoch is forgotten with its connection")
	}
	if !e.Begin(hello(8, 1), reborn) || !e.Holds("a", reborn) {
		t.Error("a new life, whose clock begins anew, is not taken")
	}
}
