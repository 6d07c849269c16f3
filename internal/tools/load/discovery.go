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

// noReplica is the number used where there is no replica.
const noReplica = -1

// discovery is the site's discovery service, an HTTP server with long polling.
type discovery struct {
	site    *site
	server  *http.Server
	address string

	mu      sync.Mutex // guards the fields below
	version int
	changed chan struct{} // closed when the replicas change
	drained int           // the draining replica or noReplica
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
	go func() { _ = d.server.Serve(listener) }() // returns an error when the server is closed
	return d, nil
}

// close stops the server and closes its connections. It may be called more than once.
func (d *discovery) close() {
	_ = d.server.Close() // the listener is closed even if this fails
}

// drain marks a replica as draining. It may be called once per run.
func (d *discovery) drain(replica int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drained, d.version = replica, d.version+1
	close(d.changed)
}

// serve handles a long poll. It returns all replicas at index 0, and otherwise the changes since the index once there are any.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("index")) // 0 if missing or invalid
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
	// A write fails only if the client has disconnected.
	_, _ = fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[%s]}`, d.version, index == 0, strings.Join(d.entries(index), ","))
}

// entries returns the replicas that changed since the index, or all replicas at index 0. The caller must hold d.mu.
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
