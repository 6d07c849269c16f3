// Package standin holds stand-ins of outside systems, for tests: they behave as the published protocol says, and also in ways
// that it does not foresee.
package standin

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ConnectionBehaviour is how a Graphite receiver treats a connection.
type ConnectionBehaviour int

// Behaviours of a Graphite receiver.
const (
	ReadsLines       ConnectionBehaviour = iota
	StallsReading                        // accepts the connection and reads nothing
	ResetsConnection                     // reads a line, then resets
	HalfCloses                           // closes its sending half, and reads on
	ReadsSlowly                          // reads a few bytes at a time
)

const (
	smallReadBuffer = 4 << 10 // of the socket, so that a sender soon notices that nothing is read
	slowReadSize    = 16      // bytes at a time
	slowReadPause   = time.Millisecond
)

// Graphite receives lines over TCP. Its methods may be called by several goroutines.
type Graphite struct {
	listener net.Listener
	running  sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	behaviour   ConnectionBehaviour
	connections []net.Conn
	lines       []string
}

// ListenGraphite begins to receive at a loopback address; ":0" takes any port.
func ListenGraphite(address string) (*Graphite, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	g := &Graphite{listener: listener}
	g.running.Go(g.accept)
	return g, nil
}

// Address returns the address that it listens at.
func (g *Graphite) Address() string { return g.listener.Addr().String() }

// SetBehaviour sets the behaviour of later connections and closes those that are open.
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

// Close stops listening, closes all connections and waits until they are served.
func (g *Graphite) Close() {
	_ = g.listener.Close() // it only fails when it is closed already
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
