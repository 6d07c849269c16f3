package combd

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/tidwall/gjson"

	"zincloft.example/zincloft/hive/chain"
	"zincloft.example/zincloft/hive/config"
	"zincloft.example/zincloft/hive/registry"
	"zincloft.example/zincloft/hive/words"
	"zincloft.example/zincloft/internal/link"
)

const (
	answerWithin = 900 * time.Millisecond // callers go elsewhere after a second of silence
	enterAgain   = 250 * time.Millisecond
	bodyMost     = 16 << 20
	beatMost     = 64 << 10
)

// order is an operator's change on its way through the chain.
type order struct {
	o        chain.Order
	entered  bool
	n, seq   uint64
	sentAt   time.Duration
	deadline time.Duration
	done     chan int
}

// read is an operator's question for the configuration.
type read struct {
	n        uint64
	seq      uint64 // held when it came
	votes    map[string]bool
	asked    bool
	deadline time.Duration
	done     chan answer
}

type answer struct {
	status int
	body   []byte
	where  string
}

// routes is the one dispatch of calls: method and path by the router, then the call's name, which stands in the query.
func (c *Comb) routes() http.Handler {
	mux := chi.NewRouter()
	calls := map[string]http.HandlerFunc{
		"instances.heartbeat":    c.heartbeat,
		"instances.deregister":   c.deregister,
		"configuration.replace":  c.replace,
		"configuration.describe": c.describe,
		"evacuations.start":      func(w http.ResponseWriter, r *http.Request) { c.evacuate(w, r, true) },
		"evacuations.finish":     func(w http.ResponseWriter, r *http.Request) { c.evacuate(w, r, false) },
	}
	mux.Post("/api/rpc", func(w http.ResponseWriter, r *http.Request) {
		if call := calls[r.URL.Query().Get("call")]; call != nil {
			call(w, r)
			return
		}
		say(w, http.StatusNotFound, "call: names no call")
	})
	return mux
}

func say(w http.ResponseWriter, status int, problem string) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "0.2")
	}
	body := []byte("{}")
	if problem != "" {
		body, _ = json.Marshal(map[string]string{"error": problem})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// ask has the deciding goroutine work out an answer.
func ask[T any](c *Comb, f func() T) T {
	done := make(chan T, 1)
	c.post(func() { done <- f() })
	return <-done
}

func (c *Comb) heartbeat(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("of")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, beatMost))
	if err != nil || !gjson.ValidBytes(body) || id == "" {
		say(w, http.StatusBadRequest, "heartbeat: cannot be read")
		return
	}
	doc := gjson.ParseBytes(body)
	cold, _ := time.ParseDuration(doc.Get("cold_remaining").String())
	l := registry.Life{ID: id, Service: doc.Get("service").String(), Addr: doc.Get("address").String(), Zone: doc.Get("zone").String(),
		Slots: int(doc.Get("slots").Int()), Draining: doc.Get("state").String() == "draining", Cold: cold.Milliseconds(), Seq: doc.Get("sequence").Uint()}
	if l.Addr == "" || l.Service == "" {
		say(w, http.StatusUnprocessableEntity, "heartbeat: address or service is missing")
		return
	}
	target := ask(c, func() string {
		now := c.now()
		if !c.view.InTouch(now) {
			return "-"
		}
		if news, urgent := c.reg.Beat(now, l); news {
			if urgent {
				c.log.Info().Str("event", "draining").Str("id", id).Msg("")
				c.gossipNow(now, []registry.Life{l})
			}
			c.tell(now, urgent)
		}
		return c.nearest(now, l.Zone)
	})
	if target == "-" {
		say(w, http.StatusServiceUnavailable, "out of touch with the other combs")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if target == "" {
		w.Write([]byte("{}"))
		return
	}
	body, _ = json.Marshal(map[string]string{"heartbeat_target": target})
	w.Write(body)
}

// nearest is a comb in the replica's zone, where there is another one in touch; bytes between zones cost.
func (c *Comb) nearest(now time.Duration, zone string) string {
	if zone == c.set.Zone {
		return c.set.Control
	}
	for _, m := range c.view.Peers(now) {
		if m.Zone == zone && m.Call != "" && c.view.Heard(now, m.ID) {
			return m.Call
		}
	}
	return ""
}

func (c *Comb) deregister(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("of")
	ok := ask(c, func() bool {
		now := c.now()
		if !c.view.InTouch(now) {
			return false
		}
		if c.reg.Leave(now, id) {
			c.log.Info().Str("event", "gone").Str("id", id).Msg("")
			c.gossipNow(now, []registry.Life{{ID: id, Gone: true}})
			c.tell(now, true)
		}
		return true
	})
	if !ok {
		say(w, http.StatusServiceUnavailable, "out of touch with the other combs")
		return
	}
	say(w, http.StatusOK, "")
}

