package clients

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/counts"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/internal/governor/resp"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

// names knows the replicas r0 to r9.
type names struct{}

func (names) ID(name []byte) (rules.ReplicaID, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(string(name), "r"))
	return rules.ReplicaID(n), err == nil && n < 10
}

func (names) Name(id rules.ReplicaID) (string, bool) { return fmt.Sprint("r", id), id < 10 }

// inbox hands inputs to the test.
type inbox struct {
	names
	inputs chan eventqueue.Input
}

func (x inbox) Post(e eventqueue.Input) { x.inputs <- e }

func (x inbox) TryPost(e eventqueue.Input) bool {
	select {
	case x.inputs <- e:
		return true
	default:
		return false
	}
}

// harness runs a server with test peers and records what each side receives as a trace.
type harness struct {
	t      *testing.T
	server *Server
	listen *testkit.Listener
	inputs chan eventqueue.Input
	peers  []*peer
	trace  strings.Builder
}

// peer is the test's end of a connection.
type peer struct {
	net.Conn
	name     string
	received chan string
}

// reportsMode is the server's setting of intake.reports.
var reportsMode = config.ReportsOff

// run runs a script under a fake clock and compares its trace with the one in testdata.
func run(t *testing.T, script func(*harness)) {
	t.Helper()
	var got string
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, listen: testkit.Listen(), inputs: make(chan eventqueue.Input, 100)}
		conf := config.Config{Settings: config.Settings{Zones: []string{"a", "b"}, Settings: rules.Settings{Proxies: 5,
			Groups: []rules.TrafficGroup{{Name: "look"}, {Name: "edit"}, {Name: "pay"}}}},
			Bounds: config.Bounds{MaxConnections: 4, MaxFirstMessageBytes: 1 << 10, MaxMessageBytes: 1 << 20, MaxMessageElements: 64, MaxCollectorsPerZone: 2, CollectorIdleTimeout: 5 * time.Second,
				MaxReportedTime: time.Minute, JoinTimeout: 1500 * time.Millisecond, MinEvictionAge: 20 * time.Millisecond, MaxUnsentBytes: 4 << 10, MaxTotalUnsentBytes: 6 << 10, AcknowledgeTimeout: 30 * time.Second,
				WriteTimeout: 10 * time.Second, AcceptRetryDelay: 50 * time.Millisecond, CountLogInterval: 24 * time.Hour}}
		conf.Operator.Intake.ReportsMode = reportsMode
		var log strings.Builder
		h.server = New(conf, zerolog.New(zerolog.SyncWriter(&log)), inbox{inputs: h.inputs}, &counts.Counter{})
		go h.server.Serve(h.listen)
		script(h)
		h.settle()
		testkit.Close(t, h.listen)
		h.server.Close()
		got = h.trace.String()
		for line := range strings.Lines(log.String()) {
			if !strings.Contains(line, `"join"`) && !strings.Contains(line, "the governor stops") {
				got += line
			}
		}
	})
	testkit.CompareTrace(t, got)
}

// dial connects a peer and sends its first messages.
func (h *harness) dial(name string, messages ...string) *peer {
	c, err := h.listen.Dial(h.t.Context(), "", "")
	if err != nil {
		h.t.Fatal(err)
	}
	p := &peer{Conn: c, name: name, received: make(chan string, 100)}
	h.peers = append(h.peers, p)
	go func() {
		in := resp.NewReader(c, 1<<20, 1<<10)
		for {
			words, err := in.NextStrings()
			if err != nil {
				p.received <- "(closed)"
				return
			}
			p.received <- strings.Join(words, " ")
		}
	}()
	for _, m := range messages {
		h.send(p, m)
	}
	return p
}

// send writes a message, given as words, and waits until it has been processed.
func (h *harness) send(p *peer, message string) {
	h.sendRaw(p, string(resp.Append(nil, strings.Fields(message)...)))
}

// sendRaw writes bytes and waits until they have been processed.
func (h *harness) sendRaw(p *peer, bytes string) {
	_, _ = p.Write([]byte(bytes)) // fails if the server has closed the connection, which the trace shows
	h.settle()
}

// settle waits until nothing more happens and records what has happened since the previous call.
func (h *harness) settle() {
	for synctest.Wait(); len(h.inputs) > 0; synctest.Wait() {
		e := <-h.inputs
		if e.Batch != nil {
			fmt.Fprintf(&h.trace, "%s %v\n", testkit.TraceValue(*e.Batch), h.server.Accept(e))
			continue
		}
		note := "passed over"
		if h.server.Accept(e) {
			note = "heeded"
		}
		if _, left := e.Event.(rules.Left); left {
			note += ": " + e.Connection.(*conn).closeReason().cause
		}
		fmt.Fprintf(&h.trace, "%s%s %s\n", testkit.TraceType(e.Event), testkit.TraceValue(e.Event), note)
	}
	for _, p := range h.peers {
		for len(p.received) > 0 {
			fmt.Fprintf(&h.trace, "  %s <- %s\n", p.name, <-p.received)
		}
	}
}

// execute makes the server execute orders.
func (h *harness) execute(orders ...rules.Order) {
	h.server.Execute(orders)
	h.settle()
}

// advance advances the fake clock.
func (h *harness) advance(d time.Duration) {
	fmt.Fprintf(&h.trace, "after %v\n", d)
	time.Sleep(d)
	h.settle()
}

// note adds a comment to the trace.
func (h *harness) note(text string) { fmt.Fprintf(&h.trace, "# %s\n", text) }
