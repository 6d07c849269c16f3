// Package controlclient is a client of the control API of control-plane members. A call may be sent to any member. It is retried at
// the next member, with exponential backoff, after a connection failure, a timeout or a status of 408, 429 or 5xx. The API is
// idempotent, so retries are safe.
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
	// AttemptTimeout is the timeout of one attempt of a call with an empty body.
	AttemptTimeout = time.Second

	attemptTimeoutPerMiB = time.Second // added to AttemptTimeout in proportion to the body size
	maxRedirects         = 2           // 307 responses followed per attempt
	minBackoff           = 100 * time.Millisecond
	maxBackoff           = 2 * time.Second
)

// ErrInvalidAddress means that an address passed to New does not consist of a host and a port.
var ErrInvalidAddress = errors.New("must be an address with a port")

// Client calls control-plane members. Each call starts with the first address. A Client is safe for concurrent use.
type Client struct {
	Addresses []string          // control addresses; must not be empty
	Transport http.RoundTripper // nil means http.DefaultTransport
}

// New returns a client for a comma-separated list of control addresses.
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

// Call sends a call to the members in turn until one accepts or rejects it, or ctx is done. It returns a *RejectedError if the call
// was rejected and an *UnconfirmedError if ctx is done first; in the latter case a member may have executed the call.
func (c *Client) Call(ctx context.Context, name, target string, body []byte) ([]byte, error) {
	backoff := minBackoff
	received := map[int]int{} // number of responses by status
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

// sleep waits for a duration. It returns false if ctx is done first.
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

type response struct {
	status int
	body   []byte
}

// attempt sends a call to one member and follows its redirects.
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
	defer func() { _ = httpResponse.Body.Close() }() // ReadAll has already reported any error
	responseBody, err := io.ReadAll(httpResponse.Body)
	return response{status: httpResponse.StatusCode, body: responseBody}, err
}

// followTemporaryRedirect allows only 307 redirects, which preserve the method and the body.
func followTemporaryRedirect(request *http.Request, via []*http.Request) error {
	if request.Response.StatusCode != http.StatusTemporaryRedirect || len(via) > maxRedirects {
		return http.ErrUseLastResponse
	}
	return nil
}
