package replica

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

const (
	readBufferBytes      = 4 << 10
	defaultMaxIdle       = 4 * time.Second // where a replica does not say how long it keeps idle connections
	concurrentWriteBytes = 64 << 10        // requests beyond this size are written while their response is read
	recentAttemptsKept   = 16              // identities that a connection remembers
)

// longAgo is a deadline that ends reads and writes at once.
var longAgo = time.Unix(1, 0)

// conn is one connection to a replica. It carries one request at a time and is used by one goroutine at a time.
type conn struct {
	net.Conn
	pool       *Pool
	instanceID string // of the instance that it leads to
	tcp        *net.TCPConn
	raw        syscall.RawConn
	reader     *bufio.Reader
	id         uint64 // its number in the pool
	closed     bool

	idleSince  time.Time
	idleBefore time.Duration // before the request at hand; 0: the connection is new
	maxIdle    time.Duration // by what the replica says

	requests       int                        // carried so far
	recentAttempts [recentAttemptsKept]string // identities of the last requests; the next one is stored at requests % recentAttemptsKept

	unusable bool // for another request, until this one has its complete response
	tainted  bool // a response to another request came on it
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	if c.closed {
		return nil
	}
	c.closed = true
	c.pool.released()
	return c.Conn.Close()
}

// needsOwnConn tells whether a request goes over a connection of its own: without an identity its response is known by
// nothing else, and a response to HEAD ends where one to another method goes on.
func (q *Request) needsOwnConn() bool { return q.AttemptID == "" || q.Method == http.MethodHead }

// reusable is the one place that decides whether a connection may carry a further request: the last one has its complete
// response, whose end is marked in itself, nothing more has come in, and the replica keeps the connection.
func (c *conn) reusable() bool {
	return !c.unusable && !c.tainted && c.maxIdle > 0 && c.reader.Buffered() == 0
}

// carried tells whether a request with this identity went over the connection before: a response could be either's.
func (c *conn) carried(attemptID string) bool { return slices.Contains(c.recentAttempts[:], attemptID) }

// isQuiet tells whether nothing has come in on an idle connection, not even its end.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && errors.Is(err, syscall.EAGAIN) // on Linux also known as EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// setKeepAliveProbes has the kernel ask whether the other end is still there, or not.
func (c *conn) setKeepAliveProbes(on bool) {
	_ = c.tcp.SetKeepAlive(on) // fails on a closed connection only, as reads and writes do then
}

// interrupt ends reads and writes at once.
func (c *conn) interrupt() {
	_ = c.SetDeadline(longAgo) // fails on a closed connection only
}

// roundTrip sends the request and reads until its response is there. What was handed to the kernel may have been executed,
// whether it had left by then or not.
func (c *conn) roundTrip(request *Request) Outcome {
	c.unusable = true
	c.recentAttempts[c.requests%recentAttemptsKept] = request.AttemptID
	c.requests++
	head := request.encodeHead()
	if len(request.Body) > concurrentWriteBytes {
		return c.roundTripLarge(request, head)
	}
	if n, err := c.Write(append(head, request.Body...)); err != nil {
		return writeFailed(n, err)
	}
	return c.readResponse(request)
}

// written is the end of a concurrent write.
type written struct {
	n   int
	err error
}

// roundTripLarge writes the request while it reads the response, as a replica may answer before it has read the body.
func (c *conn) roundTripLarge(request *Request, head []byte) Outcome {
	ended := make(chan written, 1)
	go func() {
		n, err := c.Write(head)
		if err == nil {
			var m int
			m, err = c.Write(request.Body)
			n += m
		}
		ended <- written{n, err}
	}()
	outcome := c.readResponse(request)
	_ = c.SetWriteDeadline(longAgo) // who has answered need not read on; fails on a closed connection only
	write := <-ended
	if write.err != nil {
		c.unusable = true
		if outcome.Execution == retry.MayHaveExecuted && write.n == 0 {
			return writeFailed(write.n, write.err)
		}
	}
	return outcome
}

// writeFailed is the outcome of a request of which n bytes were written.
func writeFailed(n int, err error) Outcome {
	outcome := connectionFailed(err, CauseWrite)
	if n == 0 {
		outcome.Execution, outcome.NotSent = retry.NotExecuted, true
	}
	return outcome
}

// connectionFailed is the outcome of a request that was sent, after an error of its connection.
func connectionFailed(err error, cause Cause) Outcome {
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	if expired {
		cause = CauseDeadline
	}
	return Outcome{Execution: retry.MayHaveExecuted, Cause: cause, DeadlineExceeded: expired}
}
