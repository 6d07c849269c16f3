package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// noReplica stands for a replica's number where there is none.
const noReplica = -1

// discovery is the site's discovery service: an HTTP server whose answers wait for a change.
type discovery struct {
	site    *site
	server  *http.Server
	address string

	mu      sync.Mutex // guards the fields below
	version int
	changed chan struct{} // closed at the change
	drained int           // the replica that drains; noReplica: none
}

func startDiscovery(s *site) (*discovery, error) {
	d := &discovery{site: s, version: 1, changed: make(chan struct{}), drained: noReplica}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(listener) }() // returns when the server is closed
	return d, nil
}

// close ends the server and its connections. It may be called more than once.
func (d *discovery) close() {
	_ = d.server.Close() // the listener's error: it is closed either way
}

// drain lists a replica as draining. There is one such change in a run.
func (d *discovery) drain(replica int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drained, d.version = replica, d.version+1
	close(d.changed)
}

// serve answers a blocking query: with all replicas at index 0, and else with what has changed since, as soon as something has.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index")) // 0 if missing
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	d.mu.Lock()
	version := d.version
	d.mu.Unlock()
	if index == version {
		select {
		case <-d.changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drained != noReplica {
		d.site.drainSentAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	// A caller that has gone needs no answer.
	_, _ = fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[%s]}`, d.version, index == 0, strings.Join(d.entries(index), ","))
}

// entries are the replicas that a caller at an index has to be told of. The mutex must be held.
func (d *discovery) entries(index int) []string {
	var entries []string
	for id := range d.site.plan.Replicas {
		state := "ready"
		if id == d.drained {
			state = "draining"
		}
		if index == 0 || id == d.drained && index < d.version {
			entries = append(entries, fmt.Sprintf(`{"id":%q,"zone":%q,"kind":"m","state":%q,"weight":1.0,"started_ms":0}`,
				replicaName(id), zoneName(id%d.site.plan.Zones), state))
		}
	}
	return entries
}
