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
	behaviourCount    = 12 // connection behaviours to choose from; those without a case send requests sequentially
	maxResponseReads  = 4  // responses read after an invalid request
	maxQuotedBytes    = 300
)

// ClientResult is the outcome of a request as the client sees it.
type ClientResult struct {
	ID        string
	Safe      bool   // idempotent
	Invalid   bool   // malformed: the gateway must reject it
	Status    int    // 0: no response, because the connection ended or the client closed it
	Violation string // what is wrong with the response; empty if it is correct
}

// Client sends valid and invalid requests to a gateway. It is not safe for concurrent use.
type Client struct {
	Addr     string
	Host     string
	Name     string
	rng      *rand.Rand
	requests int
}

// NewClient returns a client whose behaviour is determined by the seed.
func NewClient(addr, host, name string, seed uint64) *Client {
	return &Client{Addr: addr, Host: host, Name: name, rng: rand.New(rand.NewPCG(seed, 9))}
}

// connection is one connection of a client.
type connection struct {
	*Client
	conn   *net.TCPConn
	reader *bufio.Reader
}

// RunConnection opens one connection, uses it with a random behaviour and returns the result of each request.
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
		return connection.closeWhileSending()
	case 3:
		return connection.closeWhileWaiting()
	case 4:
		return connection.sendSlowly()
	case 5, 6:
		return connection.sendInvalid()
	case 7:
		return connection.closeWriteSide()
	}
	return connection.sendSequentially()
}

// send writes to the gateway. It ignores errors, because the gateway may have closed the connection.
func (c *connection) send(s string) { _, _ = io.WriteString(c.conn, s) }

// sendSequentially sends several requests, each after the response to the previous one.
func (c *connection) sendSequentially() (results []ClientResult) {
	for range 1 + c.rng.IntN(20) {
		request := c.validRequest()
		c.send(request.wire)
		result, reusable := c.receive(request)
		if results = append(results, result); !reusable {
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
	reusable := true
	for _, request := range sent {
		result := ClientResult{ID: request.id, Safe: request.safe}
		if reusable {
			result, reusable = c.receive(request)
		}
		results = append(results, result)
	}
	return results
}

// closeWhileSending sends part of a request and closes or resets the connection.
func (c *connection) closeWhileSending() []ClientResult {
	request := c.validRequest()
	c.send(request.wire[:c.rng.IntN(len(request.wire)+1)])
	if c.rng.IntN(2) == 0 {
		_ = c.conn.SetLinger(0) // fails on a closed connection only
	}
	return []ClientResult{{ID: request.id, Safe: request.safe}}
}

// closeWhileWaiting sends a request and closes the connection after a short wait for the response.
func (c *connection) closeWhileWaiting() []ClientResult {
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

// sendInvalid sends an invalid request, sometimes after a valid one.
func (c *connection) sendInvalid() (results []ClientResult) {
	if c.rng.IntN(2) == 0 {
		request := c.validRequest()
		c.send(request.wire)
		result, reusable := c.receive(request)
		if results = append(results, result); !reusable {
			return results
		}
	}
	request := c.invalidRequest()
	go c.send(request.wire)
	for range maxResponseReads {
		result, reusable := c.receive(request)
		result.Invalid = true
		result.Violation = ""
		if result.Status != 0 && !isRejection(result.Status) {
			result.Violation = fmt.Sprintf("status %d for invalid request %q", result.Status, request.wire[:min(len(request.wire), maxQuotedBytes)])
		}
		if results = append(results, result); !reusable || result.Status == 0 {
			return results
		}
	}
	return results
}

// isRejection reports whether a status rejects an invalid request.
func isRejection(status int) bool {
	return status/100 == 4 || status == http.StatusHTTPVersionNotSupported || status == http.StatusNotImplemented
}

// closeWriteSide sends a request, half-closes the connection and reads the response.
func (c *connection) closeWriteSide() []ClientResult {
	request := c.validRequest()
	c.send(request.wire)
	_ = c.conn.CloseWrite() // fails on a closed connection only
	result, _ := c.receive(request)
	return []ClientResult{result}
}

// receive reads the response to a request and verifies its content. reusable is false if the connection has ended.
func (c *connection) receive(request *clientRequest) (result ClientResult, reusable bool) {
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

// violation describes what is wrong with a response to the request. It is empty if the response is correct.
func (q *clientRequest) violation(response *http.Response, body string) string {
	status, id := response.StatusCode, response.Header.Get("X-Attempt-Id")
	isHead := q.method == http.MethodHead
	switch {
	case id != "" && id != q.id:
		return fmt.Sprintf("%s got the response to %s: %d %.80q", q.id, id, status, body)
	case status/100 == 2 && (id != q.id || response.Header.Get("X-Response-Seal") != "seal-"+q.id):
		return fmt.Sprintf("%s got a success response without a valid seal: %v %.80q", q.id, response.Header, body)
	case status == http.StatusOK && !isHead && body != ResponseBody(q.id, q.method, q.uri, q.body):
		return fmt.Sprintf("%s got an unexpected body: %.80q", q.id, body)
	case status != http.StatusOK && status < http.StatusBadRequest && !isHead && body != "":
		return fmt.Sprintf("%s got an unexpected body with status %d: %.80q", q.id, status, body)
	case status == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		return q.id + " was rejected without Retry-After"
	}
	return ""
}
