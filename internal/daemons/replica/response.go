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
	maxBufferedBody     = 1 << 20   // larger response bodies are streamed
	maxSkippedResponses = 3         // responses to other requests skipped per request
	maxSkippedBytes     = 256 << 10 // body size of a skipped response
	maxInterimResponses = 8         // 1xx responses before the final one
	maxKeepAliveSeconds = 3600
	usableIdleTenths    = 7 // tenths of a replica's Keep-Alive timeout, so that it does not close the connection during a request
)

// readResponse reads the response to the request, skipping responses to other requests.
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

// readNext reads the next response. skip is set if it belongs to another request and has been read completely.
func (c *conn) readNext(request *Request) (outcome Outcome, skip bool) {
	response, outcome := c.readFinalHead(request) //nolint:bodyclose // Close would drain the body; the connection is closed unless it is reusable
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
			return connectionFailed(err, CauseUnsolicited), false // the start of the next response is unknown
		}
		return Outcome{}, true
	}
	return c.readBody(request, response, id, delimited), false
}

// readFinalHead reads response heads up to the first one that is not interim. On failure it returns a nil response and the
// outcome of the request.
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

// headFailed returns the outcome of a request after an error while reading the response head.
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

// isDelimited reports whether the end of a response is known without the connection being closed.
func isDelimited(response *http.Response, method string) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || method == http.MethodHead ||
		response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
}

// readBody reads the body of a response with the request's attempt ID, or without one, and classifies the response.
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
	c.unusable = from.Close || !delimited || request.needsDedicatedConn()
	if timeout, ok := keepAliveTimeout(from.Header); ok {
		c.maxIdle = usableIdleTime(timeout)
	}
	return outcome
}

// classify determines the outcome of a response with the request's attempt ID, or without one.
//
// The request was not executed if the response says so, has an error status and belongs to the request. A response belongs to
// the request if it has its attempt ID. A request without an attempt ID uses a dedicated connection, so that the first
// response on it belongs to the request. A 2xx response needs a seal. 408, 429 and 503 without X-Not-Executed are not
// returned, as they would tell the client that the request was not executed.
func (c *conn) classify(request *Request, response *Response, id string, delimited bool) Outcome {
	rejected := response.Header.Get("X-Not-Executed") != "" || response.Status == http.StatusMisdirectedRequest
	belongs := id != "" || request.AttemptID == "" && !c.tainted
	switch {
	case rejected && response.Status >= 400 && belongs:
		return Outcome{
			Execution: retry.NotExecuted,
			Response:  response,
			Cause:     rejectionCause(response.Status),
			Rejected:  true,
			NotOwner:  isNotOwner(request, response),
		}
	case rejected && !belongs:
		return Outcome{Execution: retry.MayHaveExecuted, Cause: CauseMissingAttemptID}
	case rejected, !belongs, !delimited, response.Header.Get("Content-Encoding") != "", response.Status/100 == 2 && response.Header.Get("X-Response-Seal") == "":
		return invalidResponse()
	case response.Status == http.StatusRequestTimeout, response.Status == http.StatusTooManyRequests, response.Status == http.StatusServiceUnavailable:
		return Outcome{Execution: retry.MayHaveExecuted, Cause: CauseUnconfirmedRejection}
	}
	return Outcome{Execution: retry.Answered, Response: response}
}

// isNotOwner reports whether a rejection means that the replica does not hold the request's shard key. The rejection of a
// request that was meant for another instance has the same status and may name the instance that has the address. One that
// names none is about the key only if the request has one.
func isNotOwner(request *Request, response *Response) bool {
	if response.Status != http.StatusMisdirectedRequest || response.Header.Get("X-Not-Executed") == "" {
		return false
	}
	instance := response.Header.Get("X-Instance-Id")
	return instance == request.InstanceID || instance == "" && request.Sharded
}

func invalidResponse() Outcome {
	return Outcome{Execution: retry.MayHaveExecuted, Cause: CauseInvalid}
}

// keepAliveTimeout parses the timeout parameter of the Keep-Alive field.
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

// usableIdleTime returns how long a connection may be idle, given the replica's Keep-Alive timeout.
func usableIdleTime(timeout time.Duration) time.Duration {
	if timeout <= time.Second {
		return timeout / 2
	}
	return max(timeout*usableIdleTenths/10, timeout-time.Second)
}
