// Package standin holds stand-ins of outside systems, for tests: they do as the published protocol says, and also what
// it does not foresee.
package standin

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// ConnectionBehaviour is how a Graphite receiver treats its next connections.
type ConnectionBehaviour int

// Manners.
const (
	ReadsLines       ConnectionBehaviour = iota
	StallsReading                        // takes the connection and reads nothing
	ResetsConnection                     // reads a little, then resets
	HalfCloses                           // closes its sending half, and reads on
	ReadsSlowly                          // reads a few bytes at a time
)

// Graphite receives lines over TCP.
type Graphite struct {
	listener  net.Listener
	mu        sync.Mutex
	behaviour ConnectionBehaviour
	conns     []net.Conn
	lines     []string
	running   sync.WaitGroup
}

// ListenGraphite begins to receive at a loopback address; ":0" takes any port.
func ListenGraphite(address string) (*Graphite, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &Graphite{listener: l}
	g.running.Go(g.accept)
	return g, nil
}

// Address is where it listens.
func (g *Graphite) Address() string { return g.listener.Addr().String() }

// SetBehaviour sets the manner and ends the connections that are open.
func (g *Graphite) SetBehaviour(m ConnectionBehaviour) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.behaviour = m
	for _, c := range g.conns {
		c.Close()
	}
	g.conns = nil
}

// Lines are those received so far.
func (g *Graphite) Lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string{}, g.lines...)
}

// Close ends it.
func (g *Graphite) Close() {
	g.listener.Close()
	g.SetBehaviour(StallsReading)
	g.running.Wait()
}

func (g *Graphite) accept() {
	for {
		c, err := g.listener.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		m := g.behaviour
		g.conns = append(g.conns, c)
		g.mu.Unlock()
		g.running.Go(func() { g.serve(c.(*net.TCPConn), m) })
	}
}

func (g *Graphite) serve(c *net.TCPConn, m ConnectionBehaviour) {
	in := bufio.NewReader(c)
	switch m {
	case StallsReading:
		_ = c.SetReadBuffer(4 << 10)
		return // it stays open until the manner changes
	case ResetsConnection:
		_, _ = in.ReadString('\n')
		_ = c.SetLinger(0)
		c.Close()
		return
	case HalfCloses:
		_ = c.CloseWrite()
	case ReadsSlowly:
		_ = c.SetReadBuffer(4 << 10)
		in = bufio.NewReaderSize(c, 16)
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			c.Close()
			return
		}
		g.mu.Lock()
		g.lines = append(g.lines, line)
		g.mu.Unlock()
		if m == ReadsSlowly {
			time.Sleep(time.Millisecond)
		}
	}
}
