package replica

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

const (
	maxBufferedBody     = 1 << 20   // responses up to this size are complete before their first byte is passed on
	maxSkippedResponses = 3         // surplus responses skipped on one connection
	maxSkippedBytes     = 256 << 10 // of one surplus response
	maxInterimResponses = 8         // 1xx before the final response
	maxKeepAliveSeconds = 3600
	usableIdleTenths    = 7 // of a replica's keep-alive timeout: later the replica may close a connection under a request
)

// readResponse reads until a response to this request has come.
func (c *conn) readResponse(request *Request) Outcome {
	for skipped := 0; ; skipped++ {
		outcome, skip := c.readNext(request)
		outcome.SkippedResponses = skipped
		if !skip {
			return outcome
		}
		c.tainted = true
		if skipped >= maxSkippedResponses {
			return Outcome{Execution: retry.MayHaveExecuted, Cause: CauseUnsolicited, SkippedResponses: skipped}
		}
	}
}

// readNext reads the next response. skip is set where it belongs to another request and the next one can be read.
func (c *conn) readNext(request *Request) (outcome Outcome, skip bool) {
	response, outcome := c.readFinalHead(request) //nolint:bodyclose // its Close would read on; the connection ends by reusable
	if response == nil {
		return outcome, false
	}
	if len(response.Header["X-Attempt-Id"]) > 1 {
		return invalidResponse(), false
	}
	id := response.Header.Get("X-Attempt-Id")
	delimited := isDelimited(response, request.Method)
	if id != "" && id != request.AttemptID {
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil || n >= maxSkippedBytes || !delimited || response.Close || request.Method == http.MethodHead {
			return connectionFailed(err, CauseUnsolicited), false // where the next response begins isn't known
		}
		return Outcome{}, true
	}
	return c.readBody(request, response, id, delimited), false
}

// readFinalHead reads the head of the next response that is not an interim one. The response is nil where there is none,
// and the outcome says why.
func (c *conn) readFinalHead(request *Request) (*http.Response, Outcome) {
	for interim := 0; ; interim++ {
		var response *http.Response
		err := c.awaitHead()
		if err == nil {
			response, err = http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		}
		if err != nil {
			return nil, headFailed(err)
		}
		if response.StatusCode < 100 || response.StatusCode > 599 || response.StatusCode == http.StatusSwitchingProtocols || interim >= maxInterimResponses {
			return nil, invalidResponse()
		}
		if response.StatusCode >= http.StatusOK {
			return response, Outcome{}
		}
	}
}

// headFailed is the outcome of a request whose response's head could not be read.
func headFailed(err error) Outcome {
	var netError net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return connectionFailed(err, CauseClosed)
	case errors.As(err, &netError):
		return connectionFailed(err, CauseConnectionLost)
	}
	return connectionFailed(err, CauseNotHTTP)
}

// isDelimited tells whether a response's end is marked in itself, not by the end of the connection.
func isDelimited(response *http.Response, method string) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// readBody reads the body of a response that names this request, or none, and classifies the complete response.
func (c *conn) readBody(request *Request, from *http.Response, id string, delimited bool) Outcome {
	body, err := io.ReadAll(io.LimitReader(from.Body, maxBufferedBody+1))
	if err != nil {
		return connectionFailed(err, CauseTruncated)
	}
	response := &Response{Status: from.StatusCode, Header: from.Header, Body: body, ContentLength: from.ContentLength}
	complete := len(body) <= maxBufferedBody
	if complete && response.ContentLength < 0 {
		response.ContentLength = int64(len(body))
	}
	outcome := c.classify(request, response, id, delimited)
	if outcome.Response == nil {
		return outcome
	}
	if !complete {
		response.CopyRest = func(w io.Writer) error {
			_, err := io.Copy(w, from.Body)
			return err
		}
		return outcome
	}
	c.unusable = from.Close || !delimited || request.needsOwnConn()
	if timeout, ok := keepAliveTimeout(from.Header); ok {
		c.maxIdle = idleBelow(timeout)
	}
	return outcome
}

// classify is the one place that decides what a response says which names this request, or none.
//
// The request was not executed where the response says so, has a status of rejection and belongs to this request. It does
// where it names the request; one without an identity cannot be named, and has a connection of its own, so that whatever comes first on it is
// its response. A success needs its seal. 408, 429 and 503 would be a promise to the client which the replica has not given.
func (c *conn) classify(request *Request, response *Response, id string, delimited bool) Outcome {
	rejected := response.Header.Get("X-Not-Executed") != "" || response.Status == http.StatusMisdirectedRequest
	belongs := id != "" || request.AttemptID == "" && !c.tainted
	switch {
	case rejected && response.Status >= 400 && belongs:
		return Outcome{Execution: retry.NotExecuted, Response: response, Cause: rejectedWith(response.Status), Rejected: true}
	case rejected && !belongs:
		return Outcome{Execution: retry.MayHaveExecuted, Cause: CauseMissingAttemptID}
	case rejected, !belongs, !delimited, response.Header.Get("Content-Encoding") != "", response.Status/100 == 2 && response.Header.Get("X-Response-Seal") == "":
		return invalidResponse()
	case response.Status == http.StatusRequestTimeout, response.Status == http.StatusTooManyRequests, response.Status == http.StatusServiceUnavailable:
		return Outcome{Execution: retry.MayHaveExecuted, Cause: CauseUnconfirmedRejection}
	}
	return Outcome{Execution: retry.Answered, Response: response}
}

func invalidResponse() Outcome {
	return Outcome{Execution: retry.MayHaveExecuted, Cause: CauseInvalid}
}

// keepAliveTimeout reads the timeout of a Keep-Alive field.
func keepAliveTimeout(header http.Header) (timeout time.Duration, ok bool) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(min(n, maxKeepAliveSeconds)) * time.Second, true
		}
	}
	return 0, false
}

// idleBelow is how long a connection may be idle which its replica keeps for a timeout.
func idleBelow(timeout time.Duration) time.Duration {
	if timeout <= time.Second {
		return timeout / 2
	}
	return max(timeout*usableIdleTenths/10, timeout-time.Second)
}
