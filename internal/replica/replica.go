// Package replica is the side of a proxy governor that speaks HTTP/1.1 to replicas: connections, one request at a
// time on each, and a verdict on what became of it.
//
// Requests are never repeated here. A library's transport may send a request again where it thinks that harmless;
// here every arrival at a replica is decided by dataplane/retry.
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
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/internal/peertransport"
)

const (
	dialTimeout          = 300 * time.Millisecond
	unackedTimeout       = 500 * time.Millisecond // sent bytes that a live replica would have acknowledged long ago
	defaultMaxIdle       = 4 * time.Second        // where a replica does not tell how long it keeps idle connections
	maxBufferedBody      = 1 << 20                // answers up to this size are held whole before their first byte is passed on
	maxSkippedResponses  = 3                      // surplus answers passed over on one connection
	maxSkippedBytes      = 256 << 10
	readBufferBytes      = 4 << 10
	maxHeadBytes         = 64 << 10 // of an answer's head
	maxInterimResponses  = 8        // answers 1xx before the final one
	concurrentWriteBytes = 64 << 10 // requests beyond this size are written beside the reading of their answer
	recentAttemptsKept   = 16       // identities that a connection remembers
	maxIdleTime          = 30 * time.Second
	maxKeepAliveSeconds  = 3600                  // seconds of Keep-Alive
	immediateResetWindow = 50 * time.Millisecond // a connection that was forgotten answers with a reset by then; later, work broke off
	minIdleLimit         = 20 * time.Millisecond
	idleLimitDoubling    = 5 * time.Second
)

// Request is what goes to a replica. The path, method and body are the client's.
type Request struct {
	Method, URI, Host   string
	Header              http.Header // without those that concern one connection
	Body                []byte
	AttemptID           string // X-Attempt-Id
	InstanceID, Service string
	Deadline            time.Time
	WaitForDeadline     bool            // what is silent is waited for to the deadline, where another try may not be made anyway
	Cancel              context.Context // ends the try, where the client has left and nothing is lost by that; may be nil
}

// Response is a replica's answer. Body is whole unless Rest is set: then Rest copies what follows, and its error
// means that the answer was cut.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	ContentLength int64 // of the whole body; -1: not told
	CopyRest      func(io.Writer) error
	Close         func() // ends Rest's connection; one that is not passed on must be dropped
}

// Outcome is a try's outcome.
type Outcome struct {
	Execution         retry.Execution
	Response          *Response
	Cause             string // for counts; empty: answered
	NotSent           bool   // nothing was sent
	ConnID            uint64 // the connection's number in its pool; 0: there was none
	ConnUse           int    // how many requests it had carried by then, this one too
	SkippedResponses  int    // answers to others that came in the place of ours
	DeadlineExceeded  bool
	ConnectionRefused bool // nobody listens at the address
	Rejected          bool // NotRun: by the replica's own word
}

// Discard lets go of an answer that is not passed on.
func (r Outcome) Discard() {
	if r.Response != nil && r.Response.Close != nil {
		r.Response.Close()
	}
}

// idleLimit is how long connections to a service's replicas may lie idle, where they were found forgotten sooner than told.
type idleLimit struct {
	limit     time.Duration
	learnedAt time.Time
}

type conn struct {
	net.Conn
	tcp            *net.TCPConn
	raw            syscall.RawConn
	reader         *bufio.Reader
	idleSince      time.Time
	maxIdle        time.Duration
	id             uint64
	requests       int
	recentAttempts [recentAttemptsKept]string // of the last requests; the next stands at used % idsKept
	unusable       bool                       // for another request, until this one has its whole answer and nothing else has come
	tainted        bool                       // an answer to another came on it
	idleBefore     time.Duration              // idle before this request; 0: it is new
}

// Pool keeps idle connections to replicas, by the replica's id: an address may pass to another.
type Pool struct {
	mu         sync.Mutex
	idle       map[string][]*conn
	idleLimits map[string]idleLimit // by service
	Opened     int64                // connections opened so far
}

// NewPool makes an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*conn{}, idleLimits: map[string]idleLimit{}} }

// maxIdle is how idle a connection to a service may be. What was learnt is doubted more and more: twice as long is
// tried after each restDoubles.
func (p *Pool) maxIdle(service string, now time.Time) time.Duration {
	r, ok := p.idleLimits[service]
	if !ok {
		return maxIdleTime
	}
	most := r.limit << min(int(now.Sub(r.learnedAt)/idleLimitDoubling), 20)
	if most >= maxIdleTime || most <= 0 {
		delete(p.idleLimits, service)
		return maxIdleTime
	}
	return most
}

