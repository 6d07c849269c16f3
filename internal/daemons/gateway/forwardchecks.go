package gateway

import (
	"fmt"
	"net/http"

	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/internal/daemons/replica"
	"zincloft.example/zincloft/invariant"
)

// checkBeforeAttempt checks what must hold whenever the request is about to be sent to a replica.
func (f *forwarding) checkBeforeAttempt() {
	provenNotExecuted := f.pending == 0 && f.strongest.Execution == retry.NotExecuted
	invariant.Check(invariant.UnsafeRequestExecutedOnce, f.route.Idempotent || provenNotExecuted, func() string {
		return fmt.Sprintf("%s on route %s is sent again: %d attempts pending, %s", f.request.AttemptID, f.route.Name, f.pending, f.strongest.Execution)
	})
	limit := max(f.route.MaxAttempts, 1)
	invariant.Check(invariant.AttemptsWithinLimit, f.progress.Attempts < limit, func() string {
		return fmt.Sprintf("%s on route %s: attempt %d of %d", f.request.AttemptID, f.route.Name, f.progress.Attempts+1, limit)
	})
}

// checkRejection checks the promise of a status that says that the request was not executed and never will be.
func (f *forwarding) checkRejection(status int) {
	kept := !statesNotExecuted(status) || f.pending == 0 && f.strongest.Execution == retry.NotExecuted
	invariant.Check(invariant.RejectionNotExecuted, kept, func() string {
		return fmt.Sprintf("%s is answered %d: %d attempts pending, %s", f.request.AttemptID, status, f.pending, f.strongest.Execution)
	})
}

// checkResponse checks a replica's response before it is passed on.
func (f *forwarding) checkResponse(response *replica.Response) {
	invariant.Check(invariant.RejectionNotExecuted, !statesNotExecuted(response.Status), func() string {
		return fmt.Sprintf("%s, which was executed, is answered %d", f.request.AttemptID, response.Status)
	})
	named := response.Header.Get("X-Attempt-Id")
	invariant.Check(invariant.ResponseMatchesRequest, named == f.request.AttemptID, func() string {
		return fmt.Sprintf("%q is answered with the response to %q", f.request.AttemptID, named)
	})
}

// statesNotExecuted tells whether a status promises the client that its request was not executed and never will be.
func statesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
