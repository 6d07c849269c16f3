package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxKey is the greatest shard key.
const maxKey = 65535

// span of keys that a replica holds.
type span struct {
	fence     uint64
	held      bool
	until     time.Time
	since     time.Time
	slowUntil time.Time
}

// run of a request at a replica.
type run struct {
	id, replica string
	key         int
	begin       time.Time
}

// replica is a stand-in of a server as PROTOCOL.md describes it.
type replica struct {
	cluster             *cluster
	id, service, zone   string
	address             string
	slots               int
	work                func(id string) time.Duration
	advertise           string // address that it states; its own if empty
	bodyBytes           int
	onRun               func(id string, body []byte, header http.Header)
	listener            net.Listener
	slotTokens          chan struct{}
	mu                  sync.Mutex
	conns               map[net.Conn]bool
	state               string
	sequence            int
	coldUntil           time.Time
	stopped             bool
	keys                []span // by key, if it is sharded
	next                int
	target              string
	runs                []run
	begun               map[string]int
	stopBeats           chan struct{}
	acknowledgedBeats   int
	closeAfterResponses bool
}

// newReplica starts a replica that serves, without heartbeats.
func newReplica(c *cluster, id, service, zone, address string, slots int, work func(string) time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{cluster: c, id: id, service: service, zone: zone, address: address, slots: slots, work: work, listener: listener, bodyBytes: 200,
		slotTokens: make(chan struct{}, slots), conns: map[net.Conn]bool{}, state: "ready", begun: map[string]int{}, stopBeats: make(chan struct{})}
	go r.accept()
	return r, nil
}

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

// close ends the replica as a crash does.
func (r *replica) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	if !r.stopped {
		r.stopped = true
		close(r.stopBeats)
	}
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	r.cluster.record.line("replica %s ends", r.id)
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		arrival := time.Now()
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !r.respond(conn, request, body, arrival) {
			return
		}
	}
}

func (r *replica) write(conn net.Conn, status int, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
	return err == nil
}

func (r *replica) respond(conn net.Conn, request *http.Request, body []byte, arrival time.Time) bool {
	id := request.Header.Get("X-Attempt-Id")
	echo := ""
	if id != "" {
		echo = "X-Attempt-Id: " + id + "\r\n"
	}
	load := fmt.Sprintf("X-Instance-Load: %d,0,%d\r\n", len(r.slotTokens), r.slots)
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		r.cluster.record.line("replica %s: 421 for %s (%s)", r.id, target, request.URL.Path)
		return r.write(conn, 421, echo+"X-Not-Executed: 1\r\nX-Instance-Id: "+r.id+"\r\n", "")
	}
	switch request.URL.Path {
	case "/health":
		return r.write(conn, 200, "X-Instance-Id: "+r.id+"\r\n"+load, "")
	case "/api/grant", "/api/release":
		return r.ownership(conn, request.URL.Path, body, arrival)
	}
	if id == "" {
		return r.write(conn, 400, "X-Not-Executed: 1\r\n", "")
	}
	deadline := 10 * time.Second
	if ms, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	select {
	case r.slotTokens <- struct{}{}:
	case <-time.After(min(deadline, 300*time.Millisecond)):
		return r.write(conn, 503, echo+"X-Not-Executed: 1\r\n"+load, "")
	}
	defer func() { <-r.slotTokens }()
	key := -1
	if r.keys != nil {
		key, _ = strconv.Atoi(request.Header.Get("X-Shard-Key"))
		r.mu.Lock()
		held := r.keys[key].held && time.Now().Before(r.keys[key].until)
		r.mu.Unlock()
		if !held {
			return r.write(conn, 421, echo+"X-Not-Executed: 1\r\nX-Instance-Id: "+r.id+"\r\n"+load, "")
		}
	}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return false
	}
	r.begun[id]++
	r.runs = append(r.runs, run{id, r.id, key, time.Now()})
	r.mu.Unlock()
	r.cluster.record.line("replica %s (%s) runs %s key %d", r.id, r.service, id, key)
	if r.onRun != nil {
		r.onRun(id, body, request.Header)
	}
	time.Sleep(r.work(id))
	return r.write(conn, 200, echo+"X-Response-Seal: seal-"+id+"\r\n"+load, answerBody(id, r.bodyBytes))
}

// answerBody is the whole body of the answer to a request.
func answerBody(id string, size int) string {
	return (id + " " + strings.Repeat("x", max(size-len(id)-1, 0)))
}

// runCount returns how often the replica has begun to run a request.
func (r *replica) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id]
}

// ownership answers a grant or a release of keys.
func (r *replica) ownership(conn net.Conn, path string, body []byte, arrival time.Time) bool {
	var call struct {
		From  int    `json:"from_version"`
		To    int    `json:"target_version"`
		Fence uint64 `json:"fence"`
		Hold  string `json:"hold"`
	}
	if json.Unmarshal(body, &call) != nil || call.From < 0 || call.To > maxKey || r.keys == nil {
		return r.write(conn, 400, "", "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := 200
	if path == "/api/grant" {
		hold, err := time.ParseDuration(call.Hold)
		if err != nil || hold > 10*time.Second {
			return r.write(conn, 400, "", "")
		}
		for key := call.From; key <= call.To; key++ {
			if r.keys[key].fence > call.Fence {
				status = 409
			}
		}
		for key := call.From; key <= call.To && status == 200; key++ {
			s := &r.keys[key]
			if !s.held || time.Now().After(s.until) {
				s.since = arrival
			}
			s.held, s.fence, s.until = true, call.Fence, arrival.Add(hold)
		}
	} else {
		for key := call.From; key <= call.To; key++ {
			r.keys[key].held = false
			r.keys[key].fence = max(r.keys[key].fence, call.Fence)
		}
	}
	r.cluster.record.line("replica %s: %s %d-%d fence %d: %d", r.id, path, call.From, call.To, call.Fence, status)
	return r.write(conn, status, "X-Handover: h"+strconv.FormatUint(call.Fence, 10)+"\r\n", "")
}

// beat sends one heartbeat, or the end of the replica, at one member after the other until it is acknowledged.
func (r *replica) beat(call string, limit time.Duration) bool {
	r.mu.Lock()
	r.sequence++
	cold := max(time.Until(r.coldUntil).Milliseconds(), 0)
	address := r.address
	if r.advertise != "" {
		address = r.advertise
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining":"%dms","sequence":%d}`,
		r.service, address, r.zone, r.slots, r.state, cold, r.sequence)
	target := r.target
	r.mu.Unlock()
	if call == "instances.deregister" {
		body = ""
	}
	caller := &caller{cluster: r.cluster, name: r.id}
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if target == "" {
			target = r.cluster.members[r.next%len(r.cluster.members)].control()
		}
		status, answer := caller.callAt(target, "call="+call+"&of="+r.id, []byte(body), time.Second)
		if status >= 200 && status < 300 {
			var reply struct {
				Target string `json:"heartbeat_target"`
			}
			_ = json.Unmarshal(answer, &reply)
			r.mu.Lock()
			r.target = reply.Target
			if r.target == "" {
				r.target = target
			}
			r.acknowledgedBeats++
			r.mu.Unlock()
			if call != "instances.heartbeat" || r.state == "draining" {
				r.cluster.record.line("replica %s: %s (%s) acknowledged by %s", r.id, call, r.state, target)
			}
			return true
		}
		target = ""
		r.next++
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// sendBeats sends heartbeats until the replica ends.
func (r *replica) sendBeats() {
	for {
		r.beat("instances.heartbeat", 4*time.Second)
		select {
		case <-r.stopBeats:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}
