package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

const (
	exhaustionDescriptors = 200 // file descriptors in the gateway's settings
	hogCount              = 160 // more than the gateway's connection limit for clients
)

// connectionHog is a kind of client that occupies a connection until stop is closed.
type connectionHog struct {
	name string
	hold func(conn net.Conn, stop <-chan struct{})
}

// connectionHogs lists client behaviours that exhaust connections. Some of them are also seen from well-behaved clients.
var connectionHogs = []connectionHog{
	{"silent", func(_ net.Conn, stop <-chan struct{}) { <-stop }},
	{"half a head", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h.exa") // the gateway may have closed the connection
		<-stop
	}},
	{"a head byte by byte", func(conn net.Conn, stop <-chan struct{}) {
		sendSlowly(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\n", stop)
	}},
	{"a body byte by byte", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: slow\r\nContent-Length: 900\r\n\r\n") // the gateway may have closed it
		sendSlowly(conn, strings.Repeat("b", 900), stop)
	}},
	{"idle after a response", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, rawPost("idle", "2")) // the gateway may have closed it
		_, _, _ = readResponse(bufio.NewReader(conn))
		<-stop
	}},
	{"unread response", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, rawPost("unread", "2")) // the gateway may have closed it
		<-stop
	}},
	{"connect and reset", func(conn net.Conn, stop <-chan struct{}) {
		address := conn.RemoteAddr().String()
		for open := true; open; {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails on a closed connection only
			closeQuietly(conn)
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			next, err := net.DialTimeout("tcp", address, time.Second)
			if open = err == nil; open {
				conn = next
			}
		}
	}},
}

