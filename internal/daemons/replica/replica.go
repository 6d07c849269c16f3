// Package replica is the gateway's side of HTTP/1.1 towards replicas: a pool of connections, one request at a time on
// each, and for every attempt an Outcome that says whether the request may have been executed.
//
// Requests are never repeated here. A library's transport may send a request again where it holds that harmless; here
// every arrival of a request at a replica is decided by dataplane/retry.
package replica

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// Request is what goes to a replica. Method, URI, Host and Body are the client's.
type Request struct {
	Method, URI, Host string
	Header            http.Header // without the hop-by-hop fields, see EndToEndHeaders
	Body              []byte
	AttemptID         string // the client's X-Attempt-Id; empty: the request has no identity
	InstanceID        string // the instance that is to answer, sent as X-Target-Instance
	Service           string // whose replicas share what is learned about idle connections; empty: nothing is learned
	Deadline          time.Time

	// WaitForDeadline has a silent replica waited for until the deadline, without keep-alive probes: for a request that
	// may not be sent again anyway.
	WaitForDeadline bool

	// Cancel ends the attempt when it is done, where nothing is lost by that. It may be nil.
	Cancel context.Context
}

// Response is a replica's response. Body is complete unless CopyRest is set.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	ContentLength int64 // of the complete body; -1: not known

	// CopyRest copies what follows Body, and closes the connection. Its error means that the response was truncated.
	CopyRest func(io.Writer) error
	// Close closes the connection of a response with CopyRest that is not passed on.
	Close func()
}

// Outcome is what became of one attempt.
type Outcome struct {
	Execution retry.Execution
	Response  *Response // nil where there is none to pass on
	Cause     Cause     // why the attempt failed; empty: Answered

	NotSent           bool // no byte was handed to the kernel
	DeadlineExceeded  bool
	ConnectionRefused bool // nobody listens at the address
	Rejected          bool // NotExecuted, by the replica's own statement

	ConnID           uint64 // the connection's number in its pool; 0: there was none
	ConnRequestCount int    // how many requests the connection had carried by then, this one included
	SkippedResponses int    // responses to other requests that came in the place of this one's
}

// Discard lets go of a response that is not passed on.
func (o Outcome) Discard() {
	if o.Response != nil && o.Response.Close != nil {
		o.Response.Close()
	}
}

// Cause says why an attempt failed. It is a key of logs and counters.
type Cause string

// The causes. A rejection by the replica is rejected_ and its status.
const (
	CauseClientGone           Cause = "client_gone" // the client left before anything was sent
	CauseExpired              Cause = "expired"     // the deadline passed before anything was sent
	CauseDial                 Cause = "dial"        // no connection could be opened
	CausePoolFull             Cause = "pool_full"   // no connection may be opened, as all that there may be are in use
	CauseWrite                Cause = "write"       // the connection failed while the request was written
	CauseClosed               Cause = "closed"      // the replica closed the connection before its response
	CauseConnectionLost       Cause = "broken"      // the connection failed before the response
	CauseDeadline             Cause = "deadline"    // no response by the deadline
	CauseTruncated            Cause = "truncated"   // a response that ended before its end
	CauseNotHTTP              Cause = "not_http"    // bytes that are no response, or can be read as two
	CauseInvalid              Cause = "invalid"     // a response that lacks its seal, its identity or its length, or has a status that is none
	CauseUnsolicited          Cause = "surplus"     // responses to other requests, behind which this one's cannot be found
	CauseMissingAttemptID     Cause = "nameless"    // a rejection that does not name the request
	CauseUnconfirmedRejection Cause = "unproven"    // 408, 429 or 503 without the statement that the request was not executed
	causeRejectedFor                = "rejected_"
)

// IsBadResponse tells whether the replica did send something, but no response that can be used.
func (c Cause) IsBadResponse() bool {
	switch c {
	case CauseInvalid, CauseTruncated, CauseUnsolicited, CauseUnconfirmedRejection, CauseMissingAttemptID, CauseNotHTTP:
		return true
	}
	return false
}

// isConnectionLoss tells whether the connection failed under the request.
func (c Cause) isConnectionLoss() bool {
	return c == CauseConnectionLost || c == CauseClosed || c == CauseWrite
}

func rejectedWith(status int) Cause { return Cause(causeRejectedFor + strconv.Itoa(status)) }
