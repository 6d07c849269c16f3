package clients

import (
	"net"
	"syscall"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// TestEviction opens more connections than the limit and checks which are closed.
func TestEviction(t *testing.T) {
	run(t, func(h *harness) {
		h.dial("a", "attach sidecar 0 az a standing 1")
		c := h.dial("c", "telemetry az a")
		h.dial("first stranger")
		h.advance(time.Second)
		h.dial("second stranger")
		h.note("many at once: each has its turn, and the proxy among them joins")
		start := time.Now()
		for range 10 {
			h.dial("many")
		}
		b := h.dial("b", "attach sidecar 1 az a standing 1")
		for range 10 {
			h.dial("many")
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			h.t.Errorf("20 unidentified connections took %v", elapsed)
		}
		h.note("a collector that has passed something on lately stays, whoever names its zone")
		testkit.Close(h.t, b)
		h.advance(2 * time.Second)
		h.send(c, "upstream_stats az a host r1 n 1 bad 0 avg 1 window 1")
		for range 3 {
			h.dial("false", "telemetry az a")
		}
		h.note("idle collectors make room where there are no strangers, then nobody does")
		h.dial("d", "attach sidecar 2 az a standing 1")
		h.dial("e", "attach sidecar 3 az a standing 1")
		h.dial("f", "attach sidecar 4 az a standing 1")
	})
}

// failingListener is a listener whose first calls of Accept fail for lack of file descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// TestDescriptorExhaustion checks that the server keeps accepting after Accept has failed three times.
func TestDescriptorExhaustion(t *testing.T) {
	run(t, func(h *harness) {
		testkit.Close(h.t, h.listen)
		h.listen = testkit.Listen()
		go h.server.Serve(&failingListener{h.listen, 3})
		start := time.Now()
		h.dial("a", "attach sidecar 0 az a standing 1")
		if waited := time.Since(start); waited != 3*h.server.bounds.AcceptRetryDelay {
			t.Errorf("accepted after %v", waited)
		}
	})
}