func rawPost(id, body string) string {
	return fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// sendSlowly sends a text at five bytes per second and then waits for stop.
func sendSlowly(conn net.Conn, text string, stop <-chan struct{}) {
	for _, b := range []byte(text) {
		if _, err := conn.Write([]byte{b}); err != nil {
			break
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
	<-stop
}

// startSmallGateway starts a gateway with few file descriptors and one replica.
func startSmallGateway(t testing.TB) (address string, gateway *Gateway) {
	t.Helper()
	replica := startReplica(t, "i0")
	parsed, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	parsed.FileDescriptors = exhaustionDescriptors
	if gateway, err = New(parsed, program.NewLogger(io.Discard, "gateway")); err != nil {
		t.Fatal(err)
	}
	gateway.frontListener = listen(t)
	gateway.applyUpdate(smallGatewayUpdate(replica))
	t.Cleanup(func() { closeQuietly(gateway.server.Load()) })
	stopUpdates := make(chan struct{})
	go func() { // without updates for two seconds the gateway limits its traffic
		for sequence := uint64(2); ; sequence++ {
			select {
			case <-stopUpdates:
				return
			case <-time.After(300 * time.Millisecond):
				gateway.applyUpdate(&messages.StateUpdate{Sequence: sequence, ConfigVersion: 1})
			}
		}
	}()
	t.Cleanup(func() { close(stopUpdates) })
	return gateway.frontListener.Addr().String(), gateway
}

func smallGatewayUpdate(replica *upstream.Replica) *messages.StateUpdate {
	update := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, GatewayCount: 1,
		Config: testConfigWithLimits(1, `"header_timeout":"3s","idle_timeout":"15s","max_body_bytes":1000`)}
	instance := instanceOf(replica)
	instance.Slots = 1000
	update.Instances = append(update.Instances, instance)
	return update
}

// occupyConnections opens more connections than the gateway's limit and waits until most of the limit is in use.
func occupyConnections(t testing.TB, hog connectionHog, address string, gateway *Gateway) (release func()) {
	t.Helper()
	stop := make(chan struct{})
	conns := make([]net.Conn, hogCount)
	for i := range conns {
		conns[i] = dial(t, address)
		go hog.hold(conns[i], stop)
	}
	if hog.name != "connect and reset" && !waitUntil(func() bool { return gateway.frontConns.OpenCount() >= gateway.frontConns.Limit()*7/8 }) {
		t.Fatalf("%s: %d connections are open", hog.name, gateway.frontConns.OpenCount())
	}
	return func() {
		close(stop)
		for _, conn := range conns {
			closeQuietly(conn)
		}
	}
}

// persistentClient sends requests on one connection until the gateway closes it.
type persistentClient struct {
	t       testing.TB
	address string
	conn    net.Conn
}

func newPersistentClient(t testing.TB, address string) *persistentClient {
	client := &persistentClient{t: t, address: address, conn: dial(t, address)}
	client.expectOK("first")
	return client
}

// expectOK sends a request that must succeed. The gateway may close the connection only with a Connection: close response.
func (c *persistentClient) expectOK(id string) {
	if _, err := io.WriteString(c.conn, rawPost(id, "ab")); err != nil {
		c.t.Errorf("%s: %v", id, err)
	}
	readWithin(c.t, c.conn, time.Second)
	status, last, err := readResponse(bufio.NewReader(c.conn))
	if err != nil || status != http.StatusOK {
		c.t.Errorf("%s on a persistent connection: %d, %v", id, status, err)
	}
	if last || err != nil {
		closeQuietly(c.conn)
		c.conn = dial(c.t, c.address)
	}
}

// timeRequest sends a request and returns the time until its response. ok is false without a 200 within a second.
func timeRequest(conn net.Conn, id string) (took time.Duration, ok bool) {
	began := time.Now()
	if _, err := io.WriteString(conn, rawPost(id, "ab")); err != nil {
		return 0, false
	}
	if conn.SetReadDeadline(began.Add(time.Second)) != nil {
		return 0, false
	}
	status, _, err := readResponse(bufio.NewReader(conn))
	return time.Since(began), err == nil && status == http.StatusOK
}

func openFiles(t testing.TB) int {
	t.Helper()
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}

// TestConnectionHogsDoNotBlockOtherClients guards against clients that occupy all connections: well-behaved requests, on new and
// persistent connections, must be answered within a second. Afterwards no connection, descriptor or memory may leak.
func TestConnectionHogsDoNotBlockOtherClients(t *testing.T) {
	for _, hog := range connectionHogs {
		t.Run(hog.name, func(t *testing.T) {
			address, gateway := startSmallGateway(t)
			before := openFiles(t)
			release := occupyConnections(t, hog, address, gateway)
			persistent := newPersistentClient(t, address) // opened last, as older idle connections may be closed
			for i := range 30 {
				fresh := dial(t, address)
				if _, ok := timeRequest(fresh, fmt.Sprint("new", i)); !ok {
					t.Errorf("request %d on a new connection was not answered", i)
				}
				closeQuietly(fresh)
				persistent.expectOK(fmt.Sprint("persistent", i))
			}
			release()
			closeQuietly(persistent.conn)
			if !waitUntil(func() bool { return gateway.frontConns.OpenCount() == 0 }) {
				t.Errorf("%d connections are still open", gateway.frontConns.OpenCount())
			}
			gateway.pool.CloseIdle("i0")
			if !waitUntil(func() bool { return openFiles(t) <= before }) {
				t.Errorf("%d files are open, %d before", openFiles(t), before)
			}
			if gateway.headBudget.Used()+gateway.bodyBudget.Used() != 0 {
				t.Error("memory of heads and bodies is still reserved:", gateway.headBudget.Used(), gateway.bodyBudget.Used())
			}
		})
	}
}

// BenchmarkConnectionHogs measures requests on new connections with and without clients that occupy connections. It reports the
// 99th percentile of the response time and the number of requests not answered within a second.
func BenchmarkConnectionHogs(b *testing.B) {
	for _, hog := range append([]connectionHog{{name: "none"}}, connectionHogs...) {
		b.Run(hog.name, func(b *testing.B) {
			address, gateway := startSmallGateway(b)
			if hog.hold != nil {
				defer occupyConnections(b, hog, address, gateway)()
			}
			var times []time.Duration
			failed := 0
			for i := range b.N {
				conn := dial(b, address)
				began := time.Now()
				if _, ok := timeRequest(conn, fmt.Sprint(i)); ok {
					times = append(times, time.Since(began))
				} else {
					failed++
				}
				closeQuietly(conn)
			}
			slices.Sort(times)
			if len(times) > 0 {
				b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
			}
			b.ReportMetric(float64(failed), "unanswered")
		})
	}
}

// TestHeadMemoryIsBounded guards against memory exhaustion by many connections with long incomplete heads.
func TestHeadMemoryIsBounded(t *testing.T) {
	address, gateway := startSmallGateway(t)
	long := "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: " + strings.Repeat("z", 60<<10)
	memory := float64(int64(64) << 20)
	limit := int64(memory * headMemoryShare)
	for range 60 {
		conn := dial(t, address)
		defer closeQuietly(conn)
		send(t, conn, "%s", long)
	}
	if !waitUntil(func() bool { return strings.Contains(gateway.counters.String(), string(countHeadMemoryFull)) }) {
		t.Fatal("no head was rejected:", gateway.headBudget.Used(), "bytes")
	}
	if used := gateway.headBudget.Used(); used > limit {
		t.Errorf("heads hold %d bytes of %d", used, limit)
	}
	conn := dial(t, address)
	defer closeQuietly(conn)
	if _, ok := timeRequest(conn, "short"); !ok {
		t.Error("a request with a short head was not served")
	}
}

// TestReadinessWithSilentConnections guards readiness checks against clients that hold all connections of the readiness port.
func TestReadinessWithSilentConnections(t *testing.T) {
	readiness := freeAddress(t).String()
	parsed, err := nodesettings.Parse(fmt.Appendf(nil, isolatedGatewaySettings, freeAddress(t).String(), readiness, 7000, 7001))
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := New(parsed, program.NewLogger(io.Discard, "gateway"))
	if err != nil {
		t.Fatal(err)
	}
	server, err := gateway.listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(server)
	for range 4 * gateway.readinessConns.Limit() {
		silent := dial(t, readiness)
		defer closeQuietly(silent)
	}
	conn := dial(t, readiness)
	defer closeQuietly(conn)
	send(t, conn, "GET /api/readiness HTTP/1.1\r\nHost: g\r\n\r\n")
	readWithin(t, conn, time.Second)
	if status, _, err := readResponse(bufio.NewReader(conn)); err != nil || status != http.StatusServiceUnavailable {
		t.Error(status, err)
	}
	if open := gateway.readinessConns.OpenCount(); open > gateway.readinessConns.Limit() {
		t.Error(open, "connections are open")
	}
}
