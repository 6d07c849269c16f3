package gateway

import (
	"fmt"
	"net/http"

	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/internal/daemons/replica"
	"zincloft.example/zincloft/invariant"
)

// checkBeforeAttempt checks the invariants that must hold before the request is sent to a replica.
func (f *forwarding) checkBeforeAttempt() {
	provenNotExecuted := f.pending == 0 && f.strongest.Execution == retry.NotExecuted
	invariant.Check(invariant.UnsafeRequestExecutedOnce, f.route.Idempotent || provenNotExecuted, func() string {
		return fmt.Sprintf("%s on route %s sent again without proof of non-execution: %d attempts pending, strongest execution %s", f.request.AttemptID, f.route.Name, f.pending, f.strongest.Execution)
	})
	limit := max(f.route.MaxAttempts, 1)
	invariant.Check(invariant.AttemptsWithinLimit, f.progress.Attempts < limit, func() string {
		return fmt.Sprintf("%s on route %s: attempt %d of %d", f.request.AttemptID, f.route.Name, f.progress.Attempts+1, limit)
	})
}

// checkRejection checks that a status that states non-execution is sent only if no attempt was or will be executed.
func (f *forwarding) checkRejection(status int) {
	ok := !statesNotExecuted(status) || f.pending == 0 && f.strongest.Execution == retry.NotExecuted
	invariant.Check(invariant.RejectionNotExecuted, ok, func() string {
		return fmt.Sprintf("%s answered with status %d: %d attempts pending, strongest execution %s", f.request.AttemptID, status, f.pending, f.strongest.Execution)
	})
}

// checkResponse checks a replica's response before it is returned to the client.
func (f *forwarding) checkResponse(response *replica.Response) {
	invariant.Check(invariant.RejectionNotExecuted, !statesNotExecuted(response.Status), func() string {
		return fmt.Sprintf("executed request %s answered with status %d", f.request.AttemptID, response.Status)
	})
	named := response.Header.Get("X-Attempt-Id")
	invariant.Check(invariant.ResponseMatchesRequest, named == f.request.AttemptID, func() string {
		return fmt.Sprintf("request %q answered with the response to %q", f.request.AttemptID, named)
	})
}

// statesNotExecuted reports whether a status guarantees to the client that its request was not and will not be executed.
func statesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
