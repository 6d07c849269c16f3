package controlserver

import (
	"net/http"
	"strings"
	"testing"
)

// TestHeartbeatRejectsInvalidNumbers guards a replica's heartbeats against one whose sequence would stand above all later ones.
func TestHeartbeatRejectsInvalidNumbers(t *testing.T) {
	server := newIdleServer(t)
	for _, field := range []string{`"sequence":-5`, `"sequence":"7"`, `"sequence":1e300`, `"slots":-1`, `"slots":9e9`, `"cold_remaining":"-4s"`} {
		w := serveCall(t.Context(), server, "call=instances.heartbeat&of=i1", `{"service":"s","address":"h:1",`+field+`}`)
		if w.Code != http.StatusUnprocessableEntity {
			t.Errorf("%s: status %d", field, w.Code)
		}
	}
	if w := serveCall(t.Context(), server, "call=instances.heartbeat&of=i1", strings.Repeat(" ", maxHeartbeatBytes+1)); w.Code != http.StatusRequestEntityTooLarge {
		t.Errorf("too large a body: status %d", w.Code)
	}
}
