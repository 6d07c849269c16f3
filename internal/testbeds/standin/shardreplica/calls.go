package shardreplica

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// callBody is the body of a grant or release. Releases have neither a hold nor a handover.
type callBody struct {
	From     *int    `json:"from_version"`
	To       *int    `json:"target_version"`
	Fence    *uint64 `json:"fence"`
	Hold     string  `json:"hold"`
	Handover string  `json:"handover"`
}

func (b *callBody) valid() bool {
	return b.From != nil && b.To != nil && b.Fence != nil && *b.From >= 0 && *b.From <= *b.To && *b.To <= maxKey
}

// readCall reads the body of a grant or release. It rejects invalid calls and calls for another instance.
func (r *Replica) readCall(w http.ResponseWriter, request *http.Request) (body callBody, ok bool) {
	if r.rejectOtherInstance(w, request) {
		return body, false
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || !body.valid() {
		w.WriteHeader(http.StatusBadRequest)
		return body, false
	}
	return body, true
}

// recordCall records a call that takes effect now. The caller must hold mu.
func (r *Replica) recordCall(request *http.Request, at, until time.Duration, body callBody, status int) {
	sender, _, _ := net.SplitHostPort(request.RemoteAddr) // empty if unknown
	r.record.addCall(Call{
		At: at, Until: until, Sender: sender, Replica: r.ID, Path: request.URL.Path, From: *body.From, To: *body.To, Fence: *body.Fence,
		Handover: body.Handover, Status: status,
	})
}

// answer sends the response to a call, unless the hook suppresses it.
func (r *Replica) answer(w http.ResponseWriter, path string, status int) {
	r.mu.Lock()
	hook := r.callHook
	r.mu.Unlock()
	if hook != nil && !hook(path) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (r *Replica) grant(w http.ResponseWriter, request *http.Request) {
	arrival := r.record.now()
	body, ok := r.readCall(w, request)
	if !ok {
		return
	}
	hold, err := time.ParseDuration(body.Hold)
	if err != nil || hold <= 0 || hold > r.options.MaxHold {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	granted := lease{from: *body.From, to: *body.To, fence: *body.Fence, arrival: arrival}
	granted.until = arrival + time.Duration(float64(hold)/r.options.ClockRate)
	if !r.record.handoverCovers(body.Handover, r.options.Service, *body.From, *body.To) {
		granted.slowUntil = arrival + r.options.WarmUp
	}
	r.awaitResumption()
	status := http.StatusOK
	r.mu.Lock()
	if r.stopped || !r.leases.grant(granted) {
		status = http.StatusConflict
	}
	r.recordCall(request, arrival, granted.until, body, status)
	r.mu.Unlock()
	r.answer(w, grantPath, status)
}

// release stops new executions on the keys at once, and responds when those that run have ended.
func (r *Replica) release(w http.ResponseWriter, request *http.Request) {
	body, ok := r.readCall(w, request)
	if !ok {
		return
	}
	r.awaitResumption()
	r.mu.Lock()
	now := r.record.now()
	r.leases.release(*body.From, *body.To, *body.Fence, now)
	r.recordCall(request, now, 0, body, http.StatusOK)
	var running []chan struct{}
	for execution, done := range r.executions {
		if *body.From <= int(execution.Key) && int(execution.Key) <= *body.To {
			running = append(running, done)
		}
	}
	r.mu.Unlock()
	for _, done := range running {
		select {
		case <-done:
		case <-request.Context().Done():
			return
		}
	}
	w.Header().Set(handoverHeader, r.record.issueHandover(r.options.Service, *body.From, *body.To))
	r.answer(w, releasePath, http.StatusOK)
}
