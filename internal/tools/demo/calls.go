package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
)

const (
	startTimeout      = 20 * time.Second // limit of each startup step
	pollInterval      = 20 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	replicaSlots      = 4
)

// call makes a control call and returns the HTTP status of the response.
func (c *Cluster) call(ctx context.Context, name, target string, body []byte) (status int, err error) {
	query := url.Values{"call": {name}, "of": {target}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.ControlAddress+"/api/rpc?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	return send(request)
}

// send sends a request and drains the response body, so that the connection can be reused.
func send(request *http.Request) (status int, err error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// sendHeartbeats keeps a replica registered until ctx is done. A failed heartbeat is not retried; the next one takes its place.
func (c *Cluster) sendHeartbeats(ctx context.Context, replica *upstream.Replica) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for sequence := uint64(1); ; sequence++ {
		body, err := json.Marshal(upstream.NewHeartbeat("hello", replica.Addr(), "here", replicaSlots, sequence))
		if err == nil {
			_, _ = c.call(ctx, "instances.heartbeat", replica.ID, body)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll waits until a condition holds. It fails after startTimeout.
func poll(description string, condition func() bool) error {
	for deadline := time.Now().Add(startTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return merry.Errorf("timed out after %v waiting for %s", startTimeout, description)
		}
	}
	return nil
}

func (c *Cluster) replaceConfiguration(ctx context.Context, text string) error {
	return poll("the configuration to be replaced", func() bool {
		status, err := c.call(ctx, "configuration.replace", "", []byte(text))
		return err == nil && status == http.StatusOK
	})
}

// waitForGateways waits until each gateway has forwarded a request.
func (c *Cluster) waitForGateways(ctx context.Context) error {
	for _, front := range c.FrontAddresses {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front+"/", nil)
		if err != nil {
			return err
		}
		request.Header.Set("X-Attempt-Id", "demo")
		err = poll("a response from "+front, func() bool {
			status, err := send(request)
			return err == nil && status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}
