// Package controlclient calls the control interface of combs as the protocol page has all callers do it: any of them, and on to another
// after a failure, a 5xx, a 408 or 429, or a second of silence, with a pause that grows.
package controlclient

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// AttemptTimeout is how long one comb may take for a call without a large body.
	AttemptTimeout = time.Second

	attemptTimeoutPerMiB = time.Second // more for each mebibyte that is sent
	maxRedirects         = 2           // 307 is followed so often
	minBackoff           = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
	maxUnclearRejections = 3 // another 4xx ends a call when it has come so often
)

// Client calls combs. A call begins at the first address.
type Client struct {
	Addresses []string          // of control, one at least
	Transport http.RoundTripper // nil: the default one
}

// New takes addresses with commas between.
func New(addrs string) (*Client, error) {
	c := &Client{}
	for a := range strings.SplitSeq(addrs, ",") {
		a = strings.TrimSpace(a)
		host, port, err := net.SplitHostPort(a)
		if u, bad := url.Parse("http://" + a); err != nil || bad != nil || u.Host != a || host == "" || port == "" {
			return nil, merry.Errorf("address: %q is not an address with a port", a)
		}
		c.Addresses = append(c.Addresses, a)
	}
	return c, nil
}

// outcome is what follows an answer.
type outcome int

const (
	accepted outcome = iota
	rejected         // for good
	retry
)

// classify tells what follows a status that has come for the n-th time (from 1) to a call.
func classify(status, n int) outcome {
	switch {
	case status >= 200 && status < 300:
		return accepted
	case status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status >= 500:
		return retry
	case status == http.StatusBadRequest || status == http.StatusConflict || status == http.StatusPreconditionFailed ||
		status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity:
		return rejected
	case status >= 400 && n >= maxUnclearRejections:
		return rejected
	}
	return retry
}

// Call gives a call to the combs in turn until one takes or refuses it, or ctx ends; the error then tells what was met last, and whether
// the call was taken is not known. All that combs are asked is taken once, also when it is given again.
func (c *Client) Call(ctx context.Context, name, of string, body []byte) ([]byte, error) {
	pause := minBackoff
	times := map[int]int{}
	for try := 0; ; try++ {
		answer, status, err := c.attempt(ctx, c.Addresses[try%len(c.Addresses)], name, of, body)
		if err == nil {
			times[status]++
			switch classify(status, times[status]) {
			case accepted:
				return answer, nil
			case rejected:
				return nil, merry.Errorf("%s: %d %s: %s", name, status, http.StatusText(status), answer)
			}
			err = merry.Errorf("%d %s: %s", status, http.StatusText(status), answer)
		}
		t := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, merry.Prependf(err, "%s: no clear answer after %d tries; the last", name, try+1)
		case <-t.C:
		}
		pause = min(2*pause, maxBackoff)
	}
}

// attempt gives a call to one comb, and to those that it names instead.
func (c *Client) attempt(ctx context.Context, addr, name, of string, body []byte) (answer []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, AttemptTimeout+time.Duration(len(body))*attemptTimeoutPerMiB>>20)
	defer cancel()
	client := &http.Client{Transport: c.Transport, CheckRedirect: func(q *http.Request, via []*http.Request) error {
		if q.Response.StatusCode != http.StatusTemporaryRedirect || len(via) > maxRedirects {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	query := url.Values{"call": {name}, "of": {of}}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/api/rpc?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(q)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return answer, resp.StatusCode, err
}