func (c *Comb) replace(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		say(w, http.StatusBadRequest, "configuration: the body cannot be read whole")
		return
	}
	conf, err := config.Parse(body)
	if err != nil {
		c.log.Info().Str("event", "config_refused").Err(err).Msg("")
		say(w, http.StatusBadRequest, err.Error())
		return
	}
	say(w, c.submit(chain.Order{Version: conf.Version, Body: body}), "")
}

func (c *Comb) evacuate(w http.ResponseWriter, r *http.Request, out bool) {
	zone := r.URL.Query().Get("of")
	if _, ok := c.set.Zones[zone]; !ok {
		say(w, http.StatusUnprocessableEntity, "of: names no zone")
		return
	}
	say(w, c.submit(chain.Order{Zone: zone, Out: out}), "")
}

// submit takes an order through the chain and returns the status for its caller.
func (c *Comb) submit(o chain.Order) int {
	x := &order{o: o, done: make(chan int, 1)}
	c.post(func() {
		now := c.now()
		if !c.view.InTouch(now) {
			x.done <- http.StatusServiceUnavailable
			return
		}
		c.token++
		c.orders[c.token] = x
		x.deadline, x.sentAt = now+answerWithin, -time.Hour
		c.advance(now)
	})
	return <-x.done
}

// advance moves orders and reads on as far as they go.
func (c *Comb) advance(now time.Duration) {
	v := c.view.View()
	touch := c.view.InTouch(now)
	r, known := c.chain.Committed()
	var outs []chain.Output
	for token, x := range c.orders {
		if x.entered && v.N != x.n {
			x.entered = false // that head's word counts no more; each order may be entered again
		}
		switch {
		case x.entered && known && c.chain.CommittedIn() == x.n && r.Seq >= x.seq:
			x.done <- http.StatusOK
			delete(c.orders, token)
		case !touch || now > x.deadline:
			x.done <- http.StatusServiceUnavailable
			delete(c.orders, token)
		case !x.entered && len(v.Chain) > 0 && now-x.sentAt >= enterAgain:
			x.sentAt = now
			if v.Chain[0] != c.view.Self().ID {
				if m, ok := c.member(v.Chain[0]); ok {
					c.to(m.Addr, &link.Msg{Enter: &words.Enter{Token: token, Order: x.o}})
				}
			} else if !c.sick {
				n, seq, out := c.chain.Enter(now, x.o)
				x.entered, x.n, x.seq = true, n, seq
				outs = append(outs, out)
			}
		}
	}
	for token, x := range c.reads {
		switch {
		case !touch || now > x.deadline || v.N != x.n:
			x.done <- answer{status: http.StatusServiceUnavailable}
			delete(c.reads, token)
		case len(x.votes) >= v.Majority() && c.chain.CommittedIn() == v.N && known && r.Seq >= x.seq:
			if len(r.Body) == 0 {
				x.done <- answer{status: http.StatusNotFound}
			} else {
				x.done <- answer{status: http.StatusOK, body: r.Body}
			}
			delete(c.reads, token)
		case !x.asked:
			x.asked = true
			if c.view.Vouches(v.N) {
				x.votes[c.view.Self().ID] = true
			}
			for _, m := range v.Roster {
				c.to(m.Addr, &link.Msg{Confirm: &words.Confirm{Token: token, N: v.N}})
			}
		}
	}
	for _, out := range outs {
		c.chained(now, out)
	}
}

// describe answers with what is committed, once a majority has said that no other view may have been decided: a
// machine that was cut off must not answer with what it last knew.
func (c *Comb) describe(w http.ResponseWriter, _ *http.Request) {
	x := &read{votes: map[string]bool{}, done: make(chan answer, 1)}
	c.post(func() {
		now := c.now()
		v := c.view.View()
		if !c.view.InTouch(now) {
			x.done <- answer{status: http.StatusServiceUnavailable}
			return
		}
		if v.Place(c.view.Self().ID) < 0 { // the tail answers
			if m, ok := c.member(v.Chain[len(v.Chain)-1]); ok {
				for _, p := range c.view.Peers(now) {
					if p.ID == m.ID && p.Call != "" {
						x.done <- answer{status: http.StatusTemporaryRedirect, where: p.Call}
						return
					}
				}
			}
			x.done <- answer{status: http.StatusServiceUnavailable}
			return
		}
		c.token++
		c.reads[c.token] = x
		x.n, x.seq, x.deadline = v.N, c.chain.Held().Seq, now+answerWithin
		c.advance(now)
	})
	a := <-x.done
	switch a.status {
	case http.StatusTemporaryRedirect:
		w.Header().Set("Location", "http://"+a.where+"/api/rpc?call=configuration.describe")
		w.WriteHeader(a.status)
	case http.StatusOK:
		w.Header().Set("Content-Type", "application/json")
		w.Write(a.body)
	case http.StatusNotFound:
		say(w, a.status, "no configuration has been given yet")
	default:
		say(w, a.status, "out of touch with the other combs")
	}
}
