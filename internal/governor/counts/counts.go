// Package counts counts events that are too frequent to be logged one by one, and logs the counts by category and cause.
package counts

import (
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"
)

// Category is a class of events. It is a key in the log line.
type Category string

// Counter counts events by category and cause. The zero value is ready to use. Its methods may be called concurrently.
type Counter struct {
	mu         sync.Mutex
	byCategory map[Category]map[string]int
}

// Add counts one event. Causes must be from a small, fixed set and must not contain text from a peer, because memory grows
// with the number of causes.
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

// Log writes the counts since the previous call as one line and resets them. It writes nothing if there are none.
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
