package hostile

import (
	"fmt"
	"net/http"
	"strings"
)

const maxChunkBytes = 1 << 14

// clientRequest is a request of a client and its wire format.
type clientRequest struct {
	id, method, uri string
	body            []byte
	safe            bool
	wire            string
}

// validRequest returns a random valid request.
func (c *Client) validRequest() *clientRequest {
	c.requests++
	q := &clientRequest{id: fmt.Sprintf("%s-%d", c.Name, c.requests), method: http.MethodPost, safe: c.rng.IntN(2) == 0}
	q.uri = "/u/" + q.id
	if q.safe {
		q.uri = "/s/" + q.id
		q.method = []string{"GET", "GET", "GET", "POST", "HEAD"}[c.rng.IntN(5)]
	}
	if c.rng.IntN(200) == 0 && q.method != http.MethodHead {
		q.uri += "?large"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.uri, c.Host, q.id, 150+c.rng.IntN(300))
	if q.method != http.MethodPost {
		q.wire = head + "\r\n"
		return q
	}
	n := c.rng.IntN(300)
	if c.rng.IntN(50) == 0 {
		n = 70<<10 + c.rng.IntN(200<<10)
	}
	q.body = make([]byte, n)
	for i := range q.body {
		q.body[i] = byte('a' + i%26)
	}
	if c.rng.IntN(2) == 0 {
		q.wire = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, q.body)
		return q
	}
	q.wire = head + "Transfer-Encoding: chunked\r\n\r\n" + c.chunked(q.body)
	return q
}

// chunked encodes a body as chunks of random sizes.
func (c *Client) chunked(body []byte) string {
	var b strings.Builder
	for rest := body; len(rest) > 0; {
		n := min(1+c.rng.IntN(maxChunkBytes), len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// invalidRequest returns a random request that the gateway must not forward. Most contain a second, smuggled request.
func (c *Client) invalidRequest() *clientRequest {
	c.requests++
	q := &clientRequest{id: fmt.Sprintf("bad-%s-%d", c.Name, c.requests)}
	head := fmt.Sprintf("POST /u/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", q.id, c.Host, q.id)
	smuggled := fmt.Sprintf("GET /s/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n\r\n", q.id, c.Host, q.id)
	old := strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
	q.wire = []string{
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + smuggled,
		head + "Content-Length: +9\r\n\r\n" + smuggled,
		head + "Content-Length: 9, 9\r\n\r\n" + smuggled,
		head + "Content-Length: -1\r\n\r\n" + smuggled,
		head + "X-Y: a\r\n folded\r\nContent-Length: 0\r\n\r\n" + smuggled,
		head + "X-Y: a\rContent-Length: 0\r\n\r\n" + smuggled,
		head + "X-Y: \x00\r\nContent-Length: 0\r\n\r\n" + smuggled,
		head + "no colon\r\nContent-Length: 0\r\n\r\n" + smuggled,
		head + "X-Attempt-Id: second\r\nContent-Length: 0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeXX0\r\n\r\n" + smuggled,
		head + "Transfer-Encoding: chunked\r\n\r\n-5\r\n" + smuggled,
		head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + smuggled,
		head + "Transfer-Encoding: chunked\r\n\r\n5\n" + smuggled,
		old + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		head + "Content-Length: 99999999\r\n\r\n" + smuggled,
		head + "X-Y: " + strings.Repeat("z", 40<<10) + "\r\n\r\n" + smuggled,
		strings.Repeat("X", 40<<10) + " / HTTP/1.1\r\n\r\n" + smuggled,
		strings.Replace(head, "HTTP/1.1", "HTTP/9.9", 1) + "Content-Length: 0\r\n\r\n" + smuggled,
		strings.Replace(head, "Host: "+c.Host+"\r\n", "", 1) + "Content-Length: 0\r\n\r\n" + smuggled,
		strings.Replace(head, "/u/", "u/", 1) + "Content-Length: 0\r\n\r\n",
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + smuggled,
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + smuggled,
	}[c.rng.IntN(28)]
	return q
}
