package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

// shardFixture is a gateway of a sharded service with replicas that serve requests only while they hold their key.
type shardFixture struct {
	*fixture
	holders  []*keyHolder
	token    uint64
	attempts atomic.Int64
}

// keyHolder is a replica that holds all keys or none.
type keyHolder struct {
	*upstream.Replica
	holds   atomic.Bool
	latency time.Duration

	onRejection func() // called before the response; may be nil
	onRequest   func() // called before the latency of a request that is executed; may be nil

	mu       sync.Mutex
	executed map[string]int // by attempt ID
	rejected int
}

func (h *keyHolder) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		attempt := request.Header.Get("X-Attempt-Id")
		h.mu.Lock()
		if !h.holds.Load() {
			h.rejected++
			h.mu.Unlock()
			if h.onRejection != nil {
				h.onRejection()
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
			continue
		}
		h.executed[attempt]++
		h.mu.Unlock()
		if h.onRequest != nil {
			h.onRequest()
		}
		time.Sleep(h.latency)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", attempt)
	}
}

// counts returns the executions and rejections so far.
func (h *keyHolder) counts() (executed, rejected int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.executed {
		executed += n
	}
	return executed, h.rejected
}

func newShardFixture(kind string, replicas int) *shardFixture {
	f := &shardFixture{fixture: newFixture(kind, replicas)}
	for _, replica := range f.replicas {
		holder := &keyHolder{Replica: replica, executed: map[string]int{}}
		replica.SetConnectionHandler(holder.serve)
		f.holders = append(f.holders, holder)
	}
	config := strings.Replace(string(testConfig(2, kind)), `"name":"svc"`, `"name":"svc","sharded":true`, 1)
	f.gateway.applyUpdate(&messages.StateUpdate{Sequence: 1, ConfigVersion: 2, Config: []byte(config)})
	return f
}

// publish makes the gateway learn that a replica owns all keys, or that they are moving away from it.
func (f *shardFixture) publish(owner int, moving bool) {
	f.token++
	f.gateway.applyUpdate(&messages.StateUpdate{Sequence: 1, Ownership: []messages.ServiceOwnership{{
		Service: "svc", LastToken: f.token, Complete: true, Owners: []string{f.holders[owner].ID},
		Ranges: []messages.OwnedRange{{From: 0, To: 65535, Token: f.token, Moving: moving}},
	}}})
}

// send sends a request with the given shard keys as header values.
func (f *shardFixture) send(ctx context.Context, method string, keys ...string) *httptest.ResponseRecorder {
	r := request(ctx, method, "/x/1", "", fmt.Sprint("s", f.attempts.Add(1)))
	r.Header["X-Shard-Key"] = keys
	w := httptest.NewRecorder()
	f.gateway.handleRequest(w, r)
	return w
}

func (f *shardFixture) counter(name counter) int {
	for _, field := range strings.Fields(f.gateway.counters.String()) {
		if value, ok := strings.CutPrefix(field, string(name)+"="); ok {
			var n int
			_, _ = fmt.Sscan(value, &n)
			return n
		}
	}
	return 0
}

func TestShardKeyHeader(t *testing.T) {
	Convey("A missing or malformed shard key is answered with 400 and the header's name, without an attempt", t, func() {
		f := newShardFixture("safe", 1)
		f.holders[0].holds.Store(true)
		f.publish(0, false)
		for _, keys := range [][]string{nil, {""}, {"65536"}, {"-1"}, {"+1"}, {"0x10"}, {"1.0"}, {"1", "1"}} {
			w := f.send(context.Background(), "GET", keys...)
			So(w.Code, ShouldEqual, http.StatusBadRequest)
			So(w.Body.String(), ShouldContainSubstring, "X-Shard-Key")
		}
		So(f.send(context.Background(), "GET", "65535").Code, ShouldEqual, http.StatusOK)
		executed, rejected := f.holders[0].counts()
		So([]int{executed, rejected}, ShouldResemble, []int{1, 0})
		So(f.gateway.loadReport(time.Second).KeyLoads, ShouldResemble, []messages.ServiceKeyLoad{{Service: "svc", Keys: []messages.KeyCount{{Key: 65535, Requests: 1}}}})
	})
}

