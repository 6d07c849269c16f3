package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/replica"
)

const (
	noDeadline  = 30 * time.Second       // where neither the client nor the route sets one
	lastMoment  = 10 * time.Millisecond  // an answer on time must still travel
	comeBack    = 300 * time.Millisecond // until a refused client finds room, where nothing better is known
	notYetReady = time.Second
	passOver    = 20 * time.Millisecond // another governor has room at once
	headSlack   = 4096                  // bytes of a head beyond the limit that are let pass, as net/http does
	writeMost   = 5 * time.Second       // beyond its deadline, for a client to read its answer
)

// refuse answers that the request has not run and when to come again.
func refuse(w http.ResponseWriter, status int, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	finish(w, status)
}

func finish(w http.ResponseWriter, status int) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeMost))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// serve takes one request of a client through to its end.
func (f *Forager) serve(w http.ResponseWriter, r *http.Request) {
	defer serving(r)()
	began := time.Now()
	control := http.NewResponseController(w)
	if f.stopping.Load() || f.draining.Load() {
		w.Header().Set("Connection", "close")
		if f.draining.Load() && f.refuses() { // read and not sent: it passes over whole to another governor
			f.count("drained")
			refuse(w, http.StatusServiceUnavailable, passOver)
			return
		}
	}
	c := f.config.Load()
	if c == nil {
		refuse(w, http.StatusServiceUnavailable, notYetReady)
		return
	}
	uri, ok := target(r)
	if !ok || len(r.Header["X-Attempt-Id"]) > 1 {
		f.badRequest(r, "target_or_identity")
		w.Header().Set("Connection", "close")
		finish(w, http.StatusBadRequest)
		return
	}
	if headBytes(r) > c.Limits.MaxHeaderBytes+headSlack {
		f.badRequest(r, "head_too_large")
		w.Header().Set("Connection", "close")
		finish(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	path, _, _ := strings.Cut(uri, "?")
	route, ok := c.FindRoute(r.Host, path)
	if !ok {
		f.count("no_route")
		finish(w, http.StatusNotFound)
		return
	}
	most := noDeadline
	if route.Timeout > 0 {
		most = route.Timeout
	}
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil && ms > 0 && ms < float64(most)/float64(time.Millisecond) {
		most = time.Duration(ms * float64(time.Millisecond))
	}
	// A client that sends or reads too slowly loses its connection; it may not hold one beyond its own deadline.
	bodied := r.Body != nil && r.Body != http.NoBody
	if bodied {
		control.SetReadDeadline(began.Add(most))
	}
	control.SetWriteDeadline(began.Add(most + writeMost))
	body, err := f.readBody(r, c.Limits.MaxBodyBytes)
	defer f.bodies.release(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.count("body_too_large")
		w.Header().Set("Connection", "close")
		finish(w, http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errCrowded):
		f.count("body_crowded")
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusServiceUnavailable, comeBack)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.badRequest(r, "body_late")
		w.Header().Set("Connection", "close")
		finish(w, http.StatusRequestTimeout) // nothing of it went anywhere
		return
	case err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET):
		f.badRequest(r, "body_framing")
		w.Header().Set("Connection", "close")
		finish(w, http.StatusBadRequest)
		return
	case err != nil:
		f.count("body_broken")
		panic(http.ErrAbortHandler) // the rest never came: nobody waits for an answer
	}
	if bodied {
		control.SetReadDeadline(time.Time{})
	}
	f.forward(w, r, uri, route, body, began.Add(most-min(lastMoment, most/10)))
}

// headBytes is how long a request's head was, about.
func headBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 32
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return int64(n)
}

// target is the path and query that a request asks for; also of one that names the whole address (RFC 9112, 3.2.2).
func target(r *http.Request) (string, bool) {
	uri := r.RequestURI
	if r.URL.IsAbs() {
		_, uri, _ = strings.Cut(uri, "://")
		if i := strings.IndexAny(uri, "/?"); i < 0 {
			uri = "/"
		} else if uri = uri[i:]; uri[0] == '?' {
			uri = "/" + uri
		}
	}
	return uri, strings.HasPrefix(uri, "/")
}

