package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/internal/daemons/bodybuffer"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

func TestRequestOutcomes(t *testing.T) {
	Convey("An unsafe request", t, func() {
		r := newFixture("unsafe", 3)
		Convey("is answered by a replica", func() {
			w := r.do("POST", "/x/1", "order")
			So(w.Code, ShouldEqual, 200)
			So(w.Header().Get("X-Response-Seal"), ShouldEqual, "seal-1")
			So(r.lastRequestExecutions(), ShouldEqual, 1)
		})
		for _, b := range []upstream.Behaviour{upstream.TruncatesResponse, upstream.ClosesWithoutResponse, upstream.SendsGarbage, upstream.OmitsSeal, upstream.OmitsAttemptID} {
			Convey("is executed once and answered 502 if the replica "+string(b), func() {
				r.setBehaviours(b)
				w := r.do("POST", "/x/1", "order")
				So(w.Code, ShouldEqual, http.StatusBadGateway)
				So(w.Header().Get("Retry-After"), ShouldEqual, "")
				So(r.lastRequestExecutions(), ShouldEqual, 1)
			})
		}
		Convey("is retried if it was not executed, and rejected with Retry-After after the last attempt", func() {
			r.setBehaviours(upstream.RejectsNotExecuted)
			w := r.do("POST", "/x/1", "order")
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldNotEqual, "")
			So(r.lastRequestExecutions(), ShouldEqual, 0)
			So(r.do("POST", "/x/1", "order").Code, ShouldEqual, 200)
		})
		Convey("is rejected at once if no replica may receive it", func() {
			r.gateway.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 1, EvacuatedZones: []string{"a"}})
			w := r.do("POST", "/x/1", "order")
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldNotEqual, "")
		})
		Convey("with a body over the limit gets 413 and reaches no replica", func() {
			So(r.do("POST", "/x/1", strings.Repeat("x", 101)).Code, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(r.lastRequestExecutions(), ShouldEqual, 0)
		})
		Convey("is rejected while the body budget is exhausted, and releases its own memory", func() {
			r.gateway.bodyBudget = bodybuffer.New(10)
			w := r.do("POST", "/x/1", "more than ten bytes")
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldNotEqual, "")
			So(r.lastRequestExecutions(), ShouldEqual, 0)
			So(r.do("POST", "/x/1", "few").Code, ShouldEqual, 200)
			So(r.gateway.bodyBudget.Used(), ShouldEqual, 0)
		})
		Convey("without a route gets 404", func() {
			So(r.do("POST", "/y/1", "").Code, ShouldEqual, http.StatusNotFound)
		})
	})
	Convey("A safe request", t, func() {
		r := newFixture("safe", 2)
		for _, b := range []upstream.Behaviour{upstream.TruncatesResponse, upstream.ClosesWithoutResponse, upstream.RespondsInternalError, upstream.RejectsNotExecuted} {
			Convey("is retried at another replica if the first one "+string(b), func() {
				r.replicas[0].SetBehaviours(b, b, b)
				for range 4 {
					w := r.do("GET", "/x/1", "")
					So(w.Code, ShouldEqual, 200)
					So(w.Body.String(), ShouldContainSubstring, "body of "+fmt.Sprint(r.requests))
				}
			})
		}
		Convey("is hedged if the first replica does not respond", func() {
			r.replicas[0].SetBehaviours(upstream.NeverResponds, upstream.NeverResponds)
			r.replicas[1].SetBehaviours(upstream.AnswersCorrectly, upstream.AnswersCorrectly)
			for range 3 {
				began := time.Now()
				So(r.do("GET", "/x/1", "").Code, ShouldEqual, 200)
				So(time.Since(began), ShouldBeLessThan, 1500*time.Millisecond)
			}
		})
		// Guards against requests to an address that another instance has taken over, after a single 421.
		Convey("is not sent again to an address that belongs to another instance", func() {
			r.replicas[0].ID = "other"
			for range 8 {
				So(r.do("GET", "/x/1", "").Code, ShouldEqual, 200)
			}
			So(len(r.replicas[0].Requests()), ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

func TestConfigurationVersions(t *testing.T) {
	Convey("An older configuration is not applied", t, func() {
		r := newFixture("safe", 1)
		r.gateway.applyUpdate(&messages.StateUpdate{Sequence: 5, ConfigVersion: 9, Config: testConfig(9, "unsafe"), EvacuatedZones: []string{"a"}})
		r.gateway.applyUpdate(&messages.StateUpdate{Full: true, Bootstrapping: true, Sequence: 3, ConfigVersion: 4, Config: testConfig(4, "safe")})
		So(r.gateway.config.Load().Version, ShouldEqual, 9)
		So(r.do("GET", "/x/1", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		Convey("An invalid configuration is not applied either", func() {
			r.gateway.applyUpdate(&messages.StateUpdate{Sequence: 6, ConfigVersion: 12, Config: []byte("{")})
			So(r.gateway.config.Load().Version, ShouldEqual, 9)
		})
	})
	Convey("The gateway is ready only with a configuration and an endpoint table", t, func() {
		set, _ := nodesettings.Parse([]byte(settings))
		f, _ := New(set, program.NewLogger(io.Discard, "gateway"))
		f.frontServerOnce.Do(func() {})
		code := func() int {
			w := httptest.NewRecorder()
			f.handleReadiness(w, nil)
			return w.Code
		}
		So(code(), ShouldEqual, 503)
		f.applyUpdate(&messages.StateUpdate{Sequence: 1, ConfigVersion: 1, Config: testConfig(1, "safe")})
		So(code(), ShouldEqual, 503)
		f.applyUpdate(&messages.StateUpdate{Full: true})
		So(code(), ShouldEqual, 200)
		f.stopping.Store(true)
		So(code(), ShouldEqual, 503)
	})
}

// Guards request targets in absolute form.
func TestRequestTargets(t *testing.T) {
	for in, want := range map[string]string{"/a?b": "/a?b", "http://h/a?b": "/a?b", "http://h": "/", "http://h?x": "/?x", "*": "*"} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + in + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := requestTarget(r); got != want || ok != strings.HasPrefix(want, "/") {
			t.Errorf("%s: %s %v", in, got, ok)
		}
	}
}
