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
	startTimeout      = 20 * time.Second // of each step of the start
	pollInterval      = 20 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	replicaSlots      = 4
)

// call makes a control call and returns the status of the answer.
func (c *Cluster) call(ctx context.Context, name, target string, body []byte) (status int, err error) {
	query := url.Values{"call": {name}, "of": {target}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.ControlAddress+"/api/rpc?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	return send(request)
}

// send sends a request and reads the whole response, so that its connection can be used again.
func send(request *http.Request) (status int, err error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // nothing is left to be read
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// sendHeartbeats registers a replica until ctx ends. A heartbeat that fails is made up for by the next one.
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

// poll calls a condition until it holds.
func poll(what string, condition func() bool) error {
	for deadline := time.Now().Add(startTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return merry.Errorf("%s: not within %v", what, startTimeout)
		}
	}
	return nil
}

func (c *Cluster) replaceConfiguration(ctx context.Context) error {
	return poll("replacing the configuration", func() bool {
		status, err := c.call(ctx, "configuration.replace", "", []byte(configuration))
		return err == nil && status == http.StatusOK
	})
}

// awaitAnswers waits until each gateway has forwarded a request.
func (c *Cluster) awaitAnswers(ctx context.Context) error {
	for _, front := range c.FrontAddresses {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front+"/", nil)
		if err != nil {
			return err
		}
		request.Header.Set("X-Attempt-Id", "demo")
		err = poll("an answer at "+front, func() bool {
			status, err := send(request)
			return err == nil && status == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}