func (f *Forager) readBody(r *http.Request, most int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	return f.bodies.read(r.Body, r.ContentLength, most)
}

// attempt is a try's end.
type attempt struct {
	replica.Result
	took time.Duration
}

// forward offers a request to replicas until one has answered or no further try may be made.
//
// A safe request that waits long for its answer is offered to a second replica beside the first: against replicas that
// went dark under it, and answers that got lost. Whoever answers first is heard; the other connection is closed, and
// with it the work there.
func (f *Forager) forward(w http.ResponseWriter, r *http.Request, uri string, route gatewayconfig.Route, body []byte, deadline time.Time) {
	service := route.PickService(rand.Float64())
	q := replica.Request{Method: r.Method, URI: uri, Host: r.Host, Header: replica.EndToEnd(r.Header), Body: body,
		Attempt: r.Header.Get("X-Attempt-Id"), Deadline: deadline, Service: service, Patient: !route.Idempotent}
	var hedge <-chan time.Time
	if route.Idempotent { // a safe request whose client left is dropped; an unsafe one is left to end
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		q.Stop = ctx
		if wait, ok := retry.HedgeAfter(route.LatencyTarget, time.Until(deadline)); ok && route.MaxAttempts > 1 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			hedge = timer.C
		}
	}
	f.arrived(service)
	began, there := time.Now(), time.Duration(0)
	defer func() { f.done(route.Idempotent, time.Since(began), there) }()
	t := retry.Request{Safe: route.Idempotent, MaxAttempts: route.MaxAttempts, Target: route.LatencyTarget}
	var tried []string
	ends := make(chan attempt, route.MaxAttempts+retry.UnsentMost+1)
	pending := 0
	last := replica.Result{Verdict: retry.NotRun}
	defer func() {
		last.Drop()
		if pending > 0 { // beaten ones: what they still bring is let go of
			go func(n int) {
				for range n {
					(<-ends).Drop()
				}
			}(pending)
		}
	}()
	offer := func(spare bool) (bool, time.Duration) {
		p := f.pick(router.Ask{Service: service, Tried: tried, Spare: spare,
			Request: admission.Request{Route: route.Name, Target: route.LatencyTarget, Priority: route.Priority, Left: time.Until(deadline)}})
		if p.ID == "" {
			return false, p.Wait
		}
		tried = append(tried, p.ID)
		q := q
		q.Instance = p.ID
		pending++
		t.Sent++
		go func() {
			sent := time.Now()
			res := f.replicas.Do(p.ID, p.Addr, &q)
			f.outcome(p, q.Attempt, res, time.Since(sent), q.Stop != nil && q.Stop.Err() != nil)
			ends <- attempt{res, time.Since(sent)}
		}()
		return true, 0
	}
	if r.Context().Err() != nil { // nobody waits for it, and it has not run
		f.count("left")
		panic(http.ErrAbortHandler)
	}
	if !retry.Offers(time.Until(deadline), route.LatencyTarget) {
		f.count("no_time")
		refuse(w, http.StatusServiceUnavailable, comeBack)
		return
	}
	if ok, wait := offer(false); !ok {
		f.count("no_room")
		refuse(w, http.StatusServiceUnavailable, wait)
		return
	}
	for pending > 0 {
		select {
		case <-hedge:
			hedge = nil
			if t.Sent < t.MaxAttempts && pending == 1 && f.spend(service) {
				if ok, _ := offer(true); ok {
					f.count("hedged")
				}
			}
			continue
		case e := <-ends:
			res := e.Result
			there += e.took
			pending--
			if res.Unsent {
				t.Sent--
				t.Unsent++
			}
			t.Left = time.Until(deadline)
			t.Failed = res.Answer != nil && res.Answer.Status >= 500
			if res.Verdict >= last.Verdict { // a later proof of one try says nothing of another
				last, res = res, last
			}
			res.Drop()
			if res = e.Result; res.Verdict == retry.Answered && !t.Failed {
				pass(w, r, res.Answer)
				return
			}
			if r.Context().Err() != nil {
				if route.Idempotent {
					panic(http.ErrAbortHandler)
				}
				continue // nobody waits: what has not run is not offered again
			}
			if !retry.Again(res.Verdict, t) || pending > 0 {
				continue
			}
			if !res.Unsent && !f.spend(service) {
				f.count("budget")
				continue
			}
			offer(false)
		}
	}
	if last.Verdict == retry.Answered {
		pass(w, r, last.Answer)
		return
	}
	switch status := retry.Final(last.Verdict, last.Expired); status {
	case http.StatusServiceUnavailable:
		refuse(w, status, comeBack)
	default:
		f.count("final_" + strconv.Itoa(status))
		finish(w, status)
	}
}

