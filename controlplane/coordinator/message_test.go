package coordinator

import (
	"net/http"
	"testing"
)

// TestResponseStatus verifies the HTTP status and redirect of each result in the control API.
func TestResponseStatus(t *testing.T) {
	for _, test := range []struct {
		err        error
		status     int
		redirectTo string
	}{
		{nil, http.StatusOK, ""},
		{ErrConflict, http.StatusConflict, ""},
		{ErrNoConfiguration, http.StatusNotFound, ""},
		{&RedirectError{Address: "a:1"}, http.StatusTemporaryRedirect, "a:1"},
		{ErrNotInChain, http.StatusServiceUnavailable, ""},
		{ErrNoQuorum, http.StatusServiceUnavailable, ""},
		{ErrTimeout, http.StatusServiceUnavailable, ""},
		{ErrViewChanged, http.StatusServiceUnavailable, ""},
	} {
		response := Response{Err: test.err}
		if response.Status() != test.status || response.RedirectTo() != test.redirectTo {
			t.Errorf("%v: status %d, redirect %q; want %d, %q", test.err, response.Status(), response.RedirectTo(), test.status, test.redirectTo)
		}
	}
}
