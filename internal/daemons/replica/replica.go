// Package replica implements the gateway's HTTP/1.1 client for replicas: a pool of connections that carry one request at a
// time, and an Outcome for every attempt that says whether the request may have been executed.
//
// The package never retries a request by itself, unlike net/http's Transport: all retries are decided by dataplane/retry.
package replica

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// Request is a request to a replica. Method, URI, Host and Body are those of the client's request.
type Request struct {
	Method, URI, Host string
	Header            http.Header // without hop-by-hop fields, see EndToEndHeaders
	Body              []byte
	AttemptID         string // the client's X-Attempt-Id; empty if it sent none
	InstanceID        string // sent as X-Target-Instance
	Service           string // key of the learned idle limit; empty to learn none
	Deadline          time.Time
	Sharded           bool // the request bears a shard key, which the replica may not hold

	// WaitForDeadline disables TCP keep-alive probes during the request, so that a silent link does not end it before the
	// deadline. It is for requests that cannot be retried.
	WaitForDeadline bool

	// Cancel ends the attempt when it is done. It may be nil.
	Cancel context.Context
}

// Response is a replica's response. Body is the complete body unless CopyRest is set.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	ContentLength int64 // of the complete body; -1 if unknown

	// CopyRest copies the part of the body after Body and closes the connection. An error means that the response was
	// truncated.
	CopyRest func(io.Writer) error
	// Close closes the connection of a response with CopyRest. It is called instead of CopyRest.
	Close func()
}

// Outcome is the outcome of one attempt.
type Outcome struct {
	Execution retry.Execution
	Response  *Response // nil if there is no valid response
	Cause     Cause     // why the attempt failed; empty if Execution is Answered

	NotSent           bool // no byte was written to a connection
	DeadlineExceeded  bool
	ConnectionRefused bool // dialing failed with ECONNREFUSED
	Rejected          bool // the replica stated that it did not execute the request
	NotOwner          bool // it did so because it does not hold the request's shard key; Rejected is set as well

	ConnID           uint64 // number of the connection in its pool; 0 if there was none
	ConnRequestCount int    // requests sent on the connection, including this one
	SkippedResponses int    // responses to other requests received before this one's
}

// Discard closes the connection of a response that is not used.
func (o Outcome) Discard() {
	if o.Response != nil && o.Response.Close != nil {
		o.Response.Close()
	}
}

// Cause is the reason for a failed attempt, as used in logs and counters.
type Cause string

// Causes of failed attempts. A rejection by the replica has the cause rejected_ followed by the status.
const (
	CauseClientGone           Cause = "client_gone" // the client disconnected before the request was sent
	CauseExpired              Cause = "expired"     // the deadline passed before the request was sent
	CauseDial                 Cause = "dial"        // opening a connection failed
	CausePoolFull             Cause = "pool_full"   // the connection limit is reached and no connection is idle
	CauseWrite                Cause = "write"       // writing the request failed
	CauseClosed               Cause = "closed"      // the replica closed the connection before its response
	CauseConnectionLost       Cause = "broken"      // the connection failed before the response
	CauseDeadline             Cause = "deadline"    // no response by the deadline
	CauseCanceled             Cause = "canceled"    // Request.Cancel ended the attempt: another one was answered, or the client disconnected
	CauseTruncated            Cause = "truncated"   // the response body ended early
	CauseNotHTTP              Cause = "not_http"    // malformed or ambiguous response head
	CauseInvalid              Cause = "invalid"     // missing seal, attempt ID or length, or invalid status
	CauseUnsolicited          Cause = "surplus"     // responses to other requests that could not be skipped
	CauseMissingAttemptID     Cause = "nameless"    // a rejection without the request's attempt ID
	CauseUnconfirmedRejection Cause = "unproven"    // 408, 429 or 503 without X-Not-Executed
	rejectedCausePrefix             = "rejected_"
)

// IsBadResponse reports whether the replica sent data that is not a usable response.
func (c Cause) IsBadResponse() bool {
	switch c {
	case CauseInvalid, CauseTruncated, CauseUnsolicited, CauseUnconfirmedRejection, CauseMissingAttemptID, CauseNotHTTP:
		return true
	}
	return false
}

// isConnectionLoss reports whether the connection failed during the request.
func (c Cause) isConnectionLoss() bool {
	return c == CauseConnectionLost || c == CauseClosed || c == CauseWrite
}

func rejectionCause(status int) Cause { return Cause(rejectedCausePrefix + strconv.Itoa(status)) }
