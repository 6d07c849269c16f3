// Package hostile provides seeded misbehaving peers for tests of the gateway: replicas that truncate, duplicate, delay, withhold and
// forge responses, and clients that send slow, truncated and ambiguous requests. Response bodies depend on the request, so that tests
// can match them, and a Recorder counts executions.
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
	idleTimeout          = 30 * time.Second
	writeTimeout         = 2 * time.Second
	earlyRejectionPart   = 40         // one in this many faults is a rejection before the body is read
	largeBodyBytes       = 1100 << 10 // more than the gateway buffers
	maxSentResponses     = 2          // responses kept per connection for replay
	maxSentResponseBytes = 10000      // size limit of a kept response
	maxRandom            = 1 << 20
)

// ResponseBody returns the body of the correct response to a request.
func ResponseBody(id, method, uri string, body []byte) string {
	s := fmt.Sprintf("%s %s %s %08x\n", id, method, uri, crc32.ChecksumIEEE(body))
	if strings.Contains(uri, "large") {
		s = strings.Repeat(s, 1+largeBodyBytes/len(s))
	}
	return s
}

// Replica is a misbehaving replica.
type Replica struct {
	FaultRate float64 // share of requests that get a hostile behaviour
	Recorder  *Recorder

	mu  sync.Mutex
	id  string
	rng *rand.Rand
}

// New returns a replica whose behaviours are determined by the seed.
func New(id string, seed uint64, faultRate float64, recorder *Recorder) *Replica {
	return &Replica{id: id, FaultRate: faultRate, Recorder: recorder, rng: rand.New(rand.NewPCG(seed, 7))}
}

// SetID simulates the reuse of the address by another instance. Open connections stay open; requests on them for the previous instance
// get 421.
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

// randomChoice holds the random choices for one request.
type randomChoice struct {
	fault     float64 // behaviour is used if this is below FaultRate
	behaviour behaviour
	random    int
}

func (r *Replica) choose() randomChoice {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault := r.rng.Float64()
	chosen := behaviours[r.rng.IntN(len(behaviours))]
	return randomChoice{fault, chosen, r.rng.IntN(maxRandom)}
}

// Serve handles the requests of a connection until it ends.
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

// serveRequest responds to one request. It returns false if the connection must be closed.
func (r *Replica) serveRequest(c *replicaConn, request *http.Request) (keep bool) {
	id := request.Header.Get("X-Attempt-Id")
	if request.URL.Path == "/health" && id == "" {
		c.write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + r.currentID() + "\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	choice := r.choose()
	if choice.fault < r.FaultRate/earlyRejectionPart && request.ContentLength > 0 {
		r.Recorder.recordBehaviour("early_refusal")
		c.write(rejection(id, http.StatusServiceUnavailable))
		if choice.random%2 == 0 {
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
	x := r.newExchange(c, request, body, choice.random)
	switch {
	case request.Method == http.MethodHead:
		x.execute()
		head, _, _ := strings.Cut(x.response, "\r\n\r\n")
		c.write(head + "\r\n\r\n")
		r.Recorder.recordBehaviour("head")
		return true
	case choice.fault >= r.FaultRate:
		x.execute()
		c.write(x.response)
		r.Recorder.recordBehaviour("well")
	default:
		r.Recorder.recordBehaviour(choice.behaviour.name)
		if !choice.behaviour.respond(x) {
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

// replicaConn is a connection with serialized writes, because delayed responses are written by other goroutines.
type replicaConn struct {
	net.Conn
	mu            sync.Mutex
	sentResponses []string // complete responses, for replay
}

func (c *replicaConn) write(s string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection only
	_, _ = io.WriteString(c.Conn, s)                     // the gateway may have closed the connection
}

// reset closes the connection with a TCP reset.
func (c *replicaConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	closeQuietly(c)
}

func (c *replicaConn) keepResponse(response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sentResponses) < maxSentResponses && len(response) < maxSentResponseBytes {
		c.sentResponses = append(c.sentResponses, response)
	}
}

// closeQuietly closes c and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }
