// Package hostile holds stand-ins that do by seed what the gateway must bear: replicas that break off, stay silent, cut,
// double, delay and forge answers, and clients that send slowly, by halves, in two meanings and not to the end. What
// each request ran and was told is kept, so that answers are matched to requests by content and runs are counted.
package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Ledger counts what ran, over all replicas.
type Ledger struct {
	mu         sync.Mutex
	executions map[string]int
	behaviours map[string]int
}

// NewLedger makes an empty one.
func NewLedger() *Ledger { return &Ledger{executions: map[string]int{}, behaviours: map[string]int{}} }

func (b *Ledger) recordExecution(id string) {
	b.mu.Lock()
	b.executions[id]++
	b.mu.Unlock()
}

func (b *Ledger) recordBehaviour(what string) {
	b.mu.Lock()
	b.behaviours[what]++
	b.mu.Unlock()
}

// Executions is how often a request ran; Acts, how often replicas did what.
func (b *Ledger) Executions(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.executions[id]
}

func (b *Ledger) Behaviours() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, v := range b.behaviours {
		out[k] = v
	}
	return out
}

// Reset empties the book.
func (b *Ledger) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.executions, b.behaviours = map[string]int{}, map[string]int{}
}

// ResponseBody is the body of the only right answer to a request.
func ResponseBody(id, method, uri string, body []byte) string {
	s := fmt.Sprintf("%s %s %s %08x\n", id, method, uri, crc32.ChecksumIEEE(body))
	if strings.Contains(uri, "large") {
		s = strings.Repeat(s, 1+(1100<<10)/len(s)) // beyond what the gateway holds whole
	}
	return s
}

// Replica is one hostile replica's behaviour; Serve takes its connections.
type Replica struct {
	FaultRate float64 // of requests that are met badly
	Ledger    *Ledger

	mu  sync.Mutex
	id  string
	rng *rand.Rand
}

// New makes one whose acts follow from the seed.
func New(id string, seed uint64, rate float64, book *Ledger) *Replica {
	return &Replica{id: id, FaultRate: rate, Ledger: book, rng: rand.New(rand.NewPCG(seed, 7))}
}

// SetID gives the address to another replica. Connections stay, as they would not: it answers 421 to the earlier one's
// requests on them.
func (r *Replica) SetID(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id = id
}

func (r *Replica) currentID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *Replica) draw() (float64, int, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64(), r.rng.IntN(len(behaviours)), r.rng.IntN(1 << 20)
}

// replicaConn is one connection. Late answers are written beside others, whole.
type replicaConn struct {
	net.Conn
	mu            sync.Mutex
	sentResponses []string // whole answers given on it
}

func (l *replicaConn) write(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetWriteDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(l.Conn, s)
}

func (l *replicaConn) reset() {
	if tc, ok := l.Conn.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	l.Close()
}

// exchange is one request as an act sees it.
type exchange struct {
	*replicaConn
	replica     *Replica
	id, otherID string // identities: the request's, another's
	response    string // the right answer
	head        string // its head without framing
	body        string
	random      int
	execute     func()
}

// keep tells whether the connection lives on.
type behaviour struct {
	name string
	do   func(x *exchange) (keep bool)
}

func (x *exchange) shortDelay() time.Duration { return time.Duration(1+x.random%40) * time.Millisecond }

func rejection(id string, status int) string {
	s := "HTTP/1.1 " + strconv.Itoa(status) + " No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		s += "X-Attempt-Id: " + id + "\r\n"
	}
	return s + "\r\n"
}

func forgedResponse(id, head, content string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: forged\r\n" + head + "Content-Length: " + strconv.Itoa(len(content)) + "\r\n\r\n" + content
}

// executeThen runs the request and says something in the place of its answer, which follows where keep is set.
func executeThen(name, and string, keep bool, say func(x *exchange) string) behaviour {
	return behaviour{name, func(x *exchange) bool {
		x.execute()
		s := say(x)
		if and != "" {
			s += x.response
		}
		x.write(s)
		return keep
	}}
}

func rejectWith(name string, say func(x *exchange) string) behaviour {
	return behaviour{name, func(x *exchange) bool { x.write(say(x)); return true }}
}

