// Package counts gathers what is too frequent for a log line each.
package counts

import (
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"
)

// What is counted.
type What string

// Counts are by what and cause. Causes are few: none holds a peer's words. The zero value is ready.
type Counts struct {
	mu sync.Mutex
	of map[What]map[string]int
}

// Add counts one.
func (n *Counts) Add(w What, cause string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.of == nil {
		n.of = map[What]map[string]int{}
	}
	if n.of[w] == nil {
		n.of[w] = map[string]int{}
	}
	n.of[w][cause]++
}

// Log writes what was counted since the last time, if anything was.
func (n *Counts) Log(log zerolog.Logger) {
	n.mu.Lock()
	of := n.of
	n.of = nil
	n.mu.Unlock()
	if len(of) == 0 {
		return
	}
	line := log.Info()
	for _, w := range slices.Sorted(maps.Keys(of)) {
		line.Interface(string(w), of[w])
	}
	line.Msg("counts")
}
