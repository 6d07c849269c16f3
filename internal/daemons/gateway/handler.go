package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/gatewayconfig"
)

const (
	defaultTimeout         = 30 * time.Second       // of a request where neither its client nor its route sets one
	responseReserve        = 10 * time.Millisecond  // kept from the deadline, for the response's way to the client
	responseReserveDivisor = 10                     // of the timeout: no more than this part of it is kept
	defaultRetryAfter      = 300 * time.Millisecond // where nothing better is known
	notReadyRetryAfter     = time.Second
	drainingRetryAfter     = 20 * time.Millisecond // another gateway has room at once
	headerLimitSlack       = 4096                  // bytes of a head beyond the limit that are let pass, as net/http does
	headLineOverhead       = 32                    // bytes of a request line beside its method, target and host
	fieldOverhead          = 4                     // bytes of a header field beside its name and value
)

// clientRequest is a request that was routed and whose body is complete.
type clientRequest struct {
	target        string // path and query
	route         gatewayconfig.Route
	configVersion uint64 // by which the route was found
	body          []byte
	arrivedAt     time.Time
	deadline      time.Time // by which the client's response must leave
}

// handleRequest takes one request of a client through its steps: admit it to this gateway, route it, read its body,
// forward it. Each step before the last may reject the request; then it has reached no replica.
func (g *Gateway) handleRequest(w http.ResponseWriter, r *http.Request) {
	defer markBusy(r)()
	arrivedAt := time.Now()
	if rejected := g.admitDuringShutdown(w); rejected.isRejection() {
		g.reject(w, r, rejected)
		return
	}
	config := g.config.Load()
	if config == nil {
		g.reject(w, r, rejection{status: http.StatusServiceUnavailable, counter: countNoConfig, retryAfter: notReadyRetryAfter})
		return
	}
	request, rejected := routeRequest(config, r)
	if rejected.isRejection() {
		g.reject(w, r, rejected)
		return
	}
	timeout := requestTimeout(request.route, r.Header)
	body, err := g.receiveBody(w, r, config.Limits.MaxBodyBytes, arrivedAt.Add(timeout))
	defer g.bodyBudget.ReleaseBody(body)
	if err != nil {
		g.reject(w, r, bodyRejection(err))
		return
	}
	if current := g.config.Load(); current != config { // the body took its time: a configuration that came meanwhile holds for it too
		if request, rejected = routeRequest(current, r); rejected.isRejection() {
			g.reject(w, r, rejected)
			return
		}
		timeout = requestTimeout(request.route, r.Header)
	}
	request.body, request.arrivedAt = body, arrivedAt
	request.deadline = arrivedAt.Add(timeout - min(responseReserve, timeout/responseReserveDivisor))
	g.forward(w, r, request)
}

// admitDuringShutdown has connections closed with their response while the gateway shuts down or drains, and rejects
// requests once a draining gateway's readiness was seen to have fallen.
func (g *Gateway) admitDuringShutdown(w http.ResponseWriter) rejection {
	if !g.stopping.Load() && !g.draining.Load() {
		return rejection{}
	}
	w.Header().Set("Connection", "close")
	if g.draining.Load() && g.rejectsRequests() {
		return rejection{status: http.StatusServiceUnavailable, counter: countDraining, retryAfter: drainingRetryAfter}
	}
	return rejection{}
}

// routeRequest checks a request's head and finds its route. The rejection is set where there is none.
func routeRequest(config *gatewayconfig.Config, r *http.Request) (request clientRequest, rejected rejection) {
	target, ok := requestTarget(r)
	if !ok || len(r.Header["X-Attempt-Id"]) > 1 {
		return request, rejection{status: http.StatusBadRequest, badRequest: causeTargetOrIdentity, closesConn: true}
	}
	if estimateHeadSize(r) > config.Limits.MaxHeaderBytes+headerLimitSlack {
		return request, rejection{status: http.StatusRequestHeaderFieldsTooLarge, badRequest: causeHeadTooLarge, closesConn: true}
	}
	path, _, _ := strings.Cut(target, "?")
	route, ok := config.FindRoute(r.Host, path)
	if !ok {
		return request, rejection{status: http.StatusNotFound, counter: countNoRoute}
	}
	return clientRequest{target: target, route: route, configVersion: config.Version}, rejection{}
}

// requestTarget returns the path and query that a request asks for, also of one in absolute form (RFC 9112, 3.2.2), and
// whether they are valid.
func requestTarget(r *http.Request) (target string, ok bool) {
	target = r.RequestURI
	if r.URL.IsAbs() {
		_, target, _ = strings.Cut(target, "://")
		if i := strings.IndexAny(target, "/?"); i < 0 {
			target = "/"
		} else if target = target[i:]; target[0] == '?' {
			target = "/" + target
		}
	}
	return target, strings.HasPrefix(target, "/")
}

// estimateHeadSize estimates how many bytes a request's head had.
func estimateHeadSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + headLineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldOverhead
		}
	}
	return int64(n)
}

// requestTimeout is how long a request may take from its arrival: as long as its route allows, or less where its client
// says so.
func requestTimeout(route gatewayconfig.Route, header http.Header) time.Duration {
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	ms, err := strconv.ParseFloat(header.Get("X-Deadline-Ms"), 64)
	if err == nil && ms > 0 && ms < float64(timeout)/float64(time.Millisecond) {
		timeout = time.Duration(ms * float64(time.Millisecond))
	}
	return timeout
}
