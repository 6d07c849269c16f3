// Package standin provides test fakes of external systems. They follow the published protocols and can be made to misbehave.
package standin

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ConnectionBehaviour is how a Graphite receiver handles a connection.
type ConnectionBehaviour int

// Behaviours of a Graphite receiver.
const (
	ReadsLines       ConnectionBehaviour = iota
	StallsReading                        // accepts the connection and reads nothing
	ResetsConnection                     // reads a line, then resets
	HalfCloses                           // closes its sending side and continues to read
	ReadsSlowly                          // reads a few bytes at a time
)

const (
	smallReadBuffer = 4 << 10 // socket buffer; a sender blocks soon when nothing is read
	slowReadSize    = 16      // bytes per read
	slowReadPause   = time.Millisecond
)

// Graphite is a fake Graphite receiver for the plaintext protocol over TCP. It is safe for concurrent use.
type Graphite struct {
	listener net.Listener
	running  sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	behaviour   ConnectionBehaviour
	connections []net.Conn
	lines       []string
}

// ListenGraphite starts a receiver at a loopback address. Port 0 selects a free port.
func ListenGraphite(address string) (*Graphite, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	g := &Graphite{listener: listener}
	g.running.Go(g.accept)
	return g, nil
}

// Address returns the listening address.
func (g *Graphite) Address() string { return g.listener.Addr().String() }

// SetBehaviour sets the behaviour for new connections and closes the open ones.
func (g *Graphite) SetBehaviour(behaviour ConnectionBehaviour) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behaviour = behaviour
	for _, conn := range g.connections {
		_ = conn.Close() // it may be closed already
	}
	g.connections = nil
}

// Lines returns the lines received so far.
func (g *Graphite) Lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string{}, g.lines...)
}

// Close stops listening, closes all connections and waits for their goroutines.
func (g *Graphite) Close() {
	_ = g.listener.Close() // fails only if it is closed already
	g.SetBehaviour(StallsReading)
	g.running.Wait()
}

func (g *Graphite) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		behaviour := g.behaviour
		g.connections = append(g.connections, conn)
		g.mu.Unlock()
		g.running.Go(func() { g.serve(conn.(*net.TCPConn), behaviour) })
	}
}

func (g *Graphite) serve(conn *net.TCPConn, behaviour ConnectionBehaviour) {
	in := bufio.NewReader(conn)
	switch behaviour {
	case StallsReading:
		_ = conn.SetReadBuffer(smallReadBuffer)
		return // the connection stays open until the behaviour changes
	case ResetsConnection:
		_, _ = in.ReadString('\n')
		_ = errors.Join(conn.SetLinger(0), conn.Close()) // the peer may have closed it before
		return
	case HalfCloses:
		_ = conn.CloseWrite()
	case ReadsSlowly:
		_ = conn.SetReadBuffer(smallReadBuffer)
		in = bufio.NewReaderSize(conn, slowReadSize)
	}
	defer func() { _ = conn.Close() }()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		g.mu.Lock()
		g.lines = append(g.lines, line)
		g.mu.Unlock()
		if behaviour == ReadsSlowly {
			time.Sleep(slowReadPause)
		}
	}
}