var behaviours = []behaviour{
	{"reset_before", func(x *exchange) bool { x.reset(); return false }},
	{"reset_after", func(x *exchange) bool { x.execute(); x.reset(); return false }},
	{"reset_midway", func(x *exchange) bool {
		x.execute()
		x.write(x.response[:x.random%len(x.response)])
		x.reset()
		return false
	}},
	{"close_after", func(x *exchange) bool { x.execute(); return false }},
	{"half_close", func(x *exchange) bool {
		x.execute()
		if tc, ok := x.Conn.(*net.TCPConn); ok {
			tc.CloseWrite()
		}
		io.Copy(io.Discard, x.Conn)
		return false
	}},
	{"silence", func(x *exchange) bool { x.execute(); io.Copy(io.Discard, x.Conn); return false }},
	{"silence_not_run", func(x *exchange) bool { io.Copy(io.Discard, x.Conn); return false }},
	{"answer_and_close", func(x *exchange) bool { x.execute(); x.write(x.response); return false }},
	{"answer_and_reset", func(x *exchange) bool { x.execute(); x.write(x.response); x.reset(); return false }},
	{"forgets_soon", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), x.reset)
		return true
	}},
	{"late_surplus", func(x *exchange) bool { // of this request, once more, in the place of a later one
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write(x.response) })
		return true
	}},
	{"late_forgery", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write(forgedResponse(x.otherID, "", "forged")) })
		return true
	}},
	{"late_piece", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write("HTTP/1.1 200 OK\r\nX-Piece: ") })
		return true
	}},
	{"late_garbage", func(x *exchange) bool {
		x.execute()
		x.write(x.response)
		time.AfterFunc(x.shortDelay(), func() { x.write("\x00\xff\r\n\r\n") })
		return true
	}},
	{"refused_twice", func(x *exchange) bool {
		x.write(rejection(x.id, 503))
		time.AfterFunc(x.shortDelay(), func() { x.write(rejection("", 503)) })
		return true
	}},
	{"trickle", func(x *exchange) bool {
		x.execute()
		for i := 0; i < len(x.response); {
			n := min(1+x.random%97, len(x.response)-i)
			if len(x.response) > 10000 {
				n = min(50000, len(x.response)-i)
			}
			x.write(x.response[i : i+n])
			i += n
		}
		return true
	}},
	executeThen("surplus_before", "whole", true, func(x *exchange) string { return forgedResponse(x.otherID, "", "forged") }),
	executeThen("surplus_behind", "", true, func(x *exchange) string { return x.response + forgedResponse(x.otherID, "", "forged") }),
	executeThen("doubled", "", true, func(x *exchange) string { return x.response + x.response }),
	executeThen("nameless_before", "whole", true, func(x *exchange) string {
		return strings.Replace(forgedResponse("-", "", "forged"), "X-Attempt-Id: -\r\n", "", 1)
	}),
	executeThen("nameless_refusal_before", "whole", true, func(x *exchange) string { return rejection("", 503) }),
	executeThen("others_refusal_before", "whole", true, func(x *exchange) string { return rejection(x.otherID, 421) }),
	executeThen("earlier_before", "whole", true, func(x *exchange) string {
		x.mu.Lock()
		defer x.mu.Unlock()
		return strings.Join(x.sentResponses, "")
	}),
	executeThen("long_surplus", "whole", true, func(x *exchange) string {
		return forgedResponse(x.otherID, "", strings.Repeat("x", 256<<10)+forgedResponse(x.id, "", "forged")+"tail")
	}),
	executeThen("many_surplus", "whole", true, func(x *exchange) string { return strings.Repeat(forgedResponse(x.otherID, "", "forged"), 6) }),
	executeThen("others_name", "", true, func(x *exchange) string { return forgedResponse(x.otherID, "", x.body) }),
	executeThen("no_name", "", true, func(x *exchange) string { return strings.Replace(x.response, "X-Attempt-Id: "+x.id+"\r\n", "", 1) }),
	executeThen("two_names", "", true, func(x *exchange) string { return forgedResponse(x.id, "X-Attempt-Id: "+x.otherID+"\r\n", "forged") }),
	executeThen("no_seal", "", true, func(x *exchange) string {
		return strings.Replace(forgedResponse(x.id, "", "forged"), "X-Response-Seal: forged\r\n", "", 1)
	}),
	executeThen("encoded", "", true, func(x *exchange) string { return forgedResponse(x.id, "Content-Encoding: gzip\r\n", "forged") }),
	executeThen("two_framings", "", true, func(x *exchange) string { return forgedResponse(x.id, "Transfer-Encoding: chunked\r\n", "0\r\n\r\n") }),
	executeThen("two_lengths", "", true, func(x *exchange) string { return forgedResponse(x.id, "Content-Length: 1\r\n", "forged") }),
	executeThen("unframed", "", false, func(x *exchange) string { return "HTTP/1.1 200 OK\r\n" + x.head + "\r\nforged" }),
	executeThen("piece_before", "whole", true, func(x *exchange) string { return "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Piece: " }),
	executeThen("garbage", "", false, func(x *exchange) string { return "\x00\x01 not an answer\r\n\r\n" }),
	executeThen("garbage_before", "whole", true, func(x *exchange) string { return "not an answer\r\n" }),
	executeThen("endless_head", "", false, func(x *exchange) string { return "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: zzzzzzzzzzzz\r\n", 8000) }),
	executeThen("interim", "whole", true, func(x *exchange) string {
		return "HTTP/1.1 102 Soon\r\n\r\nHTTP/1.1 103 Hints\r\nX-Attempt-Id: " + x.otherID + "\r\n\r\n"
	}),
	executeThen("interim_flood", "whole", true, func(x *exchange) string { return strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50) }),
	executeThen("switches", "", false, func(x *exchange) string { return "HTTP/1.1 101 Other\r\n" + x.head + "\r\n" }),
	executeThen("cut", "", false, func(x *exchange) string { return x.response[:len(x.response)-1-x.random%len(x.body)] }),
	executeThen("cut_chunks", "", false, func(x *exchange) string {
		return "HTTP/1.1 200 OK\r\n" + x.head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(x.body)), 16) + "\r\n" + x.body + "\r\n"
	}),
	executeThen("chunks_and_trailers", "", true, func(x *exchange) string {
		return "HTTP/1.1 200 OK\r\n" + x.head + "Trailer: X-Attempt-Id\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(x.body)), 16) + "\r\n" + x.body + "\r\n0\r\nX-Attempt-Id: " + x.otherID + "\r\n\r\n"
	}),
	executeThen("no_content_with_body", "", true, func(x *exchange) string { return "HTTP/1.1 204 None\r\n" + x.head + "Content-Length: 6\r\n\r\nforged" }),
	executeThen("not_modified", "", true, func(x *exchange) string { return "HTTP/1.1 304 Same\r\n" + x.head + "Content-Length: 6\r\n\r\n" }),
	executeThen("takes_the_seal", "", true, func(x *exchange) string {
		return strings.Replace(x.response, "\r\n", "\r\nConnection: X-Response-Seal, X-Attempt-Id\r\n", 1)
	}),
	executeThen("failure", "", true, func(x *exchange) string {
		return "HTTP/1.1 500 Bad\r\nX-Attempt-Id: " + x.id + "\r\nContent-Length: 0\r\n\r\n"
	}),
	executeThen("unproven_503", "", true, func(x *exchange) string { return strings.Replace(rejection(x.id, 503), "X-Not-Executed: 1\r\n", "", 1) }),
	executeThen("unproven_429", "", true, func(x *exchange) string { return strings.Replace(rejection(x.id, 429), "X-Not-Executed: 1\r\n", "", 1) }),
	executeThen("unproven_408", "", true, func(x *exchange) string { return strings.Replace(rejection(x.id, 408), "X-Not-Executed: 1\r\n", "", 1) }),
	executeThen("old_http", "", true, func(x *exchange) string { return strings.Replace(x.response, "HTTP/1.1", "HTTP/1.0", 1) }),
	executeThen("no_time", "", true, func(x *exchange) string {
		return strings.Replace(x.response, "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)
	}),
	rejectWith("full", func(x *exchange) string { return rejection(x.id, 503) }),
	rejectWith("too_many", func(x *exchange) string { return rejection(x.id, 429) }),
	rejectWith("misdirected", func(x *exchange) string { return rejection(x.id, 421) }),
	rejectWith("refused_and_surplus", func(x *exchange) string { return rejection(x.id, 503) + forgedResponse(x.otherID, "", "forged") }),
	rejectWith("surplus_and_refused", func(x *exchange) string { return forgedResponse(x.otherID, "", "forged") + rejection(x.id, 503) }),
}

