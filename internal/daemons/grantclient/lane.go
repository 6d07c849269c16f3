package grantclient

import (
	"errors"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// laneKey identifies a lane. It contains the replica's ID rather than its address, which may be reassigned.
type laneKey struct {
	replica string
	kind    ownership.CallKind
}

// lane performs the calls of one kind to one replica in order, one at a time. Its goroutine ends when it has had no calls for the idle time of
// its connection.
type lane struct {
	client *Client
	key    laneKey
	wake   chan struct{} // receives a value when queue becomes non-empty
	queue  []ownership.Call
	conn   *conn // nil if there is none. It is changed by the lane's goroutine; client.mu protects it, as it does queue

	encoder requestEncoder // accessed only by the lane's goroutine, like idle
	idle    *time.Timer
}

func newLane(client *Client, key laneKey) *lane {
	return &lane{client: client, key: key, wake: make(chan struct{}, 1)}
}

// run performs calls until the lane is idle for too long or the client is closed.
func (l *lane) run() {
	defer l.client.lanesDone.Done()
	l.idle = time.NewTimer(defaultIdleTime)
	defer l.idle.Stop()
	for {
		call, ok := l.next()
		if !ok {
			break
		}
		l.client.finish(&call, l.perform(&call))
	}
	l.disconnect((*conn).closeIdle)
}

// next waits for the next call. It returns false once the lane has been removed from the client.
func (l *lane) next() (call ownership.Call, ok bool) {
	l.idle.Reset(l.idleTime())
	for {
		if call, ok = l.pop(); ok {
			return call, true
		}
		select {
		case <-l.wake:
		case <-l.idle.C:
			if l.removeIfEmpty() {
				return ownership.Call{}, false
			}
		case <-l.client.context.Done():
			l.rejectQueue()
			return ownership.Call{}, false
		}
	}
}

// pop removes the first call from the queue.
func (l *lane) pop() (call ownership.Call, ok bool) {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	if len(l.queue) == 0 || l.client.closed {
		return ownership.Call{}, false
	}
	call = l.queue[0]
	n := copy(l.queue, l.queue[1:])
	l.queue[n] = ownership.Call{}
	l.queue = l.queue[:n]
	return call, true
}

// removeIfEmpty removes the lane from the client unless calls are waiting.
func (l *lane) removeIfEmpty() bool {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(l.client.lanes, l.key)
	return true
}

// rejectQueue ends all waiting calls after the client was closed.
func (l *lane) rejectQueue() {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	for i := range l.queue {
		l.client.end(&l.queue[i], failed(ownership.CallNotTried, errClosed))
	}
	l.queue = nil
	delete(l.client.lanes, l.key)
}

// connectOutcome returns the outcome of a call for which no connection was opened. The limits of this member say nothing about the replica.
func connectOutcome(err error) ownership.CallOutcome {
	for _, own := range []error{errTooManyConnections, errTooLate, errClosed} {
		if errors.Is(err, own) {
			return ownership.CallNotTried
		}
	}
	return ownership.CallNotSent
}

// perform performs a call on the kept connection or on a new one.
func (l *lane) perform(call *ownership.Call) ownership.CallResult {
	if !isSendable(call.Replica) || !isSendable(call.Address) {
		return failed(ownership.CallNotSent, errUnsendable)
	}
	if l.conn != nil && !l.conn.canCarry(call) {
		l.disconnect((*conn).reset)
	}
	if l.conn == nil {
		if err := l.connect(call); err != nil {
			return failed(connectOutcome(err), err)
		}
	}
	result := l.conn.roundTrip(call, &l.encoder)
	if !l.conn.reusable {
		l.disconnect((*conn).reset)
	}
	return result
}

// connect opens a connection for a call.
func (l *lane) connect(call *ownership.Call) error {
	opened, err := l.client.dial(call)
	if err != nil {
		return err
	}
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	l.conn = opened
	return nil
}

// disconnect closes the connection, if there is one, by calling end.
func (l *lane) disconnect(end func(*conn)) {
	l.client.mu.Lock()
	ended := l.conn
	l.conn = nil
	l.client.mu.Unlock()
	if ended != nil {
		end(ended)
	}
}

// interrupt makes a call in progress fail at once. The caller must hold client.mu.
func (l *lane) interrupt() {
	if l.conn != nil {
		l.conn.interrupt()
	}
}

// idleTime returns how long the lane may be idle before it ends.
func (l *lane) idleTime() time.Duration {
	if l.conn == nil {
		return defaultIdleTime
	}
	return l.conn.idleTime
}
