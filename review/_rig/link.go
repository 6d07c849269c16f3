package main

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunk is what one read from a sender returned, or the end of its connection.
type chunk struct {
	data []byte
	at   time.Time // arrival
	end  bool
}

// link is a path to a member. While it is held, it passes nothing on; what it has received goes on in order when it is released, the
// end of a connection included, as bytes do that a cut has held up and whose sender has not reset its connection. It may also delay
// all that is sent to the member.
type link struct {
	listener net.Listener
	target   string
	record   *record

	mu    sync.Mutex
	held  bool
	delay time.Duration
	free  *sync.Cond // signaled when held changes
}

func newLink(record *record, address, target string) (*link, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, record: record}
	l.free = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// hold holds the link up, or releases it.
func (l *link) hold(held bool) {
	l.mu.Lock()
	l.held = held
	l.mu.Unlock()
	l.free.Broadcast()
}

// setDelay sets the delay of what is sent to the member.
func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	l.delay = delay
	l.mu.Unlock()
}

// pass waits until a chunk for the member may go on.
func (l *link) pass(c chunk) {
	delay := l.awaitRelease()
	time.Sleep(time.Until(c.at.Add(delay)))
}

// awaitRelease waits until the link is not held and returns its delay.
func (l *link) awaitRelease() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held {
		l.free.Wait()
	}
	return l.delay
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn.(*net.TCPConn))
	}
}

// serve carries one connection.
func (l *link) serve(caller *net.TCPConn) {
	defer func() { _ = caller.Close() }() // both directions have ended
	chunks := make(chan chunk, 64)
	go receive(caller, chunks)
	conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", l.target) // a loopback address: it answers at once
	if err != nil {
		return
	}
	member := conn.(*net.TCPConn)
	defer func() { _ = member.Close() }() // both directions have ended
	var callerGone atomic.Bool
	answers := make(chan chunk, 64)
	go receive(member, answers)
	go l.returnAnswers(caller, answers, &callerGone)
	for c := range chunks {
		l.pass(c)
		if c.end {
			callerGone.Store(true)
			_ = member.CloseWrite() // fails if the member has closed the connection
			time.Sleep(2 * silence) // for the rest of an answer
			return
		}
		if _, err := member.Write(c.data); err != nil {
			return
		}
	}
}

// returnAnswers passes the member's answers on, and records those to a caller that has gone.
func (l *link) returnAnswers(caller net.Conn, answers <-chan chunk, callerGone *atomic.Bool) {
	for c := range answers {
		l.awaitRelease()
		if c.end {
			_ = caller.Close() // the member has ended the connection
			return
		}
		if callerGone.Load() {
			first, _, _ := bytes.Cut(c.data, []byte("\r\n"))
			l.record.write("the member answers a caller that has gone: %s", first)
			continue
		}
		_, _ = caller.Write(c.data) // fails if the caller has gone
	}
}

// receive reads chunks until the sender closes the connection.
func receive(conn net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, 16<<10)
		n, err := conn.Read(buffer)
		if n > 0 {
			chunks <- chunk{data: buffer[:n], at: time.Now()}
		}
		if err != nil {
			chunks <- chunk{end: true, at: time.Now()}
			return
		}
	}
}
