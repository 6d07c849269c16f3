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
	dialMost    = 300 * time.Millisecond
	unackedMost = 500 * time.Millisecond // sent bytes that a live replica would have acknowledged long ago
	idleGuess   = 4 * time.Second        // where a replica does not tell how long it keeps idle connections
	heldMost    = 1 << 20                // answers up to this size are held whole before their first byte is passed on
	skipMost    = 3                      // surplus answers passed over on one connection
	skipBytes   = 256 << 10
	headBuffer  = 4 << 10
	headMost    = 64 << 10 // of an answer's head
	interimMost = 8        // answers 1xx before the final one
	writeApart  = 64 << 10 // requests beyond this size are written beside the reading of their answer
	idsKept     = 16       // identities that a connection remembers
	idleMost    = 30 * time.Second
	keepMost    = 3600                  // seconds of Keep-Alive
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
	Patient           bool            // what is silent is waited for to the deadline, where another try may not be made anyway
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
	Close  func() // ends Rest's connection; one that is not passed on must be dropped
}

// Result is a try's outcome.
type Result struct {
	Verdict retry.Verdict
	Answer  *Answer
	Cause   string // for counts; empty: answered
	Unsent  bool   // nothing was sent
	Conn    uint64 // the connection's number in its pool; 0: there was none
	Use     int    // how many requests it had carried by then, this one too
	Skipped int    // answers to others that came in the place of ours
	Expired bool
	Refused bool // nobody listens at the address
	Full    bool // NotRun: by the replica's own word
}

// Drop lets go of an answer that is not passed on.
func (r Result) Drop() {
	if r.Answer != nil && r.Answer.Close != nil {
		r.Answer.Close()
	}
}

// rest is how long connections to a service's replicas may lie idle, where they were found forgotten sooner than told.
type rest struct {
	most time.Duration
	at   time.Time
}

