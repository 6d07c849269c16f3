package hostile

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// ClientResult is what a client heard of a request. Status 0: nothing, the connection ended or the client left.
type ClientResult struct {
	ID        string
	Safe      bool
	Invalid   bool // not to be taken for a request at all
	Status    int
	Violation string // what was wrong with the answer; empty: nothing
}

// Client sends requests to a front, well and badly, by its seed.
type Client struct {
	Addr     string
	Host     string
	Name     string
	rng      *rand.Rand
	requests int
}

// NewClient makes one whose acts follow from the seed.
func NewClient(addr, host, name string, seed uint64) *Client {
	return &Client{Addr: addr, Host: host, Name: name, rng: rand.New(rand.NewPCG(seed, 9))}
}

type clientRequest struct {
	id, method, uri string
	body            []byte
	safe            bool
	wire            string // on the wire
}

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
	var b strings.Builder
	b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for rest := q.body; len(rest) > 0; {
		m := min(1+c.rng.IntN(1<<14), len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", m, rest[:m])
		rest = rest[m:]
	}
	b.WriteString("0\r\n\r\n")
	q.wire = b.String()
	return q
}

// invalidRequest is a request that must reach no replica, with one in tow that is hidden in or behind it.
func (c *Client) invalidRequest() *clientRequest {
	c.requests++
	q := &clientRequest{id: fmt.Sprintf("bad-%s-%d", c.Name, c.requests)}
	head := fmt.Sprintf("POST /u/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", q.id, c.Host, q.id)
	hidden := fmt.Sprintf("GET /s/%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n\r\n", q.id, c.Host, q.id)
	old := strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
	q.wire = []string{
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
		head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + hidden,
		head + "Content-Length: +9\r\n\r\n" + hidden,
		head + "Content-Length: 9, 9\r\n\r\n" + hidden,
		head + "Content-Length: -1\r\n\r\n" + hidden,
		head + "X-Y: a\r\n folded\r\nContent-Length: 0\r\n\r\n" + hidden,
		head + "X-Y: a\rContent-Length: 0\r\n\r\n" + hidden,
		head + "X-Y: \x00\r\nContent-Length: 0\r\n\r\n" + hidden,
		head + "no colon\r\nContent-Length: 0\r\n\r\n" + hidden,
		head + "X-Attempt-Id: second\r\nContent-Length: 0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeXX0\r\n\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\n\r\n-5\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\n\r\n5\n" + hidden,
		old + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "Content-Length: 99999999\r\n\r\n" + hidden,
		head + "X-Y: " + strings.Repeat("z", 40<<10) + "\r\n\r\n" + hidden,
		strings.Repeat("X", 40<<10) + " / HTTP/1.1\r\n\r\n" + hidden,
		strings.Replace(head, "HTTP/1.1", "HTTP/9.9", 1) + "Content-Length: 0\r\n\r\n" + hidden,
		strings.Replace(head, "Host: "+c.Host+"\r\n", "", 1) + "Content-Length: 0\r\n\r\n" + hidden,
		strings.Replace(head, "/u/", "u/", 1) + "Content-Length: 0\r\n\r\n",
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + hidden,
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + hidden,
	}[c.rng.IntN(28)]
	return q
}

