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
	crowdDescriptors = 200 // of the gateway, by its settings
	crowdSize        = 160 // callers that hold connections: more than there is room for
)

// crowd holds connections of a gateway in one way until stop is closed.
type crowd struct {
	name string
	hold func(conn net.Conn, stop <-chan struct{})
}

// crowds are the ways in which callers take up a gateway's connections. Ordinary clients do some of it too.
var crowds = []crowd{
	{"silent", func(_ net.Conn, stop <-chan struct{}) { <-stop }},
	{"half a head", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h.exa") // the gateway may have closed it
		<-stop
	}},
	{"a head byte by byte", func(conn net.Conn, stop <-chan struct{}) {
		drip(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\n", stop)
	}},
	{"a body byte by byte", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: drip\r\nContent-Length: 900\r\n\r\n") // as above
		drip(conn, strings.Repeat("b", 900), stop)
	}},
	{"at rest after a response", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, crowdRequest("rest", "2")) // as above
		_, _, _ = readResponse(bufio.NewReader(conn))
		<-stop
	}},
	{"a response left unread", func(conn net.Conn, stop <-chan struct{}) {
		_, _ = io.WriteString(conn, crowdRequest("unread", "2")) // as above
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

func crowdRequest(id, body string) string {
	return fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// drip sends a text at five bytes a second.
func drip(conn net.Conn, text string, stop <-chan struct{}) {
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

// crowdedGateway is a gateway with few descriptors before one replica.
func crowdedGateway(t testing.TB) (address string, gateway *Gateway) {
	t.Helper()
	replica := startReplica(t, "i0")
	parsed, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	parsed.FileDescriptors = crowdDescriptors
	if gateway, err = New(parsed, program.NewLogger(io.Discard, "gateway")); err != nil {
		t.Fatal(err)
	}
	gateway.frontListener = listen(t)
	gateway.applyUpdate(crowdedUpdate(replica))
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

func crowdedUpdate(replica *upstream.Replica) *messages.StateUpdate {
	update := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, GatewayCount: 1,
		Config: limited(1, `"header_timeout":"3s","idle_timeout":"15s","max_body_bytes":1000`)}
	instance := instanceOf(replica)
	instance.Slots = 1000
	update.Instances = append(update.Instances, instance)
	return update
}

// gather has a crowd take all connections that the gateway has to give.
func gather(t testing.TB, crowd crowd, address string, gateway *Gateway) (disperse func()) {
	t.Helper()
	stop := make(chan struct{})
	conns := make([]net.Conn, crowdSize)
	for i := range conns {
		conns[i] = dial(t, address)
		go crowd.hold(conns[i], stop)
	}
	if crowd.name != "connect and reset" && !until(func() bool { return gateway.frontConns.OpenCount() >= gateway.frontConns.Limit()*7/8 }) {
		t.Fatalf("%s: %d connections are open", crowd.name, gateway.frontConns.OpenCount())
	}
	return func() {
		close(stop)
		for _, conn := range conns {
			closeQuietly(conn)
		}
	}
}

// keptClient sends its requests on one connection for as long as the gateway keeps it.
type keptClient struct {
	t       testing.TB
	address string
	conn    net.Conn
}

func newKeptClient(t testing.TB, address string) *keptClient {
	client := &keptClient{t: t, address: address, conn: dial(t, address)}
	client.ask("first")
	return client
}

// ask sends a request, which must be answered: a connection in use is not closed but with a response that says so.
func (c *keptClient) ask(id string) {
	if _, err := io.WriteString(c.conn, crowdRequest(id, "ab")); err != nil {
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

// firstByte sends a request on a connection and returns how long its response took to begin; not ok: it did not within a second, or was none.
func firstByte(conn net.Conn, id string) (took time.Duration, ok bool) {
	began := time.Now()
	if _, err := io.WriteString(conn, crowdRequest(id, "ab")); err != nil {
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

// TestCrowdsDoNotShutOthersOut guards clients against others that hold the gateway's connections, in whatever way: each sound request, on a new
// connection or on a kept one in use, is answered within the second that its client waits. Once the crowd has left, so have its connections.
func TestCrowdsDoNotShutOthersOut(t *testing.T) {
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			address, gateway := crowdedGateway(t)
			before := openFiles(t)
			disperse := gather(t, crowd, address, gateway)
			kept := newKeptClient(t, address) // one that rested before may be closed by the crowd that rests after it
			for i := range 30 {
				fresh := dial(t, address)
				if _, ok := firstByte(fresh, fmt.Sprint("new", i)); !ok {
					t.Errorf("request %d on a new connection is not answered", i)
				}
				closeQuietly(fresh)
				kept.ask(fmt.Sprint("kept", i))
			}
			disperse()
			closeQuietly(kept.conn)
			if !until(func() bool { return gateway.frontConns.OpenCount() == 0 }) {
				t.Errorf("%d connections stay", gateway.frontConns.OpenCount())
			}
			gateway.pool.CloseIdle("i0")
			if !until(func() bool { return openFiles(t) <= before }) {
				t.Errorf("%d files are open, %d before", openFiles(t), before)
			}
			if gateway.heads.Used()+gateway.bodies.Used() != 0 {
				t.Error("memory of heads and bodies stays reserved:", gateway.heads.Used(), gateway.bodies.Used())
			}
		})
	}
}

// BenchmarkCrowds compares the time until the first byte of sound requests, each on a new connection, without a crowd and beside one: the ninety-ninth
// hundredth in milliseconds, and how many were not answered within a second.
func BenchmarkCrowds(b *testing.B) {
	for _, crowd := range append([]crowd{{name: "none"}}, crowds...) {
		b.Run(crowd.name, func(b *testing.B) {
			address, gateway := crowdedGateway(b)
			if crowd.hold != nil {
				defer gather(b, crowd, address, gateway)()
			}
			var times []time.Duration
			failed := 0
			for i := range b.N {
				conn := dial(b, address)
				began := time.Now()
				if _, ok := firstByte(conn, fmt.Sprint(i)); ok {
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

// TestHeadsHoldBoundedMemory guards the gateway's memory against many callers with long heads that never end.
func TestHeadsHoldBoundedMemory(t *testing.T) {
	address, gateway := crowdedGateway(t)
	long := "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Long: " + strings.Repeat("z", 60<<10)
	memory := float64(int64(64) << 20)
	limit := int64(memory * headMemoryShare)
	for range 60 {
		conn := dial(t, address)
		defer closeQuietly(conn)
		send(t, conn, "%s", long)
	}
	if !until(func() bool { return strings.Contains(gateway.counters.String(), string(countHeadMemoryFull)) }) {
		t.Fatal("no head was turned away:", gateway.heads.Used(), "bytes")
	}
	if used := gateway.heads.Used(); used > limit {
		t.Errorf("heads hold %d bytes of %d", used, limit)
	}
	conn := dial(t, address)
	defer closeQuietly(conn)
	if _, ok := firstByte(conn, "sound"); !ok {
		t.Error("a short head is not served beside them")
	}
}

// TestReadinessIsServedBesideSilentCallers guards the platform's view of the gateway: its readiness port had no bound on connections.
func TestReadinessIsServedBesideSilentCallers(t *testing.T) {
	readiness := freeAddress(t).String()
	parsed, err := nodesettings.Parse(fmt.Appendf(nil, settingsOfCutOffGateway, freeAddress(t).String(), readiness, 7000, 7001))
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
