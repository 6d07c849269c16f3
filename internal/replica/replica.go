// Package replica is the side of a proxy governor that speaks HTTP/1.1 to replicas: connections, one request at a
// time on each, and a verdict on what became of it.
//
// Requests are never repeated here. A library's transport may send a request again where it thinks that harmless;
// here every arrival at a replica is decided by hive/tries.
package replica

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"zincloft.example/zincloft/hive/tries"
	"zincloft.example/zincloft/internal/link"
)

const (
	dialMost    = 300 * time.Millisecond
	unackedMost = 500 * time.Millisecond // sent bytes that a live replica would have acknowledged long ago
	idleGuess   = 4 * time.Second        // where a replica does not tell how long it keeps idle connections
	heldMost    = 1 << 20                // answers up to this size are held whole before their first byte is passed on
	skipMost    = 3                      // surplus answers passed over on one connection
	skipBytes   = 256 << 10
	headBuffer  = 4 << 10
	idleMost    = 30 * time.Second
	atOnce      = 50 * time.Millisecond // a connection that was forgotten answers with a reset by then; later, work broke off
	restLeast   = 20 * time.Millisecond
	restDoubles = 5 * time.Second
)

// Request is what goes to a replica. The path, method and body are the client's.
type Request struct {
	Method, URI, Host string
	Header            http.Header // without those that concern one connection
	Body              []byte
	Attempt           string // X-Attempt-Id
	Instance, Service string
	Deadline          time.Time
	Stop              context.Context // ends the try, where the client has left and nothing is lost by that; may be nil
}

// Answer is a replica's answer. Body is whole unless Rest is set: then Rest copies what follows, and its error
// means that the answer was cut.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Length int64 // of the whole body; -1: not told
	Rest   func(io.Writer) error
}

// Result is a try's outcome.
type Result struct {
	Verdict tries.Verdict
	Answer  *Answer
	Cause   string // for counts; empty: answered
	Unsent  bool   // nothing was sent
	Expired bool
	Refused bool // nobody listens at the address
	Full    bool // NotRun: by the replica's own word
}

// rest is how long connections to a service's replicas may lie idle, where they were found forgotten sooner than told.
type rest struct {
	most time.Duration
	at   time.Time
}

type conn struct {
	net.Conn
	raw       syscall.RawConn
	br        *bufio.Reader
	idleSince time.Time
	idleMost  time.Duration
	used      int
	taint     bool
	age       time.Duration // idle before this request; 0: it is new
}

// Pool keeps idle connections to replicas, by the replica's id: an address may pass to another.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	rests  map[string]rest // by service
	Opened int64           // connections opened so far
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*conn{}, rests: map[string]rest{}} }

// restMost is how idle a connection to a service may be. What was learnt is doubted more and more: twice as long is
// tried after each restDoubles.
func (p *Pool) restMost(service string, now time.Time) time.Duration {
	r, ok := p.rests[service]
	if !ok {
		return idleMost
	}
	most := r.most << min(int(now.Sub(r.at)/restDoubles), 20)
	if most >= idleMost || most <= 0 {
		delete(p.rests, service)
		return idleMost
	}
	return most
}

// forgotten learns that a replica of a service had forgotten a connection idle for so long, without a word. The next
// unsafe request on such a one would be a doubt that can be told to nobody but the client.
func (p *Pool) forgotten(service string, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if most := max(age/2, restLeast); most < p.restMost(service, now) {
		p.rests[service] = rest{most, now}
	}
}

// Drop closes the idle connections to a replica.
func (p *Pool) Drop(id string) {
	p.mu.Lock()
	list := p.idle[id]
	delete(p.idle, id)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Sweep closes connections that the replicas are about to forget.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for id, list := range p.idle {
		keep := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > c.idleMost {
				old = append(old, c)
			} else {
				keep = append(keep, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, id)
		} else {
			p.idle[id] = keep
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

func (p *Pool) take(id, service string) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		most := p.restMost(service, now)
		list := p.idle[id]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[id] = list[:len(list)-1]
		p.mu.Unlock()
		if c.age = now.Sub(c.idleSince); c.age <= min(c.idleMost, most) && c.quiet() {
			return c
		}
		c.Close()
	}
}

// quiet tells whether nothing has come in on an idle connection, not even its end.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	ok := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && ok
}

func (p *Pool) put(id string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle[id] = append(p.idle[id], c)
	p.mu.Unlock()
}

func (p *Pool) dial(addr string, deadline time.Time) (*conn, error) {
	d := link.Dialer(min(dialMost, time.Until(deadline)), unackedMost)
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	tc := nc.(*net.TCPConn)
	tc.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1})
	raw, err := tc.SyscallConn()
	if err != nil {
		nc.Close()
		return nil, err
	}
	p.mu.Lock()
	p.Opened++
	p.mu.Unlock()
	return &conn{Conn: nc, raw: raw, br: bufio.NewReaderSize(nc, headBuffer), idleMost: idleGuess}, nil
}