// RunConnection opens one connection and uses it in one of many ways. It returns what was heard of each request.
func (c *Client) RunConnection() (all []ClientResult) {
	conn, err := net.Dial("tcp", c.Addr)
	if err != nil {
		return nil
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	br := bufio.NewReader(conn)
	switch c.rng.IntN(12) {
	default: // one after the other
		for range 1 + c.rng.IntN(20) {
			q := c.validRequest()
			io.WriteString(conn, q.wire)
			t, more := readResponse(br, q)
			if all = append(all, t); !more {
				return all
			}
			if t.Status == http.StatusServiceUnavailable {
				time.Sleep(time.Duration(5+c.rng.IntN(20)) * time.Millisecond)
			}
		}
	case 1: // pipelined
		var sent []*clientRequest
		for range 2 + c.rng.IntN(4) {
			sent = append(sent, c.validRequest())
		}
		go func() {
			for _, q := range sent {
				io.WriteString(conn, q.wire)
			}
		}()
		more := true
		for _, q := range sent {
			t := ClientResult{ID: q.id, Safe: q.safe}
			if more {
				t, more = readResponse(br, q)
			}
			all = append(all, t)
		}
	case 2: // leaves at a byte
		q := c.validRequest()
		io.WriteString(conn, q.wire[:c.rng.IntN(len(q.wire)+1)])
		if c.rng.IntN(2) == 0 {
			conn.(*net.TCPConn).SetLinger(0)
		}
		return append(all, ClientResult{ID: q.id, Safe: q.safe})
	case 3: // leaves while a try runs
		q := c.validRequest()
		io.WriteString(conn, q.wire)
		conn.SetReadDeadline(time.Now().Add(time.Duration(c.rng.IntN(3000)) * time.Microsecond))
		t, _ := readResponse(br, q)
		return append(all, t)
	case 4: // by pieces
		q := c.validRequest()
		for rest := q.wire; len(rest) > 0; {
			n := min(1+c.rng.IntN(max(len(q.wire)/6, 8)), len(rest))
			io.WriteString(conn, rest[:n])
			rest = rest[n:]
			time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Microsecond)
		}
		t, _ := readResponse(br, q)
		return append(all, t)
	case 5, 6: // in two meanings, perhaps behind a good one
		if c.rng.IntN(2) == 0 {
			q := c.validRequest()
			io.WriteString(conn, q.wire)
			t, more := readResponse(br, q)
			if all = append(all, t); !more {
				return all
			}
		}
		q := c.invalidRequest()
		go io.WriteString(conn, q.wire)
		for i := 0; i < 4; i++ {
			t, more := readResponse(br, q)
			t.Invalid = true
			if t.Violation = ""; t.Status != 0 && t.Status/100 != 4 && t.Status != 505 && t.Status != 501 {
				t.Violation = fmt.Sprintf("%d for %q", t.Status, q.wire[:min(len(q.wire), 300)])
			}
			if all = append(all, t); !more || t.Status == 0 {
				return all
			}
		}
	case 7: // closes its half behind the request
		q := c.validRequest()
		io.WriteString(conn, q.wire)
		conn.(*net.TCPConn).CloseWrite()
		t, _ := readResponse(br, q)
		return append(all, t)
	}
	return all
}

// readResponse reads the answer to a request and matches it by content.
func readResponse(br *bufio.Reader, q *clientRequest) (t ClientResult, more bool) {
	t = ClientResult{ID: q.id, Safe: q.safe}
	r, err := http.ReadResponse(br, &http.Request{Method: q.method})
	if err != nil {
		return t, false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return t, false // an answer that ends early is seen to
	}
	t.Status = r.StatusCode
	id := r.Header.Get("X-Attempt-Id")
	switch {
	case id != "" && id != q.id:
		t.Violation = fmt.Sprintf("%s heard the answer to %s: %d %.80q", q.id, id, r.StatusCode, body)
	case r.StatusCode/100 == 2 && (id != q.id || r.Header.Get("X-Response-Seal") != "seal-"+q.id):
		t.Violation = fmt.Sprintf("%s heard a success without its seal: %v %.80q", q.id, r.Header, body)
	case r.StatusCode == http.StatusOK && q.method != http.MethodHead && string(body) != ResponseBody(q.id, q.method, q.uri, q.body):
		t.Violation = fmt.Sprintf("%s heard another body: %.80q", q.id, body)
	case r.StatusCode != http.StatusOK && len(body) > 0 && q.method != http.MethodHead && r.StatusCode < 400:
		t.Violation = fmt.Sprintf("%s heard a body with %d: %.80q", q.id, r.StatusCode, body)
	case (r.StatusCode == http.StatusServiceUnavailable) && r.Header.Get("Retry-After") == "":
		t.Violation = q.id + " was refused without when to come back"
	}
	return t, !r.Close
}
