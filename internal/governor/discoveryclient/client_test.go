package discoveryclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

// action is how the fake discovery handles one request.
type action func(c *Client, w http.ResponseWriter, r *http.Request)

func answers(version int, full bool, servers ...string) action {
	return func(_ *Client, w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(servers, ","))
	}
}

// after delays an action. It skips the action if the client cancels the request first.
func after(d time.Duration, a action) action {
	return func(c *Client, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			a(c, w, r)
		case <-r.Context().Done():
		}
	}
}

// movesTo changes the address while a request to the previous one is pending.
func movesTo(address string) action {
	return func(c *Client, _ http.ResponseWriter, r *http.Request) {
		c.SetAddress(address)
		<-r.Context().Done()
	}
}

func server(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":"10.1.0.18:3000","zone":"b","kind":"m2","cell":3,"state":%q,"weight":1.5,"started_ms":7}`, id, state)
}

// runWatch runs a client against a fake discovery that takes these actions, one per request, and compares the client's
// requests and events with the trace in testdata. A second after each failure the watch is started again. Connections are
// accepted only after the time down.
func runWatch(t *testing.T, known string, down time.Duration, actions ...action) {
	t.Helper()
	var trace strings.Builder
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lines, failed := make(chan string, 100), make(chan struct{}, 100)
		c := New(ctx, config.Config{Discovery: "10.2.0.1:8500", Settings: config.Settings{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}},
			Bounds: config.Bounds{DiscoveryWait: 20 * time.Second, DiscoveryCallMargin: 2 * time.Second, MaxDiscoveryBytes: 2000}}, zerolog.Nop(),
			func(e rules.List) {
				lines <- fmt.Sprintf("  heard %+v", e)
				if e.Scope == rules.Failed {
					failed <- struct{}{}
				}
			})
		socket := testkit.Listen()
		c.dial = socket.Dial
		c.SetAddress("10.2.0.1:8500")
		start, connections, finished := time.Now(), atomic.Int32{}, atomic.Bool{}
		s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			lines <- fmt.Sprintf("%v call %s of %s", time.Since(start), r.URL, r.Host)
			if len(actions) == 0 {
				finished.Store(true)
				<-r.Context().Done()
				return
			}
			a := actions[0]
			actions = actions[1:]
			a(c, w, r)
		}), ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				connections.Add(1)
			}
		}}
		time.AfterFunc(down, func() { _ = s.Serve(socket) })
		if known != "" {
			first, err := c.LoadCachedList([]byte(known))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&trace, "known %+v\n", first)
		}
		c.Watch(true)
		for !finished.Load() {
			time.Sleep(100 * time.Millisecond) // fake clock
			synctest.Wait()
			if len(failed) > 0 {
				<-failed
				time.AfterFunc(time.Second, func() { c.Watch(true) })
			}
		}
		for len(lines) > 0 {
			fmt.Fprintln(&trace, <-lines)
		}
		fmt.Fprintf(&trace, "%d connections\n", connections.Load())
		name, found := c.Name(0)
		id, back := c.ID([]byte(name))
		fmt.Fprintf(&trace, "first name %q %v, back to %d %v\n", name, found, id, back)
		cancel()
		c.Wait()
		testkit.Close(t, &s)
	})
	testkit.CompareTrace(t, trace.String())
}

const cachedList = `{"version":41,"full":true,"servers":[{"id":"s-1","zone":"a","kind":"m1","cell":1,"state":"ready","started_ms":0}]}`

// TestWatch follows the list from a cached version through changes, an answer without changes, and a full list.
func TestWatch(t *testing.T) {
	runWatch(t, cachedList, 0, answers(41, false), after(3*time.Second, answers(42, false, server("s-2", "ready"))),
		after(20*time.Second, answers(42, false)), answers(43, false, server("s-1", "gone")), answers(50, true, server("s-2", "draining")))
}

// TestNothingKnown checks that without a cached list the first request is for the full list.
func TestNothingKnown(t *testing.T) {
	runWatch(t, "", 0, answers(5, true, server("s-1", "ready")), answers(6, false, server("s-1", "draining")))
}

// TestFailures checks that error statuses, resets, timeouts, and truncated, oversized or invalid answers are reported as
// failures and change nothing.
func TestFailures(t *testing.T) {
	status := func(_ *Client, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(*Client, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	truncated := func(_ *Client, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
		_, _ = w.Write([]byte(`{"version":42,"full":true,"servers":[`))
		panic(http.ErrAbortHandler)
	}
	notJSON := func(_ *Client, w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "no list") }
	long := answers(42, true, strings.Repeat(" ", 3000))
	runWatch(t, cachedList, 0, status, reset, truncated, notJSON, long, after(30*time.Second, status), answers(42, false, `{"id":"s-9","state":"lost"}`),
		answers(42, false, server("s-3", "ready")))
}

// TestVersionsGoBack checks that an answer older than the current version is a failure, and that the full list requested next
// is accepted although its version is lower.
func TestVersionsGoBack(t *testing.T) {
	runWatch(t, cachedList, 0, answers(45, false, server("s-2", "ready")), answers(44, false, server("s-2", "gone")),
		answers(3, true, server("s-2", "ready")), answers(4, false, server("s-2", "draining")))
}

// TestConnectionsDoNotComeUp checks that the watch continues once discovery accepts connections after a delay.
func TestConnectionsDoNotComeUp(t *testing.T) {
	runWatch(t, cachedList, 20500*time.Millisecond, answers(42, false, server("s-2", "ready")))
}

// TestMove changes the address before the first answer, during a request, twice in a row, and during a request for the full
// list: no change is missed, and answers from the previous address are ignored.
func TestMove(t *testing.T) {
	twice := func(c *Client, w http.ResponseWriter, r *http.Request) {
		c.SetAddress("10.2.0.8:8500")
		c.SetAddress("10.2.0.9:8500")
		answers(70, true)(c, w, r)
	}
	failed := func(c *Client, w http.ResponseWriter, _ *http.Request) {
		time.AfterFunc(500*time.Millisecond, c.Fetch)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	runWatch(t, cachedList, 0, movesTo("10.2.0.2:8500"), answers(42, false, server("s-2", "ready")), after(time.Second, movesTo("10.2.0.4:8500")),
		answers(43, false, server("s-2", "draining")), failed, movesTo("10.2.0.3:8500"), answers(44, true, server("s-2", "draining")), twice,
		answers(45, false, server("s-3", "ready")))
}

// TestForget checks that memory is kept only for listed replicas, and that a replica that is listed again before the order to
// forget it arrives keeps its ID.
func TestForget(t *testing.T) {
	c := Client{nameTable: newNameTable()}
	apply := func(full bool, id string, state string) rules.ReplicaID {
		return c.toRules(answer{Full: full, Servers: []serverEntry{{ID: id, State: state}}}).Entries[0].Replica
	}
	returning := apply(false, "s-back", "ready")
	for i := range 1000 {
		name := fmt.Sprint("s-", i)
		id := apply(i%2 == 0, name, "ready")
		if i%2 == 1 {
			apply(false, name, "gone")
			c.Forget(id)
		}
	}
	c.Forget(returning)
	for id := range rules.ReplicaID(998) {
		c.Forget(id)
	}
	id := apply(false, "s-back", "ready")
	apply(false, "s-back", "gone")
	again := apply(false, "s-back", "draining")
	c.Forget(id)
	name, held := c.Name(id)
	if len(c.idByName) != 2 || len(c.replicas) != 2 || !held || name != "s-back" || again != id || id == returning {
		t.Error(c.idByName, c.replicas, name, held, again, id, returning)
	}
}
