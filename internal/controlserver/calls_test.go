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

	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/program"
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

// newIdleServer makes a comb that runs nothing yet.
func newIdleServer(t testing.TB) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	inner := min(l.Addr().(*net.TCPAddr).Port, 65530)
	l2, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	control := l2.Addr().String()
	l.Close()
	l2.Close()
	dir := filepath.Join(t.TempDir(), "comb")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	set, err := nodesettings.Parse([]byte(fmt.Sprintf(testSettings, dir, control, inner, inner+4, control)))
	if err != nil {
		t.Fatal(err)
	}
	c, err := New(set, program.NewLogger(io.Discard, "comb"))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func serveCall(server *Server, ctx context.Context, query string, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	server.routes().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/api/rpc?"+query, strings.NewReader(body)).WithContext(ctx))
	return w
}

const emptyConfiguration = `{"version":"%08x","services":[],"limits":{},"virtual_hosts":[]}`

// Guards orders against those of earlier callers: one that has given up and called elsewhere finds nothing of its call
// carried out here later, when a comb that was frozen or full of work comes to it. The brain is not there to be asked.
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
		c := newIdleServer(t)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- serveCall(c, ctx, query, body) }()
		f := <-c.tasks // it waits to be carried out
		cancel()
		f()
		<-done
		if len(c.pendingCalls) > 0 {
			t.Errorf("%s: somebody still waits", query)
		}
	}
}

// Guards a replica's beats against one with a number above all later ones.
func TestHeartbeatRejectsInvalidNumbers(t *testing.T) {
	c := newIdleServer(t)
	for _, x := range []string{`"sequence":-5`, `"sequence":"7"`, `"sequence":1e300`, `"slots":-1`, `"slots":9e9`, `"cold_remaining":"-4s"`} {
		w := serveCall(c, context.Background(), "call=instances.heartbeat&of=i1", `{"service":"s","address":"h:1",`+x+`}`)
		if w.Code != http.StatusUnprocessableEntity {
			t.Errorf("%s: %d", x, w.Code)
		}
	}
	if w := serveCall(c, context.Background(), "call=instances.heartbeat&of=i1", strings.Repeat(" ", maxHeartbeatBytes+1)); w.Code != http.StatusRequestEntityTooLarge {
		t.Error(w.Code)
	}
}

// FuzzCalls has a whole comb take calls: it answers each with a status of the protocol, in JSON, and acknowledges no
// configuration that it does not give back.
func FuzzCalls(f *testing.F) {
	c := newIdleServer(f)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx, make(chan os.Signal)) }()
	f.Cleanup(func() { cancel(); <-ended })
	for end := time.Now().Add(10 * time.Second); serveCall(c, ctx, "call=configuration.replace", fmt.Sprintf(emptyConfiguration, 1)).Code != http.StatusOK; {
		if time.Now().After(end) {
			f.Fatal("the comb does not serve")
		}
	}
	for _, x := range [][2]string{
		{"call=instances.heartbeat&of=i1", `{"service":"s","address":"127.0.0.1:9","zone":"a","slots":4,"state":"ready","cold_remaining":"0ms","sequence":4}`},
		{"call=instances.deregister&of=i1", ""}, {"call=configuration.replace", fmt.Sprintf(emptyConfiguration, 9)}, {"call=configuration.describe", ""},
		{"call=evacuations.start&of=a", ""}, {"call=evacuations.finish&of=a", ""}, {"call=windows.command", `{}`}, {"call=windows.describe", ""}, {"call=core.describe", ""}, {"call=x", ""},
	} {
		f.Add(x[0], []byte(x[1]))
	}
	f.Fuzz(func(t *testing.T, query string, body []byte) {
		q := httptest.NewRequest(http.MethodPost, "/api/rpc", bytes.NewReader(body))
		q.URL.RawQuery = query
		w := httptest.NewRecorder()
		c.routes().ServeHTTP(w, q)
		switch w.Code {
		case 200, 400, 404, 409, 412, 413, 422, 503:
		default:
			t.Fatalf("%d for %q %q", w.Code, query, body)
		}
		if !strings.HasPrefix(w.Header().Get("Content-Type"), "application/json") {
			t.Fatalf("%d without JSON for %q %q", w.Code, query, body)
		}
		if w.Code == 200 && q.URL.Query().Get("call") == "configuration.replace" && serveCall(c, ctx, "call=configuration.describe", "").Code != 200 {
			t.Fatalf("acknowledged and not there: %q", body)
		}
	})
}
