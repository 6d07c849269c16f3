// Package peertransport carries messages between the gateway's governors: frames of CBOR over TCP.
package peertransport

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/messages"
)

const (
	maxFrameSize      = 24 << 20 // a configuration of 16 MB, the most that is taken, and what goes with it
	initialReadSize   = 64 << 10
	dialTimeout       = 500 * time.Millisecond
	writeTimeout      = time.Second
	unackedTimeout    = time.Second
	sendQueueCapacity = 256
	minRedialBackoff  = 100 * time.Millisecond
	maxRedialBackoff  = 250 * time.Millisecond
)

// Frame is one frame; the fields that are set tell what it is. An empty one is a sign of life.
type Frame struct {
	Hello          *messages.Hello          `cbor:"1,keyasint,omitempty"`
	Coordinator    *coordinator.Message     `cbor:"2,keyasint,omitempty"`
	Instances      []registry.Instance      `cbor:"3,keyasint,omitempty"`
	StateUpdate    *messages.StateUpdate    `cbor:"4,keyasint,omitempty"`
	LoadReport     *messages.LoadReport     `cbor:"5,keyasint,omitempty"`
	GatewaySummary *messages.GatewaySummary `cbor:"6,keyasint,omitempty"`
	Ejections      []outlier.Ejection       `cbor:"7,keyasint,omitempty"`
}

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// EncodeFrame encodes a message with its length before it.
func EncodeFrame(m *Frame) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, merry.Prepend(err, "encoding a message")
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body))), body...), nil
}

// ReadFrame reads one frame.
func ReadFrame(r io.Reader) (*Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameSize {
		return nil, merry.Errorf("a frame of %d bytes", n)
	}
	body := make([]byte, min(n, initialReadSize))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if rest := int(n) - len(body); rest > 0 { // room is made for what has come, not for what was said to come
		more, err := io.ReadAll(io.LimitReader(r, int64(rest)))
		if err != nil {
			return nil, err
		}
		if len(more) < rest {
			return nil, io.ErrUnexpectedEOF
		}
		body = append(body, more...)
	}
	m := &Frame{}
	if err := decodeMode.Unmarshal(body, m); err != nil {
		return nil, merry.Prepend(err, "decoding a message")
	}
	return m, nil
}

// NewDialer returns a dialer whose connections end when what was sent stays unacknowledged for so long.
func NewDialer(most, unacked time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: most, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return SetUnackedTimeout(c, unacked)
	}}
}

// SetUnackedTimeout sets how long sent bytes may stay unacknowledged.
func SetUnackedTimeout(c syscall.RawConn, d time.Duration) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return inner
}

// Conn is a connection to write frames to from several goroutines; one goroutine writes them.
type Conn struct {
	net.Conn
	queue     chan []byte
	closeOnce sync.Once
	done      chan struct{}
}

// NewConn starts the writer of a connection.
func NewConn(c net.Conn) *Conn {
	x := &Conn{Conn: c, queue: make(chan []byte, sendQueueCapacity), done: make(chan struct{})}
	go x.writeLoop()
	return x
}

func (c *Conn) writeLoop() {
	for {
		select {
		case b := <-c.queue:
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Conn.Write(b); err != nil {
				c.Shutdown()
				return
			}
		case <-c.done:
			return
		}
	}
}

// Send queues a frame; a peer that does not read loses its connection.
func (c *Conn) Send(frame []byte) {
	select {
	case c.queue <- frame:
	case <-c.done:
	default:
		c.Shutdown()
	}
}

// Shutdown closes the connection.
func (c *Conn) Shutdown() { c.closeOnce.Do(func() { close(c.done); c.Conn.Close() }) }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Line to one peer, dialled again for as long as it is wanted. What cannot be sent is dropped: those who need it
// say it again.
type Peer struct {
	queue    chan []byte
	stop     chan struct{}
	stopOnce sync.Once
}

// processStart is where the times of dialling count from.
var processStart = time.Now()

// NewPeer starts sending to an address; each connection begins with hello, which is told when it was dialled.
func NewPeer(addr string, hello messages.Hello) *Peer {
	p := &Peer{queue: make(chan []byte, sendQueueCapacity), stop: make(chan struct{})}
	go p.run(addr, hello)
	return p
}

// Send queues a frame, or drops it.
func (p *Peer) Send(frame []byte) {
	select {
	case p.queue <- frame:
	default:
	}
}

// Stop ends the peer.
func (p *Peer) Stop() { p.stopOnce.Do(func() { close(p.stop) }) }

func (p *Peer) run(addr string, hello messages.Hello) {
	d := NewDialer(dialTimeout, unackedTimeout)
	pause := minRedialBackoff
	for {
		hello.DialedAt = uint64(time.Since(processStart))
		conn, err := d.Dial("tcp", addr)
		if err == nil {
			pause = minRedialBackoff
			if first, err := EncodeFrame(&Frame{Hello: &hello}); err == nil {
				p.sendLoop(conn, first)
			}
			conn.Close()
		}
		wait := time.NewTimer(pause)
		pause = min(pause*2, maxRedialBackoff)
	drop:
		for {
			select {
			case <-p.queue: // stale by the time that the peer is there again
			case <-wait.C:
				break drop
			case <-p.stop:
				wait.Stop()
				return
			}
		}
	}
}

func (p *Peer) sendLoop(conn net.Conn, hello []byte) {
	gone := make(chan struct{})
	go func() { // the peer says nothing here; its end is noticed at once
		var b [1]byte
		conn.Read(b[:])
		close(gone)
	}()
	next := hello
	for {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(next); err != nil {
			return
		}
		select {
		case next = <-p.queue:
		case <-gone:
			return
		case <-p.stop:
			return
		}
	}
}
