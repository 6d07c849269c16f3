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

// Book counts what ran, over all replicas.
type Book struct {
	mu   sync.Mutex
	ran  map[string]int
	acts map[string]int
}

// NewBook makes an empty one.
func NewBook() *Book { return &Book{ran: map[string]int{}, acts: map[string]int{}} }

func (b *Book) run(id string) {
	b.mu.Lock()
	b.ran[id]++
	b.mu.Unlock()
}

func (b *Book) act(what string) {
	b.mu.Lock()
	b.acts[what]++
	b.mu.Unlock()
}

// Ran is how often a request ran; Acts, how often replicas did what.
func (b *Book) Ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ran[id]
}

func (b *Book) Acts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for k, v := range b.acts {
		out[k] = v
	}
	return out
}

// Forget empties the book.
func (b *Book) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran, b.acts = map[string]int{}, map[string]int{}
}

// Content is the body of the only right answer to a request.
func Content(id, method, uri string, body []byte) string {
	s := fmt.Sprintf("%s %s %s %08x\n", id, method, uri, crc32.ChecksumIEEE(body))
	if strings.Contains(uri, "large") {
		s = strings.Repeat(s, 1+(1100<<10)/len(s)) // beyond what the gateway holds whole
	}
	return s
}

// Replica is one hostile replica's behaviour; Serve takes its connections.
type Replica struct {
	Rate float64 // of requests that are met badly
	Book *Book

	mu  sync.Mutex
	id  string
	rng *rand.Rand
}

// New makes one whose acts follow from the seed.
func New(id string, seed uint64, rate float64, book *Book) *Replica {
	return &Replica{id: id, Rate: rate, Book: book, rng: rand.New(rand.NewPCG(seed, 7))}
}

// Become gives the address to another replica. Connections stay, as they would not: it answers 421 to the earlier one's
// requests on them.
func (r *Replica) Become(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id = id
}

func (r *Replica) self() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *Replica) roll() (float64, int, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64(), r.rng.IntN(len(acts)), r.rng.IntN(1 << 20)
}

// line is one connection. Late answers are written beside others, whole.
type line struct {
	net.Conn
	mu   sync.Mutex
	past []string // whole answers given on it
}

func (l *line) say(s string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetWriteDeadline(time.Now().Add(2 * time.Second))
	io.WriteString(l.Conn, s)
}

func (l *line) reset() {
	if tc, ok := l.Conn.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	l.Close()
}

// exchange is one request as an act sees it.
type exchange struct {
	*line
	r         *Replica
	id, other string // identities: the request's, another's
	whole     string // the right answer
	head      string // its head without framing
	content   string
	dice      int
	run       func()
}

// keep tells whether the connection lives on.
type act struct {
	name string
	do   func(x *exchange) (keep bool)
}

func (x *exchange) short() time.Duration { return time.Duration(1+x.dice%40) * time.Millisecond }

func refusal(id string, status int) string {
	s := "HTTP/1.1 " + strconv.Itoa(status) + " No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		s += "X-Attempt-Id: " + id + "\r\n"
	}
	return s + "\r\n"
}

func forged(id, head, content string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: forged\r\n" + head + "Content-Length: " + strconv.Itoa(len(content)) + "\r\n\r\n" + content
}

// before runs the request and says something in the place of its answer, which follows where keep is set.
func before(name, and string, keep bool, say func(x *exchange) string) act {
	return act{name, func(x *exchange) bool {
		x.run()
		s := say(x)
		if and != "" {
			s += x.whole
		}
		x.say(s)
		return keep
	}}
}

func refuse(name string, say func(x *exchange) string) act {
	return act{name, func(x *exchange) bool { x.say(say(x)); return true }}
}

var acts = []act{
	{"reset_before", func(x *exchange) bool { x.reset(); return false }},
	{"reset_after", func(x *exchange) bool { x.run(); x.reset(); return false }},
	{"reset_midway", func(x *exchange) bool { x.run(); x.say(x.whole[:x.dice%len(x.whole)]); x.reset(); return false }},
	{"close_after", func(x *exchange) bool { x.run(); return false }},
	{"half_close", func(x *exchange) bool {
		x.run()
		if tc, ok := x.Conn.(*net.TCPConn); ok {
			tc.CloseWrite()
		}
		io.Copy(io.Discard, x.Conn)
		return false
	}},
	{"silence", func(x *exchange) bool { x.run(); io.Copy(io.Discard, x.Conn); return false }},
	{"silence_not_run", func(x *exchange) bool { io.Copy(io.Discard, x.Conn); return false }},
	{"answer_and_close", func(x *exchange) bool { x.run(); x.say(x.whole); return false }},
	{"answer_and_reset", func(x *exchange) bool { x.run(); x.say(x.whole); x.reset(); return false }},
	{"forgets_soon", func(x *exchange) bool {
		x.run()
		x.say(x.whole)
		time.AfterFunc(x.short(), x.reset)
		return true
	}},
	{"late_surplus", func(x *exchange) bool { // of this request, once more, in the place of a later one
		x.run()
		x.say(x.whole)
		time.AfterFunc(x.short(), func() { x.say(x.whole) })
		return true
	}},
	{"late_forgery", func(x *exchange) bool {
		x.run()
		x.say(x.whole)
		time.AfterFunc(x.short(), func() { x.say(forged(x.other, "", "forged")) })
		return true
	}},
	{"late_piece", func(x *exchange) bool {
		x.run()
		x.say(x.whole)
		time.AfterFunc(x.short(), func() { x.say("HTTP/1.1 200 OK\r\nX-Piece: ") })
		return true
	}},
	{"late_garbage", func(x *exchange) bool {
		x.run()
		x.say(x.whole)
		time.AfterFunc(x.short(), func() { x.say("\x00\xff\r\n\r\n") })
		return true
	}},
	{"refused_twice", func(x *exchange) bool {
		x.say(refusal(x.id, 503))
		time.AfterFunc(x.short(), func() { x.say(refusal("", 503)) })
		return true
	}},
	{"trickle", func(x *exchange) bool {
		x.run()
		for i := 0; i < len(x.whole); {
			n := min(1+x.dice%97, len(x.whole)-i)
			if len(x.whole) > 10000 {
				n = min(50000, len(x.whole)-i)
			}
			x.say(x.whole[i : i+n])
			i += n
		}
		return true
	}},
	before("surplus_before", "whole", true, func(x *exchange) string { return forged(x.other, "", "forged") }),
	before("surplus_behind", "", true, func(x *exchange) string { return x.whole + forged(x.other, "", "forged") }),
	before("doubled", "", true, func(x *exchange) string { return x.whole + x.whole }),
	before("nameless_before", "whole", true, func(x *exchange) string {
		return strings.Replace(forged("-", "", "forged"), "X-Attempt-Id: -\r\n", "", 1)
	}),
	before("nameless_refusal_before", "whole", true, func(x *exchange) string { return refusal("", 503) }),
	before("others_refusal_before", "whole", true, func(x *exchange) string { return refusal(x.other, 421) }),
	before("earlier_before", "whole", true, func(x *exchange) string {
		x.mu.Lock()
		defer x.mu.Unlock()
		return strings.Join(x.past, "")
	}),
	before("long_surplus", "whole", true, func(x *exchange) string {
		return forged(x.other, "", strings.Repeat("x", 256<<10)+forged(x.id, "", "forged")+"tail")
	}),
	before("many_surplus", "whole", true, func(x *exchange) string { return strings.Repeat(forged(x.other, "", "forged"), 6) }),
	before("others_name", "", true, func(x *exchange) string { return forged(x.other, "", x.content) }),
	before("no_name", "", true, func(x *exchange) string { return strings.Replace(x.whole, "X-Attempt-Id: "+x.id+"\r\n", "", 1) }),
	before("two_names", "", true, func(x *exchange) string { return forged(x.id, "X-Attempt-Id: "+x.other+"\r\n", "forged") }),
	before("no_seal", "", true, func(x *exchange) string {
		return strings.Replace(forged(x.id, "", "forged"), "X-Response-Seal: forged\r\n", "", 1)
	}),
	before("encoded", "", true, func(x *exchange) string { return forged(x.id, "Content-Encoding: gzip\r\n", "forged") }),
	before("two_framings", "", true, func(x *exchange) string { return forged(x.id, "Transfer-Encoding: chunked\r\n", "0\r\n\r\n") }),
	before("two_lengths", "", true, func(x *exchange) string { return forged(x.id, "Content-Length: 1\r\n", "forged") }),
	before("unframed", "", false, func(x *exchange) string { return "HTTP/1.1 200 OK\r\n" + x.head + "\r\nforged" }),
	before("piece_before", "whole", true, func(x *exchange) string { return "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Piece: " }),
	before("garbage", "", false, func(x *exchange) string { return "\x00\x01 not an answer\r\n\r\n" }),
	before("garbage_before", "whole", true, func(x *exchange) string { return "not an answer\r\n" }),
	before("endless_head", "", false, func(x *exchange) string { return "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: zzzzzzzzzzzz\r\n", 8000) }),
	before("interim", "whole", true, func(x *exchange) string {
		return "HTTP/1.1 102 Soon\r\n\r\nHTTP/1.1 103 Hints\r\nX-Attempt-Id: " + x.other + "\r\n\r\n"
	}),
	before("interim_flood", "whole", true, func(x *exchange) string { return strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50) }),
	before("switches", "", false, func(x *exchange) string { return "HTTP/1.1 101 Other\r\n" + x.head + "\r\n" }),
	before("cut", "", false, func(x *exchange) string { return x.whole[:len(x.whole)-1-x.dice%len(x.content)] }),
	before("cut_chunks", "", false, func(x *exchange) string {
		return "HTTP/1.1 200 OK\r\n" + x.head + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(x.content)), 16) + "\r\n" + x.content + "\r\n"
	}),
	before("chunks_and_trailers", "", true, func(x *exchange) string {
		return "HTTP/1.1 200 OK\r\n" + x.head + "Trailer: X-Attempt-Id\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(x.content)), 16) + "\r\n" + x.content + "\r\n0\r\nX-Attempt-Id: " + x.other + "\r\n\r\n"
	}),
	before("no_content_with_body", "", true, func(x *exchange) string { return "HTTP/1.1 204 None\r\n" + x.head + "Content-Length: 6\r\n\r\nforged" }),
	before("not_modified", "", true, func(x *exchange) string { return "HTTP/1.1 304 Same\r\n" + x.head + "Content-Length: 6\r\n\r\n" }),
	before("takes_the_seal", "", true, func(x *exchange) string {
		return strings.Replace(x.whole, "\r\n", "\r\nConnection: X-Response-Seal, X-Attempt-Id\r\n", 1)
	}),
	before("failure", "", true, func(x *exchange) string {
		return "HTTP/1.1 500 Bad\r\nX-Attempt-Id: " + x.id + "\r\nContent-Length: 0\r\n\r\n"
	}),
	before("unproven_503", "", true, func(x *exchange) string { return strings.Replace(refusal(x.id, 503), "X-Not-Executed: 1\r\n", "", 1) }),
	before("unproven_429", "", true, func(x *exchange) string { return strings.Replace(refusal(x.id, 429), "X-Not-Executed: 1\r\n", "", 1) }),
	before("unproven_408", "", true, func(x *exchange) string { return strings.Replace(refusal(x.id, 408), "X-Not-Executed: 1\r\n", "", 1) }),
	before("old_http", "", true, func(x *exchange) string { return strings.Replace(x.whole, "HTTP/1.1", "HTTP/1.0", 1) }),
	before("no_time", "", true, func(x *exchange) string { return strings.Replace(x.whole, "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1) }),
	refuse("full", func(x *exchange) string { return refusal(x.id, 503) }),
	refuse("too_many", func(x *exchange) string { return refusal(x.id, 429) }),
	refuse("misdirected", func(x *exchange) string { return refusal(x.id, 421) }),
	refuse("refused_and_surplus", func(x *exchange) string { return refusal(x.id, 503) + forged(x.other, "", "forged") }),
	refuse("surplus_and_refused", func(x *exchange) string { return forged(x.other, "", "forged") + refusal(x.id, 503) }),
}

// Serve takes a connection's requests until it ends.
func (r *Replica) Serve(c net.Conn) {
	l := &line{Conn: c}
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
			l.say("HTTP/1.1 200 OK\r\nX-Instance-Id: " + r.self() + "\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		p, n, dice := r.roll()
		x := &exchange{line: l, r: r, id: id, other: fmt.Sprint("other-", dice), dice: dice}
		if p < r.Rate/40 && q.ContentLength > 0 { // an answer before the body was read
			r.Book.act("early_refusal")
			l.say(refusal(id, 503))
			if dice%2 == 0 {
				l.reset()
			}
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		x.run = func() { r.Book.run(id) }
		x.content = Content(id, q.Method, q.RequestURI, body)
		if want := q.Header.Get("X-Target-Instance"); want != "" && want != r.self() {
			r.Book.act("another_instance")
			l.say(refusal(id, 421))
			continue
		}
		x.head = "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Instance-Load: 1,0,64\r\n"
		x.whole = "HTTP/1.1 200 OK\r\n" + x.head + "Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(x.content)) + "\r\n\r\n" + x.content
		if q.Method == http.MethodHead {
			x.run()
			l.say(x.whole[:bytes.Index([]byte(x.whole), []byte("\r\n\r\n"))+4])
			r.Book.act("head")
			continue
		}
		if p >= r.Rate {
			x.run()
			l.say(x.whole)
			r.Book.act("well")
		} else {
			r.Book.act(acts[n].name)
			if !acts[n].do(x) {
				return
			}
		}
		l.mu.Lock()
		if len(l.past) < 2 && len(x.whole) < 10000 {
			l.past = append(l.past, x.whole)
		}
		l.mu.Unlock()
	}
}
