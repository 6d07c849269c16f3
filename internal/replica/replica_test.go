package replica

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/internal/standin/upstream"
)

func request(id string, most time.Duration) *Request {
	return &Request{Method: "POST", URI: "/x?y=1", Host: "h.example", Header: http.Header{"X-Attempt-Id": {id}, "Accept": {"*/*"}},
		Body: []byte("body"), Attempt: id, Instance: "i1", Deadline: time.Now().Add(most)}
}

func TestVerdicts(t *testing.T) {
	Convey("Given a replica", t, func() {
		r, err := upstream.Start("i1")
		So(err, ShouldBeNil)
		defer r.Close()
		p := NewPool()
		do := func(id string) Result { return p.Do("i1", r.Addr(), request(id, 2*time.Second)) }

		Convey("a whole answer is passed on, and the connection used again", func() {
			for _, id := range []string{"1", "2", "3"} {
				res := do(id)
				So(res.Verdict, ShouldEqual, retry.Answered)
				So(string(res.Answer.Body), ShouldEqual, "body of "+id+" from i1\n")
			}
			So(r.ConnectionCount(), ShouldEqual, 1)
			q := r.Requests()[0]
			So(q.RequestURI, ShouldEqual, "/x?y=1")
			So(q.Host, ShouldEqual, "h.example")
			So(q.Header.Get("X-Target-Instance"), ShouldEqual, "i1")
			So(q.ContentLength, ShouldEqual, 4)
		})
		Convey("what bad replicas send gets the verdict that is safe", func() {
			for _, x := range []struct {
				b upstream.Behaviour
				v retry.Verdict
			}{
				{upstream.RejectsNotExecuted, retry.NotRun}, {upstream.Misdirected, retry.NotRun},
				{upstream.TruncatesResponse, retry.MayHaveRun}, {upstream.SendsGarbage, retry.MayHaveRun}, {upstream.OmitsSeal, retry.MayHaveRun},
				{upstream.ClaimsEncoding, retry.MayHaveRun}, {upstream.ClosesWithoutResponse, retry.MayHaveRun}, {upstream.OmitsAttemptID, retry.MayHaveRun},
				{upstream.RespondsInternalError, retry.Answered}, {upstream.SendsStaleResponseFirst, retry.Answered}, {upstream.SendsExtraResponse, retry.Answered},
			} {
				r.SetBehaviours(x.b)
				res := do(string(x.b))
				So(string(x.b)+" "+res.Verdict.String(), ShouldEqual, string(x.b)+" "+x.v.String())
				if x.v == retry.Answered && res.Answer.Status == 200 {
					So(string(res.Answer.Body), ShouldEqual, "body of "+string(x.b)+" from i1\n")
				}
				// Guards answers that belong to another request: whatever was left over must not meet the next one.
				next := do("after-" + string(x.b))
				So(next.Verdict, ShouldEqual, retry.Answered)
				So(string(next.Answer.Body), ShouldEqual, "body of after-"+string(x.b)+" from i1\n")
				// Guards hidden repeats: each attempt has run at most once.
				So(r.Executions()[string(x.b)], ShouldBeLessThanOrEqualTo, 1)
			}
		})
		Convey("a connection that the replica closed while it lay idle is not used", func() {
			r.SetBehaviours(upstream.ClosesAfterResponse)
			So(do("1").Verdict, ShouldEqual, retry.Answered)
			for p.mustBeQuiet("i1") { // until its end has arrived
			}
			So(do("2").Verdict, ShouldEqual, retry.Answered)
			So(r.ConnectionCount(), ShouldEqual, 2)
		})
		// Guards replicas that forget idle connections sooner than they tell: what is sent next is a doubt.
		Convey("a connection found forgotten teaches how idle is too idle, for a while", func() {
			q := func(id string) *Request {
				q := request(id, time.Second)
				q.Service = "svc"
				return q
			}
			So(p.Do("i1", r.Addr(), q("1")).Verdict, ShouldEqual, retry.Answered)
			p.idle["i1"][0].idleSince = time.Now().Add(-time.Second)
			r.SetBehaviours(upstream.ClosesWithoutResponse)
			So(p.Do("i1", r.Addr(), q("2")).Verdict, ShouldEqual, retry.MayHaveRun)
			So(p.restMost("svc", time.Now()), ShouldBeBetween, 400*time.Millisecond, 600*time.Millisecond)
			So(p.restMost("other", time.Now()), ShouldEqual, idleMost)
			So(p.restMost("svc", time.Now().Add(time.Minute)), ShouldEqual, idleMost)
		})
		Convey("silence ends at the deadline, as a doubt", func() {
			r.SetBehaviours(upstream.NeverResponds)
			res := p.Do("i1", r.Addr(), request("1", 50*time.Millisecond))
			So(res.Verdict, ShouldEqual, retry.MayHaveRun)
			So(res.Expired, ShouldBeTrue)
		})
		Convey("a try whose client left ends at once", func() {
			r.SetBehaviours(upstream.NeverResponds)
			ctx, cancel := context.WithCancel(context.Background())
			q := request("1", time.Minute)
			q.Stop = ctx
			go func() {
				for len(r.Requests()) == 0 { // until it has arrived: before that it has not run
				}
				cancel()
			}()
			So(p.Do("i1", r.Addr(), q).Verdict, ShouldEqual, retry.MayHaveRun)
		})
		Convey("one that cannot be called has not run it", func() {
			r.Close()
			res := do("1")
			So(res.Verdict, ShouldEqual, retry.NotRun)
			So(res.Unsent, ShouldBeTrue)
		})
	})
	Convey("Headers that concern one connection stay there", t, func() {
		h := EndToEnd(http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"x"}, "X-Attempt-Id": {"1"}, "X-Response-Seal": {"s"}})
		So(h, ShouldResemble, http.Header{"X-Attempt-Id": {"1"}, "X-Response-Seal": {"s"}})
	})
}

// mustBeQuiet tells whether the newest idle connection still looks usable.
func (p *Pool) mustBeQuiet(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[id]
	return len(list) > 0 && list[len(list)-1].quiet()
}
