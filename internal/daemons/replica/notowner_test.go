package replica

import (
	"net/http"
	"testing"

	"zincloft.example/zincloft/dataplane/retry"
)

// Guards against taking a replica that does not hold a key for another instance at the same address, and the reverse.
func TestMisdirectedResponses(t *testing.T) {
	for _, test := range []struct {
		name     string
		status   int
		header   http.Header
		sharded  bool
		notOwner bool
	}{
		{"not executed, without an instance", 421, http.Header{"X-Not-Executed": {"1"}}, true, true},
		{"not executed, without an instance, of a request without a key", 421, http.Header{"X-Not-Executed": {"1"}}, false, false},
		{"not executed, by the target", 421, http.Header{"X-Not-Executed": {"1"}, "X-Instance-Id": {"i1"}}, true, true},
		{"not executed, by another instance", 421, http.Header{"X-Not-Executed": {"1"}, "X-Instance-Id": {"i2"}}, true, false},
		{"another instance", 421, http.Header{"X-Instance-Id": {"i2"}}, true, false},
		{"no statement", 421, http.Header{}, true, false},
		{"a full replica", 503, http.Header{"X-Not-Executed": {"1"}}, true, false},
	} {
		outcome := new(conn).classify(&Request{InstanceID: "i1", AttemptID: "a", Sharded: test.sharded}, &Response{Status: test.status, Header: test.header}, "a", true)
		if outcome.NotOwner != test.notOwner || outcome.Execution != retry.NotExecuted || !outcome.Rejected {
			t.Errorf("%s: not owner %v, want %v; %+v", test.name, outcome.NotOwner, test.notOwner, outcome)
		}
	}
}
