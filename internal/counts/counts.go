// Package counts gathers what is too frequent for a log line each.
package counts

import (
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"
)

// Category is counted.
type Category string

// Counter are by what and cause. Causes are few: none holds a peer's words. The zero value is ready.
type Counter struct {
	mu         sync.Mutex
	byCategory map[Category]map[string]int
}

// Add counts one.
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

// Log writes what was counted since the last time, if anything was.
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
