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
	exhaustionDescriptors = 200 // of the gateway, by its settings
	hogCount              = 160 // callers that hold connections: more than there is room for
)

// connectionHog holds connections of a gateway in one way until stop is closed.
type connectionHog struct {
	name string
	hold func(conn net.Conn, stop <-chan struct{})
}

// connectionHogs are the ways in which callers take up a gateway's connections. Ordinary clients do some of it too.
var connectionHogs = []connectionHog{
	{"silent", func(_ net.Conn, stop <-chan struct{}) { <-stop }},
	{"half a head", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h.exa") // the gateway may have closed it
		<-stop
	}},
	{"a head byte by byte", func(conn net.Conn, stop <-chan struct{}) {
		sendSlowly(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\n", stop)
	}},
	{"a body byte by byte", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: drip\r\nContent-Length: 900\r\n\r\n") // as above
		sendSlowly(conn, strings.Repeat("b", 900), stop)
	}},
	{"at rest after a response", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, rawPost("rest", "2")) // as above
		_, _, _ = readResponse(bufio.NewReader(conn))
		<-stop
	}},
	{"a response left unread", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, rawPost("unread", "2")) // as above
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

// sendSlowly sends a text at five bytes a second.
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

// startSmallGateway is a gateway with few descriptors before one replica.
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
	go func() { // two seconds without an update, a gateway sends replicas less
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

// occupyConnections has a crowd take all connections that the gateway has to give.
func occupyConnections(t testing.TB, crowd connectionHog, address string, gateway *Gateway) (disperse func()) {
	t.Helper()
	stop := make(chan struct{})
	conns := make([]net.Conn, hogCount)
	for i := range conns {
		conns[i] = dial(t, address)
		go crowd.hold(conns[i], stop)
	}
	if crowd.name != "connect and reset" && !waitUntil(func() bool { return gateway.frontConns.OpenCount() >= gateway.frontConns.Limit()*7/8 }) {
		t.Fatalf("%s: %d connections are open", crowd.name, gateway.frontConns.OpenCount())
	}
	return func() {
		close(stop)
		for _, conn := range conns {
			closeQuietly(conn)
		}
	}
}

// persistentClient sends its requests on one connection for as long as the gateway keeps it.
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

// expectOK sends a request, which must be answered: a connection in use is not closed but with a response that says so.
func (c *persistentClient) expectOK(id string) {
	if _, err := io.WriteString(c.conn, rawPost(id, "ab")); err != nil {
		c.t.Errorf("%s: %v", id, err)
	}
	readWithin(c.t, c.conn, time.Second)
	status, last, err := readResponse(bufio.NewReader(c.conn))
	if err != nil || status != http.StatusOK {
		c.t.Errorf("%s on a kept connection: %d, %v", id, status, err)
	}
	if last || err != nil {
		closeQuietly(c.conn)
		c.conn = dial(c.t, c.address)
	}
}

// timeRequest sends a request on a connection and returns how long its response took to begin; not ok: it did not within a second, or was none.
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

// TestConnectionHogsDoNotBlockOtherClients guards clients against others that hold the gateway's connections, in whatever way: each sound request, on a new
// connection or on a kept one in use, is answered within the second that its client waits. Once the crowd has left, so have its connections.
func TestConnectionHogsDoNotBlockOtherClients(t *testing.T) {
	for _, crowd := range connectionHogs {
		t.Run(crowd.name, func(t *testing.T) {
			address, gateway := startSmallGateway(t)
			before := openFiles(t)
			disperse := occupyConnections(t, crowd, address, gateway)
			kept := newPersistentClient(t, address) // one that rested before may be closed by the crowd that rests after it
			for i := range 30 {
				fresh := dial(t, address)
				if _, ok := timeRequest(fresh, fmt.Sprint("new", i)); !ok {
					t.Errorf("request %d on a new connection is not answered", i)
				}
				closeQuietly(fresh)
				kept.expectOK(fmt.Sprint("kept", i))
			}
			disperse()
			closeQuietly(kept.conn)
			if !waitUntil(func() bool { return gateway.frontConns.OpenCount() == 0 }) {
				t.Errorf("%d connections stay", gateway.frontConns.OpenCount())
			}
			gateway.pool.CloseIdle("i0")
			if !waitUntil(func() bool { return openFiles(t) <= before }) {
				t.Errorf("%d files are open, %d before", openFiles(t), before)
			}
			if gateway.headBudget.Used()+gateway.bodyBudget.Used() != 0 {
				t.Error("memory of heads and bodies stays reserved:", gateway.headBudget.Used(), gateway.bodyBudget.Used())
			}
		})
	}
}

// BenchmarkConnectionHogs compares the time until the first byte of sound requests, each on a new connection, without a crowd and beside one: the ninety-ninth
// hundredth in milliseconds, and how many were not answered within a second.
func BenchmarkConnectionHogs(b *testing.B) {
	for _, crowd := range append([]connectionHog{{name: "none"}}, connectionHogs...) {
		b.Run(crowd.name, func(b *testing.B) {
			address, gateway := startSmallGateway(b)
			if crowd.hold != nil {
				defer occupyConnections(b, crowd, address, gateway)()
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

// TestHeadMemoryIsBounded guards the gateway's memory against many callers with long heads that never end.
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
		t.Fatal("no head was turned away:", gateway.headBudget.Used(), "bytes")
	}
	if used := gateway.headBudget.Used(); used > limit {
		t.Errorf("heads hold %d bytes of %d", used, limit)
	}
	conn := dial(t, address)
	defer closeQuietly(conn)
	if _, ok := timeRequest(conn, "sound"); !ok {
		t.Error("a short head is not served beside them")
	}
}

// TestReadinessWithSilentConnections guards the platform's view of the gateway: its readiness port had no bound on connections.
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
