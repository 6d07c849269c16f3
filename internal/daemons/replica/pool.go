package replica

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/internal/daemons/peertransport"
)

const (
	dialTimeout    = 300 * time.Millisecond
	unackedTimeout = 500 * time.Millisecond // for data not acknowledged by the replica's TCP stack
	probeInterval  = time.Second            // TCP keep-alive idle time and interval
)

// Pool is a pool of connections to replicas. Idle connections are keyed by instance ID, as an address may be reassigned to
// another instance. Pool is safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	idle       map[string][]*conn   // by instance ID, most recently used last
	idleLimits map[string]idleLimit // by service
	opened     int64                // total number of connections opened
	open       int                  // open connections, including those being opened
	maxOpen    int
}

// NewPool creates an empty pool of at most maxOpen connections.
func NewPool(maxOpen int) *Pool {
	return &Pool{idle: map[string][]*conn{}, idleLimits: map[string]idleLimit{}, maxOpen: maxOpen}
}

// errPoolFull is returned when the connection limit is reached and no connection is idle.
var errPoolFull = errors.New("all connections to replicas are in use")

// OpenCount returns the number of open connections.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// reserve counts a connection that is about to be opened. If the limit is reached, it closes the connection that has been
// idle for longest, or returns errPoolFull if none is idle.
func (p *Pool) reserve() error {
	p.mu.Lock()
	var oldest *conn
	if p.open >= p.maxOpen {
		if oldest = p.takeOldestIdle(); oldest == nil {
			p.mu.Unlock()
			return errPoolFull
		}
	}
	p.open++
	p.mu.Unlock()
	if oldest != nil {
		closeQuietly(oldest)
	}
	return nil
}

// takeOldestIdle removes the connection that has been idle for longest from the pool, or returns nil if none is idle. The
// caller must hold mu.
func (p *Pool) takeOldestIdle() (oldest *conn) {
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest = conns[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.instanceID] = slices.Delete(p.idle[oldest.instanceID], 0, 1)
	}
	return oldest
}

// connClosed uncounts a connection that was closed or could not be opened.
func (p *Pool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// OpenedCount returns the total number of connections opened.
func (p *Pool) OpenedCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Do sends a request to the replica at addr and waits for its response, until the request's deadline or cancellation.
func (p *Pool) Do(instanceID, addr string, request *Request) Outcome {
	if cause := unsendableCause(request); cause != "" {
		return Outcome{Execution: retry.NotExecuted, Cause: cause, NotSent: true, DeadlineExceeded: cause == CauseExpired}
	}
	c := p.takeIdle(instanceID, request)
	if c == nil {
		var err error
		if c, err = p.dial(instanceID, addr, request.Deadline); err != nil {
			return dialFailed(err, request.Deadline)
		}
	}
	_ = c.SetDeadline(request.Deadline) // fails on a closed connection only, as the write does then
	if request.WaitForDeadline {
		c.setKeepAliveProbes(false)
	}
	stop := func() bool { return true }
	if request.Cancel != nil {
		stop = context.AfterFunc(request.Cancel, c.interrupt)
	}
	sentAt := time.Now()
	outcome := c.roundTrip(request)
	outcome.ConnID, outcome.ConnRequestCount = c.id, c.requests
	// A reset right after the write means that the replica had dropped the idle connection. A later loss has other causes.
	if c.reusedAfter > 0 && time.Since(sentAt) < staleConnResetWindow && outcome.Cause.isConnectionLoss() && request.Service != "" {
		p.learnIdleLimit(request.Service, c.reusedAfter)
	}
	if !stop() {
		c.unusable = true
		if outcome.Cause == CauseDeadline && time.Now().Before(request.Deadline) {
			outcome.Cause = CauseCanceled
		}
	}
	p.release(instanceID, c, request, outcome.Response)
	return outcome
}

// unsendableCause returns the reason not to send a request, or an empty cause.
func unsendableCause(request *Request) Cause {
	if request.Cancel != nil && request.Cancel.Err() != nil {
		return CauseClientGone
	}
	if !time.Now().Before(request.Deadline) {
		return CauseExpired
	}
	return ""
}

func dialFailed(err error, deadline time.Time) Outcome {
	cause := CauseDial
	if errors.Is(err, errPoolFull) {
		cause = CausePoolFull
	}
	return Outcome{
		Execution:         retry.NotExecuted,
		Cause:             cause,
		NotSent:           true,
		ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED),
		DeadlineExceeded:  !time.Now().Before(deadline),
	}
}

// takeIdle removes an idle connection that may carry the request from the pool, or returns nil if there is none. Unusable
// connections that it comes across are closed.
func (p *Pool) takeIdle(instanceID string, request *Request) *conn {
	if request.needsDedicatedConn() {
		return nil
	}
	now := time.Now()
	for {
		p.mu.Lock()
		limit := p.maxIdle(request.Service, now)
		conns := p.idle[instanceID]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[instanceID] = conns[:len(conns)-1]
		p.mu.Unlock()
		c.reusedAfter = now.Sub(c.idleSince)
		if c.reusedAfter <= min(c.maxIdle, limit) && !c.hasCarried(request.AttemptID) && c.hasNoUnreadInput() {
			return c
		}
		closeQuietly(c)
	}
}

// dial opens a connection to an instance within the connection limit.
func (p *Pool) dial(instanceID, addr string, deadline time.Time) (*conn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	c, err := p.connect(addr, deadline)
	if err != nil {
		p.connClosed()
		return nil, err
	}
	c.instanceID = instanceID
	return c, nil
}

func (p *Pool) connect(addr string, deadline time.Time) (*conn, error) {
	dialer := peertransport.NewDialer(min(dialTimeout, time.Until(deadline)), unackedTimeout)
	netConn, err := dialer.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := netConn.(*net.TCPConn)
	// Best effort: without probes, a machine that fails silently is only noticed at the deadline.
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 1})
	raw, err := tcp.SyscallConn()
	if err != nil {
		closeQuietly(netConn)
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	id := uint64(p.opened)
	p.mu.Unlock()
	return &conn{Conn: netConn, pool: p, tcp: tcp, raw: raw, id: id, reader: bufio.NewReaderSize(netConn, readBufferBytes), maxIdle: defaultMaxIdle}, nil
}

// release returns a connection to the pool after a request, closes it, or leaves it open for the rest of a long response.
func (p *Pool) release(instanceID string, c *conn, request *Request, response *Response) {
	switch {
	case response != nil && response.CopyRest != nil:
		copyRest := response.CopyRest
		response.CopyRest = func(w io.Writer) error {
			defer closeQuietly(c)
			return copyRest(w)
		}
		response.Close = func() { closeQuietly(c) }
	case c.reusable():
		if request.WaitForDeadline {
			c.setKeepAliveProbes(true)
		}
		p.putIdle(instanceID, c)
	default:
		closeQuietly(c)
	}
}

func (p *Pool) putIdle(instanceID string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle[instanceID] = append(p.idle[instanceID], c)
	p.mu.Unlock()
}

// CloseIdle closes all idle connections to an instance.
func (p *Pool) CloseIdle(instanceID string) {
	p.mu.Lock()
	conns := p.idle[instanceID]
	delete(p.idle, instanceID)
	p.mu.Unlock()
	for _, c := range conns {
		closeQuietly(c)
	}
}

// Sweep closes connections that have exceeded their idle time, before their replicas do.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for instanceID, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) > c.maxIdle {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, instanceID)
		} else {
			p.idle[instanceID] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		closeQuietly(c)
	}
}

// closeQuietly closes c and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }
