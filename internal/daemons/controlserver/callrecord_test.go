package controlserver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestRefusedCallIsLoggedAndCounted checks that a refused call is logged with its reason, and that the metrics endpoint reports calls by status
// and the member's state.
func TestRefusedCallIsLoggedAndCounted(t *testing.T) {
	server := newIdleServer(t)
	var logs syncBuffer
	server.logger = program.NewLogger(&logs, "controlplane")
	server.settings.Metrics = nodesettings.MetricsEndpoint{Port: uint16(unusedAddrs(t, 1)[0].Port), Path: "/metrics"}
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run(ctx, make(chan os.Signal)) }()
	first := fmt.Sprintf(emptyConfiguration, 7)
	for deadline := time.Now().Add(10 * time.Second); serveCall(ctx, server, "call=configuration.replace", first).Code != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("the server did not become ready within 10 s")
		}
	}
	if code := serveCall(ctx, server, "call=configuration.replace", first+" ").Code; code != http.StatusConflict {
		t.Fatalf("different configuration with an existing version: got status %d, want 409", code)
	}
	for _, part := range []string{"event=call_refused", "call=configuration.replace", "status=409", `reason="another configuration holds this version"`} {
		if !strings.Contains(logs.String(), part) {
			t.Errorf("the log does not contain %q:\n%s", part, logs.String())
		}
	}
	metrics := fetchMetrics(ctx, t, fmt.Sprintf("http://127.0.0.1:%d/metrics", server.settings.Metrics.Port))
	for _, part := range []string{
		`zincloft_controlplane_calls_total{call="configuration.replace",status="409"} 1`, "zincloft_controlplane_config_version 7",
		"zincloft_controlplane_quorum_contact 1", "zincloft_controlplane_responsive 1", `zincloft_invariant_violations_total{name="view_number_monotonic"} 0`,
	} {
		if !strings.Contains(metrics, part) {
			t.Errorf("the metrics do not contain %q:\n%s", part, metrics)
		}
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

func fetchMetrics(ctx context.Context, t *testing.T, url string) string {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
