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
	defaultTimeout     = 30 * time.Second       // where neither the client nor the route sets one
	responseTravelTime = 10 * time.Millisecond  // an answer on time must still travel
	defaultRetryAfter  = 300 * time.Millisecond // until a refused client finds room, where nothing better is known
	notReadyRetryAfter = time.Second
	drainingRetryAfter = 20 * time.Millisecond // another governor has room at once
	headerSlack        = 4096                  // bytes of a head beyond the limit that are let pass, as net/http does
	writeGrace         = 5 * time.Second       // beyond its deadline, for a client to read its answer
)

// reject answers that the request has not run and when to come again.
func reject(w http.ResponseWriter, status int, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	respondEmpty(w, status)
}

func respondEmpty(w http.ResponseWriter, status int) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeGrace))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// handleRequest takes one request of a client through to its end.
func (g *Gateway) handleRequest(w http.ResponseWriter, r *http.Request) {
	defer markBusy(r)()
	began := time.Now()
	control := http.NewResponseController(w)
	if g.stopping.Load() || g.draining.Load() {
		w.Header().Set("Connection", "close")
		if g.draining.Load() && g.rejectsRequests() { // read and not sent: it passes over whole to another governor
			g.count("drained")
			reject(w, http.StatusServiceUnavailable, drainingRetryAfter)
			return
		}
	}
	c := g.config.Load()
	if c == nil {
		reject(w, http.StatusServiceUnavailable, notReadyRetryAfter)
		return
	}
	uri, ok := requestTarget(r)
	if !ok || len(r.Header["X-Attempt-Id"]) > 1 {
		g.rejectBadRequest(r, "target_or_identity")
		w.Header().Set("Connection", "close")
		respondEmpty(w, http.StatusBadRequest)
		return
	}
	if headerSize(r) > c.Limits.MaxHeaderBytes+headerSlack {
		g.rejectBadRequest(r, "head_too_large")
		w.Header().Set("Connection", "close")
		respondEmpty(w, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	path, _, _ := strings.Cut(uri, "?")
	route, ok := c.FindRoute(r.Host, path)
	if !ok {
		g.count("no_route")
		respondEmpty(w, http.StatusNotFound)
		return
	}
	most := defaultTimeout
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
	control.SetWriteDeadline(began.Add(most + writeGrace))
	body, err := g.readBody(r, c.Limits.MaxBodyBytes)
	defer g.bodyMemory.release(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		g.count("body_too_large")
		w.Header().Set("Connection", "close")
		respondEmpty(w, http.StatusRequestEntityTooLarge)
		return
	case errors.Is(err, errBodyMemoryFull):
		g.count("body_crowded")
		w.Header().Set("Connection", "close")
		reject(w, http.StatusServiceUnavailable, defaultRetryAfter)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.rejectBadRequest(r, "body_late")
		w.Header().Set("Connection", "close")
		respondEmpty(w, http.StatusRequestTimeout) // nothing of it went anywhere
		return
	case err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET):
		g.rejectBadRequest(r, "body_framing")
		w.Header().Set("Connection", "close")
		respondEmpty(w, http.StatusBadRequest)
		return
	case err != nil:
		g.count("body_broken")
		panic(http.ErrAbortHandler) // the rest never came: nobody waits for an answer
	}
	if bodied {
		control.SetReadDeadline(time.Time{})
	}
	g.forward(w, r, uri, route, body, began.Add(most-min(responseTravelTime, most/10)))
}

// headerSize is how long a request's head was, about.
func headerSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + 32
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return int64(n)
}

