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

// processStart is what messages.Hello.DialedAt counts from.
var processStart = time.Now()

// Peer sends frames to one member, and dials it again whenever the connection ends. What cannot be sent is dropped: the protocols
// above repeat what is needed. Make it with NewPeer.
type Peer struct {
	queue    chan []byte
	stop     chan struct{}
	stopOnce sync.Once
}

// NewPeer starts to send to an address, until Stop. Each connection begins with hello, whose DialedAt is set when it is dialed.
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

// Stop ends the sending. It may be called more than once.
func (p *Peer) Stop() { p.stopOnce.Do(func() { close(p.stop) }) }

func (p *Peer) run(address string, hello messages.Hello) {
	backoff := minRedialBackoff
	for {
		hello.DialedAt = uint64(time.Since(processStart))
		if p.connectAndSend(address, hello) {
			backoff = minRedialBackoff
		}
		if stopped := p.drainFor(backoff); stopped {
			return
		}
		backoff = min(backoff*2, maxRedialBackoff)
	}
}

// connectAndSend dials the peer and sends frames until the connection ends. It reports whether the peer could be reached.
func (p *Peer) connectAndSend(address string, hello messages.Hello) bool {
	conn, err := NewDialer(dialTimeout, unackedTimeout).DialContext(context.Background(), "tcp", address) // dialTimeout bounds it
	if err != nil {
		return false
	}
	if first, err := EncodeFrame(&Frame{Hello: &hello}); err == nil {
		p.sendLoop(conn, first)
	}
	_ = conn.Close() // it is given up, whatever has become of it
	return true
}

// drainFor drops what is queued for a while, because it would be stale once the peer is there again. It reports whether the peer
// was stopped meanwhile.
func (p *Peer) drainFor(duration time.Duration) bool {
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

// sendLoop writes hello and then what is queued, until the connection ends or the peer is stopped.
func (p *Peer) sendLoop(conn net.Conn, hello []byte) {
	closed := make(chan struct{})
	go func() {
		// The peer sends nothing here. A read returns when it closes the connection, or when this side does.
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
