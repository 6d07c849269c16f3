package controlserver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
)

const testSettings = `
self_settings: {node_name: c, role: core, zone: a, region: a, ip_address: 127.0.0.1, first_start: true, data_directory: %q,
  limits: {cpu_share: 2, memory_mb: 256, file_descriptors: 1024, link_mbps: 1000}}
network_settings:
  listen_addresses: {front: "", readiness: "", control: %q}
  internal_port_range: [%d, %d]
  seed_nodes: [%q]
  zones: {a: a}
platform_settings: {heartbeat_interval: 500ms}
rule_terms: {bounds: {grace_period: 1s}}
`

// unusedAddrs returns distinct loopback addresses that are currently free.
func unusedAddrs(t testing.TB, count int) (addrs []*net.TCPAddr) {
	t.Helper()
	var config net.ListenConfig
	for range count {
		listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := listener.Close(); err != nil {
				t.Fatal(err)
			}
		}()
		addrs = append(addrs, listener.Addr().(*net.TCPAddr))
	}
	return addrs
}

// newIdleServer returns a server whose Run has not been called.
func newIdleServer(t testing.TB) *Server {
	t.Helper()
	addrs := unusedAddrs(t, 2)
	firstInternalPort := min(addrs[0].Port, 65530)
	controlAddr := addrs[1].String()
	dir := filepath.Join(t.TempDir(), "member")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	settings, err := nodesettings.Parse(fmt.Appendf(nil, testSettings, dir, controlAddr, firstInternalPort, firstInternalPort+4, controlAddr))
	if err != nil {
		t.Fatal(err)
	}
	server, err := New(settings, program.NewLogger(io.Discard, "controlplane"))
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// serveCall sends a call directly to the server's HTTP handler.
func serveCall(ctx context.Context, server *Server, query string, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	server.routes().ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodPost, "/api/rpc?"+query, strings.NewReader(body)))
	return w
}

const emptyConfiguration = `{"version":"%08x","services":[],"limits":{},"virtual_hosts":[]}`

// TestAbandonedCallIsNotExecuted guards against late execution: a call must not be executed if its caller disconnected while the call was
// queued. The server has no controller here, so executing the call would panic.
func TestAbandonedCallIsNotExecuted(t *testing.T) {
	for query, body := range map[string]string{
		"call=configuration.replace":                 fmt.Sprintf(emptyConfiguration, 7),
		"call=evacuations.start&of=a":                "",
		"call=instances.heartbeat&of=i1":             `{"service":"s","address":"h:1","sequence":4}`,
		"call=instances.deregister&of=i1":            "",
		"call=windows.command":                       "{}",
		"call=configuration.describe":                "",
		"call=evacuations.finish&of=a&something=too": "",
	} {
		server := newIdleServer(t)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- serveCall(ctx, server, query, body) }()
		task := <-server.tasks
		cancel()
		task()
		<-done
		if len(server.pendingCalls) > 0 {
			t.Errorf("%s: the call is still pending", query)
		}
	}
}

// FuzzCalls checks that every call gets a JSON response with a status of the protocol, and that a configuration can be read once it has been
// acknowledged.
func FuzzCalls(f *testing.F) {
	server := newIdleServer(f)
	ctx, cancel := context.WithCancel(f.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run(ctx, make(chan os.Signal)) }()
	f.Cleanup(func() {
		cancel()
		if err := <-runErr; err != nil {
			f.Error(err)
		}
	})
	for deadline := time.Now().Add(10 * time.Second); serveCall(ctx, server, "call=configuration.replace", fmt.Sprintf(emptyConfiguration, 1)).Code != http.StatusOK; {
		if time.Now().After(deadline) {
			f.Fatal("the server did not become ready within 10 s")
		}
	}
	for _, call := range []struct{ query, body string }{
		{"call=instances.heartbeat&of=i1", `{"service":"s","address":"127.0.0.1:9","zone":"a","slots":4,"state":"ready","cold_remaining":"0ms","sequence":4}`},
		{"call=instances.deregister&of=i1", ""}, {"call=configuration.replace", fmt.Sprintf(emptyConfiguration, 9)}, {"call=configuration.describe", ""},
		{"call=evacuations.start&of=a", ""}, {"call=evacuations.finish&of=a", ""}, {"call=windows.command", `{}`}, {"call=windows.describe", ""}, {"call=core.describe", ""}, {"call=x", ""},
	} {
		f.Add(call.query, []byte(call.body))
	}
	f.Fuzz(func(t *testing.T, query string, body []byte) {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/api/rpc", bytes.NewReader(body))
		request.URL.RawQuery = query
		w := httptest.NewRecorder()
		server.routes().ServeHTTP(w, request)
		switch w.Code {
		case 200, 400, 404, 409, 412, 413, 422, 503:
		default:
			t.Fatalf("unexpected status %d for query %q, body %q", w.Code, query, body)
		}
		if !strings.HasPrefix(w.Header().Get("Content-Type"), "application/json") {
			t.Fatalf("status %d without a JSON body for query %q, body %q", w.Code, query, body)
		}
		if w.Code == 200 && request.URL.Query().Get("call") == "configuration.replace" && serveCall(ctx, server, "call=configuration.describe", "").Code != 200 {
			t.Fatalf("an acknowledged configuration cannot be read: %q", body)
		}
	})
}
