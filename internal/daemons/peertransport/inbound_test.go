package peertransport

import (
	"testing"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

type countingCloser struct{ closes int }

func (c *countingCloser) Close() error { c.closes++; return nil }

// TestInboundConnsNewestConnectionWins guards against messages of an earlier connection that are taken after those of a newer one,
// because they waited in its socket.
func TestInboundConnsNewestConnectionWins(t *testing.T) {
	var conns InboundConns
	hello := func(incarnation, dialedAt uint64) *messages.Hello {
		return &messages.Hello{Member: fleet.Member{Addr: "a"}, Incarnation: incarnation, DialedAt: dialedAt}
	}
	first, second, late, restarted := &countingCloser{}, &countingCloser{}, &countingCloser{}, &countingCloser{}
	if !conns.Admit(hello(7, 10), first) || !conns.IsCurrent("a", first) {
		t.Fatal("the first connection is not admitted")
	}
	if !conns.Admit(hello(7, 20), second) || conns.IsCurrent("a", first) || first.closes != 1 {
		t.Error("a newer connection does not end the one before")
	}
	if conns.Admit(hello(7, 15), late) || !conns.IsCurrent("a", second) {
		t.Error("a connection that was dialed earlier and accepted later is admitted")
	}
	conns.Remove("a", first)
	if !conns.IsCurrent("a", second) {
		t.Error("the end of an earlier connection ends the newer one")
	}
	conns.Remove("a", second)
	if conns.IsCurrent("a", second) || conns.Admit(hello(7, 15), late) {
		t.Error("the epoch is forgotten with its connection")
	}
	if !conns.Admit(hello(8, 1), restarted) || !conns.IsCurrent("a", restarted) {
		t.Error("a connection of a new incarnation, whose clock starts again, is not admitted")
	}
}
