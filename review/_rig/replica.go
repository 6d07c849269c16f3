package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	slots             = 4
	queue             = 16
	coldSlowness      = 2       // a cold replica works so many times as long
	fallsOverAbove    = 5 * 4.1 // requests in one second, five times cold_per_s, at which a cold replica falls over
)

// arrival is a request at a replica.
type arrival struct {
	at      time.Duration
	attempt string
}

// replica is the stand-in of a replica.
type replica struct {
	id, service, zone string
	work              time.Duration // how long a request takes
	record            *record
	caller            caller
	server            *http.Server
	listener          net.Listener
	beatTo            []string // control addresses, tried in turn
	running           chan struct{}
	done              context.Context //nolint:containedctx // ends the heartbeats
	end               context.CancelFunc

	mu       sync.Mutex
	waiting  int // requests that run or wait
	arrivals []arrival
	sequence int
	coldFrom time.Duration
	coldTill time.Time
	fallen   bool // it has fallen over
}

// newReplica starts a replica without sending a beat.
func newReplica(id, service, zone, ip string, work time.Duration, record *record) (*replica, error) {
	listener, err := listen(ip + ":0")
	if err != nil {
		return nil, err
	}
	p := &replica{
		id: id, service: service, zone: zone, work: work, record: record, caller: newCaller(nil),
		listener: listener, running: make(chan struct{}, slots),
	}
	p.done, p.end = context.WithCancel(context.Background())
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = p.server.Serve(listener) }() // returns when the replica stops
	return p, nil
}

// stop ends the replica and all its connections.
func (p *replica) stop() {
	p.end()
	_ = p.server.Close() // the replica is gone in any case
}

// turnCold makes the replica cold for a time, which its next beats tell.
func (p *replica) turnCold(duration time.Duration) {
	p.mu.Lock()
	p.coldFrom, p.coldTill = p.record.now(), time.Now().Add(duration)
	p.mu.Unlock()
	p.record.write("%s in %s turns cold for %v", p.id, p.zone, duration)
}

func (p *replica) isCold() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.coldTill)
}

// beat sends one heartbeat, to the next member if one does not acknowledge it.
func (p *replica) beat() {
	p.mu.Lock()
	p.sequence++
	sequence := p.sequence
	cold := max(time.Until(p.coldTill), 0)
	p.mu.Unlock()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_remaining":"%dms","sequence":%d}`,
		p.service, p.listener.Addr(), p.zone, slots, cold.Milliseconds(), sequence)
	sentAt := p.record.now()
	for _, address := range p.beatTo {
		status, err := p.caller.attempt(address, "instances.heartbeat", p.id, []byte(body))
		p.record.write("%s sent beat %d at %.3f with cold_remaining %dms: answered %d (%v)", p.id, sequence, sentAt.Seconds(), cold.Milliseconds(), status, err)
		if err == nil && status/100 == 2 {
			return
		}
	}
}

// beatRegularly sends beats until the replica stops.
func (p *replica) beatRegularly() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			go p.beat()
		case <-p.done.Done():
			return
		}
	}
}

// serve handles a request as the pages say.
func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Instance-Id", p.id)
	_, _ = io.Copy(io.Discard, r.Body) // a body that ends early ends the connection
	switch target := r.Header.Get("X-Target-Instance"); {
	case target != "" && target != p.id:
		refuse(w, http.StatusMisdirectedRequest)
		return
	case attempt == "":
		refuse(w, http.StatusBadRequest)
		return
	}
	if !p.admit(attempt) {
		p.record.write("%s in %s is full and turns %s away", p.id, p.zone, attempt)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	p.record.write("%s in %s runs %s", p.id, p.zone, attempt)
	p.running <- struct{}{}
	work := p.work
	if p.isCold() {
		work *= coldSlowness
	}
	time.Sleep(work)
	<-p.running
	if p.hasFallen() {
		p.record.write("%s (%s) is lost with %s", attempt, r.Method, p.id)
		return // its connection is closed
	}
	w.Header().Set("X-Instance-Load", p.leave())
	w.Header().Set("X-Response-Seal", "seal-of-"+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(attempt)))
	_, _ = io.WriteString(w, attempt) // fails if the gateway has gone
}

// admit records an arrival and reports whether there is room for the request.
func (p *replica) admit(attempt string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, arrival{at: p.record.now(), attempt: attempt})
	if !p.fallen && time.Now().Before(p.coldTill) && float64(p.lastSecond()) > fallsOverAbove {
		p.fallen = true
		p.record.write("%s in %s falls over", p.id, p.zone)
		go p.stop()
	}
	if p.waiting >= slots+queue {
		return false
	}
	p.waiting++
	return true
}

// lastSecond returns the number of requests that have arrived within the last second and since the replica turned cold. The caller must
// hold mu.
func (p *replica) lastSecond() (n int) {
	from := max(p.record.now()-time.Second, p.coldFrom)
	for i := len(p.arrivals) - 1; i >= 0 && p.arrivals[i].at >= from; i-- {
		n++
	}
	return n
}

func (p *replica) hasFallen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fallen
}

// leave ends a request and returns the value of X-Instance-Load.
func (p *replica) leave() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	return fmt.Sprintf("%d,%d,%d", min(p.waiting, slots), max(p.waiting-slots, 0), slots)
}

// refuse answers a request that is not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// arrivalsIn returns the requests that arrived in a span, without those that were answered 421.
func (p *replica) arrivalsIn(from, to time.Duration) (found []arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.arrivals {
		if a.at >= from && a.at < to {
			found = append(found, a)
		}
	}
	return found
}
