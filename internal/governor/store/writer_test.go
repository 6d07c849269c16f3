package store

import (
	"context"
	"strings"
	"testing"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// TestWriterLogsFailureOnce takes the database away from a writer: it logs one failure and the recovery, and what was offered
// last before the end is written.
func TestWriterLogsFailureOnce(t *testing.T) {
	dir := t.TempDir()
	s, _ := opened(t, dir)
	var log strings.Builder
	w := NewWriter(s, testkit.Logger(&log))
	good := s.db
	s.db = nil
	w.write(state(1))
	w.write(state(2))
	s.db = good
	w.write(state(3))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	w.Offer(state(4))
	w.Run(ctx)
	if strings.Count(log.String(), "can't be written") != 1 || strings.Count(log.String(), "written again") != 1 {
		t.Error(log.String())
	}
	s, k := opened(t, dir)
	defer testkit.Close(t, s)
	if k.Version != 4 {
		t.Errorf("state %d is kept", k.Version)
	}
}
