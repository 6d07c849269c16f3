package controlserver

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/tidwall/gjson"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/gatewayconfig"
)

const (
	bodyMost = 16 << 20
	beatMost = 64 << 10

	bodyTime   = 10 * time.Second // for a call's body to come
	numberMost = 1 << 53          // of whole numbers in JSON
	slotsMost  = 1 << 20
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
		"windows.command":        c.command,
		"windows.describe":       c.windows,
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

// gone is the status of a call whose caller has left: nobody reads it.
const gone = 499

// called has the brain answer a caller, unless that one has left by the time: it calls another comb then, and what it
// asked for here might undo what has come since.
func (c *Comb) called(r *http.Request, e controller.Event) controller.Answer {
	done := make(chan controller.Answer, 1)
	c.post(func() {
		if r.Context().Err() != nil {
			done <- controller.Answer{Status: gone}
			return
		}
		c.token++
		e.Token = c.token
		c.waiting[e.Token] = done
		c.step(e)
	})
	return <-done
}

// bodyOf reads a call's body whole. Where it can't, the call has been answered.
func bodyOf(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		say(w, http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		say(w, http.StatusRequestTimeout, "the body did not come in time")
	default:
		say(w, http.StatusBadRequest, "the body cannot be read whole")
	}
	return nil, false
}

func (c *Comb) heartbeat(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("of")
	body, ok := bodyOf(w, r, beatMost)
	if !ok {
		return
	}
	if !gjson.ValidBytes(body) || id == "" {
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
	// A number that is none would stand above all later ones.
	if seq := doc.Get("sequence"); seq.Exists() && (seq.Type != gjson.Number || seq.Num < 0 || seq.Num > numberMost) || l.Slots < 0 || l.Slots > slotsMost || cold < 0 {
		say(w, http.StatusUnprocessableEntity, "heartbeat: sequence, slots or cold_remaining is no such number")
		return
	}
	a := c.called(r, controller.Event{Beat: &l})
	if a.Status != http.StatusOK {
		say(w, a.Status, "out of touch with the other combs")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if a.Where == "" {
		w.Write([]byte("{}"))
		return
	}
	body, _ = json.Marshal(map[string]string{"heartbeat_target": a.Where})
	w.Write(body)
}

func (c *Comb) deregister(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("of")
	if id == "" {
		say(w, http.StatusBadRequest, "of: names no replica")
		return
	}
	if a := c.called(r, controller.Event{Leave: id}); a.Status != http.StatusOK {
		say(w, a.Status, "out of touch with the other combs")
		return
	}
	say(w, http.StatusOK, "")
}

func (c *Comb) replace(w http.ResponseWriter, r *http.Request) {
	body, ok := bodyOf(w, r, bodyMost)
	if !ok {
		return
	}
	conf, err := gatewayconfig.Parse(body)
	if err != nil {
		c.log.Info().Str("event", "config_refused").Err(err).Msg("")
		say(w, http.StatusBadRequest, err.Error())
		return
	}
	say(w, c.called(r, controller.Event{Order: &chainreplication.Command{Version: conf.Version, Body: body}}).Status, "")
}

func (c *Comb) evacuate(w http.ResponseWriter, r *http.Request, out bool) {
	zone := r.URL.Query().Get("of")
	if _, ok := c.set.Zones[zone]; !ok {
		say(w, http.StatusUnprocessableEntity, "of: names no zone")
		return
	}
	say(w, c.called(r, controller.Event{Order: &chainreplication.Command{Zone: zone, Evacuated: out}}).Status, "")
}

// standing tells an operator how the core stands, as this comb knows; also while it is out of touch.
func (c *Comb) standing(w http.ResponseWriter, _ *http.Request) {
	c.json(w, func() ([]byte, error) { return json.MarshalIndent(c.brain.Describe(c.now()), "", "  ") })
}

// command takes an operator's word on maintenance windows.
func (c *Comb) command(w http.ResponseWriter, r *http.Request) {
	body, ok := bodyOf(w, r, bodyMost)
	if !ok {
		return
	}
	var x maintenance.Command
	if json.Unmarshal(body, &x) != nil {
		say(w, http.StatusBadRequest, "windows: the command cannot be read")
		return
	}
	a := c.called(r, controller.Event{Windows: &x})
	say(w, a.Status, string(a.Body))
}

func (c *Comb) windows(w http.ResponseWriter, _ *http.Request) {
	c.json(w, func() ([]byte, error) { return c.brain.Windows(c.now()) })
}

// json answers with what the deciding goroutine makes.
func (c *Comb) json(w http.ResponseWriter, f func() ([]byte, error)) {
	type made struct {
		body []byte
		err  error
	}
	m := ask(c, func() made { body, err := f(); return made{body, err} })
	if m.err != nil {
		say(w, http.StatusInternalServerError, m.err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(m.body)
}

func (c *Comb) describe(w http.ResponseWriter, r *http.Request) {
	a := c.called(r, controller.Event{Read: true})
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
