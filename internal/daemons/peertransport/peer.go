package peertransport

import (
	"context"
	"net"
	"sync"
	"time"

	"zincloft.example/zincloft/messages"
)

const (
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 250 * time.Millisecond
)

// processStart is the reference time of messages.Hello.DialedAt.
var processStart = time.Now()

// Peer sends frames to a member and redials it whenever the connection ends. Frames that cannot be sent are dropped; the protocols
// above handle the loss. Create it with NewPeer.
type Peer struct {
	queue    chan []byte
	stop     chan struct{}
	stopOnce sync.Once
}

// NewPeer starts a sender to address that runs until Stop. Each connection starts with hello, whose DialedAt is set on dialing.
func NewPeer(address string, hello messages.Hello) *Peer {
	p := &Peer{queue: make(chan []byte, sendQueueCapacity), stop: make(chan struct{})}
	go p.run(address, hello)
	return p
}

// Send queues an encoded frame, or drops it if the queue is full. It does not block.
func (p *Peer) Send(frame []byte) {
	select {
	case p.queue <- frame:
	default:
	}
}

// Stop stops the sender. It may be called repeatedly.
func (p *Peer) Stop() { p.stopOnce.Do(func() { close(p.stop) }) }

func (p *Peer) run(address string, hello messages.Hello) {
	backoff := minRedialBackoff
	for {
		hello.DialedAt = uint64(time.Since(processStart))
		if p.connectAndSend(address, hello) {
			backoff = minRedialBackoff
		}
		if stopped := p.discardFor(backoff); stopped {
			return
		}
		backoff = min(backoff*2, maxRedialBackoff)
	}
}

// connectAndSend dials the peer and sends frames until the connection ends. It reports whether dialing succeeded.
func (p *Peer) connectAndSend(address string, hello messages.Hello) bool {
	conn, err := NewDialer(dialTimeout, unackedTimeout).DialContext(context.Background(), "tcp", address) // limited by dialTimeout
	if err != nil {
		return false
	}
	if first, err := EncodeFrame(&Frame{Hello: &hello}); err == nil {
		p.sendLoop(conn, first)
	}
	_ = conn.Close() // an error changes nothing, as the connection is discarded
	return true
}

// discardFor discards queued frames for a duration, because they would be stale by the time the peer is reachable. It reports
// whether Stop was called meanwhile.
func (p *Peer) discardFor(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-p.queue:
		case <-timer.C:
			return false
		case <-p.stop:
			return true
		}
	}
}

// sendLoop writes hello and then queued frames until the connection ends or Stop is called.
func (p *Peer) sendLoop(conn net.Conn, hello []byte) {
	closed := make(chan struct{})
	go func() {
		// The remote side sends no data, so Read returns only when either side closes the connection.
		var buffer [1]byte
		_, _ = conn.Read(buffer[:])
		close(closed)
	}()
	next := hello
	for {
		if err := writeFrame(conn, next); err != nil {
			return
		}
		select {
		case next = <-p.queue:
		case <-closed:
			return
		case <-p.stop:
			return
		}
	}
}
