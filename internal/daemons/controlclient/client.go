// Package controlclient calls the control interface of control-plane members as the protocol page asks of all callers: any
// member may be asked, and the call is repeated at another one after a failed connection, a 5xx, a 408 or 429, or an
// attempt that has timed out, with an exponential backoff. The interface is idempotent, so repeating a call is safe.
package controlclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

const (
	// AttemptTimeout is how long one member may take to answer a call without a large body.
	AttemptTimeout = time.Second

	attemptTimeoutPerMiB = time.Second // added for each mebibyte of the body
	maxRedirects         = 2           // 307 responses that are followed within an attempt
	minBackoff           = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
)

// ErrInvalidAddress is wrapped by New's errors.
var ErrInvalidAddress = errors.New("is not an address with a port")

// Client calls control-plane members. Each call begins at the first address. A Client may be used by several goroutines.
type Client struct {
	Addresses []string          // control addresses, at least one
	Transport http.RoundTripper // nil: http.DefaultTransport
}

// New returns a client for control addresses separated by commas.
func New(addresses string) (*Client, error) {
	client := &Client{}
	for address := range strings.SplitSeq(addresses, ",") {
		address = strings.TrimSpace(address)
		if !validAddress(address) {
			return nil, fmt.Errorf("address: %q %w", address, ErrInvalidAddress)
		}
		client.Addresses = append(client.Addresses, address)
	}
	return client, nil
}

func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "" {
		return false
	}
	parsed, err := url.Parse("http://" + address)
	return err == nil && parsed.Host == address
}

// Call sends a call to the members in turn until one accepts or rejects it, or ctx ends. A rejection is a *RejectedError.
// When ctx ends the error is an *UnconfirmedError: a member may have executed the call.
func (c *Client) Call(ctx context.Context, name, target string, body []byte) ([]byte, error) {
	backoff := minBackoff
	received := map[int]int{} // responses to this call by status
	for attempts := 1; ; attempts++ {
		address := c.Addresses[(attempts-1)%len(c.Addresses)]
		response, err := c.attempt(ctx, address, name, target, body)
		if err == nil {
			received[response.status]++
			statusError := &StatusError{Status: response.status, Body: response.body}
			switch classify(response.status, received[response.status]) {
			case accepted:
				return response.body, nil
			case rejected:
				return nil, &RejectedError{Call: name, Err: statusError}
			}
			err = statusError
		}
		if !sleep(ctx, backoff/2+rand.N(backoff)) {
			return nil, &UnconfirmedError{Call: name, Attempts: attempts, Err: err}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep waits, and returns false if ctx ended meanwhile.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// response is what one member answered.
type response struct {
	status int
	body   []byte
}

// attempt sends a call to one member, and to the members that it redirects to.
func (c *Client) attempt(ctx context.Context, address, name, target string, body []byte) (response, error) {
	timeout := AttemptTimeout + time.Duration(len(body))*attemptTimeoutPerMiB>>20
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{"call": {name}, "of": {target}}
	requestURL := "http://" + address + "/api/rpc?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, requestURL, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: c.Transport, CheckRedirect: followTemporaryRedirect}
	httpResponse, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }() // a body that was read to its end has nothing more to report
	answer, err := io.ReadAll(httpResponse.Body)
	return response{status: httpResponse.StatusCode, body: answer}, err
}

// followTemporaryRedirect follows 307 alone, as it keeps the method and the body.
func followTemporaryRedirect(request *http.Request, via []*http.Request) error {
	if request.Response.StatusCode != http.StatusTemporaryRedirect || len(via) > maxRedirects {
		return http.ErrUseLastResponse
	}
	return nil
}
