package hostile

import (
	"maps"
	"sync"
)

// Recorder counts executions and behaviours of all replicas that share it. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	executions map[string]int // by attempt ID
	behaviours map[string]int // by name
}

// NewRecorder returns an empty recorder.
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

// Executions returns how often the request with an attempt ID was executed.
func (r *Recorder) Executions(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.executions[id]
}

// Behaviours returns how often each behaviour was used.
func (r *Recorder) Behaviours() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.behaviours)
}

// Reset clears all counts.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions, r.behaviours = map[string]int{}, map[string]int{}
}
