package store

import (
	"context"
	"strings"
	"testing"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// TestWriterLogsFailureOnce checks that repeated failures are logged once, as is the recovery, and that the state pending at
// the end is written.
func TestWriterLogsFailureOnce(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	var log strings.Builder
	w := NewWriter(s, testkit.Logger(&log))
	db := s.db
	s.db = nil
	w.write(nthState(1))
	w.write(nthState(2))
	s.db = db
	w.write(nthState(3))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	w.Offer(nthState(4))
	w.Run(ctx)
	if strings.Count(log.String(), "can't be written") != 1 || strings.Count(log.String(), "written again") != 1 {
		t.Error(log.String())
	}
	s, k := mustOpen(t, dir)
	defer testkit.Close(t, s)
	if k.Version != 4 {
		t.Errorf("state %d was written, want 4", k.Version)
	}
}