// Serve takes a connection's requests until it ends.
func (r *Replica) Serve(c net.Conn) {
	l := &replicaConn{Conn: c}
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Attempt-Id")
		if q.URL.Path == "/health" && id == "" {
			l.write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + r.currentID() + "\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		p, n, dice := r.draw()
		x := &exchange{replicaConn: l, replica: r, id: id, otherID: fmt.Sprint("other-", dice), random: dice}
		if p < r.FaultRate/40 && q.ContentLength > 0 { // an answer before the body was read
			r.Ledger.recordBehaviour("early_refusal")
			l.write(rejection(id, 503))
			if dice%2 == 0 {
				l.reset()
			}
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		x.execute = func() { r.Ledger.recordExecution(id) }
		x.body = ResponseBody(id, q.Method, q.RequestURI, body)
		if want := q.Header.Get("X-Target-Instance"); want != "" && want != r.currentID() {
			r.Ledger.recordBehaviour("another_instance")
			l.write(rejection(id, 421))
			continue
		}
		x.head = "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Instance-Load: 1,0,64\r\n"
		x.response = "HTTP/1.1 200 OK\r\n" + x.head + "Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(x.body)) + "\r\n\r\n" + x.body
		if q.Method == http.MethodHead {
			x.execute()
			l.write(x.response[:bytes.Index([]byte(x.response), []byte("\r\n\r\n"))+4])
			r.Ledger.recordBehaviour("head")
			continue
		}
		if p >= r.FaultRate {
			x.execute()
			l.write(x.response)
			r.Ledger.recordBehaviour("well")
		} else {
			r.Ledger.recordBehaviour(behaviours[n].name)
			if !behaviours[n].do(x) {
				return
			}
		}
		l.mu.Lock()
		if len(l.sentResponses) < 2 && len(x.response) < 10000 {
			l.sentResponses = append(l.sentResponses, x.response)
		}
		l.mu.Unlock()
	}
}
