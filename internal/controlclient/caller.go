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
	// Silence is how long one comb may take for a call without a large body.
	Silence = time.Second

	silenceMiB   = time.Second // more for each mebibyte that is sent
	redirects    = 2           // 307 is followed so often
	pauseLeast   = 100 * time.Millisecond
	pauseMost    = 2 * time.Second
	otherRefused = 3 // another 4xx ends a call when it has come so often
)

// Caller calls combs. A call begins at the first address.
type Caller struct {
	Addrs     []string          // of control, one at least
	Transport http.RoundTripper // nil: the default one
}

// New takes addresses with commas between.
func New(addrs string) (*Caller, error) {
	c := &Caller{}
	for a := range strings.SplitSeq(addrs, ",") {
		a = strings.TrimSpace(a)
		host, port, err := net.SplitHostPort(a)
		if u, bad := url.Parse("http://" + a); err != nil || bad != nil || u.Host != a || host == "" || port == "" {
			return nil, merry.Errorf("address: %q is not an address with a port", a)
		}
		c.Addrs = append(c.Addrs, a)
	}
	return c, nil
}

// next is what follows an answer.
type next int

const (
	taken   next = iota
	refused      // for good
	again
)

// after tells what follows a status that has come for the n-th time (from 1) to a call.
func after(status, n int) next {
	switch {
	case status >= 200 && status < 300:
		return taken
	case status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status >= 500:
		return again
	case status == http.StatusBadRequest || status == http.StatusConflict || status == http.StatusPreconditionFailed ||
		status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity:
		return refused
	case status >= 400 && n >= otherRefused:
		return refused
	}
	return again
}

// Call gives a call to the combs in turn until one takes or refuses it, or ctx ends; the error then tells what was met last, and whether
// the call was taken is not known. All that combs are asked is taken once, also when it is given again.
func (c *Caller) Call(ctx context.Context, name, of string, body []byte) ([]byte, error) {
	pause := pauseLeast
	times := map[int]int{}
	for try := 0; ; try++ {
		answer, status, err := c.give(ctx, c.Addrs[try%len(c.Addrs)], name, of, body)
		if err == nil {
			times[status]++
			switch after(status, times[status]) {
			case taken:
				return answer, nil
			case refused:
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
		pause = min(2*pause, pauseMost)
	}
}

// give gives a call to one comb, and to those that it names instead.
func (c *Caller) give(ctx context.Context, addr, name, of string, body []byte) (answer []byte, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, Silence+time.Duration(len(body))*silenceMiB>>20)
	defer cancel()
	client := &http.Client{Transport: c.Transport, CheckRedirect: func(q *http.Request, via []*http.Request) error {
		if q.Response.StatusCode != http.StatusTemporaryRedirect || len(via) > redirects {
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
