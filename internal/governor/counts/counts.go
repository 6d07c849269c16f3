// Package counts aggregates events that are too frequent for a log line each. They are counted by category and cause and
// written at intervals as one log line.
package counts

import (
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"
)

// Category is what is counted. It is a key of the log line.
type Category string

// Counter counts events by category and cause. The zero value is ready to use, and all methods may be called
// concurrently.
type Counter struct {
	mu         sync.Mutex
	byCategory map[Category]map[string]int
}

// Add counts one event. The set of causes must be small and fixed: memory grows with it, so a cause never contains text
// that a peer has sent.
func (c *Counter) Add(category Category, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCategory == nil {
		c.byCategory = map[Category]map[string]int{}
	}
	if c.byCategory[category] == nil {
		c.byCategory[category] = map[string]int{}
	}
	c.byCategory[category][cause]++
}

// Log writes the counts since the previous call as one line and resets them. It writes nothing where nothing was counted.
func (c *Counter) Log(log zerolog.Logger) {
	c.mu.Lock()
	counted := c.byCategory
	c.byCategory = nil
	c.mu.Unlock()
	if len(counted) == 0 {
		return
	}
	line := log.Info()
	for _, category := range slices.Sorted(maps.Keys(counted)) {
		line.Interface(string(category), counted[category])
	}
	line.Msg("counts")
}