// Do sends a request to the replica at addr and waits for its answer.
func (p *Pool) Do(id, addr string, q *Request) Result {
	c := p.take(id, q.Service)
	if c == nil {
		var err error
		if c, err = p.dial(addr, q.Deadline); err != nil {
			return Result{Verdict: tries.NotRun, Cause: "dial", Unsent: true, Refused: errors.Is(err, syscall.ECONNREFUSED), Expired: !time.Now().Before(q.Deadline)}
		}
	}
	c.SetDeadline(q.Deadline)
	stop := func() bool { return true }
	if q.Stop != nil {
		stop = context.AfterFunc(q.Stop, func() { c.SetDeadline(time.Unix(1, 0)) })
	}
	sent := time.Now()
	res, keep := c.exchange(q)
	if c.age > 0 && time.Since(sent) < atOnce && (res.Cause == "broken" || res.Cause == "closed" || res.Cause == "write") && q.Service != "" {
		p.forgotten(q.Service, c.age)
	}
	if !stop() && q.Stop.Err() != nil {
		keep = false
	}
	switch {
	case res.Answer != nil && res.Answer.Rest != nil:
		rest := res.Answer.Rest
		res.Answer.Rest = func(w io.Writer) error { defer c.Close(); return rest(w) }
	case keep:
		p.put(id, c)
	default:
		c.Close()
	}
	return res
}

func (c *conn) exchange(q *Request) (Result, bool) {
	n, err := c.Write(q.encode())
	c.used++
	if err != nil && n == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		return Result{Verdict: tries.NotRun, Cause: "write", Unsent: true}, false
	}
	if err != nil {
		return Result{Verdict: tries.MayHaveRun, Cause: "write", Expired: errors.Is(err, os.ErrDeadlineExceeded)}, false
	}
	for skipped := 0; ; skipped++ {
		res, skip, keep := c.read(q)
		if !skip {
			return res, keep && !c.taint
		}
		c.taint = true
		if skipped >= skipMost {
			return Result{Verdict: tries.MayHaveRun, Cause: "surplus"}, false
		}
	}
}

func failed(err error, cause string) Result {
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	if expired {
		cause = "deadline"
	}
	return Result{Verdict: tries.MayHaveRun, Cause: cause, Expired: expired}
}

// read takes the next answer. It tells to skip one that belongs to another request.
func (c *conn) read(q *Request) (res Result, skip, keep bool) {
	var resp *http.Response
	for {
		r, err := http.ReadResponse(c.br, &http.Request{Method: q.Method})
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return failed(err, "closed"), false, false
			}
			var ne net.Error
			if errors.As(err, &ne) {
				return failed(err, "broken"), false, false
			}
			return failed(err, "not_http"), false, false
		}
		if resp = r; r.StatusCode >= 200 || r.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	h := resp.Header
	id := h.Get("X-Attempt-Id")
	if id != "" && id != q.Attempt {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, skipBytes))
		if err != nil {
			return failed(err, "surplus"), false, false
		}
		return Result{}, true, false
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	body, err := io.ReadAll(io.LimitReader(resp.Body, heldMost+1))
	if err != nil {
		return failed(err, "cut"), false, false
	}
	a := &Answer{Status: resp.StatusCode, Header: h, Body: body, Length: resp.ContentLength}
	whole := len(body) <= heldMost
	if whole && a.Length < 0 {
		a.Length = int64(len(body))
	}
	refused := h.Get("X-Not-Executed") != "" || resp.StatusCode == http.StatusMisdirectedRequest
	good := resp.StatusCode/100 == 2
	switch {
	case refused && (id != "" || c.used == 1):
		res = Result{Verdict: tries.NotRun, Answer: a, Cause: "refused_" + strconv.Itoa(resp.StatusCode), Full: true}
	case id == "" || !delimited || h.Get("Content-Encoding") != "" || good && h.Get("X-Response-Seal") == "" || resp.StatusCode < 200:
		return Result{Verdict: tries.MayHaveRun, Cause: "spoilt"}, false, false
	default:
		res = Result{Verdict: tries.Answered, Answer: a}
	}
	if !whole {
		a.Body = body
		a.Rest = func(w io.Writer) error {
			_, err := io.Copy(w, resp.Body)
			return err
		}
		return res, false, false
	}
	keep = !resp.Close && c.br.Buffered() == 0 && delimited
	if s, ok := keepAlive(h); ok {
		c.idleMost = max(s*7/10, s-time.Second)
		if s <= time.Second {
			c.idleMost = s / 2
		}
	}
	return res, false, keep
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(k, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && n >= 0 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}

// perConnection are the headers that concern one connection only.
var perConnection = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// EndToEnd returns the headers that are passed on: without those that concern one connection, by name or as the
// Connection header lists them.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !perConnection[k] {
			out[k] = v
		}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

func (q *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(q.Body))
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	left := max(time.Until(q.Deadline).Milliseconds(), 1)
	b.WriteString("X-Deadline-Ms: " + strconv.FormatInt(left, 10) + "\r\nX-Target-Instance: " + q.Instance + "\r\n")
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	q.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "X-Deadline-Ms": true, "X-Target-Instance": true, "Expect": true})
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}
