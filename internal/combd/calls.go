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
	"zincloft.example/zincloft/hive/core"
	"zincloft.example/zincloft/hive/registry"
)

const (
	bodyMost = 16 << 20
	beatMost = 64 << 10
)

// routes is the one dispatch of calls: method and path by the router, then the call's name, which stands in the query.
func (c *Comb) routes() http.Handler {
	mux := chi.NewRouter()
	calls := map[string]http.HandlerFunc{
		"instances.heartbeat":    c.heartbeat,
		"instances.deregister":   c.deregister,
		"configuration.replace":  c.replace,
		"configuration.describe": c.describe,
		"core.describe":          c.standing, // of this project, beside the protocol's
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
		if !c.core.InTouch(now) {
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
	for _, m := range c.core.Peers(now) {
		if m.Zone == zone && m.Call != "" && c.core.Heard(now, m.ID) {
			return m.Call
		}
	}
	return ""
}

func (c *Comb) deregister(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("of")
	ok := ask(c, func() bool {
		now := c.now()
		if !c.core.InTouch(now) {
			return false
		}
		c.gone(now, id, "itself")
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
	return c.await(func() (uint64, core.Actions) { return c.core.Order(c.now(), o) }).Status
}

func (c *Comb) await(f func() (uint64, core.Actions)) core.Answer {
	done := make(chan core.Answer, 1)
	c.post(func() {
		token, a := f()
		c.waiting[token] = done
		c.do(a)
	})
	return <-done
}

// standing tells an operator how the core stands, as this comb knows; also while it is out of touch.
func (c *Comb) standing(w http.ResponseWriter, _ *http.Request) {
	body, err := json.MarshalIndent(ask(c, func() core.Standing { return c.core.Describe(c.now()) }), "", "  ")
	if err != nil {
		say(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}

func (c *Comb) describe(w http.ResponseWriter, _ *http.Request) {
	a := c.await(func() (uint64, core.Actions) { return c.core.Read(c.now()) })
	switch a.Status {
	case http.StatusTemporaryRedirect:
		w.Header().Set("Location", "http://"+a.Where+"/api/rpc?call=configuration.describe")
		w.WriteHeader(a.Status)
	case http.StatusOK:
		w.Header().Set("Content-Type", "application/json")
		w.Write(a.Body)
	case http.StatusNotFound:
		say(w, a.Status, "no configuration has been given yet")
	default:
		say(w, a.Status, "out of touch with the other combs")
	}
}
