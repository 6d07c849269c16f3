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

// combs answers by host; what is asked is kept in order.
type combs struct {
	answers map[string][]string // by host, in turn, the last for good: a status, "silent", "failed" or "to HOST"
	asked   []string
	at      []time.Duration
	began   time.Time
}

func (c *combs) RoundTrip(q *http.Request) (*http.Response, error) {
	body := ""
	if q.Body != nil {
		b, _ := io.ReadAll(q.Body)
		body = string(b)
	}
	c.asked = append(c.asked, strings.TrimSpace(q.URL.Host+" "+q.URL.Query().Get("call")+" "+q.URL.Query().Get("of")+" "+body))
	c.at = append(c.at, time.Since(c.began))
	list := c.answers[q.URL.Host]
	if len(list) > 1 {
		c.answers[q.URL.Host] = list[1:]
	}
	answer := "failed"
	if len(list) > 0 {
		answer = list[0]
	}
	switch host, redirected := strings.CutPrefix(answer, "to "); {
	case redirected:
		h := http.Header{"Location": {"http://" + host + "/api/rpc?" + q.URL.RawQuery}}
		return &http.Response{StatusCode: http.StatusTemporaryRedirect, Header: h, Body: http.NoBody, Request: q}, nil
	case answer == "silent":
		<-q.Context().Done()
		return nil, q.Context().Err()
	case answer == "failed":
		return nil, errors.New("refused")
	}
	status := 0
	for s := range 600 {
		if http.StatusText(s) == answer {
			status = s
		}
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader("from " + q.URL.Host)), Request: q}, nil
}

// call plays one call to combs a and b for ten seconds of their time.
func call(t *testing.T, a, b string) (answer string, err error, c *combs) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c = &combs{answers: map[string][]string{"10.0.0.1:80": strings.Split(a, ","), "10.0.0.2:80": strings.Split(b, ",")}, began: time.Now()}
		x, problem := New("10.0.0.1:80, 10.0.0.2:80")
		if problem != nil {
			t.Fatal(problem)
		}
		x.Transport = c
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var raw []byte
		raw, err = x.Call(ctx, "evacuations.start", "a b", []byte("x"))
		answer = string(raw)
	})
	return answer, err, c
}

// The protocol page names after which answers a caller goes on to another comb and which end a call: zincloftctl knew one comb only, so an
// operator had to do this by hand, and one that was cut off held the call for five seconds.
func TestCallGoesOnToAnotherComb(t *testing.T) {
	for _, first := range []string{"failed", "silent", "Service Unavailable", "Internal Server Error", "Gateway Timeout", "Request Timeout", "Too Many Requests", "Not Found"} {
		answer, err, c := call(t, first, "OK")
		if err != nil || answer != "from 10.0.0.2:80" || len(c.asked) != 2 || c.asked[1] != "10.0.0.2:80 evacuations.start a b x" {
			t.Errorf("%s: %q, %v, %q", first, answer, err, c.asked)
		}
		if least := map[string]time.Duration{"silent": AttemptTimeout}[first]; c.at[1] < least || c.at[1] > least+2*minBackoff {
			t.Errorf("%s: gone on after %v", first, c.at[1])
		}
	}
}

func TestRefusalEndsACall(t *testing.T) {
	for _, status := range []string{"Bad Request", "Conflict", "Precondition Failed", "Request Entity Too Large", "Unprocessable Entity"} {
		_, err, c := call(t, status, "OK")
		if err == nil || !strings.Contains(err.Error(), status) || len(c.asked) != 1 {
			t.Errorf("%s: %v, %q", status, err, c.asked)
		}
	}
	if _, err, c := call(t, "Not Found", "Not Found"); err == nil || len(c.asked) != 3 {
		t.Errorf("another 4xx: %v, %q", err, c.asked)
	}
}

// A comb may name another with 307: the call, with its body, follows twice.
func TestRedirectIsFollowedTwice(t *testing.T) {
	answer, err, c := call(t, "to 10.0.0.2:80", "to 10.0.0.2:80,OK")
	if err != nil || answer != "from 10.0.0.2:80" || len(c.asked) != 3 || c.asked[2] != "10.0.0.2:80 evacuations.start a b x" {
		t.Errorf("%q, %v, %q", answer, err, c.asked)
	}
	answer, err, c = call(t, "to 10.0.0.1:80,to 10.0.0.1:80,to 10.0.0.1:80,Conflict", "OK")
	if err != nil || answer != "from 10.0.0.2:80" || len(c.asked) != 4 {
		t.Errorf("a third one: %q, %v, %q", answer, err, c.asked)
	}
}

// Pauses grow, so that callers do not press on a core in trouble; the end tells what was met last.
func TestPausesGrowUntilTheEnd(t *testing.T) {
	_, err, c := call(t, "Service Unavailable", "failed")
	if err == nil || !strings.Contains(err.Error(), "no clear answer") {
		t.Fatalf("%v", err)
	}
	n := len(c.at)
	if n < 6 || n > 14 || c.at[n-1]-c.at[n-2] < 5*(c.at[1]-c.at[0]) {
		t.Errorf("asked at %v", c.at)
	}
	if c.at[n-1] > 10*time.Second {
		t.Errorf("asked after the end: %v", c.at)
	}
}

func TestAddressesAreChecked(t *testing.T) {
	for _, bad := range []string{"", "10.0.0.1", "10.0.0.1:80,", "a b:1", "10.0.0.1:80;10.0.0.2:80"} {
		if _, err := New(bad); err == nil || !strings.Contains(err.Error(), "address") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
