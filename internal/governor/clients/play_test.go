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

// inbox hands events to the test.
type inbox struct {
	names
	events chan eventqueue.Input
}

func (x inbox) Post(e eventqueue.Input) { x.events <- e }

func (x inbox) TryPost(e eventqueue.Input) bool {
	select {
	case x.events <- e:
		return true
	default:
		return false
	}
}

// play runs a server with peers of ours and keeps a trace of what each side receives.
type play struct {
	t      *testing.T
	server *Server
	listen *testkit.Listener
	events chan eventqueue.Input
	peers  []*peer
	trace  strings.Builder
}

// peer is our end of a connection, with what it has received.
type peer struct {
	net.Conn
	name  string
	heard chan string
}

// reports is the use that the server makes of batches of single proxies.
var reports = config.ReportsOff

// run plays a script inside a bubble and compares the trace with the one in testdata.
func run(t *testing.T, script func(*play)) {
	t.Helper()
	var got string
	synctest.Test(t, func(t *testing.T) {
		p := &play{t: t, listen: testkit.Listen(), events: make(chan eventqueue.Input, 100)}
		conf := config.Config{Settings: config.Settings{Zones: []string{"a", "b"}, Settings: rules.Settings{Proxies: 5,
			Groups: []rules.TrafficGroup{{Name: "look"}, {Name: "edit"}, {Name: "pay"}}}},
			Bounds: config.Bounds{MaxConnections: 4, MaxFirstMessageBytes: 1 << 10, MaxMessageBytes: 1 << 20, MaxMessageElements: 64, MaxCollectorsPerZone: 2, CollectorIdleTimeout: 5 * time.Second,
				MaxReportedTime: time.Minute, JoinTimeout: 1500 * time.Millisecond, MinEvictionAge: 20 * time.Millisecond, MaxUnsentBytes: 4 << 10, MaxTotalUnsentBytes: 6 << 10, AcknowledgeTimeout: 30 * time.Second,
				WriteTimeout: 10 * time.Second, AcceptRetryDelay: 50 * time.Millisecond, CountLogInterval: 24 * time.Hour}}
		conf.Operator.Intake.ReportsMode = reports
		var log strings.Builder
		p.server = New(conf, zerolog.New(zerolog.SyncWriter(&log)), inbox{events: p.events}, &counts.Counter{})
		go p.server.Serve(p.listen)
		script(p)
		p.settle()
		testkit.Close(t, p.listen)
		p.server.Close()
		got = p.trace.String()
		for line := range strings.Lines(log.String()) {
			if !strings.Contains(line, `"join"`) && !strings.Contains(line, "the governor stops") {
				got += line
			}
		}
	})
	testkit.CompareTrace(t, got)
}

// dial connects a peer; what it says first follows.
func (p *play) dial(name string, messages ...string) *peer {
	c, err := p.listen.Dial(p.t.Context(), "", "")
	if err != nil {
		p.t.Fatal(err)
	}
	q := &peer{Conn: c, name: name, heard: make(chan string, 100)}
	p.peers = append(p.peers, q)
	go func() {
		in := resp.NewReader(c, 1<<20, 1<<10)
		for {
			words, err := in.NextStrings()
			if err != nil {
				q.heard <- "(closed)"
				return
			}
			q.heard <- strings.Join(words, " ")
		}
	}()
	for _, m := range messages {
		p.say(q, m)
	}
	return q
}

// say writes a message of words, then waits until all that it led to has happened.
func (p *play) say(q *peer, message string) {
	p.raw(q, string(resp.Append(nil, strings.Fields(message)...)))
}

// raw writes bytes, then waits until all that they led to has happened.
func (p *play) raw(q *peer, bytes string) {
	_, _ = q.Write([]byte(bytes)) // fails where the other end closes, which the trace shows
	p.settle()
}

// settle writes into the trace what has happened since the last time.
func (p *play) settle() {
	for synctest.Wait(); len(p.events) > 0; synctest.Wait() {
		e := <-p.events
		if e.Batch != nil {
			fmt.Fprintf(&p.trace, "%s %v\n", testkit.TraceValue(*e.Batch), p.server.Accept(e))
			continue
		}
		note := "passed over"
		if p.server.Accept(e) {
			note = "heeded"
		}
		if _, left := e.Event.(rules.Left); left {
			note += ": " + e.Connection.(*conn).closeReason().cause
		}
		fmt.Fprintf(&p.trace, "%s%s %s\n", testkit.TraceType(e.Event), testkit.TraceValue(e.Event), note)
	}
	for _, q := range p.peers {
		for len(q.heard) > 0 {
			fmt.Fprintf(&p.trace, "  %s <- %s\n", q.name, <-q.heard)
		}
	}
}

// order has the server execute orders.
func (p *play) order(orders ...rules.Order) {
	p.server.Execute(orders)
	p.settle()
}

// after lets time pass.
func (p *play) after(d time.Duration) {
	fmt.Fprintf(&p.trace, "after %v\n", d)
	time.Sleep(d) // on the bubble's clock
	p.settle()
}

// note writes a comment into the trace.
func (p *play) note(text string) { fmt.Fprintf(&p.trace, "# %s\n", text) }
