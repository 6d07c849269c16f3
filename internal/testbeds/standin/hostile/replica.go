// Package hostile holds stand-ins that do, by a seed, what the gateway must bear: replicas that break off, stay silent,
// truncate, double, delay and forge responses, and clients that send slowly, by halves, ambiguously and not to the end. A
// Recorder keeps what was executed, so that tests can match responses to requests by content and count executions.
package hostile

import (
	"bufio"
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

const (
	idleTimeout        = 30 * time.Second
	writeTimeout       = 2 * time.Second
	earlyRejectionPart = 40         // of the fault rate: one of so many faults is a rejection before the body was read
	largeBodyBytes     = 1100 << 10 // beyond what the gateway buffers
	maxKeptResponses   = 2          // of a connection, to be repeated
	maxKeptBytes       = 10000      // of such a response
	maxRandom          = 1 << 20
)

// ResponseBody is the body of the only right response to a request.
func ResponseBody(id, method, uri string, body []byte) string {
	s := fmt.Sprintf("%s %s %s %08x\n", id, method, uri, crc32.ChecksumIEEE(body))
	if strings.Contains(uri, "large") {
		s = strings.Repeat(s, 1+largeBodyBytes/len(s))
	}
	return s
}

// Replica is one hostile replica. Serve takes its connections.
type Replica struct {
	FaultRate float64 // of requests that are met by a hostile behaviour
	Recorder  *Recorder

	mu  sync.Mutex
	id  string
	rng *rand.Rand
}

// New makes a replica whose behaviours follow from the seed.
func New(id string, seed uint64, faultRate float64, recorder *Recorder) *Replica {
	return &Replica{id: id, FaultRate: faultRate, Recorder: recorder, rng: rand.New(rand.NewPCG(seed, 7))}
}

// SetID gives the address to another instance. Its connections stay: it answers 421 to requests on them for the earlier one.
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

// drawn is the random part of an exchange.
type drawn struct {
	fault     float64 // below FaultRate: the request is met by behaviour
	behaviour behaviour
	random    int
}

func (r *Replica) draw() drawn {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault := r.rng.Float64()
	chosen := behaviours[r.rng.IntN(len(behaviours))]
	return drawn{fault, chosen, r.rng.IntN(maxRandom)}
}

// Serve takes a connection's requests until it ends.
func (r *Replica) Serve(conn net.Conn) {
	c := &replicaConn{Conn: conn}
	defer closeQuietly(conn)
	reader := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil || !r.serveRequest(c, request) {
			return
		}
	}
}

// serveRequest meets one request. It tells whether the connection is kept.
func (r *Replica) serveRequest(c *replicaConn, request *http.Request) (keep bool) {
	id := request.Header.Get("X-Attempt-Id")
	if request.URL.Path == "/health" && id == "" {
		c.write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + r.currentID() + "\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	chance := r.draw()
	if chance.fault < r.FaultRate/earlyRejectionPart && request.ContentLength > 0 {
		r.Recorder.recordBehaviour("early_refusal")
		c.write(rejection(id, http.StatusServiceUnavailable))
		if chance.random%2 == 0 {
			c.reset()
		}
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != r.currentID() {
		r.Recorder.recordBehaviour("another_instance")
		c.write(rejection(id, http.StatusMisdirectedRequest))
		return true
	}
	x := r.newExchange(c, request, body, chance.random)
	switch {
	case request.Method == http.MethodHead:
		x.execute()
		head, _, _ := strings.Cut(x.response, "\r\n\r\n")
		c.write(head + "\r\n\r\n")
		r.Recorder.recordBehaviour("head")
		return true
	case chance.fault >= r.FaultRate:
		x.execute()
		c.write(x.response)
		r.Recorder.recordBehaviour("well")
	default:
		r.Recorder.recordBehaviour(chance.behaviour.name)
		if !chance.behaviour.respond(x) {
			return false
		}
	}
	c.keepResponse(x.response)
	return true
}

func (r *Replica) newExchange(c *replicaConn, request *http.Request, body []byte, random int) *exchange {
	id := request.Header.Get("X-Attempt-Id")
	x := &exchange{replicaConn: c, id: id, otherID: fmt.Sprint("other-", random), random: random}
	x.execute = func() { r.Recorder.recordExecution(id) }
	x.body = ResponseBody(id, request.Method, request.RequestURI, body)
	x.head = "X-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id + "\r\nX-Instance-Load: 1,0,64\r\n"
	x.response = "HTTP/1.1 200 OK\r\n" + x.head + "Keep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(x.body)) + "\r\n\r\n" + x.body
	return x
}

// replicaConn is one connection. Late responses are written beside others, each in one piece.
type replicaConn struct {
	net.Conn
	mu            sync.Mutex
	sentResponses []string // complete responses, to be repeated
}

func (c *replicaConn) write(s string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection only, as the write does then
	_, _ = io.WriteString(c.Conn, s)                     // the gateway may have closed the connection
}

// reset closes the connection with a reset.
func (c *replicaConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	closeQuietly(c)
}

func (c *replicaConn) keepResponse(response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sentResponses) < maxKeptResponses && len(response) < maxKeptBytes {
		c.sentResponses = append(c.sentResponses, response)
	}
}

// closeQuietly closes what is of no use any more: an error of it changes nothing.
func closeQuietly(c io.Closer) { _ = c.Close() }