// learnIdleLimit learns that a replica of a service had forgotten a connection idle for so long, without a word. The next
// unsafe request on such a one would be a doubt that can be told to nobody but the client.
func (p *Pool) learnIdleLimit(service string, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if most := max(age/2, minIdleLimit); most < p.maxIdle(service, now) {
		p.idleLimits[service] = idleLimit{most, now}
	}
}

// CloseIdle closes the idle connections to a replica.
func (p *Pool) CloseIdle(id string) {
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
			if now.Sub(c.idleSince) > c.maxIdle {
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

// needsOwnConn tells whether a request has a connection of its own: without an identity its answer is known by nothing else,
// and an answer to HEAD ends where that to another method goes on.
func (q *Request) needsOwnConn() bool { return q.AttemptID == "" || q.Method == http.MethodHead }

// SetKeepAlive has the kernel ask whether the other end is still there: a machine that is gone without a word is noticed.
func (c *conn) SetKeepAlive(on bool) { c.tcp.SetKeepAlive(on) }

// carried tells whether a request with this identity went over the connection before: an answer could be either's.
func (c *conn) carried(attempt string) bool { return slices.Contains(c.recentAttempts[:], attempt) }

// reusable is the one place that decides whether a connection may carry a further request: the last one has its whole
// answer, whose end it tells by itself, nothing more has come in, and the replica keeps it.
func (c *conn) reusable() bool {
	return !c.unusable && !c.tainted && c.maxIdle > 0 && c.reader.Buffered() == 0
}

func (p *Pool) takeIdle(id string, q *Request) *conn {
	if q.needsOwnConn() {
		return nil
	}
	now := time.Now()
	for {
		p.mu.Lock()
		most := p.maxIdle(q.Service, now)
		list := p.idle[id]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[id] = list[:len(list)-1]
		p.mu.Unlock()
		if c.idleBefore = now.Sub(c.idleSince); c.idleBefore <= min(c.maxIdle, most) && !c.carried(q.AttemptID) && c.isQuiet() {
			return c
		}
		c.Close()
	}
}

// isQuiet tells whether nothing has come in on an idle connection, not even its end.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
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

func (p *Pool) putIdle(id string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle[id] = append(p.idle[id], c)
	p.mu.Unlock()
}

func (p *Pool) dial(addr string, deadline time.Time) (*conn, error) {
	d := peertransport.NewDialer(min(dialTimeout, time.Until(deadline)), unackedTimeout)
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
	n := uint64(p.Opened)
	p.mu.Unlock()
	return &conn{Conn: nc, tcp: tc, id: n, raw: raw, reader: bufio.NewReaderSize(nc, readBufferBytes), maxIdle: defaultMaxIdle}, nil
}

// Do sends a request to the replica at addr and waits for its answer.
func (p *Pool) Do(id, addr string, q *Request) Outcome {
	if q.Cancel != nil && q.Cancel.Err() != nil {
		return Outcome{Execution: retry.NotExecuted, Cause: "left", NotSent: true}
	}
	if !time.Now().Before(q.Deadline) {
		return Outcome{Execution: retry.NotExecuted, Cause: "late", NotSent: true, DeadlineExceeded: true}
	}
	c := p.takeIdle(id, q)
	if c == nil {
		var err error
		if c, err = p.dial(addr, q.Deadline); err != nil {
			return Outcome{Execution: retry.NotExecuted, Cause: "dial", NotSent: true, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), DeadlineExceeded: !time.Now().Before(q.Deadline)}
		}
	}
	c.SetDeadline(q.Deadline)
	if q.WaitForDeadline {
		c.SetKeepAlive(false)
	}
	stop := func() bool { return true }
	if q.Cancel != nil {
		stop = context.AfterFunc(q.Cancel, func() { c.SetDeadline(time.Unix(1, 0)) })
	}
	sent := time.Now()
	res := c.roundTrip(q)
	res.ConnID, res.ConnUse = c.id, c.requests
	if c.idleBefore > 0 && time.Since(sent) < immediateResetWindow && (res.Cause == "broken" || res.Cause == "closed" || res.Cause == "write") && q.Service != "" {
		p.learnIdleLimit(q.Service, c.idleBefore)
	}
	if !stop() {
		c.unusable = true
	}
	switch {
	case res.Response != nil && res.Response.CopyRest != nil:
		rest := res.Response.CopyRest
		res.Response.CopyRest = func(w io.Writer) error { defer c.Close(); return rest(w) }
		res.Response.Close = func() { c.Close() }
	case c.reusable():
		if q.WaitForDeadline {
			c.SetKeepAlive(true)
		}
		p.putIdle(id, c)
	default:
		c.Close()
	}
	return res
}

// roundTrip sends the request and reads until its answer is there. What was handed to the kernel may have run, whether
// it had left by then or not.
func (c *conn) roundTrip(q *Request) Outcome {
	c.unusable = true
	c.recentAttempts[c.requests%recentAttemptsKept] = q.AttemptID
	c.requests++
	head := q.encodeHead()
	if len(q.Body) <= concurrentWriteBytes {
		if n, err := c.Write(append(head, q.Body...)); err != nil {
			return writeFailed(n, err)
		}
		return c.readResponse(q)
	}
	type end struct {
		n   int
		err error
	}
	written := make(chan end, 1)
	go func() {
		n, err := c.Write(head)
		if err == nil {
			var m int
			m, err = c.Write(q.Body)
			n += m
		}
		written <- end{n, err}
	}()
	res := c.readResponse(q)
	c.SetWriteDeadline(time.Unix(1, 0)) // who has answered need not read on
	w := <-written
	if w.err != nil {
		c.unusable = true
		if res.Execution == retry.MayHaveExecuted && w.n == 0 {
			return writeFailed(w.n, w.err)
		}
	}
	return res
}

func writeFailed(n int, err error) Outcome {
	res := connectionFailed(err, "write")
	if n == 0 {
		res.Execution, res.NotSent = retry.NotExecuted, true
	}
	return res
}

// readResponse reads until an answer to this request has come.
func (c *conn) readResponse(q *Request) Outcome {
	for skipped := 0; ; skipped++ {
		res, skip := c.readNext(q)
		res.SkippedResponses = skipped
		if !skip {
			return res
		}
		c.tainted = true
		if skipped >= maxSkippedResponses {
			return Outcome{Execution: retry.MayHaveExecuted, Cause: "surplus", SkippedResponses: skipped}
		}
	}
}

func connectionFailed(err error, cause string) Outcome {
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	if expired {
		cause = "deadline"
	}
	return Outcome{Execution: retry.MayHaveExecuted, Cause: cause, DeadlineExceeded: expired}
}

func badResponse() Outcome { return Outcome{Execution: retry.MayHaveExecuted, Cause: "spoilt"} }

var errAmbiguousHead = errors.New("a head that can be read in two ways, or has no end")

// awaitHead waits for the whole head of the next answer and checks what http.ReadResponse would mend in silence.
func (c *conn) awaitHead() error {
	for seen := 0; ; {
		b, _ := c.reader.Peek(c.reader.Buffered())
		if end := endOfHead(b, max(seen-3, 0)); end >= 0 {
			if !isUnambiguous(b[:end]) {
				return errAmbiguousHead
			}
			return nil
		}
		if seen = len(b); seen >= maxHeadBytes {
			return errAmbiguousHead
		}
		if seen == c.reader.Size() {
			c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(b)), c.Conn), maxHeadBytes)
		}
		if _, err := c.reader.Peek(seen + 1); err != nil {
			return err
		}
	}
}

