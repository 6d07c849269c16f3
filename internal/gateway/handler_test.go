package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/standin/upstream"
	"zincloft.example/zincloft/messages"
)

const settings = `
self_settings: {node_name: f1, zone: a, ip_address: 127.0.0.1, limits: {memory_mb: 64}}
network_settings: {listen_addresses: {front: "127.0.0.1:1", readiness: "127.0.0.1:2"}, internal_port_range: [7000, 7001], seed_nodes: ["127.0.0.1:3"], zones: {a: r}}
rule_terms: {bounds: {retry_budget_slack: 200}}
`

func configured(version int, kind string) []byte {
	return []byte(fmt.Sprintf(`{"version":"%08x","services":[{"name":"svc","cold_per_s":4}],"limits":{"max_body_bytes":100},
"virtual_hosts":[{"hostname":"h.example","path_routes":[{"name":"r","path_prefix":"/x/","kind":%q,"timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`, version, kind))
}

type fixture struct {
	f  *Gateway
	up []*upstream.Replica
	n  int
}

func newFixture(kind string, replicas int) *fixture {
	set, err := nodesettings.Parse([]byte(settings))
	So(err, ShouldBeNil)
	f, err := New(set, program.NewLogger(io.Discard, "forager"))
	So(err, ShouldBeNil)
	f.frontOnce.Do(func() {}) // requests come by the handler here, not by a listener
	r := &fixture{f: f}
	st := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: configured(1, kind)}
	for i := range replicas {
		up, err := upstream.Start(fmt.Sprintf("i%d", i))
		So(err, ShouldBeNil)
		r.up = append(r.up, up)
		st.Instances = append(st.Instances, registry.Instance{ID: up.ID, Service: "svc", Addr: up.Addr(), Zone: "a", Slots: 4})
	}
	f.applyUpdate(st)
	Reset(func() {
		for _, up := range r.up {
			up.Close()
		}
	})
	return r
}

func (r *fixture) do(method, path, body string) *httptest.ResponseRecorder {
	r.n++
	q := httptest.NewRequest(method, path, strings.NewReader(body))
	q.Host = "h.example"
	q.Header.Set("X-Attempt-Id", fmt.Sprint(r.n))
	q.Header.Set("X-Deadline-Ms", "2000")
	w := httptest.NewRecorder()
	r.f.handleRequest(w, q)
	return w
}

// all sets what every replica does next.
func (r *fixture) all(b ...upstream.Behaviour) {
	for _, up := range r.up {
		up.SetBehaviours(b...)
	}
}

func (r *fixture) ran() (n int) {
	for _, up := range r.up {
		n += up.Executions()[fmt.Sprint(r.n)]
	}
	return n
}

