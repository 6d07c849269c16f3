package grantclient

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

const (
	maxResponseBytes    = 64 << 10 // of all heads and the body
	maxInterimResponses = 8        // 1xx responses before the final one
	maxStatus           = 599
	loggedBodyBytes     = 128 // of the body of a rejected call

	// defaultIdleTime is how long a connection may be idle if the replica sends no Keep-Alive timeout.
	defaultIdleTime     = 4 * time.Second
	maxKeepAliveSeconds = 3600
)

// errInvalidStatus is returned for a response whose status is not one of HTTP, and for too many interim responses.
var errInvalidStatus = errors.New("the response has an invalid status")

// postRequest tells http.ReadResponse the method of the request.
var postRequest = &http.Request{Method: http.MethodPost}

// readResponse reads the complete response to a call. An error means that the call is unanswered.
func (c *conn) readResponse(call *ownership.Call) (ownership.CallResult, error) {
	c.limited.N = maxResponseBytes
	response, err := c.readFinalHead()
	if err != nil {
		return ownership.CallResult{}, err
	}
	defer closeQuietly(response.Body)
	start, err := io.ReadAll(io.LimitReader(response.Body, loggedBodyBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return ownership.CallResult{}, fmt.Errorf("reading the body: %w", err)
	}
	c.reusable = !response.Close && c.reader.Buffered() == 0
	c.learnIdleTime(response.Header)
	result := ownership.CallResult{Outcome: outcomeOf(response.StatusCode)}
	if result.Outcome != ownership.CallAccepted {
		result.Error = fmt.Sprintf("status %d: %s", response.StatusCode, start)
	} else if handover := response.Header.Get("X-Handover"); call.Kind == ownership.CallRelease && isHandover(handover) {
		result.Handover = handover
	}
	if result.Outcome == ownership.CallMisdirected {
		c.reusable = false // it leads to another replica
	}
	return result, nil
}

// readFinalHead reads response heads up to the first one that is not interim.
func (c *conn) readFinalHead() (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(c.reader, postRequest)
		if err != nil {
			return nil, err
		}
		status := response.StatusCode
		if status >= http.StatusOK && status <= maxStatus {
			return response, nil
		}
		if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
			return nil, errInvalidStatus
		}
	}
	return nil, errInvalidStatus
}

// outcomeOf returns the outcome of a call that was answered with a status.
func outcomeOf(status int) ownership.CallOutcome {
	switch status {
	case http.StatusOK:
		return ownership.CallAccepted
	case http.StatusConflict:
		return ownership.CallFenced
	case http.StatusMisdirectedRequest:
		return ownership.CallMisdirected
	}
	return ownership.CallRejected
}

// learnIdleTime sets the idle time to less than the replica's Keep-Alive timeout, so that the replica does not close the connection first.
func (c *conn) learnIdleTime(header http.Header) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if !strings.EqualFold(name, "timeout") || err != nil || seconds < 0 {
			continue
		}
		timeout := time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
		c.idleTime = min(timeout/2, defaultIdleTime)
	}
}
