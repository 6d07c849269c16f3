// Package shardreplica provides a fake replica of a sharded service: it executes requests only on shard keys that it holds by a lease, and
// records what it did, so that a checker that knows nothing of the granter can find two replicas that served the same keys at once.
package shardreplica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options describe a replica. The zero value of a field means its default.
type Options struct {
	Service     string
	Zone        string
	Slots       int           // requests executed at once, 4 by default; as many again wait in a queue
	ServiceTime time.Duration // duration of each execution
	WarmUp      time.Duration // how long keys that arrive without a handover are slow
	WarmUpDelay time.Duration // added to the service time of slow keys
	MaxHold     time.Duration // longest lease, 10 s by default
	ClockRate   float64       // rate of the clock that measures leases, 1 by default; 0.98 lets leases last longer
}

const (
	defaultSlots     = 4
	defaultMaxHold   = 10 * time.Second
	readHeadTimeout  = 10 * time.Second
	healthPath       = "/health"
	grantPath        = "/api/grant"
	releasePath      = "/api/release"
	shardKeyHeader   = "X-Shard-Key"
	attemptHeader    = "X-Attempt-Id"
	instanceHeader   = "X-Instance-Id"
	targetHeader     = "X-Target-Instance"
	notExecuted      = "X-Not-Executed"
	handoverHeader   = "X-Handover"
	instanceLoad     = "X-Instance-Load"
	responseSeal     = "X-Response-Seal"
	deadlineMsHeader = "X-Deadline-Ms"
)

// Replica is a fake replica of a sharded service. Its methods are safe for concurrent use.
type Replica struct {
	ID string

	options  Options
	record   *Record
	listener net.Listener
	server   *http.Server
	slots    chan struct{} // holds one element for each execution
	pause    sync.RWMutex  // locked while the replica is paused

	mu         sync.Mutex // guards the fields below
	leases     leaseTable
	executions map[*Execution]chan struct{} // running; the channel is closed at the end
	waiting    int                          // requests that wait for a slot
	rejections map[Rejection]int
	callHook   func(path string) (answer bool)
	stopped    bool
}

// Rejection is why a replica did not execute a request.
type Rejection string

// Reasons of rejections.
const (
	RejectedKeyNotHeld    Rejection = "key_not_held"   // 421
	RejectedOtherInstance Rejection = "other_instance" // 421, too: X-Instance-Id differs from the request's X-Target-Instance
	RejectedOverload      Rejection = "overload"       // 503
	RejectedInvalid       Rejection = "invalid"        // 400: no attempt ID, or no valid shard key
)

// Start starts a replica on a free loopback port. It holds no keys.
func Start(id string, record *Record, options Options) (*Replica, error) {
	if options.Slots == 0 {
		options.Slots = defaultSlots
	}
	if options.MaxHold == 0 {
		options.MaxHold = defaultMaxHold
	}
	if options.ClockRate == 0 {
		options.ClockRate = 1
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID:         id,
		options:    options,
		record:     record,
		listener:   listener,
		slots:      make(chan struct{}, options.Slots),
		leases:     newLeaseTable(id),
		executions: map[*Execution]chan struct{}{},
		rejections: map[Rejection]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+grantPath, r.grant)
	mux.HandleFunc("POST "+releasePath, r.release)
	mux.HandleFunc(healthPath, r.health)
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeadTimeout}
	record.add(r)
	go func() { _ = r.server.Serve(listener) }() // returns when the replica is closed
	return r, nil
}

// Addr returns the listening address.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Rejections returns how often requests were rejected, by reason.
func (r *Replica) Rejections(reason Rejection) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejections[reason]
}

// Holds reports whether the replica holds a key.
func (r *Replica) Holds(key uint16) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases.find(key).heldAt(r.record.now())
}

// SetCallHook sets a function that is called after each grant and release took effect, with the path of the call. If it returns false, the
// connection is closed without an answer.
func (r *Replica) SetCallHook(hook func(path string) (answer bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callHook = hook
}

// Pause stops all processing, as SIGSTOP does, until resume is called. Connections are still accepted, and the hold of a grant counts from its
// arrival, even if it is processed later.
func (r *Replica) Pause() (resume func()) {
	r.pause.Lock()
	return sync.OnceFunc(r.pause.Unlock)
}

// awaitResumption waits while the replica is paused.
func (r *Replica) awaitResumption() {
	r.pause.RLock()
	defer r.pause.RUnlock()
}

// Close ends the replica as a crash does: it closes all connections, and its holds end.
func (r *Replica) Close() {
	r.mu.Lock()
	r.stopped = true
	r.leases.endAll(r.record.now())
	r.mu.Unlock()
	_ = r.server.Close() // fails only if the listener is closed already
}

func (r *Replica) health(w http.ResponseWriter, _ *http.Request) {
	r.awaitResumption()
	w.Header().Set(instanceHeader, r.ID)
	w.Header().Set(instanceLoad, r.load())
}
