package hostile

import (
	"maps"
	"sync"
)

// Recorder counts over all replicas which requests were executed, and what the replicas did. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	executions map[string]int // by the request's identity
	behaviours map[string]int // by name
}

// NewRecorder makes an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{executions: map[string]int{}, behaviours: map[string]int{}}
}

func (r *Recorder) recordExecution(id string) {
	r.mu.Lock()
	r.executions[id]++
	r.mu.Unlock()
}

func (r *Recorder) recordBehaviour(name string) {
	r.mu.Lock()
	r.behaviours[name]++
	r.mu.Unlock()
}

// Executions returns how often a request was executed.
func (r *Recorder) Executions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[id]
}

// Behaviours returns how often replicas did what.
func (r *Recorder) Behaviours() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.behaviours)
}

// Reset empties the recorder.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions, r.behaviours = map[string]int{}, map[string]int{}
}
