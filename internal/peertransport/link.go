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
	mostFrame   = 24 << 20 // a configuration of 16 MB, the most that is taken, and what goes with it
	readFirst   = 64 << 10
	dialMost    = 500 * time.Millisecond
	writeMost   = time.Second
	userTimeout = time.Second
	queueMost   = 256
	pauseLeast  = 100 * time.Millisecond
	pauseMost   = 250 * time.Millisecond
)

// Msg is one frame; the fields that are set tell what it is. An empty one is a sign of life.
type Msg struct {
	Hello  *messages.Hello      `cbor:"1,keyasint,omitempty"`
	Core   *coordinator.Message `cbor:"2,keyasint,omitempty"`
	Lives  []registry.Life      `cbor:"3,keyasint,omitempty"`
	State  *messages.State      `cbor:"4,keyasint,omitempty"`
	Report *messages.Report     `cbor:"5,keyasint,omitempty"`
	Fleet  *messages.Fleet      `cbor:"6,keyasint,omitempty"`
	Fell   []outlier.Out        `cbor:"7,keyasint,omitempty"`
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Frame encodes a message with its length before it.
func Frame(m *Msg) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, merry.Prepend(err, "encoding a message")
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body))), body...), nil
}

// Read reads one frame.
func Read(r io.Reader) (*Msg, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > mostFrame {
		return nil, merry.Errorf("a frame of %d bytes", n)
	}
	body := make([]byte, min(n, readFirst))
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
	m := &Msg{}
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, merry.Prepend(err, "decoding a message")
	}
	return m, nil
}

// Dialer returns a dialer whose connections end when what was sent stays unacknowledged for so long.
func Dialer(most, unacked time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: most, KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		return Unacked(c, unacked)
	}}
}

// Unacked sets how long sent bytes may stay unacknowledged.
func Unacked(c syscall.RawConn, d time.Duration) error {
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
	queue chan []byte
	once  sync.Once
	done  chan struct{}
}

// Wrap starts the writer of a connection.
func Wrap(c net.Conn) *Conn {
	x := &Conn{Conn: c, queue: make(chan []byte, queueMost), done: make(chan struct{})}
	go x.write()
	return x
}

func (c *Conn) write() {
	for {
		select {
		case b := <-c.queue:
			c.SetWriteDeadline(time.Now().Add(writeMost))
			if _, err := c.Conn.Write(b); err != nil {
				c.End()
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
		c.End()
	}
}

// End closes the connection.
func (c *Conn) End() { c.once.Do(func() { close(c.done); c.Conn.Close() }) }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Line to one peer, dialled again for as long as it is wanted. What cannot be sent is dropped: those who need it
// say it again.
type Peer struct {
	queue chan []byte
	stop  chan struct{}
	once  sync.Once
}

// began is where the times of dialling count from.
var began = time.Now()

// To starts sending to an address; each connection begins with hello, which is told when it was dialled.
func To(addr string, hello messages.Hello) *Peer {
	p := &Peer{queue: make(chan []byte, queueMost), stop: make(chan struct{})}
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
func (p *Peer) Stop() { p.once.Do(func() { close(p.stop) }) }

func (p *Peer) run(addr string, hello messages.Hello) {
	d := Dialer(dialMost, userTimeout)
	pause := pauseLeast
	for {
		hello.Dial = uint64(time.Since(began))
		conn, err := d.Dial("tcp", addr)
		if err == nil {
			pause = pauseLeast
			if first, err := Frame(&Msg{Hello: &hello}); err == nil {
				p.pump(conn, first)
			}
			conn.Close()
		}
		wait := time.NewTimer(pause)
		pause = min(pause*2, pauseMost)
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

func (p *Peer) pump(conn net.Conn, hello []byte) {
	gone := make(chan struct{})
	go func() { // the peer says nothing here; its end is noticed at once
		var b [1]byte
		conn.Read(b[:])
		close(gone)
	}()
	next := hello
	for {
		conn.SetWriteDeadline(time.Now().Add(writeMost))
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
