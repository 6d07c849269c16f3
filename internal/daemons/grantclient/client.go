// Package grantclient performs a control-plane member's calls to replicas of sharded services: grants and releases of shard keys.
//
// Calls to a replica use two lanes, one for grants and one for releases, because the answer to a release waits for running work and must not
// hold up renewals. A lane performs its calls in order, one at a time, on one kept connection. A call is never sent twice, and a call that may
// have reached the replica without an answer ends with a reset of its connection, so that the kernel does not deliver it later.
package grantclient

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/controlplane/ownership"
)

// maxQueuedCalls limits the calls that wait in a lane.
const maxQueuedCalls = 256

// Reasons for which a call is not sent. Logs give them with the replica, the range and the token.
var (
	errTooLate            = errors.New("the time for sending the call has passed")
	errQueueFull          = errors.New("too many calls to the replica are waiting")
	errTooManyConnections = errors.New("the limit of connections to replicas has been reached")
	errUnsendable         = errors.New("the replica's ID or address contains characters that a request cannot carry")
	errClosed             = errors.New("the client is closed")
)

// Config configures a Client.
type Config struct {
	// Now is the clock of Call.NotAfter.
	Now func() time.Duration

	// DialAddress returns the address to dial for a replica's advertised address.
	DialAddress func(address string) string

	// Deliver receives the results of calls that have ended, in batches. It is called by one goroutine at a time and may block, except that
	// it must not wait for Close.
	Deliver func(results []ownership.CallResult)

	MaxConnections int
	Logger         *log.Logger
}

// Client performs calls to replicas. Each call passed to Start ends with exactly one result.
type Client struct {
	config     Config
	context    context.Context //nolint:containedctx // the lifetime of the client's goroutines, ended by Close
	cancel     context.CancelFunc
	logLimiter *rate.Limiter

	counts      [kindCount][outcomeCount]atomic.Uint64 // ended calls
	connections atomic.Int64                           // open connections, including those being opened
	opened      atomic.Uint64                          // connections opened in total

	lanesDone     sync.WaitGroup
	deliveryDone  chan struct{}
	resultsReady  chan struct{} // receives a value when results becomes non-empty
	stopDelivery  chan struct{}
	mu            sync.Mutex
	lanes         map[laneKey]*lane
	results       []ownership.CallResult // not delivered yet
	failures      []failure              // not logged yet; limited by logLimiter
	closed        bool                   // no new lanes
	deliveryEnded bool                   // results are discarded
}

// New returns a client. It must be ended with Close.
func New(config Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	client := &Client{
		config:       config,
		context:      ctx,
		cancel:       cancel,
		logLimiter:   rate.NewLimiter(logRate, logBurst),
		deliveryDone: make(chan struct{}),
		resultsReady: make(chan struct{}, 1),
		stopDelivery: make(chan struct{}),
		lanes:        map[laneKey]*lane{},
	}
	go client.deliverResults()
	return client
}

// Start begins calls without waiting for them. Calls of the same kind to the same replica are sent in the order of Start.
func (c *Client) Start(calls []ownership.Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range calls {
		c.start(&calls[i])
	}
}

// start queues a call in its lane. The caller must hold mu.
func (c *Client) start(call *ownership.Call) {
	if c.closed {
		c.end(call, failed(ownership.CallNotTried, errClosed))
		return
	}
	key := laneKey{replica: call.Replica, kind: call.Kind}
	l := c.lanes[key]
	if l == nil {
		l = newLane(c, key)
		c.lanes[key] = l
		c.lanesDone.Add(1)
		go l.run()
	}
	if len(l.queue) >= maxQueuedCalls {
		c.end(call, failed(ownership.CallNotTried, errQueueFull))
		return
	}
	l.queue = append(l.queue, *call)
	signal(l.wake)
}

// finish records the result of a call.
func (c *Client) finish(call *ownership.Call, result ownership.CallResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(call, result)
}

// end records the result of a call. The caller must hold mu.
func (c *Client) end(call *ownership.Call, result ownership.CallResult) {
	result.ID = call.ID
	c.count(call.Kind, result.Outcome)
	if result.Outcome != ownership.CallAccepted && c.logLimiter.Allow() {
		c.failures = append(c.failures, failure{*call, result})
	}
	if !c.deliveryEnded {
		c.results = append(c.results, result)
		signal(c.resultsReady)
	}
}

// deliverResults delivers results and logs failures until stopDelivery is closed and all results are delivered.
func (c *Client) deliverResults() {
	defer close(c.deliveryDone)
	for stopping := false; ; {
		select {
		case <-c.resultsReady:
		case <-c.stopDelivery:
			stopping = true
		}
		c.mu.Lock()
		batch, failures := c.results, c.failures
		c.results, c.failures = nil, nil
		c.deliveryEnded = stopping
		c.mu.Unlock()
		if len(batch) > 0 {
			c.config.Deliver(batch)
		}
		for i := range failures { // without mu, as writing may block
			c.logFailure(&failures[i])
		}
		if stopping {
			return
		}
	}
}

// Close ends all calls and returns when the results of all calls started before have been delivered. Calls that are started during or after
// Close are not sent; those after Close have no result.
func (c *Client) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		<-c.deliveryDone
		return
	}
	c.closed = true
	c.cancel()
	for _, l := range c.lanes {
		l.interrupt()
	}
	c.mu.Unlock()
	c.lanesDone.Wait()
	close(c.stopDelivery)
	<-c.deliveryDone
}

// failed returns the result of a call that ended without a response.
func failed(outcome ownership.CallOutcome, err error) ownership.CallResult {
	return ownership.CallResult{Outcome: outcome, Error: err.Error()}
}

// signal makes a value available on a channel of capacity 1.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// closeQuietly closes a connection. Its error does not matter, because the connection is no longer used.
func closeQuietly(closer io.Closer) { _ = closer.Close() }
