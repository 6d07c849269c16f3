package controlclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// members is a transport that answers by host and records the calls in order.
type members struct {
	answers map[string][]string // by host, in turn, the last one repeated: a status, "silent", "failed" or "to HOST"
	calls   []string
	times   []time.Duration // of the calls, since started
	started time.Time
}

func (m *members) RoundTrip(request *http.Request) (*http.Response, error) {
	body := ""
	if request.Body != nil {
		b, _ := io.ReadAll(request.Body)
		body = string(b)
	}
	m.calls = append(m.calls, strings.TrimSpace(request.URL.Host+" "+request.URL.Query().Get("call")+" "+request.URL.Query().Get("of")+" "+body))
	m.times = append(m.times, time.Since(m.started))
	list := m.answers[request.URL.Host]
	if len(list) > 1 {
		m.answers[request.URL.Host] = list[1:]
	}
	answer := "failed"
	if len(list) > 0 {
		answer = list[0]
	}
	switch host, redirected := strings.CutPrefix(answer, "to "); {
	case redirected:
		h := http.Header{"Location": {"http://" + host + "/api/rpc?" + request.URL.RawQuery}}
		return &http.Response{StatusCode: http.StatusTemporaryRedirect, Header: h, Body: http.NoBody, Request: request}, nil
	case answer == "silent":
		<-request.Context().Done()
		return nil, request.Context().Err()
	case answer == "failed":
		return nil, errors.New("refused")
	}
	status := 0
	for s := range 600 {
		if http.StatusText(s) == answer {
			status = s
		}
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader("from " + request.URL.Host)), Request: request}, nil
}

// call makes one call to two members, whose answers are a and b, for ten seconds of synthetic time.
func call(t *testing.T, a, b string) (answer string, m *members, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m = &members{answers: map[string][]string{"10.0.0.1:80": strings.Split(a, ","), "10.0.0.2:80": strings.Split(b, ",")}, started: time.Now()}
		client, problem := New("10.0.0.1:80, 10.0.0.2:80")
		if problem != nil {
			t.Fatal(problem)
		}
		client.Transport = m
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var raw []byte
		raw, err = client.Call(ctx, "evacuations.start", "a b", []byte("x"))
		answer = string(raw)
	})
	return answer, m, err
}

// The protocol page names the answers after which a caller goes on to another member and those that end a call. zincloftctl
// once knew one member only: an operator had to go on by hand, and a member that was cut off held the call for five seconds.
func TestCallRetriesAtAnotherMember(t *testing.T) {
	for _, first := range []string{"failed", "silent", "Service Unavailable", "Internal Server Error", "Gateway Timeout", "Request Timeout", "Too Many Requests", "Not Found"} {
		answer, m, err := call(t, first, "OK")
		if err != nil || answer != "from 10.0.0.2:80" || len(m.calls) != 2 || m.calls[1] != "10.0.0.2:80 evacuations.start a b x" {
			t.Errorf("%s: %q, %v, %q", first, answer, err, m.calls)
		}
		if least := map[string]time.Duration{"silent": AttemptTimeout}[first]; m.times[1] < least || m.times[1] > least+2*minBackoff {
			t.Errorf("%s: retried after %v", first, m.times[1])
		}
	}
}

func TestRejectionEndsACall(t *testing.T) {
	for _, status := range []string{"Bad Request", "Conflict", "Precondition Failed", "Request Entity Too Large", "Unprocessable Entity"} {
		_, m, err := call(t, status, "OK")
		var rejection *RejectedError
		if !errors.As(err, &rejection) || !strings.Contains(err.Error(), status) || len(m.calls) != 1 {
			t.Errorf("%s: %v, %q", status, err, m.calls)
		}
	}
	if _, m, err := call(t, "Not Found", "Not Found"); err == nil || len(m.calls) != 3 {
		t.Errorf("another 4xx: %v, %q", err, m.calls)
	}
}

// A member may redirect to another one with 307; the call follows twice, with its body.
func TestTemporaryRedirectIsFollowedTwice(t *testing.T) {
	answer, m, err := call(t, "to 10.0.0.2:80", "to 10.0.0.2:80,OK")
	if err != nil || answer != "from 10.0.0.2:80" || len(m.calls) != 3 || m.calls[2] != "10.0.0.2:80 evacuations.start a b x" {
		t.Errorf("%q, %v, %q", answer, err, m.calls)
	}
	answer, m, err = call(t, "to 10.0.0.1:80,to 10.0.0.1:80,to 10.0.0.1:80,Conflict", "OK")
	if err != nil || answer != "from 10.0.0.2:80" || len(m.calls) != 4 {
		t.Errorf("a third one: %q, %v, %q", answer, err, m.calls)
	}
}

// The backoff grows, so that callers do not overload a control plane in trouble; the error tells what was met last.
func TestBackoffGrowsUntilTheContextEnds(t *testing.T) {
	_, m, err := call(t, "Service Unavailable", "failed")
	var unconfirmed *UnconfirmedError
	if !errors.As(err, &unconfirmed) || !strings.Contains(err.Error(), "no clear answer") {
		t.Fatalf("%v", err)
	}
	n := len(m.times)
	if n < 6 || n > 14 || m.times[n-1]-m.times[n-2] < 5*(m.times[1]-m.times[0]) {
		t.Errorf("called at %v", m.times)
	}
	if m.times[n-1] > 10*time.Second {
		t.Errorf("called after the end: %v", m.times)
	}
}

func TestNewChecksAddresses(t *testing.T) {
	for _, bad := range []string{"", "10.0.0.1", "10.0.0.1:80,", "a b:1", "10.0.0.1:80;10.0.0.2:80"} {
		if _, err := New(bad); !errors.Is(err, ErrInvalidAddress) || !strings.Contains(err.Error(), "address") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