func endOfHead(b []byte, from int) int {
	for i := from; ; {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1
		}
		i += j + 1
		switch rest := b[i:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return i + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return i + 2
		}
	}
}

// statusLine is what an answer begins with. Within a head it is the beginning of ours behind a piece of a surplus one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isUnambiguous tells whether a head can be read in one way only.
func isUnambiguous(b []byte) bool {
	if i := bytes.Index(b[1:], []byte("HTTP/1.")); i >= 0 && statusLine.Match(b[1+i:]) {
		return false
	}
	lengths, chunks := 0, 0
	for first := true; len(b) > 0; first = false {
		line, rest, _ := bytes.Cut(b, []byte{'\n'})
		b = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if bytes.IndexByte(line, '\r') >= 0 || !first && len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return false
		}
		switch i := bytes.IndexByte(line, ':'); {
		case i == len("Content-Length") && bytes.EqualFold(line[:i], []byte("Content-Length")):
			lengths++
		case i == len("Transfer-Encoding") && bytes.EqualFold(line[:i], []byte("Transfer-Encoding")):
			chunks++
		}
	}
	return lengths+chunks <= 1
}

// readNext takes the next answer. It tells to skip one that belongs to another request.
func (c *conn) readNext(q *Request) (res Outcome, skip bool) {
	var resp *http.Response
	for interim := 0; ; interim++ {
		err := c.awaitHead()
		if err == nil {
			resp, err = http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		}
		var ne net.Error
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return connectionFailed(err, "closed"), false
		case errors.As(err, &ne):
			return connectionFailed(err, "broken"), false
		default:
			return connectionFailed(err, "not_http"), false
		}
		if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols || interim >= maxInterimResponses {
			return badResponse(), false
		}
		if resp.StatusCode >= 200 {
			break
		}
	}
	h := resp.Header
	ids := h["X-Attempt-Id"]
	if len(ids) > 1 {
		return badResponse(), false
	}
	id := h.Get("X-Attempt-Id")
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || q.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if id != "" && id != q.AttemptID {
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n >= maxSkippedBytes || !delimited || resp.Close || q.Method == http.MethodHead {
			return connectionFailed(err, "surplus"), false // where the next answer begins isn't known
		}
		return Outcome{}, true
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	if err != nil {
		return connectionFailed(err, "cut"), false
	}
	a := &Response{Status: resp.StatusCode, Header: h, Body: body, ContentLength: resp.ContentLength}
	whole := len(body) <= maxBufferedBody
	if whole && a.ContentLength < 0 {
		a.ContentLength = int64(len(body))
	}
	if res = c.classify(q, a, id, delimited); res.Response == nil {
		return res, false
	}
	if !whole {
		a.CopyRest = func(w io.Writer) error {
			_, err := io.Copy(w, resp.Body)
			return err
		}
		return res, false
	}
	c.unusable = resp.Close || !delimited || q.needsOwnConn()
	if s, ok := keepAliveTimeout(h); ok {
		c.maxIdle = max(s*7/10, s-time.Second)
		if s <= time.Second {
			c.maxIdle = s / 2
		}
	}
	return res, false
}