type conn struct {
	net.Conn
	tcp       *net.TCPConn
	raw       syscall.RawConn
	br        *bufio.Reader
	idleSince time.Time
	idleMost  time.Duration
	n         uint64
	used      int
	ids       [idsKept]string // of the last requests; the next stands at used % idsKept
	unfit     bool            // for another request, until this one has its whole answer and nothing else has come
	taint     bool            // an answer to another came on it
	age       time.Duration   // idle before this request; 0: it is new
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

// alone tells whether a request has a connection of its own: without an identity its answer is known by nothing else,
// and an answer to HEAD ends where that to another method goes on.
func (q *Request) alone() bool { return q.Attempt == "" || q.Method == http.MethodHead }

// SetKeepAlive has the kernel ask whether the other end is still there: a machine that is gone without a word is noticed.
func (c *conn) SetKeepAlive(on bool) { c.tcp.SetKeepAlive(on) }

// had tells whether a request with this identity went over the connection before: an answer could be either's.
func (c *conn) had(attempt string) bool { return slices.Contains(c.ids[:], attempt) }

// fit is the one place that decides whether a connection may carry a further request: the last one has its whole
// answer, whose end it tells by itself, nothing more has come in, and the replica keeps it.
func (c *conn) fit() bool { return !c.unfit && !c.taint && c.idleMost > 0 && c.br.Buffered() == 0 }

func (p *Pool) take(id string, q *Request) *conn {
	if q.alone() {
		return nil
	}
	now := time.Now()
	for {
		p.mu.Lock()
		most := p.restMost(q.Service, now)
		list := p.idle[id]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[id] = list[:len(list)-1]
		p.mu.Unlock()
		if c.age = now.Sub(c.idleSince); c.age <= min(c.idleMost, most) && !c.had(q.Attempt) && c.quiet() {
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
	d := peertransport.NewDialer(min(dialMost, time.Until(deadline)), unackedMost)
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
	return &conn{Conn: nc, tcp: tc, n: n, raw: raw, br: bufio.NewReaderSize(nc, headBuffer), idleMost: idleGuess}, nil
}

// Do sends a request to the replica at addr and waits for its answer.
func (p *Pool) Do(id, addr string, q *Request) Result {
	if q.Stop != nil && q.Stop.Err() != nil {
		return Result{Verdict: retry.NotRun, Cause: "left", Unsent: true}
	}
	if !time.Now().Before(q.Deadline) {
		return Result{Verdict: retry.NotRun, Cause: "late", Unsent: true, Expired: true}
	}
	c := p.take(id, q)
	if c == nil {
		var err error
		if c, err = p.dial(addr, q.Deadline); err != nil {
			return Result{Verdict: retry.NotRun, Cause: "dial", Unsent: true, Refused: errors.Is(err, syscall.ECONNREFUSED), Expired: !time.Now().Before(q.Deadline)}
		}
	}
	c.SetDeadline(q.Deadline)
	if q.Patient {
		c.SetKeepAlive(false)
	}
	stop := func() bool { return true }
	if q.Stop != nil {
		stop = context.AfterFunc(q.Stop, func() { c.SetDeadline(time.Unix(1, 0)) })
	}
	sent := time.Now()
	res := c.exchange(q)
	res.Conn, res.Use = c.n, c.used
	if c.age > 0 && time.Since(sent) < atOnce && (res.Cause == "broken" || res.Cause == "closed" || res.Cause == "write") && q.Service != "" {
		p.forgotten(q.Service, c.age)
	}
	if !stop() {
		c.unfit = true
	}
	switch {
	case res.Answer != nil && res.Answer.Rest != nil:
		rest := res.Answer.Rest
		res.Answer.Rest = func(w io.Writer) error { defer c.Close(); return rest(w) }
		res.Answer.Close = func() { c.Close() }
	case c.fit():
		if q.Patient {
			c.SetKeepAlive(true)
		}
		p.put(id, c)
	default:
		c.Close()
	}
	return res
}

// exchange sends the request and reads until its answer is there. What was handed to the kernel may have run, whether
// it had left by then or not.
func (c *conn) exchange(q *Request) Result {
	c.unfit = true
	c.ids[c.used%idsKept] = q.Attempt
	c.used++
	head := q.head()
	if len(q.Body) <= writeApart {
		if n, err := c.Write(append(head, q.Body...)); err != nil {
			return unwritten(n, err)
		}
		return c.answer(q)
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
	res := c.answer(q)
	c.SetWriteDeadline(time.Unix(1, 0)) // who has answered need not read on
	w := <-written
	if w.err != nil {
		c.unfit = true
		if res.Verdict == retry.MayHaveRun && w.n == 0 {
			return unwritten(w.n, w.err)
		}
	}
	return res
}

func unwritten(n int, err error) Result {
	res := failed(err, "write")
	if n == 0 {
		res.Verdict, res.Unsent = retry.NotRun, true
	}
	return res
}

// answer reads until an answer to this request has come.
func (c *conn) answer(q *Request) Result {
	for skipped := 0; ; skipped++ {
		res, skip := c.read(q)
		res.Skipped = skipped
		if !skip {
			return res
		}
		c.taint = true
		if skipped >= skipMost {
			return Result{Verdict: retry.MayHaveRun, Cause: "surplus", Skipped: skipped}
		}
	}
}

func failed(err error, cause string) Result {
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	if expired {
		cause = "deadline"
	}
	return Result{Verdict: retry.MayHaveRun, Cause: cause, Expired: expired}
}

func spoilt() Result { return Result{Verdict: retry.MayHaveRun, Cause: "spoilt"} }

var errHead = errors.New("a head that can be read in two ways, or has no end")

// head waits for the whole head of the next answer and checks what http.ReadResponse would mend in silence.
func (c *conn) head() error {
	for seen := 0; ; {
		b, _ := c.br.Peek(c.br.Buffered())
		if end := headEnd(b, max(seen-3, 0)); end >= 0 {
			if !plain(b[:end]) {
				return errHead
			}
			return nil
		}
		if seen = len(b); seen >= headMost {
			return errHead
		}
		if seen == c.br.Size() {
			c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(b)), c.Conn), headMost)
		}
		if _, err := c.br.Peek(seen + 1); err != nil {
			return err
		}
	}
}

func headEnd(b []byte, from int) int {
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

// plain tells whether a head can be read in one way only.
func plain(b []byte) bool {
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

// read takes the next answer. It tells to skip one that belongs to another request.
func (c *conn) read(q *Request) (res Result, skip bool) {
	var resp *http.Response
	for interim := 0; ; interim++ {
		err := c.head()
		if err == nil {
			resp, err = http.ReadResponse(c.br, &http.Request{Method: q.Method})
		}
		var ne net.Error
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return failed(err, "closed"), false
		case errors.As(err, &ne):
			return failed(err, "broken"), false
		default:
			return failed(err, "not_http"), false
		}
		if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols || interim >= interimMost {
			return spoilt(), false
		}
		if resp.StatusCode >= 200 {
			break
		}
	}
	h := resp.Header
	ids := h["X-Attempt-Id"]
	if len(ids) > 1 {
		return spoilt(), false
	}
	id := h.Get("X-Attempt-Id")
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || q.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if id != "" && id != q.Attempt {
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, skipBytes))
		if err != nil || n >= skipBytes || !delimited || resp.Close || q.Method == http.MethodHead {
			return failed(err, "surplus"), false // where the next answer begins isn't known
		}
		return Result{}, true
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, heldMost+1))
	if err != nil {
		return failed(err, "cut"), false
	}
	a := &Answer{Status: resp.StatusCode, Header: h, Body: body, Length: resp.ContentLength}
	whole := len(body) <= heldMost
	if whole && a.Length < 0 {
		a.Length = int64(len(body))
	}
	if res = c.judge(q, a, id, delimited); res.Answer == nil {
		return res, false
	}
	if !whole {
		a.Rest = func(w io.Writer) error {
			_, err := io.Copy(w, resp.Body)
			return err
		}
		return res, false
	}
	c.unfit = resp.Close || !delimited || q.alone()
	if s, ok := keepAlive(h); ok {
		c.idleMost = max(s*7/10, s-time.Second)
		if s <= time.Second {
			c.idleMost = s / 2
		}
	}
	return res, false
}

