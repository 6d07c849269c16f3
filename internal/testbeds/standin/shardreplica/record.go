package shardreplica

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Execution is a request that a replica began to execute. Times are those since the start of the record.
type Execution struct {
	Replica string
	Service string
	Attempt string
	Key     uint16
	Begin   time.Duration
	End     time.Duration // zero while it runs
	Status  int           // zero while it runs
}

// Hold is an uninterrupted time during which a replica held a range of keys.
type Hold struct {
	Replica    string
	From, To   int // inclusive
	Begin, End time.Duration
}

// Call is a grant or release that a replica received, and the status of its response, which may not have reached the caller.
type Call struct {
	At       time.Duration // arrival of a grant, effect of a release
	Until    time.Duration // end of the lease of a grant
	Sender   string        // IP address
	Replica  string
	Path     string
	From, To int // inclusive
	Fence    uint64
	Handover string
	Status   int
}

// handover identifies the keys that a handover was issued for.
type handover struct {
	service  string
	from, to int
}

// Record is what the replicas of a test did. Its methods are safe for concurrent use.
type Record struct {
	start time.Time

	mu         sync.Mutex // guards the fields below
	replicas   []*Replica
	executions []*Execution
	calls      []Call
	handovers  map[string]handover
}

// NewRecord returns an empty record that starts now.
func NewRecord() *Record { return NewRecordSince(time.Now()) }

// NewRecordSince returns an empty record whose times are relative to start.
func NewRecordSince(start time.Time) *Record {
	return &Record{start: start, handovers: map[string]handover{}}
}

func (r *Record) now() time.Duration { return time.Since(r.start) }

// Calls returns the grants and releases in the order of their effect.
func (r *Record) Calls() []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.calls)
}

// Executions returns all executions in the order of their beginning.
func (r *Record) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := make([]Execution, len(r.executions))
	for i, execution := range r.executions {
		executions[i] = *execution
	}
	return executions
}

// Holds returns the holds of all replicas, by service.
func (r *Record) Holds() map[string][]Hold {
	r.mu.Lock()
	replicas := slices.Clone(r.replicas)
	r.mu.Unlock()
	holds := map[string][]Hold{}
	for _, replica := range replicas {
		replica.mu.Lock()
		service := replica.options.Service
		holds[service] = append(holds[service], replica.leases.holds(r.now())...)
		replica.mu.Unlock()
	}
	return holds
}

func (r *Record) add(replica *Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas = append(r.replicas, replica)
}

func (r *Record) addCall(call Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
}

func (r *Record) addExecution(execution *Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = append(r.executions, execution)
}

func (r *Record) endExecution(execution *Execution, now time.Duration, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	execution.End, execution.Status = now, status
}

func (r *Record) issueHandover(service string, from, to int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	token := fmt.Sprintf("%016x", len(r.handovers)+1)
	r.handovers[token] = handover{service, from, to}
	return token
}

// handoverCovers reports whether a handover was issued for a range of keys or a greater one.
func (r *Record) handoverCovers(token, service string, from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	issued, ok := r.handovers[token]
	return ok && issued.service == service && issued.from <= from && to <= issued.to
}
