package replica

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
)

const testMaxOpen = 100 // more connections than any test here needs

func request(id string, timeout time.Duration) *Request {
	return &Request{Method: "POST", URI: "/x?y=1", Host: "h.example", Header: http.Header{"X-Attempt-Id": {id}, "Accept": {"*/*"}},
		Body: []byte("body"), AttemptID: id, InstanceID: "i1", Deadline: time.Now().Add(timeout)}
}

func TestExecutionOutcomes(t *testing.T) {
	Convey("Given a replica", t, func() {
		r, err := upstream.Start("i1")
		So(err, ShouldBeNil)
		defer r.Close()
		p := NewPool(testMaxOpen)
		do := func(id string) Outcome { return p.Do("i1", r.Addr(), request(id, 2*time.Second)) }

		Convey("a complete response is returned and the connection is reused", func() {
			for _, id := range []string{"1", "2", "3"} {
				res := do(id)
				So(res.Execution, ShouldEqual, retry.Answered)
				So(string(res.Response.Body), ShouldEqual, "body of "+id+" from i1\n")
			}
			So(r.ConnectionCount(), ShouldEqual, 1)
			q := r.Requests()[0]
			So(q.RequestURI, ShouldEqual, "/x?y=1")
			So(q.Host, ShouldEqual, "h.example")
			So(q.Header.Get("X-Target-Instance"), ShouldEqual, "i1")
			So(q.ContentLength, ShouldEqual, 4)
		})
		Convey("a misbehaving replica's response gets a conservative execution", func() {
			for _, x := range []struct {
				b upstream.Behaviour
				v retry.Execution
			}{
				{upstream.RejectsNotExecuted, retry.NotExecuted}, {upstream.Misdirected, retry.NotExecuted},
				{upstream.TruncatesResponse, retry.MayHaveExecuted}, {upstream.SendsGarbage, retry.MayHaveExecuted}, {upstream.OmitsSeal, retry.MayHaveExecuted},
				{upstream.ClaimsEncoding, retry.MayHaveExecuted}, {upstream.ClosesWithoutResponse, retry.MayHaveExecuted}, {upstream.OmitsAttemptID, retry.MayHaveExecuted},
				{upstream.RespondsInternalError, retry.Answered}, {upstream.SendsStaleResponseFirst, retry.Answered}, {upstream.SendsExtraResponse, retry.Answered},
			} {
				r.SetBehaviours(x.b)
				res := do(string(x.b))
				So(string(x.b)+" "+res.Execution.String(), ShouldEqual, string(x.b)+" "+x.v.String())
				if x.v == retry.Answered && res.Response.Status == 200 {
					So(string(res.Response.Body), ShouldEqual, "body of "+string(x.b)+" from i1\n")
				}
				// Guards against leftover data that is read as the response to the next request.
				next := do("after-" + string(x.b))
				So(next.Execution, ShouldEqual, retry.Answered)
				So(string(next.Response.Body), ShouldEqual, "body of after-"+string(x.b)+" from i1\n")
				// Guards against implicit retries.
				So(r.Executions()[string(x.b)], ShouldBeLessThanOrEqualTo, 1)
			}
		})
		Convey("a connection that the replica closed while it was idle is not used", func() {
			r.SetBehaviours(upstream.ClosesAfterResponse)
			So(do("1").Execution, ShouldEqual, retry.Answered)
			for p.newestIdleHasNoUnreadInput("i1") { // until the EOF has arrived
			}
			So(do("2").Execution, ShouldEqual, retry.Answered)
			So(r.ConnectionCount(), ShouldEqual, 2)
		})
		// Guards against replicas that drop idle connections before their Keep-Alive timeout: the execution of the next request
		// would be unknown.
		Convey("a dropped idle connection temporarily limits the idle time of its service", func() {
			q := func(id string) *Request {
				q := request(id, time.Second)
				q.Service = "svc"
				return q
			}
			So(p.Do("i1", r.Addr(), q("1")).Execution, ShouldEqual, retry.Answered)
			p.idle["i1"][0].idleSince = time.Now().Add(-time.Second)
			r.SetBehaviours(upstream.ClosesWithoutResponse)
			So(p.Do("i1", r.Addr(), q("2")).Execution, ShouldEqual, retry.MayHaveExecuted)
			So(p.maxIdle("svc", time.Now()), ShouldBeBetween, 400*time.Millisecond, 600*time.Millisecond)
			So(p.maxIdle("other", time.Now()), ShouldEqual, maxIdleTime)
			So(p.maxIdle("svc", time.Now().Add(time.Minute)), ShouldEqual, maxIdleTime)
		})
		Convey("an attempt without a response ends at the deadline with an unknown execution", func() {
			r.SetBehaviours(upstream.NeverResponds)
			res := p.Do("i1", r.Addr(), request("1", 50*time.Millisecond))
			So(res.Execution, ShouldEqual, retry.MayHaveExecuted)
			So(res.DeadlineExceeded, ShouldBeTrue)
		})
		Convey("an attempt whose client disconnects ends at once", func() {
			r.SetBehaviours(upstream.NeverResponds)
			ctx, cancel := context.WithCancel(context.Background())
			q := request("1", time.Minute)
			q.Cancel = ctx
			go func() {
				for len(r.Requests()) == 0 { // until the request has arrived
				}
				cancel()
			}()
			So(p.Do("i1", r.Addr(), q).Execution, ShouldEqual, retry.MayHaveExecuted)
		})
		Convey("an attempt without a connection was not executed", func() {
			r.Close()
			res := do("1")
			So(res.Execution, ShouldEqual, retry.NotExecuted)
			So(res.NotSent, ShouldBeTrue)
		})
	})
	Convey("Hop-by-hop header fields are not forwarded", t, func() {
		h := EndToEndHeaders(http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"x"}, "X-Attempt-Id": {"1"}, "X-Response-Seal": {"s"}})
		So(h, ShouldResemble, http.Header{"X-Attempt-Id": {"1"}, "X-Response-Seal": {"s"}})
	})
}

