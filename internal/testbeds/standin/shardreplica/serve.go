package shardreplica

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// serve executes a request if the replica holds its key and has a free slot.
func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, attempt)
	if r.rejectOtherInstance(w, request) {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body) // a request with a truncated body is executed too
	key, err := strconv.ParseUint(request.Header.Get(shardKeyHeader), 10, 16)
	if err != nil || attempt == "" {
		r.reject(w, RejectedInvalid, http.StatusBadRequest)
		return
	}
	if !r.acquireSlot(request) {
		r.reject(w, RejectedOverload, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.awaitResumption()
	execution, delay := r.begin(attempt, uint16(key))
	if execution == nil {
		r.reject(w, RejectedKeyNotHeld, http.StatusMisdirectedRequest)
		return
	}
	timer := time.NewTimer(r.options.ServiceTime + delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
	}
	r.awaitResumption()
	status := r.end(execution)
	if status == http.StatusOK {
		w.Header().Set(responseSeal, "seal-"+attempt)
	}
	w.Header().Set(instanceLoad, r.load())
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "key %d of %s from %s\n", key, attempt, r.ID) // the client may have left
}

// acquireSlot waits for a slot. It returns false if the queue is full, or if the request's deadline passes before a slot is free.
func (r *Replica) acquireSlot(request *http.Request) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	if r.waiting >= r.options.Slots {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	var expired <-chan time.Time
	if milliseconds, err := strconv.Atoi(request.Header.Get(deadlineMsHeader)); err == nil {
		timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-expired:
	case <-request.Context().Done():
	}
	return false
}

// begin begins an execution and returns the additional delay of its key, or nil if the replica does not hold the key.
func (r *Replica) begin(attempt string, key uint16) (execution *Execution, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.record.now()
	span := r.leases.find(key)
	if !span.heldAt(now) {
		return nil, 0
	}
	if now < span.slowUntil {
		delay = r.options.WarmUpDelay
	}
	execution = &Execution{Replica: r.ID, Service: r.options.Service, Attempt: attempt, Key: key, Begin: now}
	r.executions[execution] = make(chan struct{})
	r.record.addExecution(execution)
	return execution, delay
}

// end ends an execution and returns its status, which is a failure if the lease on its key has expired.
func (r *Replica) end(execution *Execution) (status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.record.now()
	status = http.StatusOK
	if now >= r.leases.find(execution.Key).until {
		status = http.StatusInternalServerError
	}
	r.record.endExecution(execution, now, status)
	close(r.executions[execution])
	delete(r.executions, execution)
	return status
}

// rejectOtherInstance rejects a request that is for another instance.
func (r *Replica) rejectOtherInstance(w http.ResponseWriter, request *http.Request) bool {
	target := request.Header.Get(targetHeader)
	if target == "" || target == r.ID {
		return false
	}
	r.reject(w, RejectedOtherInstance, http.StatusMisdirectedRequest)
	return true
}

// reject rejects a request with the proof that it was not executed. Both rejections with status 421 have the same headers; only the value of
// X-Instance-Id tells them apart.
func (r *Replica) reject(w http.ResponseWriter, reason Rejection, status int) {
	r.countRejection(reason)
	w.Header().Set(notExecuted, "1")
	if status == http.StatusMisdirectedRequest {
		w.Header().Set(instanceHeader, r.ID)
	}
	w.Header().Set(instanceLoad, r.load())
	w.WriteHeader(status)
}

func (r *Replica) countRejection(reason Rejection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejections[reason]++
}

// load returns the value of X-Instance-Load.
func (r *Replica) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(r.slots), r.waiting, r.options.Slots)
}
