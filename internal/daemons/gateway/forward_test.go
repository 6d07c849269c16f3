package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
)

func TestExecutionGuarantees(t *testing.T) {
	Convey("An execution stays unknown when a later attempt is rejected as not executed", t, func() {
		// Guards against a 503, which states non-execution, for a request whose first attempt may have been executed.
		r := newFixture("safe", 2)
		r.setBehaviours(upstream.ClosesWithoutResponse)
		r.replicas[0].SetBehaviours(upstream.ClosesWithoutResponse)
		r.replicas[1].SetBehaviours(upstream.ClosesWithoutResponse)
		for range 12 {
			r.replicas[0].SetBehaviours(upstream.ClosesWithoutResponse)
			r.replicas[1].SetBehaviours(upstream.RejectsNotExecuted)
			w := r.do("GET", "/x/1", "")
			if r.lastRequestExecutions() > 0 {
				So(w.Code, ShouldNotEqual, http.StatusServiceUnavailable)
			}
		}
	})
	Convey("A replica's 503 without X-Not-Executed is not passed on", t, func() {
		r := newFixture("unsafe", 2)
		r.setBehaviours(upstream.OmitsNotExecuted)
		So(r.do("POST", "/x/1", "order").Code, ShouldEqual, http.StatusBadGateway)
		So(r.lastRequestExecutions(), ShouldEqual, 1)
	})
	Convey("A request whose client has disconnected is neither sent nor retried", t, func() {
		r := newFixture("unsafe", 2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		send := func() {
			q := request(ctx, "POST", "/x/1", "order", "gone")
			defer func() { _ = recover() }() // http.ErrAbortHandler
			r.gateway.handleRequest(httptest.NewRecorder(), q)
		}
		for _, up := range r.replicas {
			up.SetBehaviours(upstream.RejectsNotExecuted)
			up.SetResponseHook(func(string) { cancel() }) // the client disconnects while the replica handles the request
		}
		send()
		So(len(r.replicas[0].Requests())+len(r.replicas[1].Requests()), ShouldEqual, 1)
		send()
		So(len(r.replicas[0].Requests())+len(r.replicas[1].Requests()), ShouldEqual, 1)
	})
	Convey("No attempt is made with less than a tenth of the latency target left", t, func() {
		r := newFixture("unsafe", 2)
		q := request(context.Background(), "POST", "/x/1", "order", "late")
		q.Header.Set("X-Deadline-Ms", "90")
		w := httptest.NewRecorder()
		r.gateway.handleRequest(w, q)
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(len(r.replicas[0].Requests())+len(r.replicas[1].Requests()), ShouldEqual, 0)
	})
	Convey("A deadline later than the route's timeout is replaced by the route's timeout", t, func() {
		for _, ms := range []string{"Inf", "1e300", "99999999999999999999"} {
			r := newFixture("unsafe", 1)
			q := request(context.Background(), "POST", "/x/1", "order", "1")
			q.Header.Set("X-Deadline-Ms", ms)
			w := httptest.NewRecorder()
			r.gateway.handleRequest(w, q)
			So(w.Code, ShouldEqual, 200)
		}
	})
}
