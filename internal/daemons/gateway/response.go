package gateway

import (
	"net/http"
	"strconv"
	"time"

	"zincloft.example/zincloft/internal/daemons/replica"
)

// responseWriteGrace is how long beyond its deadline a client may take to read its response.
const responseWriteGrace = 5 * time.Second

// rejection is a response that the gateway gives by itself, before a request reached any replica. The zero value is none:
// the request goes on.
type rejection struct {
	status     int
	counter    counter         // empty: not counted
	badRequest badRequestCause // empty: the client did nothing wrong
	retryAfter time.Duration   // 0: no Retry-After is sent
	closesConn bool            // the connection ends with the response
	aborts     bool            // the connection ends without a response
}

func (r rejection) isRejection() bool { return r.status != 0 || r.aborts }

// reason is what a failed request's record says of a rejection.
func (r rejection) reason() string {
	if r.badRequest != "" {
		return string(r.badRequest)
	}
	return string(r.counter)
}

// reject carries out the rejection of a request that was not forwarded. It panics with http.ErrAbortHandler where there is no
// response to give.
func (g *Gateway) reject(w http.ResponseWriter, r *http.Request, rejected rejection) {
	failed := FailedRequest{
		At:        time.Now(),
		AttemptID: r.Header.Get("X-Attempt-Id"),
		Status:    rejected.status,
		EndedBy:   endedByGateway,
		Reason:    rejected.reason(),
	}
	if rejected.aborts {
		failed.EndedBy = endedByClient
	}
	if config := g.config.Load(); config != nil {
		failed.ConfigVersion = config.Version
	}
	g.recordFailure(failed)
	g.writeRejection(w, r, rejected)
}

// writeRejection counts a rejection and answers with it, or ends the connection.
func (g *Gateway) writeRejection(w http.ResponseWriter, r *http.Request, rejected rejection) {
	g.metrics.rejected.Inc()
	if rejected.counter != "" {
		g.count(rejected.counter)
	}
	if rejected.badRequest != "" {
		g.recordBadRequest(r.RemoteAddr, rejected.badRequest)
	}
	if rejected.aborts {
		panic(http.ErrAbortHandler)
	}
	if rejected.closesConn {
		w.Header().Set("Connection", "close")
	}
	if rejected.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rejected.retryAfter.Seconds(), 'f', 3, 64))
	}
	writeEmptyResponse(w, rejected.status)
}

// writeEmptyResponse answers with a status alone.
func writeEmptyResponse(w http.ResponseWriter, status int) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteGrace)) // fails on a closed connection only, as the write does then
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// writeResponse passes a replica's response on to the client. An error means that the rest of a long response failed to come:
// the connection must end then, as a truncated response must not appear complete.
func writeResponse(w http.ResponseWriter, r *http.Request, response *replica.Response) error {
	header := w.Header()
	for name, values := range replica.EndToEndHeaders(response.Header) {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil // net/http is not to guess one
	}
	if response.Status == http.StatusNoContent {
		header.Del("Content-Length")
	}
	if response.ContentLength >= 0 && r.Method != http.MethodHead && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // a client that is gone gets nothing, and the request's end is the same
	if response.CopyRest != nil {
		return response.CopyRest(w)
	}
	return nil
}