// judge is the one verdict on an answer that names this request, or nobody.
//
// It has not run where the answer says so, has a status of refusal and names this request; to one without an identity
// nobody can, and it has a connection of its own. A success needs its seal. 408, 429 and 503 would be a promise to the client which the replica has
// not given.
func (c *conn) judge(q *Request, a *Answer, id string, delimited bool) Result {
	refused := a.Header.Get("X-Not-Executed") != "" || a.Status == http.StatusMisdirectedRequest
	switch {
	case refused && a.Status >= 400 && (id != "" || q.Attempt == "" && !c.taint):
		return Result{Verdict: retry.NotRun, Answer: a, Cause: "refused_" + strconv.Itoa(a.Status), Full: true}
	case refused && id == "":
		return Result{Verdict: retry.MayHaveRun, Cause: "nameless"}
	case refused, id == "", !delimited, a.Header.Get("Content-Encoding") != "", a.Status/100 == 2 && a.Header.Get("X-Response-Seal") == "":
		return spoilt()
	case a.Status == http.StatusRequestTimeout, a.Status == http.StatusTooManyRequests, a.Status == http.StatusServiceUnavailable:
		return Result{Verdict: retry.MayHaveRun, Cause: "unproven"}
	}
	return Result{Verdict: retry.Answered, Answer: a}
}

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(k, "timeout") {
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && n >= 0 {
				return time.Duration(min(n, keepMost)) * time.Second, true
			}
		}
	}
	return 0, false
}

// perConnection are the headers that concern one connection only.
var perConnection = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// endToEnd are those that a Connection header may not take: they are meant for the other end (RFC 9110, 7.6.1).
var endToEnd = map[string]bool{"X-Attempt-Id": true, "X-Response-Seal": true, "Content-Type": true, "Retry-After": true}

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
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !endToEnd[name] {
				delete(out, name)
			}
		}
	}
	return out
}

func (q *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(q.Body), writeApart))
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	left := max(time.Until(q.Deadline).Milliseconds(), 1)
	b.WriteString("X-Deadline-Ms: " + strconv.FormatInt(left, 10) + "\r\nX-Target-Instance: " + q.Instance + "\r\n")
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut || q.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	q.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "X-Deadline-Ms": true, "X-Target-Instance": true, "Expect": true})
	b.WriteString("\r\n")
	return b.Bytes()
}
