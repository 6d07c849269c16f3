package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const clientDeadline = 5 * time.Second

// load is a stream of requests to one gateway.
type load struct {
	gateway *machine
	path    string
	method  string
	perS    float64
}

// clients send requests until they are stopped, and count the answers by status.
type clients struct {
	record  *record
	stopped context.Context //nolint:containedctx // ends all streams
	stop    context.CancelFunc
	streams sync.WaitGroup
	sent    atomic.Int64

	mu       sync.Mutex
	statuses map[string]int
}

func newClients(record *record) *clients {
	c := &clients{record: record, statuses: map[string]int{}}
	c.stopped, c.stop = context.WithCancel(context.Background())
	return c
}

// start begins a stream. Its requests come at random moments.
func (c *clients) start(l load) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	c.streams.Go(func() {
		for {
			gap := time.Duration(rand.ExpFloat64() / l.perS * float64(time.Second))
			select {
			case <-time.After(gap):
				c.streams.Go(func() { c.request(transport, l) })
			case <-c.stopped.Done():
				return
			}
		}
	})
}

// request sends one request and reads its answer.
func (c *clients) request(transport *http.Transport, l load) {
	attempt := fmt.Sprintf("%08x%08x", rand.Uint32(), c.sent.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, l.method, "http://"+l.gateway.front()+l.path, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	sentAt := c.record.now()
	answer := answerTo(request, transport, attempt)
	c.record.write("request %s %s%s sent at %.3f to %s: %s", attempt, l.method, l.path, sentAt.Seconds(), l.gateway.name, answer)
	c.count(answer)
}

// answerTo sends a request and returns what came back: a status, or what is wrong with the answer.
func answerTo(request *http.Request, transport *http.Transport, attempt string) string {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "no answer"
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it has been read
	switch {
	case err != nil:
		return "no whole answer"
	case response.StatusCode == http.StatusOK && string(body) != attempt:
		return "200 with another body"
	}
	return fmt.Sprint(response.StatusCode)
}

func (c *clients) count(status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
}

// finish ends the streams and records the answers.
func (c *clients) finish() {
	c.stop()
	c.streams.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.write("clients sent %d requests; answers by status: %v", c.sent.Load(), c.statuses)
}