// requestTarget is the path and query that a request asks for; also of one that names the whole address (RFC 9112, 3.2.2).
func requestTarget(r *http.Request) (string, bool) {
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

func (g *Gateway) readBody(r *http.Request, most int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	return g.bodyMemory.read(r.Body, r.ContentLength, most)
}

// attemptEnd is a try's end.
type attemptEnd struct {
	replica.Outcome
	latency time.Duration
}

// forward offers a request to replicas until one has answered or no further try may be made.
//
// A safe request that waits long for its answer is offered to a second replica beside the first: against replicas that
// went dark under it, and answers that got lost. Whoever answers first is heard; the other connection is closed, and
// with it the work there.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, uri string, route gatewayconfig.Route, body []byte, deadline time.Time) {
	service := route.PickService(rand.Float64())
	q := replica.Request{Method: r.Method, URI: uri, Host: r.Host, Header: replica.EndToEndHeaders(r.Header), Body: body,
		AttemptID: r.Header.Get("X-Attempt-Id"), Deadline: deadline, Service: service, WaitForDeadline: !route.Idempotent}
	var hedge <-chan time.Time
	if route.Idempotent { // a safe request whose client left is dropped; an unsafe one is left to end
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		q.Cancel = ctx
		if wait, ok := retry.HedgeDelay(route.LatencyTarget, time.Until(deadline)); ok && route.MaxAttempts > 1 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			hedge = timer.C
		}
	}
	g.startRequest(service)
	began, there := time.Now(), time.Duration(0)
	defer func() { g.endRequest(route.Idempotent, time.Since(began), there) }()
	t := retry.State{Safe: route.Idempotent, MaxAttempts: route.MaxAttempts, LatencyTarget: route.LatencyTarget}
	var tried []string
	ends := make(chan attemptEnd, route.MaxAttempts+retry.MaxConnectFailures+1)
	pending := 0
	last := replica.Outcome{Execution: retry.NotExecuted}
	defer func() {
		last.Discard()
		if pending > 0 { // beaten ones: what they still bring is let go of
			go func(n int) {
				for range n {
					(<-ends).Discard()
				}
			}(pending)
		}
	}()
	offer := func(spare bool) (bool, time.Duration) {
		p := g.pick(router.PickRequest{Service: service, Attempted: tried, OnlyIdle: spare,
			Admission: admission.Request{Route: route.Name, LatencyTarget: route.LatencyTarget, Priority: route.Priority, TimeLeft: time.Until(deadline)}})
		if p.EndpointID == "" {
			return false, p.RetryAfter
		}
		tried = append(tried, p.EndpointID)
		q := q
		q.InstanceID = p.EndpointID
		pending++
		t.Attempts++
		go func() {
			sent := time.Now()
			res := g.pool.Do(p.EndpointID, p.Addr, &q)
			g.recordAttempt(p, q.AttemptID, res, time.Since(sent), q.Cancel != nil && q.Cancel.Err() != nil)
			ends <- attemptEnd{res, time.Since(sent)}
		}()
		return true, 0
	}
	if r.Context().Err() != nil { // nobody waits for it, and it has not run
		g.count("left")
		panic(http.ErrAbortHandler)
	}
	if !retry.EnoughTime(time.Until(deadline), route.LatencyTarget) {
		g.count("no_time")
		reject(w, http.StatusServiceUnavailable, defaultRetryAfter)
		return
	}
	if ok, wait := offer(false); !ok {
		g.count("no_room")
		reject(w, http.StatusServiceUnavailable, wait)
		return
	}
	for pending > 0 {
		select {
		case <-hedge:
			hedge = nil
			if t.Attempts < t.MaxAttempts && pending == 1 && g.tryRetry(service) {
				if ok, _ := offer(true); ok {
					g.count("hedged")
				}
			}
			continue
		case e := <-ends:
			res := e.Outcome
			there += e.latency
			pending--
			if res.NotSent {
				t.Attempts--
				t.ConnectFailures++
			}
			t.TimeLeft = time.Until(deadline)
			t.ServerError = res.Response != nil && res.Response.Status >= 500
			if res.Execution >= last.Execution { // a later proof of one try says nothing of another
				last, res = res, last
			}
			res.Discard()
			if res = e.Outcome; res.Execution == retry.Answered && !t.ServerError {
				writeResponse(w, r, res.Response)
				return
			}
			if r.Context().Err() != nil {
				if route.Idempotent {
					panic(http.ErrAbortHandler)
				}
				continue // nobody waits: what has not run is not offered again
			}
			if !retry.ShouldRetry(res.Execution, t) || pending > 0 {
				continue
			}
			if !res.NotSent && !g.tryRetry(service) {
				g.count("budget")
				continue
			}
			offer(false)
		}
	}
	if last.Execution == retry.Answered {
		writeResponse(w, r, last.Response)
		return
	}
	switch status := retry.FinalStatus(last.Execution, last.DeadlineExceeded); status {
	case http.StatusServiceUnavailable:
		reject(w, status, defaultRetryAfter)
	default:
		g.count("final_" + strconv.Itoa(status))
		respondEmpty(w, status)
	}
}

