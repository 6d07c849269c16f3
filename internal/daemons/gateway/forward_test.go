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
	Convey("An unknown execution stays unknown, also where a later attempt is proven not to be executed", t, func() {
		// Guards the promise of 503: the proof of a later attempt once hid the unknown execution of the first.
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
	Convey("A replica's own 503 promises nothing where it does not state that it did not execute the request", t, func() {
		r := newFixture("unsafe", 2)
		r.setBehaviours(upstream.OmitsNotExecuted)
		So(r.do("POST", "/x/1", "order").Code, ShouldEqual, http.StatusBadGateway)
		So(r.lastRequestExecutions(), ShouldEqual, 1)
	})
	Convey("A request whose client is gone is not sent, nor sent again", t, func() {
		r := newFixture("unsafe", 2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ask := func() {
			q := request(ctx, "POST", "/x/1", "order", "gone")
			defer func() { _ = recover() }() // http.ErrAbortHandler ends the connection
			r.gateway.handleRequest(httptest.NewRecorder(), q)
		}
		for _, up := range r.replicas {
			up.SetBehaviours(upstream.RejectsNotExecuted)
			up.SetResponseHook(func(string) { cancel() }) // the client leaves while the replica has it
		}
		ask()
		So(len(r.replicas[0].Requests())+len(r.replicas[1].Requests()), ShouldEqual, 1)
		ask()
		So(len(r.replicas[0].Requests())+len(r.replicas[1].Requests()), ShouldEqual, 1)
	})
	Convey("With under a tenth of the latency target left no attempt is made", t, func() {
		r := newFixture("unsafe", 2)
		q := request(context.Background(), "POST", "/x/1", "order", "late")
		q.Header.Set("X-Deadline-Ms", "90")
		w := httptest.NewRecorder()
		r.gateway.handleRequest(w, q)
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(len(r.replicas[0].Requests())+len(r.replicas[1].Requests()), ShouldEqual, 0)
	})
	Convey("A deadline beyond the route's is the route's", t, func() {
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
