// Package upstream provides a fake replica for tests and the demo. It answers requests on loopback according to the protocol, or
// misbehaves on demand, and counts the attempts that it executes.
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

// Replica is a fake replica. Its methods are safe for concurrent use.
type Replica struct {
	ID          string
	ServiceTime time.Duration // delay of each response; must be set before the first request

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

// Start starts a replica on a free loopback port. Its first requests get the given behaviours, later ones are answered correctly.
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

// Addr returns the listening address.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// SetBehaviours sets the behaviours for the next requests. Later ones are answered correctly.
func (r *Replica) SetBehaviours(behaviours ...Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviours = behaviours
}

// SetResponseHook sets a function that is called with the attempt ID before each response.
func (r *Replica) SetResponseHook(hook func(attempt string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beforeResponse = hook
}

// SetExecutionHook sets a function that is called with the attempt ID when the execution of a request starts.
func (r *Replica) SetExecutionHook(hook func(attempt string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onExecution = hook
}

// SetConnectionHandler sets a function that handles new connections in place of the behaviours.
func (r *Replica) SetConnectionHandler(serve func(net.Conn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serveConnection = serve
}

// Executions returns how often each attempt was executed, by attempt ID.
func (r *Replica) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.executions)
}

// Requests returns the received requests.
func (r *Replica) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// ConnectionCount returns how many connections have been accepted.
func (r *Replica) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connectionCount
}

// Close stops listening and closes all connections.
func (r *Replica) Close() {
	_ = r.listener.Close() // fails only if it is closed already
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.connections {
		_ = conn.Close() // fails only if it is closed already
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
