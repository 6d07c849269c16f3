package hostile

import (
	"maps"
	"sync"
)

// Ledger counts over all replicas which requests were executed, and what the replicas did. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions map[string]int // by the request's identity
	behaviours map[string]int // by name
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{executions: map[string]int{}, behaviours: map[string]int{}} }

func (l *Ledger) recordExecution(id string) {
	l.mu.Lock()
	l.executions[id]++
	l.mu.Unlock()
}

func (l *Ledger) recordBehaviour(name string) {
	l.mu.Lock()
	l.behaviours[name]++
	l.mu.Unlock()
}

// Executions returns how often a request was executed.
func (l *Ledger) Executions(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions[id]
}

// Behaviours returns how often replicas did what.
func (l *Ledger) Behaviours() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.behaviours)
}

// Reset empties the ledger.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions, l.behaviours = map[string]int{}, map[string]int{}
}
