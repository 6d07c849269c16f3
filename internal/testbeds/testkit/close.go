package testkit

import (
	"io"
	"testing"
)

// Close closes c, as a deferred call, and fails the test if that returns an error.
func Close(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("closing: %v", err)
	}
}
