// Package upstream is a stand-in for a replica, for tests and the demo: it answers requests on loopback as the protocol page
// says, or misbehaves where told to, and counts the attempts that it executes.
package upstream

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Replica is one stand-in. Its methods may be called by several goroutines.
type Replica struct {
	ID          string
	ServiceTime time.Duration // of each request; set before the first one comes

	listener net.Listener

	mu              sync.Mutex // guards the fields below
	behaviours      []Behaviour
	beforeResponse  func(attempt string)
	onExecution     func(attempt string)
	serveConnection func(net.Conn)
	executions      map[string]int // by attempt ID
	requests        []*http.Request
	connections     map[net.Conn]bool
	connectionCount int
}

// Start listens on loopback. The first requests are met with the given behaviours.
func Start(id string, behaviours ...Behaviour) (*Replica, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID:          id,
		listener:    listener,
		behaviours:  behaviours,
		executions:  map[string]int{},
		connections: map[net.Conn]bool{},
	}
	go r.accept()
	return r, nil
}

// Addr returns the address that it listens at.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// SetBehaviours sets how the next requests are met; later ones are answered correctly.
func (r *Replica) SetBehaviours(behaviours ...Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviours = behaviours
}

// SetResponseHook has hook called with the attempt ID before each response.
func (r *Replica) SetResponseHook(hook func(attempt string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beforeResponse = hook
}

// SetExecutionHook has hook called with the attempt ID when a request begins to be executed.
func (r *Replica) SetExecutionHook(hook func(attempt string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onExecution = hook
}

// SetConnectionHandler has serve handle the connections that come from now on, in place of the behaviours.
func (r *Replica) SetConnectionHandler(serve func(net.Conn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serveConnection = serve
}

// Executions returns how often attempts were executed, by their IDs.
func (r *Replica) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.executions)
}

// Requests lists the requests that arrived.
func (r *Replica) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// ConnectionCount returns how many connections were opened to it.
func (r *Replica) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connectionCount
}

// Close stops listening and closes all connections.
func (r *Replica) Close() {
	_ = r.listener.Close() // it only fails when it is closed already
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		_ = conn.Close() // likewise
	}
}

func (r *Replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.connections[conn] = true
		r.connectionCount++
		serve := r.serveConnection
		r.mu.Unlock()
		if serve == nil {
			serve = r.serve
		}
		go func() {
			serve(conn)
			r.mu.Lock()
			delete(r.connections, conn)
			r.mu.Unlock()
		}()
	}
}
