package testkit

import (
	"io"
	"testing"
)

// Close closes c and fails the test on an error. It is meant for deferred calls.
func Close(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("closing: %v", err)
	}
}
