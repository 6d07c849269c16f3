package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	clientsPerGateway = 2
	requestPause      = 18 * time.Millisecond // mean pause between two requests of a client
	requestDeadline   = 2 * time.Second       // sent in X-Deadline-Ms
	responseSlack     = 700 * time.Millisecond
	clientDialTimeout = time.Second
	unsafeShare       = 0.2
	probeShare        = 0.15
	shardSafeShare    = 0.25
	shardUnsafeShare  = 0.25
	shopHost          = "shop.example"
	safePath          = "/read/"
	unsafePath        = "/order/"
	probePath         = "/probe-"
	shardSafePath     = "/shard-read/"
	shardUnsafePath   = "/shard-order/"
)

// client sends requests to one gateway sequentially, each with a unique ID, and never retries.
type client struct {
	cluster *cluster
	gateway *daemon
	address string // of the relay to the gateway
	name    string
	random  *rand.Rand

	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		request := c.nextRequest()
		c.send(&request)
		c.cluster.record.update(func(r *Record) { r.Requests = append(r.Requests, request) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * c.cluster.options.Size.requestPause())))):
		}
	}
}

// nextRequest generates the next request.
func (c *client) nextRequest() Request {
	c.sent++
	request := Request{ID: fmt.Sprintf("%s-%d", c.name, c.sent), Gateway: c.gateway.name, Kind: SafeRequest}
	switch chance := c.random.Float64(); {
	case chance < unsafeShare:
		request.Kind = UnsafeRequest
	case chance < unsafeShare+probeShare:
		by := c.cluster.now()
		if c.random.IntN(2) == 0 { // a version that every gateway must use by now
			by -= configBound + 2*schedulingSlack
		}
		if version := c.cluster.operators.newestAcknowledged(by); version > 0 {
			request.Kind, request.Version = ProbeRequest, version
		}
	case chance < unsafeShare+probeShare+shardSafeShare:
		request.Kind, request.Key = ShardSafeRequest, randomKey(c.random, c.cluster.now())
	case chance < unsafeShare+probeShare+shardSafeShare+shardUnsafeShare:
		request.Kind, request.Key = ShardUnsafeRequest, randomKey(c.random, c.cluster.now())
	}
	return request
}

// send sends a request and stores the outcome in it. It closes the connection after an error.
func (c *client) send(request *Request) {
	request.SentAt = c.cluster.now()
	defer func() { request.EndedAt = c.cluster.now() }()
	request.Reused = c.conn != nil
	if err := c.dial(); err != nil {
		request.Problem = "dial: " + err.Error()
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestDeadline + responseSlack)) // fails on a closed connection only
	if _, err := io.WriteString(c.conn, request.encode()); err != nil {
		c.fail(request, err)
		return
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.method()})
	if err != nil {
		c.fail(request, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // ReadAll reports read errors
	if err != nil {
		c.fail(request, err)
		return
	}
	request.Status, request.Body = response.StatusCode, string(body)
	if response.Close {
		c.closeConn()
	}
}

func (c *client) fail(request *Request, err error) {
	request.Problem, request.TimedOut = err.Error(), errors.Is(err, os.ErrDeadlineExceeded)
	c.closeConn()
}

func (c *client) dial() error {
	if c.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", c.address)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close() // the gateway may have closed it
		c.conn = nil
	}
}

func (r *Request) method() string {
	if r.Kind.isUnsafe() {
		return http.MethodPost
	}
	return http.MethodGet
}

// encode returns the request in wire format.
func (r *Request) encode() string {
	path, body, shardKey := safePath, "", ""
	switch r.Kind {
	case UnsafeRequest:
		path, body = unsafePath, "order "+r.ID
	case ProbeRequest:
		path = fmt.Sprintf("%s%08x/", probePath, r.Version)
	case ShardUnsafeRequest:
		path, body = shardUnsafePath, "order "+r.ID
	case ShardSafeRequest:
		path = shardSafePath
	case SafeRequest:
	}
	if r.Kind.isSharded() {
		shardKey = fmt.Sprintf("X-Shard-Key: %d\r\n", r.Key)
	}
	return fmt.Sprintf("%s %sx HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method(), path, shopHost, r.ID, requestDeadline.Milliseconds(), shardKey, len(body), body)
}

// malformedRequests are truncated requests, garbage, and requests with ambiguous framing.
var malformedRequests = []string{
	"GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-",
	"POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: hostile\r\nContent-Length: 100\r\n\r\nhalf",
	"\x00\x01\x02 nothing\r\n\r\n",
	"POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: hostile\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /" + strings.Repeat("x", 70000),
	"",
}

// sendMalformedRequests opens connections, sends one of malformedRequests on each and resets it, until ctx ends.
func sendMalformedRequests(ctx context.Context, address string) {
	for i := 0; ctx.Err() == nil; i++ {
		dialer := net.Dialer{Timeout: clientDialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			time.Sleep(requestPause)
			continue
		}
		_, _ = io.WriteString(conn, malformedRequests[i%len(malformedRequests)]) // the gateway may close the connection early
		time.Sleep(requestPause / 4)
		resetConn(conn)
	}
}
