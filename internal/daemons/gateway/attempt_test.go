package gateway

import (
	"net/http"
	"testing"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/internal/daemons/replica"
)

// Guards outlier detection: an endpoint is not blamed for client disconnects or for deadlines that pass before the request
// is sent.
func TestEndpointResult(t *testing.T) {
	responded := func(status int) *replica.Response { return &replica.Response{Status: status} }
	for _, test := range []struct {
		name     string
		outcome  replica.Outcome
		canceled bool
		want     loadbalancer.Result
	}{
		{"a response", replica.Outcome{Execution: retry.Answered, Response: responded(200)}, false, loadbalancer.Success},
		{"a response after the client disconnected", replica.Outcome{Execution: retry.Answered, Response: responded(200)}, true, loadbalancer.Success},
		{"a client error", replica.Outcome{Execution: retry.Answered, Response: responded(404)}, false, loadbalancer.Success},
		{"a server error", replica.Outcome{Execution: retry.Answered, Response: responded(500)}, false, loadbalancer.BadResponse},
		{"a rejection", replica.Outcome{Execution: retry.NotExecuted, Response: responded(503), Rejected: true}, false, loadbalancer.Rejected},
		{"no connection", replica.Outcome{Execution: retry.NotExecuted, Cause: replica.CauseDial, NotSent: true}, false, loadbalancer.ConnectFailed},
		{"no connection before the deadline", replica.Outcome{Execution: retry.NotExecuted, Cause: replica.CauseDial, NotSent: true, DeadlineExceeded: true}, false, loadbalancer.Canceled},
		{"no connection before the client disconnected", replica.Outcome{Execution: retry.NotExecuted, Cause: replica.CauseDial, NotSent: true}, true, loadbalancer.Canceled},
		{"no response before the deadline", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseDeadline, DeadlineExceeded: true}, false, loadbalancer.NoResponse},
		{"a lost connection", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseConnectionLost}, false, loadbalancer.NoResponse},
		{"a canceled attempt", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseDeadline}, true, loadbalancer.Canceled},
		{"a truncated response", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseTruncated}, false, loadbalancer.BadResponse},
		{"an invalid response", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseInvalid}, false, loadbalancer.BadResponse},
		{"unsolicited responses", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseUnsolicited}, false, loadbalancer.BadResponse},
		{"an unconfirmed rejection", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseUnconfirmedRejection}, false, loadbalancer.BadResponse},
		{"a rejection without an attempt ID", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseMissingAttemptID}, false, loadbalancer.BadResponse},
		{"not HTTP", replica.Outcome{Execution: retry.MayHaveExecuted, Cause: replica.CauseNotHTTP}, false, loadbalancer.BadResponse},
	} {
		if got := endpointResult(test.outcome, test.canceled); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

func TestParseLoad(t *testing.T) {
	for value, want := range map[string]loadbalancer.Load{
		"":            {},
		"1,2,3":       {Running: 1, Waiting: 2, Slots: 3},
		" 1, 2 ,3 ":   {Running: 1, Waiting: 2, Slots: 3},
		"1,2":         {},
		"1,2,3,4":     {},
		"1,-2,3":      {},
		"1,x,3":       {},
		"1,2,1048577": {},
	} {
		if got := parseLoad(http.Header{"X-Instance-Load": {value}}); got != want {
			t.Errorf("%q: %+v, want %+v", value, got, want)
		}
	}
}
