// Package upstream is a stand-in for a replica, for tests and the demo: it answers requests on loopback as the
// protocol page says, or badly where told to, and counts what has run.
package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Behaviour is how a request is met.
type Behaviour string

const (
	AnswersCorrectly        Behaviour = ""           // a whole answer
	RejectsNotExecuted      Behaviour = "sheds"      // 503, not executed
	Misdirected             Behaviour = "other"      // 421: another replica has the address
	TruncatesResponse       Behaviour = "cut"        // runs it, the answer ends early
	SendsGarbage            Behaviour = "garbage"    // runs it, and sends bytes that are no answer
	OmitsSeal               Behaviour = "unsealed"   // runs it, and the answer lacks its seal
	ClaimsEncoding          Behaviour = "encoded"    // runs it, and claims an encoding
	ClosesWithoutResponse   Behaviour = "lost"       // runs it, and closes without an answer
	NeverResponds           Behaviour = "silent"     // runs it, and says nothing
	SendsExtraResponse      Behaviour = "surplus"    // answers, and sends a second answer behind it
	SendsStaleResponseFirst Behaviour = "late"       // sends an answer of another request first
	RespondsInternalError   Behaviour = "fails"      // runs it, 500
	ClosesAfterResponse     Behaviour = "closes"     // answers, and closes the connection without a word
	OmitsNotExecuted        Behaviour = "unproven"   // runs it, 503, and does not say whether it ran
	OmitsAttemptID          Behaviour = "noidentity" // runs it, and the answer names no attempt
)

// Replica is one stand-in.
type Replica struct {
	ID          string
	ServiceTime time.Duration // of its work

	ln     net.Listener
	before func(attempt string)
	take   func(net.Conn)
	mu     sync.Mutex
	next   []Behaviour
	ran    map[string]int // by attempt
	seen   []*http.Request
	conns  map[net.Conn]bool
	opens  int
}

// Start listens on loopback.
func Start(id string, next ...Behaviour) (*Replica, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, ln: ln, next: next, ran: map[string]int{}, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Addr is where it listens.
func (r *Replica) Addr() string { return r.ln.Addr().String() }

// SetBehaviours sets how the next requests are met; later ones are met well.
func (r *Replica) SetBehaviours(next ...Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = next
}

// SetResponseHook has f called before each answer; Take has it serve the connections that come from now on.
func (r *Replica) SetResponseHook(f func(attempt string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.before = f
}

func (r *Replica) SetConnectionHandler(f func(net.Conn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take = f
}

// Executions is how often attempts ran, by their ids.
func (r *Replica) Executions() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for k, v := range r.ran {
		out[k] = v
	}
	return out
}

// Requests lists the requests that arrived.
func (r *Replica) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.seen...)
}

// ConnectionCount is how many connections were opened to it.
func (r *Replica) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opens
}

// Close ends it, with all its connections.
func (r *Replica) Close() {
	r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}

func (r *Replica) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.opens++
		take := r.take
		r.mu.Unlock()
		if take == nil {
			take = r.serve
		}
		go func() {
			take(c)
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

func answer(status int, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
}

func (r *Replica) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		q.Body = io.NopCloser(strings.NewReader(string(body)))
		id := q.Header.Get("X-Attempt-Id")
		if q.URL.Path == "/health" && id == "" {
			io.WriteString(c, answer(200, "X-Instance-Id: "+r.ID+"\r\n", ""))
			continue
		}
		r.mu.Lock()
		b := AnswersCorrectly
		if len(r.next) > 0 {
			b, r.next = r.next[0], r.next[1:]
		}
		if want := q.Header.Get("X-Target-Instance"); want != "" && want != r.ID {
			b = Misdirected
		}
		r.seen = append(r.seen, q)
		before := r.before
		if b != RejectsNotExecuted && b != Misdirected {
			r.ran[id]++
		}
		r.mu.Unlock()
		if before != nil {
			before(id)
		}
		if r.ServiceTime > 0 {
			time.Sleep(r.ServiceTime)
		}
		echo := "X-Attempt-Id: " + id + "\r\n"
		seal := echo + "X-Response-Seal: seal-" + id + "\r\nX-Instance-Load: 1,0,4\r\nKeep-Alive: timeout=10\r\n"
		whole := answer(200, seal, "body of "+id+" from "+r.ID+"\n")
		switch b {
		case AnswersCorrectly:
			io.WriteString(c, whole)
		case RejectsNotExecuted:
			io.WriteString(c, answer(503, echo+"X-Not-Executed: 1\r\n", ""))
		case Misdirected:
			io.WriteString(c, answer(421, echo+"X-Instance-Id: "+r.ID+"\r\n", ""))
		case TruncatesResponse:
			io.WriteString(c, whole[:len(whole)-5])
			return
		case SendsGarbage:
			io.WriteString(c, "\x00\x01 not an answer\r\n\r\n")
			return
		case OmitsSeal:
			io.WriteString(c, answer(200, echo, "x"))
		case ClaimsEncoding:
			io.WriteString(c, answer(200, seal+"Content-Encoding: gzip\r\n", "x"))
		case ClosesWithoutResponse:
			return
		case NeverResponds:
			io.Copy(io.Discard, br)
			return
		case SendsExtraResponse:
			io.WriteString(c, whole+answer(200, "X-Attempt-Id: other\r\nX-Response-Seal: s\r\n", "another's"))
		case SendsStaleResponseFirst:
			io.WriteString(c, answer(200, "X-Attempt-Id: other\r\nX-Response-Seal: s\r\n", "another's")+whole)
		case OmitsNotExecuted:
			io.WriteString(c, answer(503, echo, ""))
		case RespondsInternalError:
			io.WriteString(c, answer(500, echo, "failed\n"))
		case ClosesAfterResponse:
			io.WriteString(c, whole)
			return
		case OmitsAttemptID:
			io.WriteString(c, answer(200, "X-Response-Seal: s\r\n", "whose?"))
		}
	}
}