// pass hands a replica's answer to the client.
func pass(w http.ResponseWriter, r *http.Request, a *replica.Answer) {
	h := w.Header()
	for k, v := range replica.EndToEnd(a.Header) {
		h[k] = v
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is to be guessed
	}
	if a.Status == http.StatusNoContent {
		h.Del("Content-Length")
	}
	if a.Length >= 0 && r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
	if a.Rest != nil {
		if err := a.Rest(w); err != nil {
			panic(http.ErrAbortHandler) // a cut answer must not appear complete
		}
	}
}

// outcome books what became of a try.
func (f *Forager) outcome(p router.Picked, attempt string, res replica.Result, took time.Duration, stopped bool) {
	e := router.End{N: p.N, Outcome: loadbalancer.Good, Took: took, Refused: res.Refused}
	switch {
	case res.Unsent && (res.Expired || stopped):
		e.Outcome = loadbalancer.Left
	case res.Unsent:
		e.Outcome = loadbalancer.Uncalled
	case res.Full:
		e.Outcome = loadbalancer.Full
	case stopped && res.Verdict != retry.Answered:
		e.Outcome = loadbalancer.Left
	case res.Verdict == retry.MayHaveRun && (res.Cause == "spoilt" || res.Cause == "cut" || res.Cause == "surplus" || res.Cause == "unproven" || res.Cause == "nameless" || res.Cause == "not_http"):
		e.Outcome = loadbalancer.Spoilt
	case res.Verdict == retry.MayHaveRun:
		e.Outcome = loadbalancer.Silent
	case res.Answer.Status >= 500:
		e.Outcome = loadbalancer.Spoilt
	}
	if res.Answer != nil {
		e.Misdirected, e.Load = res.Answer.Status == http.StatusMisdirectedRequest, loadOf(res.Answer.Header)
	}
	if res.Cause != "" {
		f.count("try_" + res.Cause)
	}
	if (res.Verdict == retry.MayHaveRun && !stopped || res.Skipped > 0) && f.lines.Allow() {
		f.log.Info().Str("event", "try").Str("attempt", attempt[:min(len(attempt), 64)]).Str("replica", p.ID).Uint64("conn", res.Conn).Int("use", res.Use).
			Str("verdict", res.Verdict.String()).Str("cause", res.Cause).Int("skipped", res.Skipped).Msg("")
	}
	f.mu.Lock()
	follows := f.brain.End(f.now(), e)
	f.mu.Unlock()
	if follows.Fell != nil {
		select {
		case f.fell <- *follows.Fell:
		default:
		}
	}
	if follows.Gone != "" {
		select {
		case f.gone <- follows.Gone: // everybody is to know at once
		default:
		}
	}
}

// loadOf reads a replica's own word on its load: running, waiting, slots.
func loadOf(h http.Header) (n [3]int) {
	v := h.Get("X-Instance-Load")
	if v == "" {
		return
	}
	parts := strings.Split(v, ",")
	if len(parts) != 3 {
		return
	}
	for i, s := range parts {
		x, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || x < 0 || x > 1<<20 {
			return [3]int{}
		}
		n[i] = x
	}
	return n
}
