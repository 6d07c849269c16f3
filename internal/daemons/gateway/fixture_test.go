package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

const settings = `
self_settings: {node_name: f1, zone: a, ip_address: 127.0.0.1, limits: {memory_mb: 64}}
network_settings: {listen_addresses: {front: "127.0.0.1:1", readiness: "127.0.0.1:2"}, internal_port_range: [7000, 7001], seed_nodes: ["127.0.0.1:3"], zones: {a: r}}
rule_terms: {bounds: {retry_budget_slack: 200}}
`

// testConfig returns a configuration with one route of the given kind and a body limit of 100 bytes.
func testConfig(version int, kind string) []byte {
	return []byte(fmt.Sprintf(`{"version":"%08x","services":[{"name":"svc","cold_per_s":4}],"limits":{"max_body_bytes":100},
"virtual_hosts":[{"hostname":"h.example","path_routes":[{"name":"r","path_prefix":"/x/","kind":%q,"timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`, version, kind))
}

// testConfigWithLimits returns a configuration with one unsafe route and the given limits.
func testConfigWithLimits(version int, limits string) []byte {
	return bytes.Replace(testConfig(version, "unsafe"), []byte(`"max_body_bytes":100`), []byte(limits), 1)
}

// fixture is a gateway without a client listener, and its replicas. Tests call its handler directly.
type fixture struct {
	gateway  *Gateway
	replicas []*upstream.Replica
	requests int
}

func newFixture(kind string, replicas int) *fixture {
	parsed, err := nodesettings.Parse([]byte(settings))
	So(err, ShouldBeNil)
	gateway, err := New(parsed, program.NewLogger(io.Discard, "gateway"))
	So(err, ShouldBeNil)
	gateway.frontServerOnce.Do(func() {}) // keeps applyUpdate from starting the server
	f := &fixture{gateway: gateway}
	update := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: testConfig(1, kind)}
	for i := range replicas {
		replica, err := upstream.Start(fmt.Sprintf("i%d", i))
		So(err, ShouldBeNil)
		f.replicas = append(f.replicas, replica)
		update.Instances = append(update.Instances, instanceOf(replica))
	}
	gateway.applyUpdate(update)
	fillRetryBudget(gateway)
	Reset(func() {
		for _, replica := range f.replicas {
			replica.Close()
		}
	})
	return f
}

// fillRetryBudget simulates traffic to fill the retry budget, which is initially empty.
func fillRetryBudget(gateway *Gateway) {
	const requests = 200
	for range requests {
		gateway.startRequest("svc")
		gateway.endRequest(true, 0, 0)
	}
}

func instanceOf(replica *upstream.Replica) fleet.Instance {
	return fleet.Instance{ID: replica.ID, Service: "svc", Addr: replica.Addr(), Zone: "a", Slots: 4}
}

// request creates a client request with an attempt ID.
func request(ctx context.Context, method, path, body, attemptID string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", attemptID)
	return r
}

func (f *fixture) do(method, path, body string) *httptest.ResponseRecorder {
	f.requests++
	r := request(context.Background(), method, path, body, fmt.Sprint(f.requests))
	r.Header.Set("X-Deadline-Ms", "2000")
	w := httptest.NewRecorder()
	f.gateway.handleRequest(w, r)
	return w
}

// captureLog returns a buffer for what the gateway logs from now on.
func (f *fixture) captureLog() *logBuffer {
	lines := &logBuffer{}
	f.gateway.logger = program.NewLogger(lines, "gateway")
	return lines
}

// setBehaviours sets the next behaviours of every replica.
func (f *fixture) setBehaviours(behaviours ...upstream.Behaviour) {
	for _, replica := range f.replicas {
		replica.SetBehaviours(behaviours...)
	}
}

// lastRequestExecutions returns how often the last request was executed.
func (f *fixture) lastRequestExecutions() (n int) {
	for _, replica := range f.replicas {
		n += replica.Executions()[fmt.Sprint(f.requests)]
	}
	return n
}

// logBuffer is a concurrency-safe buffer for log output.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// startGateway starts a gateway on a loopback port that forwards to the given replicas.
func startGateway(t testing.TB, limits string, replicas ...*upstream.Replica) (addr string, gateway *Gateway, log *logBuffer) {
	t.Helper()
	parsed, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	log = &logBuffer{}
	if gateway, err = New(parsed, program.NewLogger(log, "gateway")); err != nil {
		t.Fatal(err)
	}
	gateway.frontListener = listen(t)
	update := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: testConfigWithLimits(1, limits)}
	for _, replica := range replicas {
		update.Instances = append(update.Instances, instanceOf(replica))
	}
	gateway.applyUpdate(update)
	fillRetryBudget(gateway)
	t.Cleanup(func() { closeQuietly(gateway.server.Load()) })
	return gateway.frontListener.Addr().String(), gateway, log
}

// startReplica starts a replica that is closed at the end of the test.
func startReplica(t testing.TB, id string, next ...upstream.Behaviour) *upstream.Replica {
	t.Helper()
	replica, err := upstream.Start(id, next...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(replica.Close)
	return replica
}

// listen opens a listener on a free loopback port.
func listen(t testing.TB) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// dial opens a client connection.
func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// readWithin sets a read deadline on a connection.
func readWithin(t testing.TB, conn net.Conn, d time.Duration) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		t.Fatal(err)
	}
}

// send writes to a client connection.
func send(t testing.TB, conn net.Conn, format string, args ...any) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, format, args...); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads a complete response. It returns the status and whether the connection is closed after it.
func readResponse(br *bufio.Reader) (status int, last bool, err error) {
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, true, err
	}
	defer closeQuietly(response.Body)
	_, _ = io.Copy(io.Discard, response.Body) // only the status is needed
	return response.StatusCode, response.Close, nil
}

// sendRaw sends raw bytes on a new connection and returns the statuses of all responses until the connection ends.
func sendRaw(t testing.TB, addr, raw string) (statuses []int) {
	t.Helper()
	conn := dial(t, addr)
	defer closeQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(conn, raw) }() // the server may close the connection early
	br := bufio.NewReader(conn)
	for {
		status, last, err := readResponse(br)
		if err != nil {
			return statuses
		}
		if statuses = append(statuses, status); last {
			return statuses
		}
	}
}
