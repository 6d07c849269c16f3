package clients

import (
	"net"
	"syscall"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// TestEviction has more connections than may be open.
func TestEviction(t *testing.T) {
	run(t, func(p *play) {
		p.dial("a", "attach sidecar 0 az a standing 1")
		c := p.dial("c", "telemetry az a")
		p.dial("first stranger")
		p.after(time.Second)
		p.dial("second stranger")
		p.note("many at once: each has its turn, and the proxy among them joins")
		begun := time.Now()
		for range 10 {
			p.dial("many")
		}
		b := p.dial("b", "attach sidecar 1 az a standing 1")
		for range 10 {
			p.dial("many")
		}
		if took := time.Since(begun); took > time.Second {
			p.t.Errorf("20 strangers took %v", took)
		}
		p.note("a collector that has passed something on lately stays, whoever names its zone")
		testkit.Close(p.t, b)
		p.after(2 * time.Second)
		p.say(c, "upstream_stats az a host r1 n 1 bad 0 avg 1 window 1")
		for range 3 {
			p.dial("false", "telemetry az a")
		}
		p.note("idle collectors make room where there are no strangers, then nobody does")
		p.dial("d", "attach sidecar 2 az a standing 1")
		p.dial("e", "attach sidecar 3 az a standing 1")
		p.dial("f", "attach sidecar 4 az a standing 1")
	})
}

// exhaustedListener is a listener that runs out of descriptors for a while.
type exhaustedListener struct {
	net.Listener
	fails int
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if s.fails--; s.fails >= 0 {
		return nil, syscall.EMFILE
	}
	return s.Listener.Accept()
}

// TestDescriptorExhaustion has accepting fail three times.
func TestDescriptorExhaustion(t *testing.T) {
	run(t, func(p *play) {
		testkit.Close(p.t, p.listen)
		p.listen = testkit.Listen()
		go p.server.Serve(&exhaustedListener{p.listen, 3})
		begun := time.Now()
		p.dial("a", "attach sidecar 0 az a standing 1")
		if waited := time.Since(begun); waited != 3*p.server.bounds.AcceptRetryDelay {
			t.Errorf("accepted after %v", waited)
		}
	})
}
