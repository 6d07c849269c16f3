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

// fakeMembers is a RoundTripper that returns scripted responses by host and records the calls in order.
type fakeMembers struct {
	answers map[string][]string // by host, in order, the last one repeated: a status text, "silent", "failed" or "to HOST"
	calls   []string
	times   []time.Duration // of the calls, since started
	started time.Time
}

func (m *fakeMembers) RoundTrip(request *http.Request) (*http.Response, error) {
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

// call makes one call, with a timeout of 10 s of synthetic time, to two members with the comma-separated answers a and b.
func call(t *testing.T, a, b string) (answer string, m *fakeMembers, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m = &fakeMembers{answers: map[string][]string{"10.0.0.1:80": strings.Split(a, ","), "10.0.0.2:80": strings.Split(b, ",")}, started: time.Now()}
		client, newErr := New("10.0.0.1:80, 10.0.0.2:80")
		if newErr != nil {
			t.Fatal(newErr)
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

// TestCallRetriesAtAnotherMember guards against a call that fails or hangs because a single member is unavailable.
func TestCallRetriesAtAnotherMember(t *testing.T) {
	for _, first := range []string{"failed", "silent", "Service Unavailable", "Internal Server Error", "Gateway Timeout", "Request Timeout", "Too Many Requests", "Not Found"} {
		answer, m, err := call(t, first, "OK")
		if err != nil || answer != "from 10.0.0.2:80" || len(m.calls) != 2 || m.calls[1] != "10.0.0.2:80 evacuations.start a b x" {
			t.Errorf("%s: %q, %v, %q", first, answer, err, m.calls)
		}
		if minDelay := map[string]time.Duration{"silent": AttemptTimeout}[first]; m.times[1] < minDelay || m.times[1] > minDelay+2*minBackoff {
			t.Errorf("%s: retried after %v, want %v to %v", first, m.times[1], minDelay, minDelay+2*minBackoff)
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
		t.Errorf("404 from all members: %v, %q", err, m.calls)
	}
}

// TestTemporaryRedirectIsFollowedTwice checks that an attempt follows two 307 redirects, with the body, and not a third.
func TestTemporaryRedirectIsFollowedTwice(t *testing.T) {
	answer, m, err := call(t, "to 10.0.0.2:80", "to 10.0.0.2:80,OK")
	if err != nil || answer != "from 10.0.0.2:80" || len(m.calls) != 3 || m.calls[2] != "10.0.0.2:80 evacuations.start a b x" {
		t.Errorf("%q, %v, %q", answer, err, m.calls)
	}
	answer, m, err = call(t, "to 10.0.0.1:80,to 10.0.0.1:80,to 10.0.0.1:80,Conflict", "OK")
	if err != nil || answer != "from 10.0.0.2:80" || len(m.calls) != 4 {
		t.Errorf("third redirect: %q, %v, %q", answer, err, m.calls)
	}
}

// TestBackoffGrowsUntilTheContextEnds guards against retries that overload an unavailable control plane.
func TestBackoffGrowsUntilTheContextEnds(t *testing.T) {
	_, m, err := call(t, "Service Unavailable", "failed")
	var unconfirmed *UnconfirmedError
	if !errors.As(err, &unconfirmed) || !strings.Contains(err.Error(), "unconfirmed after") {
		t.Fatalf("%v", err)
	}
	n := len(m.times)
	if n < 6 || n > 14 || m.times[n-1]-m.times[n-2] < 5*(m.times[1]-m.times[0]) {
		t.Errorf("called at %v", m.times)
	}
	if m.times[n-1] > 10*time.Second {
		t.Errorf("called after the context was done: %v", m.times)
	}
}

func TestNewChecksAddresses(t *testing.T) {
	for _, bad := range []string{"", "10.0.0.1", "10.0.0.1:80,", "a b:1", "10.0.0.1:80;10.0.0.2:80"} {
		if _, err := New(bad); !errors.Is(err, ErrInvalidAddress) || !strings.Contains(err.Error(), "address") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