// writeResponse hands a replica's answer to the client.
func writeResponse(w http.ResponseWriter, r *http.Request, a *replica.Response) {
	h := w.Header()
	for k, v := range replica.EndToEndHeaders(a.Header) {
		h[k] = v
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is to be guessed
	}
	if a.Status == http.StatusNoContent {
		h.Del("Content-Length")
	}
	if a.ContentLength >= 0 && r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
	if a.CopyRest != nil {
		if err := a.CopyRest(w); err != nil {
			panic(http.ErrAbortHandler) // a cut answer must not appear complete
		}
	}
}

// recordAttempt books what became of a try.
func (g *Gateway) recordAttempt(p router.PickResult, attempt string, res replica.Outcome, took time.Duration, stopped bool) {
	e := router.AttemptResult{AttemptID: p.AttemptID, Result: loadbalancer.Success, Latency: took, ConnectionRefused: res.ConnectionRefused}
	switch {
	case res.NotSent && (res.DeadlineExceeded || stopped):
		e.Result = loadbalancer.Canceled
	case res.NotSent:
		e.Result = loadbalancer.ConnectFailed
	case res.Rejected:
		e.Result = loadbalancer.Rejected
	case stopped && res.Execution != retry.Answered:
		e.Result = loadbalancer.Canceled
	case res.Execution == retry.MayHaveExecuted && (res.Cause == "spoilt" || res.Cause == "cut" || res.Cause == "surplus" || res.Cause == "unproven" || res.Cause == "nameless" || res.Cause == "not_http"):
		e.Result = loadbalancer.BadResponse
	case res.Execution == retry.MayHaveExecuted:
		e.Result = loadbalancer.NoResponse
	case res.Response.Status >= 500:
		e.Result = loadbalancer.BadResponse
	}
	if res.Response != nil {
		e.Misdirected, e.Load = res.Response.Status == http.StatusMisdirectedRequest, parseLoad(res.Response.Header)
	}
	if res.Cause != "" {
		g.count("try_" + res.Cause)
	}
	if (res.Execution == retry.MayHaveExecuted && !stopped || res.SkippedResponses > 0) && g.logLimiter.Allow() {
		g.logger.Info().Str("event", "try").Str("attempt", attempt[:min(len(attempt), 64)]).Str("replica", p.EndpointID).Uint64("conn", res.ConnID).Int("use", res.ConnUse).
			Str("verdict", res.Execution.String()).Str("cause", res.Cause).Int("skipped", res.SkippedResponses).Msg("")
	}
	g.mu.Lock()
	follows := g.router.EndAttempt(g.now(), e)
	g.mu.Unlock()
	if follows.Observation != nil {
		select {
		case g.observations <- *follows.Observation:
		default:
		}
	}
	if follows.MisdirectedEndpoint != "" {
		select {
		case g.misdirected <- follows.MisdirectedEndpoint: // everybody is to know at once
		default:
		}
	}
}

// parseLoad reads a replica's own word on its load: running, waiting, slots.
func parseLoad(h http.Header) (n [3]int) {
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
