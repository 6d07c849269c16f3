// Package demo runs a small gateway in one process on loopback: one comb, two foragers and stand-in replicas.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/controlserver"
	"zincloft.example/zincloft/internal/gateway"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/standin/hostile"
	"zincloft.example/zincloft/internal/standin/upstream"
)

const settings = `
self_settings: {node_name: %q, role: demo, zone: here, region: here, ip_address: 127.0.0.1, first_start: true, data_directory: %q,
  limits: {cpu_share: 16, memory_mb: 256, file_descriptors: 1024, link_mbps: 1000}}
network_settings:
  listen_addresses: {front: %q, readiness: %q, control: %q}
  internal_port_range: [%d, %d]
  seed_nodes: [%q]
  zones: {here: here}
platform_settings: {heartbeat_interval: 500ms}
rule_terms: {bounds: {grace_period: 1s}}
`

const configuration = `{"version":"00000001","services":[{"name":"hello","health_check_path":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"virtual_hosts":[{"hostname":"localhost","path_routes":[{"name":"hello","path_prefix":"/","kind":"safe","timeout":"5s","target_latency":"500ms","max_attempts":2,"service":"hello"}]},
{"hostname":"127.0.0.1","path_routes":[{"name":"order-ip","path_prefix":"/orders/","kind":"unsafe","timeout":"5s","target_latency":"500ms","max_attempts":2,"service":"hello"},{"name":"hello-ip","path_prefix":"/","kind":"safe","timeout":"5s","target_latency":"500ms","max_attempts":2,"service":"hello"}]}]}`

// Cluster is a running demo.
type Cluster struct {
	FrontAddresses     []string // addresses that answer
	ReadinessAddresses []string // and where they say whether they want more
	ControlAddress     string
	Replicas           []*upstream.Replica
	done               chan error
	cancel             context.CancelFunc
	parts              int
}

func freePorts(n int) (ports []int, err error) {
	var held []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range held {
		l.Close()
	}
	return ports, nil
}

// FaultInjection makes the demo's replicas break off, cut, double and forge answers: at a rate of their requests, by seed.
type FaultInjection struct {
	Rate float64
	Seed uint64
}

// Start runs the demo; its logs go to w, its state under dir.
func Start(dir string, w io.Writer, replicas int) (*Cluster, error) {
	return StartWithFaults(dir, w, replicas, FaultInjection{})
}

// StartWithFaults runs it with replicas that do badly.
func StartWithFaults(dir string, w io.Writer, replicas int, h FaultInjection) (*Cluster, error) {
	p, err := freePorts(6)
	if err != nil {
		return nil, merry.Prepend(err, "looking for free ports")
	}
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	ctx, cancel := context.WithCancel(context.Background())
	g := &Cluster{ControlAddress: at(p[0]), done: make(chan error, 8), cancel: cancel}
	inner := min(p[1], 65530)
	run := func(r program.Runner, err error) error {
		if err != nil {
			return err
		}
		g.parts++
		go func() { g.done <- r.Run(ctx, make(chan os.Signal)) }()
		return nil
	}
	data := filepath.Join(dir, "comb")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return nil, merry.Prepend(err, "making the comb's folder")
	}
	set, err := nodesettings.Parse([]byte(fmt.Sprintf(settings, "comb-1", data, "", "", g.ControlAddress, inner, inner+4, g.ControlAddress)))
	if err == nil {
		var c *controlserver.Server
		c, err = controlserver.New(set, program.NewLogger(w, "comb"))
		err = run(c, err)
	}
	for i := 0; i < 2 && err == nil; i++ {
		front := at(p[2+2*i])
		set, err = nodesettings.Parse([]byte(fmt.Sprintf(settings, fmt.Sprintf("forager-%d", i+1), "", front, at(p[3+2*i]), "", inner, inner+4, g.ControlAddress)))
		if err == nil {
			var f *gateway.Gateway
			f, err = gateway.New(set, program.NewLogger(w, "forager"))
			err = run(f, err)
		}
		g.FrontAddresses, g.ReadinessAddresses = append(g.FrontAddresses, front), append(g.ReadinessAddresses, at(p[3+2*i]))
	}
	book := hostile.NewLedger()
	for i := 0; i < replicas && err == nil; i++ {
		var r *upstream.Replica
		if r, err = upstream.Start(fmt.Sprintf("i-demo-%d", i+1)); err == nil {
			if h.Rate > 0 {
				r.SetConnectionHandler(hostile.New(r.ID, h.Seed+uint64(i), h.Rate, book).Serve)
			}
			g.Replicas = append(g.Replicas, r)
			go g.beat(ctx, r)
		}
	}
	if err == nil {
		err = g.configure(ctx)
	}
	if err == nil {
		err = g.await()
	}
	if err != nil {
		g.Stop()
		return nil, err
	}
	return g, nil
}

func (g *Cluster) call(name, of string, body []byte) (int, error) {
	resp, err := http.Post("http://"+g.ControlAddress+"/api/rpc?call="+name+"&of="+of, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

func (g *Cluster) beat(ctx context.Context, r *upstream.Replica) {
	t := time.NewTicker(300 * time.Millisecond)
	defer t.Stop()
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{"service": "hello", "address": r.Addr(), "zone": "here", "version": "v1", "slots": 4, "state": "ready",
			"cold_remaining": "0ms", "sequence": seq})
		g.call("instances.heartbeat", r.ID, body)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

const patience = 20 * time.Second

// until tries something again until it holds.
func until(what string, f func() bool) error {
	for end := time.Now().Add(patience); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return merry.Errorf("%s: not within %v", what, patience)
		}
	}
	return nil
}

func (g *Cluster) configure(context.Context) error {
	return until("giving the configuration", func() bool {
		status, err := g.call("configuration.replace", "", []byte(configuration))
		return err == nil && status == http.StatusOK
	})
}

func (g *Cluster) await() error {
	for _, front := range g.FrontAddresses {
		err := until("an answer at "+front, func() bool {
			q, _ := http.NewRequest(http.MethodGet, "http://"+front+"/", nil)
			q.Header.Set("X-Attempt-Id", "demo")
			resp, err := http.DefaultClient.Do(q)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			io.Copy(io.Discard, resp.Body)
			return resp.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Stop ends it.
func (g *Cluster) Stop() error {
	g.cancel()
	var first error
	for range g.parts {
		if err := <-g.done; err != nil && first == nil {
			first = err
		}
	}
	for _, r := range g.Replicas {
		r.Close()
	}
	return first
}
