package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/gatewayconfig"
)

const (
	defaultTimeout         = 30 * time.Second       // if neither the client nor the route sets one
	responseReserve        = 10 * time.Millisecond  // subtracted from the deadline for sending the response
	responseReserveDivisor = 10                     // the reserve is at most the timeout divided by this
	defaultRetryAfter      = 300 * time.Millisecond // if the load balancer gives no estimate
	notReadyRetryAfter     = time.Second
	drainingRetryAfter     = 20 * time.Millisecond // other gateways can serve the request at once
	headerLimitSlack       = 4096                  // bytes allowed beyond the head limit, as in net/http
	headLineOverhead       = 32                    // bytes of the request line and Host field without method, target and host
	fieldOverhead          = 4                     // bytes of a header field without name and value
)

// clientRequest is a routed request with a complete body.
type clientRequest struct {
	target    string // path and query
	route     gatewayconfig.Route
	config    *gatewayconfig.Config // used to route the request
	body      []byte
	arrivedAt time.Time
	deadline  time.Time // for starting to send the response
}

// handleRequest admits a client request, routes it, reads its body and forwards it. A request rejected before forwarding
// has reached no replica.
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
	if current := g.config.Load(); current != config { // changed while the body was read
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

// admitDuringShutdown closes connections with their next response while the gateway shuts down or drains. A draining
// gateway rejects requests once load balancers have had time to notice that it is not ready.
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

// routeRequest validates a request's head and finds its route. It returns a rejection if the head is invalid or no route
// matches.
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
	return clientRequest{target: target, route: route, config: config}, rejection{}
}

// requestTarget returns the path and query of a request target in origin or absolute form (RFC 9112, 3.2), and whether it
// is valid.
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

// estimateHeadSize estimates the encoded size of a request's head in bytes.
func estimateHeadSize(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host) + headLineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldOverhead
		}
	}
	return int64(n)
}

// requestTimeout returns the route's timeout, or the client's X-Deadline-Ms if that is shorter.
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
