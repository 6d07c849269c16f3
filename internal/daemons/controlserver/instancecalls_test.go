package controlserver

import (
	"net/http"
	"strings"
	"testing"
)

// TestHeartbeatRejectsInvalidNumbers guards against a heartbeat whose invalid sequence compares higher than all later ones.
func TestHeartbeatRejectsInvalidNumbers(t *testing.T) {
	server := newIdleServer(t)
	for _, field := range []string{`"sequence":-5`, `"sequence":"7"`, `"sequence":1e300`, `"slots":-1`, `"slots":9e9`, `"cold_remaining":"-4s"`} {
		w := serveCall(t.Context(), server, "call=instances.heartbeat&of=i1", `{"service":"s","address":"h:1",`+field+`}`)
		if w.Code != http.StatusUnprocessableEntity {
			t.Errorf("%s: got status %d, want 422", field, w.Code)
		}
	}
	if w := serveCall(t.Context(), server, "call=instances.heartbeat&of=i1", strings.Repeat(" ", maxHeartbeatBytes+1)); w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("body above the size limit: got status %d, want 413", w.Code)
	}
}
