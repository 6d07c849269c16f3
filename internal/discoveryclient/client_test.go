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

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/testkit"
	"zincloft.example/zincloft/rules"
)

// An act is what the stand-in of discovery does with one call.
type act func(l *Client, w http.ResponseWriter, r *http.Request)

func tells(version int, full bool, servers ...string) act {
	return func(_ *Client, w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(servers, ","))
	}
}

// after lets a call wait for so long, or until the caller gives up.
func after(d time.Duration, a act) act {
	return func(l *Client, w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			a(l, w, r)
		case <-r.Context().Done():
		}
	}
}

// moves tells the list of another address while a call to the old one waits.
func moves(address string) act {
	return func(l *Client, _ http.ResponseWriter, r *http.Request) {
		l.SetAddress(address)
		<-r.Context().Done()
	}
}

func server(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":"10.1.0.18:3000","zone":"b","kind":"m2","cell":3,"state":%q,"weight":1.5,"started_ms":7}`, id, state)
}

// follows plays a list that is told to observe against these acts, until they are used up, and compares what it
// asked and posted with the trace in testdata. After a failure it is told to observe again, a second later. For
// the time down, connections do not come up.
func follows(t *testing.T, known string, down time.Duration, acts ...act) {
	t.Helper()
	var trace strings.Builder
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lines, failed := make(chan string, 100), make(chan struct{}, 100)
		l := New(ctx, config.Config{Discovery: "10.2.0.1:8500", Settings: config.Settings{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}},
			Bounds: config.Bounds{DiscoveryWait: 20 * time.Second, DiscoveryCallMargin: 2 * time.Second, MaxDiscoveryBytes: 2000}}, zerolog.Nop(),
			func(e rules.List) {
				lines <- fmt.Sprintf("  heard %+v", e)
				if e.Scope == rules.Failed {
					failed <- struct{}{}
				}
			})
		socket := testkit.Listen()
		l.dial = socket.Dial
		l.SetAddress("10.2.0.1:8500")
		begun, connections, over := time.Now(), atomic.Int32{}, atomic.Bool{}
		s := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			lines <- fmt.Sprintf("%v call %s of %s", time.Since(begun), r.URL, r.Host)
			if len(acts) == 0 {
				over.Store(true)
				<-r.Context().Done()
				return
			}
			a := acts[0]
			acts = acts[1:]
			a(l, w, r)
		}), ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				connections.Add(1)
			}
		}}
		time.AfterFunc(down, func() { _ = s.Serve(socket) })
		if known != "" {
			first, err := l.LoadKnown([]byte(known))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&trace, "known %+v\n", first)
		}
		l.Watch(true)
		for !over.Load() {
			time.Sleep(100 * time.Millisecond) // on the bubble's clock
			synctest.Wait()
			if len(failed) > 0 {
				<-failed
				time.AfterFunc(time.Second, func() { l.Watch(true) })
			}
		}
		for len(lines) > 0 {
			fmt.Fprintln(&trace, <-lines)
		}
		fmt.Fprintf(&trace, "%d connections\n", connections.Load())
		name, found := l.Name(0)
		id, back := l.ID([]byte(name))
		fmt.Fprintf(&trace, "first name %q %v, back to %d %v\n", name, found, id, back)
		cancel()
		l.Wait()
		s.Close()
	})
	testkit.CompareTrace(t, trace.String())
}

const known = `{"version":41,"full":true,"servers":[{"id":"s-1","zone":"a","kind":"m1","cell":1,"state":"ready","started_ms":0}]}`

func TestWatch(t *testing.T) {
	follows(t, known, 0, tells(41, false), after(3*time.Second, tells(42, false, server("s-2", "ready"))),
		after(20*time.Second, tells(42, false)), tells(43, false, server("s-1", "gone")), tells(50, true, server("s-2", "draining")))
}

func TestNothingKnown(t *testing.T) {
	follows(t, "", 0, tells(5, true, server("s-1", "ready")), tells(6, false, server("s-1", "draining")))
}

func TestFailures(t *testing.T) {
	status := func(_ *Client, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(*Client, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cut := func(_ *Client, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
		_, _ = w.Write([]byte(`{"version":42,"full":true,"servers":[`))
		panic(http.ErrAbortHandler)
	}
	words := func(_ *Client, w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "no list") }
	long := tells(42, true, strings.Repeat(" ", 3000))
	follows(t, known, 0, status, reset, cut, words, long, after(30*time.Second, status), tells(42, false, `{"id":"s-9","state":"lost"}`),
		tells(42, false, server("s-3", "ready")))
}

func TestVersionsGoBack(t *testing.T) {
	follows(t, known, 0, tells(45, false, server("s-2", "ready")), tells(44, false, server("s-2", "gone")),
		tells(3, true, server("s-2", "ready")), tells(4, false, server("s-2", "draining")))
}

func TestConnectionsDoNotComeUp(t *testing.T) {
	follows(t, known, 20500*time.Millisecond, tells(42, false, server("s-2", "ready")))
}

// TestMove has the address change before the first answer, while a call waits, twice in a row, and while a call for the
// whole list is out: nothing that changed in between is missed, and what the old address still says counts for nothing.
func TestMove(t *testing.T) {
	twice := func(l *Client, w http.ResponseWriter, r *http.Request) {
		l.SetAddress("10.2.0.8:8500")
		l.SetAddress("10.2.0.9:8500")
		tells(70, true)(l, w, r)
	}
	failed := func(l *Client, w http.ResponseWriter, _ *http.Request) {
		time.AfterFunc(500*time.Millisecond, l.Fetch)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	follows(t, known, 0, moves("10.2.0.2:8500"), tells(42, false, server("s-2", "ready")), after(time.Second, moves("10.2.0.4:8500")),
		tells(43, false, server("s-2", "draining")), failed, moves("10.2.0.3:8500"), tells(44, true, server("s-2", "draining")), twice,
		tells(45, false, server("s-3", "ready")))
}

// TestForget has replicas come under ever new names: only those that are listed are held, and one that is listed
// again before the module's Forget has come keeps its number.
func TestForget(t *testing.T) {
	l := Client{nameTable: newNameTable()}
	hear := func(full bool, id string, state string) rules.ReplicaID {
		return l.toRules(answer{Full: full, Servers: []serverEntry{{ID: id, State: state}}}).Entries[0].Replica
	}
	back := hear(false, "s-back", "ready")
	for i := range 1000 {
		name := fmt.Sprint("s-", i)
		id := hear(i%2 == 0, name, "ready")
		if i%2 == 1 {
			hear(false, name, "gone")
			l.Forget(id)
		}
	}
	l.Forget(back)
	for id := range rules.ReplicaID(998) {
		l.Forget(id)
	}
	id := hear(false, "s-back", "ready")
	hear(false, "s-back", "gone")
	again := hear(false, "s-back", "draining")
	l.Forget(id)
	name, held := l.Name(id)
	if len(l.ids) != 2 || len(l.named) != 2 || !held || name != "s-back" || again != id || id == back {
		t.Error(l.ids, l.named, name, held, again, id, back)
	}
}