// newestIdleHasNoUnreadInput reports whether the most recently used idle connection has received neither data nor EOF.
func (p *Pool) newestIdleHasNoUnreadInput(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	return len(list) > 0 && list[len(list)-1].hasNoUnreadInput()
}

// TestPoolIsBounded guards against connections to replicas that use up the process's file descriptors.
func TestPoolIsBounded(t *testing.T) {
	Convey("Given a pool of two connections, both idle", t, func() {
		p := NewPool(2)
		replicas := map[string]*upstream.Replica{}
		for _, id := range []string{"i1", "i2", "i3"} {
			r, err := upstream.Start(id)
			So(err, ShouldBeNil)
			defer r.Close()
			replicas[id] = r
		}
		do := func(instance, id string) Outcome {
			q := request(id, 2*time.Second)
			q.InstanceID = instance
			return p.Do(instance, replicas[instance].Addr(), q)
		}
		So(do("i1", "1").Execution, ShouldEqual, retry.Answered)
		So(do("i2", "2").Execution, ShouldEqual, retry.Answered)
		So(p.OpenCount(), ShouldEqual, 2)
		Convey("a third connection replaces the one that has been idle for longest", func() {
			So(do("i3", "3").Execution, ShouldEqual, retry.Answered)
			So(p.OpenCount(), ShouldEqual, 2)
			So(p.idle["i1"], ShouldBeEmpty)
			So(do("i2", "4").Execution, ShouldEqual, retry.Answered)
			So(replicas["i2"].ConnectionCount(), ShouldEqual, 1)
		})
		Convey("a third request is not sent while both connections are in use", func() {
			release := make(chan struct{})
			ended := make(chan Outcome, 2)
			for _, id := range []string{"i1", "i2"} {
				replicas[id].SetResponseHook(func(string) { <-release })
				go func() { ended <- do(id, "held by "+id) }()
			}
			for len(replicas["i1"].Requests())+len(replicas["i2"].Requests()) < 4 { // until both requests have arrived
			}
			outcome := do("i3", "5")
			So(outcome.Execution, ShouldEqual, retry.NotExecuted)
			So(outcome.NotSent, ShouldBeTrue)
			So(outcome.Cause, ShouldEqual, CausePoolFull)
			So(replicas["i3"].Requests(), ShouldBeEmpty)
			close(release)
			So((<-ended).Execution, ShouldEqual, retry.Answered)
			So((<-ended).Execution, ShouldEqual, retry.Answered)
		})
		p.CloseIdle("i1")
		p.CloseIdle("i2")
		p.CloseIdle("i3")
		So(p.OpenCount(), ShouldEqual, 0)
	})
}

// Guards against counting canceled attempts, as those of hedged requests, as time-outs.
func TestCanceledAttemptIsNoTimeout(t *testing.T) {
	addr, _ := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) { time.Sleep(time.Second); return "", true })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	canceled := request("1", time.Second)
	canceled.Cancel = ctx
	if outcome := NewPool(testMaxOpen).Do("i1", addr, canceled); outcome.Cause != CauseCanceled {
		t.Errorf("canceled: %s", outcome.Cause)
	}
	if outcome := NewPool(testMaxOpen).Do("i1", addr, request("2", 20*time.Millisecond)); outcome.Cause != CauseDeadline {
		t.Errorf("expired: %s", outcome.Cause)
	}
}