func TestRequestsDuringMove(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe"} {
		Convey("A "+kind+" request waits while its key moves and is executed once, by the new owner", t, func() {
			f := newShardFixture(kind, 2)
			f.publish(0, true)
			answered := make(chan int)
			go func() { answered <- f.send(context.Background(), "POST", "7").Code }()
			for f.gateway.ownership.count.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			f.holders[1].holds.Store(true)
			f.publish(1, false)
			So(<-answered, ShouldEqual, http.StatusOK)
			for i, want := range []int{0, 1} {
				executed, rejected := f.holders[i].counts()
				So([]int{executed, rejected}, ShouldResemble, []int{want, 0})
			}
			So(f.counter(countOwnerWait), ShouldEqual, 1)
		})
	}
	Convey("A request whose key has no owner in time gets 503 with Retry-After long before its deadline", t, func() {
		f := newShardFixture("unsafe", 1)
		startedAt := time.Now()
		w := f.send(context.Background(), "POST", "7")
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(w.Header().Get("Retry-After"), ShouldEqual, "0.300")
		So(time.Since(startedAt), ShouldBeBetween, 600*time.Millisecond, 2*time.Second)
		So(f.gateway.failures.newest()[0].Reason, ShouldEqual, string(countOwnerPending))
	})
	Convey("A request whose key should have an owner by now is refused early, and told to come back later", t, func() {
		f := newShardFixture("unsafe", 1)
		f.publish(0, true)
		time.Sleep(1100 * time.Millisecond)
		startedAt := time.Now()
		w := f.send(context.Background(), "POST", "7")
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(w.Header().Get("Retry-After"), ShouldEqual, "1.000")
		So(time.Since(startedAt), ShouldBeBetween, 200*time.Millisecond, 600*time.Millisecond)
	})
	// Guards against clients that come back before the leases of a failed owner can have ended.
	Convey("A request whose owner refuses connections is told to come back later", t, func() {
		f := newShardFixture("unsafe", 1)
		f.publish(0, false)
		f.holders[0].Close()
		w := f.send(context.Background(), "POST", "7")
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(w.Header().Get("Retry-After"), ShouldEqual, "1.000")
		So(f.gateway.failures.newest()[0].Reason, ShouldEqual, string(countOwnerPending))
	})
	Convey("A client that disconnects ends the wait", t, func() {
		f := newShardFixture("unsafe", 1)
		f.publish(0, true)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		So(func() { f.send(ctx, "POST", "7") }, ShouldPanicWith, http.ErrAbortHandler)
		So(f.gateway.ownership.count.Load(), ShouldEqual, 0)
	})
}

func TestNotOwner(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe"} {
		// Guards against deregistering a live replica, which answers 421 as one at a reused address does.
		Convey("A "+kind+" request goes to the newer owner, and the former owner stays registered", t, func() {
			f := newShardFixture(kind, 2)
			f.publish(0, false)
			f.holders[1].holds.Store(true)
			f.holders[0].onRejection = func() { f.publish(1, false) }
			So(f.send(context.Background(), "POST", "7").Code, ShouldEqual, http.StatusOK)
			executed, _ := f.holders[1].counts()
			So(executed, ShouldEqual, 1)
			So(f.gateway.router.Balancer().Get("i0"), ShouldNotBeNil)
			So(len(f.gateway.misdirected), ShouldEqual, 0)
			So(f.counter(countNotOwner), ShouldEqual, 1)
		})
	}
	Convey("Without a newer owner the same one is tried again, as its grant may still be on its way", t, func() {
		f := newShardFixture("unsafe", 1)
		f.publish(0, false)
		f.holders[0].onRejection = func() { f.holders[0].holds.Store(true) }
		startedAt := time.Now()
		So(f.send(context.Background(), "POST", "7").Code, ShouldEqual, http.StatusOK)
		executed, rejected := f.holders[0].counts()
		So([]int{executed, rejected}, ShouldResemble, []int{1, 1})
		So(time.Since(startedAt), ShouldBeGreaterThanOrEqualTo, notOwnerPause)
	})
	Convey("A request whose client leaves before its next attempt is not sent again", t, func() {
		f := newShardFixture("unsafe", 1)
		f.publish(0, false)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f.holders[0].onRejection = func() {
			f.holders[0].holds.Store(true)
			time.AfterFunc(notOwnerPause/2, cancel)
		}
		f.send(ctx, "POST", "7")
		executed, rejected := f.holders[0].counts()
		So([]int{executed, rejected}, ShouldResemble, []int{0, 1})
	})
	Convey("A replica that never holds the key gets no more attempts than the route allows, and the client 503", t, func() {
		f := newShardFixture("unsafe", 1)
		f.publish(0, false)
		So(f.send(context.Background(), "POST", "7").Code, ShouldEqual, http.StatusServiceUnavailable)
		_, rejected := f.holders[0].counts()
		So(rejected, ShouldEqual, 2)
		So(f.gateway.failures.newest()[0].Reason, ShouldEqual, reasonNotOwner)
	})
}

// Guards against a second attempt beside the first one, which only the owner could serve.
func TestShardedRequestsAreNotHedged(t *testing.T) {
	Convey("A slow request of a sharded service has one attempt", t, func() {
		f := newShardFixture("safe", 2)
		f.holders[0].latency = 700 * time.Millisecond // beyond the hedge delay
		f.holders[0].holds.Store(true)
		f.publish(0, false)
		So(f.send(context.Background(), "GET", "7").Code, ShouldEqual, http.StatusOK)
		executed, _ := f.holders[0].counts()
		So(executed, ShouldEqual, 1)
		So(f.counter(countHedged), ShouldEqual, 0)
	})
}

// Guards against a request held for over half of the time that its client allows, which costs more than its refusal.
func TestWaitForOwnerEndsBeforeHalfOfTheDeadline(t *testing.T) {
	for _, test := range []struct{ deadline, target, want time.Duration }{
		{3 * time.Second, time.Second, 600 * time.Millisecond},
		{time.Second, time.Second, 450 * time.Millisecond},
		{400 * time.Millisecond, time.Second, 180 * time.Millisecond},
		{2 * time.Second, 0, 900 * time.Millisecond},
	} {
		arrivedAt := time.Now()
		f := forwarding{arrivedAt: arrivedAt}
		f.request.Deadline, f.route.LatencyTarget = arrivedAt.Add(test.deadline), test.target
		if got := f.waitLimit(ownerWaitShare).Sub(arrivedAt).Round(time.Millisecond); got != test.want {
			t.Errorf("deadline %v, target %v: waits %v, want %v", test.deadline, test.target, got, test.want)
		}
	}
}
