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
	defaultMaxIdle       = 4 * time.Second // if the replica sends no Keep-Alive timeout
	concurrentWriteBytes = 64 << 10        // larger request bodies are written while the response is read
	recentAttemptsSize   = 16              // attempt IDs remembered per connection
)

// pastDeadline makes pending reads and writes return at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to a replica. It carries one request at a time and is used by one goroutine at a time.
type conn struct {
	net.Conn
	pool       *Pool
	instanceID string
	tcp        *net.TCPConn
	raw        syscall.RawConn
	reader     *bufio.Reader
	id         uint64 // number in the pool
	closed     bool

	idleSince   time.Time
	reusedAfter time.Duration // idle time before the current request; 0 if the connection is new
	maxIdle     time.Duration // derived from the replica's Keep-Alive timeout

	requests       int                        // sent so far
	recentAttempts [recentAttemptsSize]string // attempt IDs of the last requests; the next one is stored at requests % recentAttemptsSize

	unusable bool // cannot carry another request, at least until the current response is complete
	tainted  bool // a response to another request was received
}

// Close closes the connection and frees its place in the pool.
func (c *conn) Close() error {
	if c.closed {
		return nil
	}
	c.closed = true
	c.pool.connClosed()
	return c.Conn.Close()
}

// needsDedicatedConn reports whether a request must use a connection of its own. Without an attempt ID its response cannot be
// matched otherwise, and responses to HEAD are framed differently from those to other methods.
func (q *Request) needsDedicatedConn() bool { return q.AttemptID == "" || q.Method == http.MethodHead }

// reusable reports whether the connection may carry another request: the last response is complete and delimited, no further
// input has arrived, and the replica keeps the connection open.
func (c *conn) reusable() bool {
	return !c.unusable && !c.tainted && c.maxIdle > 0 && c.reader.Buffered() == 0
}

// hasCarried reports whether a recent request on the connection had this attempt ID. Their responses could be confused.
func (c *conn) hasCarried(attemptID string) bool {
	return slices.Contains(c.recentAttempts[:], attemptID)
}

// hasNoUnreadInput reports whether an idle connection has received neither data nor EOF.
func (c *conn) hasNoUnreadInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = n <= 0 && errors.Is(err, syscall.EAGAIN) // equals EWOULDBLOCK on Linux
		return true
	})
	return err == nil && empty
}

// setKeepAliveProbes turns TCP keep-alive probes on or off.
func (c *conn) setKeepAliveProbes(on bool) {
	_ = c.tcp.SetKeepAlive(on) // fails on a closed connection only, as reads and writes do then
}

// interrupt makes pending reads and writes fail at once.
func (c *conn) interrupt() {
	_ = c.SetDeadline(pastDeadline) // fails on a closed connection only
}

// roundTrip sends the request and reads its response. Once a byte has been written, the request counts as possibly executed.
func (c *conn) roundTrip(request *Request) Outcome {
	c.unusable = true
	c.recentAttempts[c.requests%recentAttemptsSize] = request.AttemptID
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

// writeResult is the result of a concurrent write.
type writeResult struct {
	n   int
	err error
}

// roundTripLarge writes the request while reading the response, as a replica may respond before it has read the body.
func (c *conn) roundTripLarge(request *Request, head []byte) Outcome {
	done := make(chan writeResult, 1)
	go func() {
		n, err := c.Write(head)
		if err == nil {
			var m int
			m, err = c.Write(request.Body)
			n += m
		}
		done <- writeResult{n, err}
	}()
	outcome := c.readResponse(request)
	_ = c.SetWriteDeadline(pastDeadline) // a replica that has responded need not read on; fails on a closed connection only
	write := <-done
	if write.err != nil {
		c.unusable = true
		if outcome.Execution == retry.MayHaveExecuted && write.n == 0 {
			return writeFailed(write.n, write.err)
		}
	}
	return outcome
}

// writeFailed returns the outcome of a request whose write failed after n bytes.
func writeFailed(n int, err error) Outcome {
	outcome := connectionFailed(err, CauseWrite)
	if n == 0 {
		outcome.Execution, outcome.NotSent = retry.NotExecuted, true
	}
	return outcome
}

// connectionFailed returns the outcome of a sent request after a connection error.
func connectionFailed(err error, cause Cause) Outcome {
	expired := errors.Is(err, os.ErrDeadlineExceeded)
	if expired {
		cause = CauseDeadline
	}
	return Outcome{Execution: retry.MayHaveExecuted, Cause: cause, DeadlineExceeded: expired}
}
