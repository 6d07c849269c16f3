package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	connectionTimeout = 10 * time.Second
	behaviourCount    = 12 // of a client's connection; those without a case are sequential requests
	maxReadBadAnswers = 4
	maxQuotedBytes    = 300 // of a request, in a violation
)

// ClientResult is what a client heard of a request.
type ClientResult struct {
	ID        string
	Safe      bool   // idempotent
	Invalid   bool   // not to be taken for a request at all
	Status    int    // 0: none, the connection ended or the client left
	Violation string // what was wrong with the response; empty: nothing
}

// Client sends requests to a gateway, valid and invalid ones, by its seed. It is not safe for concurrent use.
type Client struct {
	Addr     string
	Host     string
	Name     string
	rng      *rand.Rand
	requests int
}

// NewClient makes a client whose behaviour follows from the seed.
func NewClient(addr, host, name string, seed uint64) *Client {
	return &Client{Addr: addr, Host: host, Name: name, rng: rand.New(rand.NewPCG(seed, 9))}
}

// connection is one connection of a client.
type connection struct {
	*Client
	conn   *net.TCPConn
	reader *bufio.Reader
}

// RunConnection opens one connection and uses it in one of many ways. It returns what was heard of each request.
func (c *Client) RunConnection() []ClientResult {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", c.Addr)
	if err != nil {
		return nil
	}
	defer closeQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(connectionTimeout)); err != nil {
		return nil
	}
	connection := &connection{Client: c, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
	switch c.rng.IntN(behaviourCount) {
	case 1:
		return connection.pipeline()
	case 2:
		return connection.leaveWhileSending()
	case 3:
		return connection.leaveWhileWaiting()
	case 4:
		return connection.sendSlowly()
	case 5, 6:
		return connection.sendInvalid()
	case 7:
		return connection.closeWriteSide()
	}
	return connection.sendSequentially()
}

// send writes to the gateway, which may have closed the connection.
func (c *connection) send(s string) { _, _ = io.WriteString(c.conn, s) }

// sendSequentially sends one request after the other.
func (c *connection) sendSequentially() (results []ClientResult) {
	for range 1 + c.rng.IntN(20) {
		request := c.validRequest()
		c.send(request.wire)
		result, more := c.receive(request)
		if results = append(results, result); !more {
			return results
		}
		if result.Status == http.StatusServiceUnavailable {
			time.Sleep(time.Duration(5+c.rng.IntN(20)) * time.Millisecond)
		}
	}
	return results
}

// pipeline sends several requests before it reads the first response.
func (c *connection) pipeline() (results []ClientResult) {
	var sent []*clientRequest
	for range 2 + c.rng.IntN(4) {
		sent = append(sent, c.validRequest())
	}
	go func() {
		for _, request := range sent {
			c.send(request.wire)
		}
	}()
	more := true
	for _, request := range sent {
		result := ClientResult{ID: request.id, Safe: request.safe}
		if more {
			result, more = c.receive(request)
		}
		results = append(results, result)
	}
	return results
}

// leaveWhileSending closes the connection behind a part of a request, with a reset or without.
func (c *connection) leaveWhileSending() []ClientResult {
	request := c.validRequest()
	c.send(request.wire[:c.rng.IntN(len(request.wire)+1)])
	if c.rng.IntN(2) == 0 {
		_ = c.conn.SetLinger(0) // fails on a closed connection only
	}
	return []ClientResult{{ID: request.id, Safe: request.safe}}
}

// leaveWhileWaiting closes the connection while an attempt is in flight.
func (c *connection) leaveWhileWaiting() []ClientResult {
	request := c.validRequest()
	c.send(request.wire)
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Duration(c.rng.IntN(3000)) * time.Microsecond)) // fails on a closed connection only
	result, _ := c.receive(request)
	return []ClientResult{result}
}

// sendSlowly sends a request in pieces.
func (c *connection) sendSlowly() []ClientResult {
	request := c.validRequest()
	for rest := request.wire; len(rest) > 0; {
		n := min(1+c.rng.IntN(max(len(request.wire)/6, 8)), len(rest))
		c.send(rest[:n])
		rest = rest[n:]
		time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Microsecond)
	}
	result, _ := c.receive(request)
	return []ClientResult{result}
}

// sendInvalid sends an invalid request, perhaps behind a valid one.
func (c *connection) sendInvalid() (results []ClientResult) {
	if c.rng.IntN(2) == 0 {
		request := c.validRequest()
		c.send(request.wire)
		result, more := c.receive(request)
		if results = append(results, result); !more {
			return results
		}
	}
	request := c.invalidRequest()
	go c.send(request.wire)
	for range maxReadBadAnswers {
		result, more := c.receive(request)
		result.Invalid = true
		result.Violation = ""
		if result.Status != 0 && !isRefusal(result.Status) {
			result.Violation = fmt.Sprintf("%d for %q", result.Status, request.wire[:min(len(request.wire), maxQuotedBytes)])
		}
		if results = append(results, result); !more || result.Status == 0 {
			return results
		}
	}
	return results
}

// isRefusal tells whether a status says that an invalid request was not taken for one.
func isRefusal(status int) bool {
	return status/100 == 4 || status == http.StatusHTTPVersionNotSupported || status == http.StatusNotImplemented
}

// closeWriteSide closes the client's half of the connection behind a request.
func (c *connection) closeWriteSide() []ClientResult {
	request := c.validRequest()
	c.send(request.wire)
	_ = c.conn.CloseWrite() // fails on a closed connection only
	result, _ := c.receive(request)
	return []ClientResult{result}
}

// receive reads the response to a request and matches it by content. more is set where the connection goes on.
func (c *connection) receive(request *clientRequest) (result ClientResult, more bool) {
	result = ClientResult{ID: request.id, Safe: request.safe}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.method})
	if err != nil {
		return result, false
	}
	defer closeQuietly(response.Body)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return result, false // the client sees that the response was truncated
	}
	result.Status = response.StatusCode
	result.Violation = request.violation(response, string(body))
	return result, !response.Close
}

// violation tells what is wrong with a response to the request; empty: nothing.
func (q *clientRequest) violation(response *http.Response, body string) string {
	status, id := response.StatusCode, response.Header.Get("X-Attempt-Id")
	isHead := q.method == http.MethodHead
	switch {
	case id != "" && id != q.id:
		return fmt.Sprintf("%s got the response to %s: %d %.80q", q.id, id, status, body)
	case status/100 == 2 && (id != q.id || response.Header.Get("X-Response-Seal") != "seal-"+q.id):
		return fmt.Sprintf("%s got a success without its seal: %v %.80q", q.id, response.Header, body)
	case status == http.StatusOK && !isHead && body != ResponseBody(q.id, q.method, q.uri, q.body):
		return fmt.Sprintf("%s got another body: %.80q", q.id, body)
	case status != http.StatusOK && status < http.StatusBadRequest && !isHead && body != "":
		return fmt.Sprintf("%s got a body with %d: %.80q", q.id, status, body)
	case status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		return q.id + " was rejected without Retry-After"
	}
	return ""
}