func TestRequestOutcomes(t *testing.T) {
	Convey("An unsafe request", t, func() {
		r := newFixture("unsafe", 3)
		Convey("is answered by a replica", func() {
			w := r.do("POST", "/x/1", "order")
			So(w.Code, ShouldEqual, 200)
			So(w.Header().Get("X-Response-Seal"), ShouldEqual, "seal-1")
			So(r.ran(), ShouldEqual, 1)
		})
		for _, b := range []upstream.Behaviour{upstream.TruncatesResponse, upstream.ClosesWithoutResponse, upstream.SendsGarbage, upstream.OmitsSeal, upstream.OmitsAttemptID} {
			Convey("runs once and is told as a doubt where its answer is "+string(b), func() {
				r.all(b)
				w := r.do("POST", "/x/1", "order")
				So(w.Code, ShouldEqual, http.StatusBadGateway)
				So(w.Header().Get("Retry-After"), ShouldEqual, "")
				So(r.ran(), ShouldEqual, 1)
			})
		}
		Convey("goes on after proof that it has not run, and is refused with when to come back after the last", func() {
			r.all(upstream.RejectsNotExecuted)
			w := r.do("POST", "/x/1", "order")
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldNotEqual, "")
			So(r.ran(), ShouldEqual, 0)
			So(r.do("POST", "/x/1", "order").Code, ShouldEqual, 200)
		})
		Convey("is refused at once where no replica may take it", func() {
			r.f.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 1, EvacuatedZones: []string{"a"}})
			w := r.do("POST", "/x/1", "order")
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldNotEqual, "")
		})
		Convey("with a body over the limit is 413, and nobody sees it", func() {
			So(r.do("POST", "/x/1", strings.Repeat("x", 101)).Code, ShouldEqual, http.StatusRequestEntityTooLarge)
			So(r.ran(), ShouldEqual, 0)
		})
		Convey("is refused while too many bytes of others are held, and its own are given back", func() {
			r.f.bodyMemory.limit = 10
			w := r.do("POST", "/x/1", "more than ten bytes")
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldNotEqual, "")
			So(r.ran(), ShouldEqual, 0)
			So(r.do("POST", "/x/1", "few").Code, ShouldEqual, 200)
			So(r.f.bodyMemory.used.Load(), ShouldEqual, 0)
		})
		Convey("without a route is 404", func() {
			So(r.do("POST", "/y/1", "").Code, ShouldEqual, http.StatusNotFound)
		})
	})
	Convey("A safe request", t, func() {
		r := newFixture("safe", 2)
		for _, b := range []upstream.Behaviour{upstream.TruncatesResponse, upstream.ClosesWithoutResponse, upstream.RespondsInternalError, upstream.RejectsNotExecuted} {
			Convey("is offered to another replica where the first one "+string(b), func() {
				r.up[0].SetBehaviours(b, b, b)
				for range 4 {
					w := r.do("GET", "/x/1", "")
					So(w.Code, ShouldEqual, 200)
					So(w.Body.String(), ShouldContainSubstring, "body of "+fmt.Sprint(r.n))
				}
			})
		}
		Convey("is offered to a second one beside the first where that one is silent", func() {
			r.up[0].SetBehaviours(upstream.NeverResponds, upstream.NeverResponds)
			r.up[1].SetBehaviours(upstream.AnswersCorrectly, upstream.AnswersCorrectly)
			for range 3 {
				began := time.Now()
				So(r.do("GET", "/x/1", "").Code, ShouldEqual, 200)
				So(time.Since(began), ShouldBeLessThan, 1500*time.Millisecond)
			}
		})
		// Guards addresses that another replica took over: one 421 is proof enough.
		Convey("leaves a replica whose address is another's, for good", func() {
			r.up[0].ID = "other"
			for range 8 {
				So(r.do("GET", "/x/1", "").Code, ShouldEqual, 200)
			}
			So(len(r.up[0].Requests()), ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

func TestConfigurationVersions(t *testing.T) {
	Convey("Within a life no older register takes hold", t, func() {
		r := newFixture("safe", 1)
		r.f.applyUpdate(&messages.StateUpdate{Sequence: 5, ConfigVersion: 9, Config: configured(9, "unsafe"), EvacuatedZones: []string{"a"}})
		r.f.applyUpdate(&messages.StateUpdate{Full: true, Bootstrapping: true, Sequence: 3, ConfigVersion: 4, Config: configured(4, "safe")})
		So(r.f.config.Load().Version, ShouldEqual, 9)
		So(r.do("GET", "/x/1", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		Convey("nor does a spoilt one", func() {
			r.f.applyUpdate(&messages.StateUpdate{Sequence: 6, ConfigVersion: 12, Config: []byte("{")})
			So(r.f.config.Load().Version, ShouldEqual, 9)
		})
	})
	Convey("It is ready only with a configuration and a table", t, func() {
		set, _ := nodesettings.Parse([]byte(settings))
		f, _ := New(set, program.NewLogger(io.Discard, "forager"))
		f.frontOnce.Do(func() {})
		code := func() int {
			w := httptest.NewRecorder()
			f.handleReadiness(w, nil)
			return w.Code
		}
		So(code(), ShouldEqual, 503)
		f.applyUpdate(&messages.StateUpdate{Sequence: 1, ConfigVersion: 1, Config: configured(1, "safe")})
		So(code(), ShouldEqual, 503)
		f.applyUpdate(&messages.StateUpdate{Full: true})
		So(code(), ShouldEqual, 200)
		f.stopping.Store(true)
		So(code(), ShouldEqual, 503)
	})
}