// classify is the one verdict on an answer that names this request, or nobody.
//
// It has not run where the answer says so, has a status of refusal and names this request; to one without an identity
// nobody can, and it has a connection of its own. A success needs its seal. 408, 429 and 503 would be a promise to the client which the replica has
// not given.
func (c *conn) classify(q *Request, a *Response, id string, delimited bool) Outcome {
	refused := a.Header.Get("X-Not-Executed") != "" || a.Status == http.StatusMisdirectedRequest
	switch {
	case refused && a.Status >= 400 && (id != "" || q.AttemptID == "" && !c.tainted):
		return Outcome{Execution: retry.NotExecuted, Response: a, Cause: "refused_" + strconv.Itoa(a.Status), Rejected: true}
	case refused && id == "":
		return Outcome{Execution: retry.MayHaveExecuted, Cause: "nameless"}
	case refused, id == "", !delimited, a.Header.Get("Content-Encoding") != "", a.Status/100 == 2 && a.Header.Get("X-Response-Seal") == "":
		return badResponse()
	case a.Status == http.StatusRequestTimeout, a.Status == http.StatusTooManyRequests, a.Status == http.StatusServiceUnavailable:
		return Outcome{Execution: retry.MayHaveExecuted, Cause: "unproven"}
	}
	return Outcome{Execution: retry.Answered, Response: a}
}

// keepAliveTimeout reads the timeout of a Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(k, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && n >= 0 {
				return time.Duration(min(n, maxKeepAliveSeconds)) * time.Second, true
			}
		}
	}
	return 0, false
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// protectedHeaders are those that a Connection header may not take: they are meant for the other end (RFC 9110, 7.6.1).
var protectedHeaders = map[string]bool{"X-Attempt-Id": true, "X-Response-Seal": true, "Content-Type": true, "Retry-After": true}

// EndToEndHeaders returns the headers that are passed on: without those that concern one connection, by name or as the
// Connection header lists them.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopByHop[k] {
			out[k] = v
		}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !protectedHeaders[name] {
				delete(out, name)
			}
		}
	}
	return out
}

func (q *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(q.Body), concurrentWriteBytes))
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	left := max(time.Until(q.Deadline).Milliseconds(), 1)
	b.WriteString("X-Deadline-Ms: " + strconv.FormatInt(left, 10) + "\r\nX-Target-Instance: " + q.InstanceID + "\r\n")
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	q.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "X-Deadline-Ms": true, "X-Target-Instance": true, "Expect": true})
	b.WriteString("\r\n")
	return b.Bytes()
}
