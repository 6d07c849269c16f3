package scalerun

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/gateway"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/standin/upstream"
	"zincloft.example/zincloft/messages"
)

const configured = `{"version":"00000001","services":[{"name":"svc","max_connections":100,"cold_per_s":4}],"limits":{"max_body_bytes":100},
"virtual_hosts":[{"hostname":"127.0.0.1","path_routes":[{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

// actAsMember is a comb that lets one forager in, tells it what it is to hold, and gives signs of life. It returns what the forager
// said, by kind, until it had sent so many reports, and the requests that those told of.
func actAsMember(t *testing.T, ln net.Listener, lives []registry.Instance, reports int) (map[string]Count, int) {
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := peertransport.NewConn(nc)
	defer c.Shutdown()
	send := func(st messages.StateUpdate) {
		b, err := peertransport.EncodeFrame(&peertransport.Frame{StateUpdate: &st})
		if err != nil {
			t.Fatal(err)
		}
		c.Send(b)
	}
	said, requests := &TrafficCounts{}, 0
	signs := time.NewTicker(200 * time.Millisecond)
	defer signs.Stop()
	go func() {
		for {
			select {
			case <-signs.C:
				send(messages.StateUpdate{})
			case <-c.Done():
				return
			}
		}
	}()
	for n := 0; n < reports; {
		nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		m, err := peertransport.ReadFrame(nc)
		if err != nil {
			t.Fatal(err)
		}
		b, err := peertransport.EncodeFrame(m)
		if err != nil {
			t.Fatal(err)
		}
		said.add(MessageKind(m), len(b))
		if m.Hello != nil {
			send(messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: []byte(configured), Instances: lives, GatewayCount: 1,
				Members: []membership.Member{{ID: "c/0", Addr: ln.Addr().String(), Zone: "a", APIAddr: "127.0.0.1:1"}}})
		}
		if MessageKind(m) == "report" {
			n++
			requests += m.LoadReport.Requests["svc"]
		}
	}
	return said.Snapshot(), requests
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// The scale run's figures hold only while a hollow forager says what a real one says: the same count, and bytes within 5%, of each
// kind. The real one carries requests here; the hollow one reports as many.
func TestHollowSaysWhatARealOneSays(t *testing.T) {
	const reports = 3
	var lives []registry.Instance
	for i := range 4 {
		up, err := upstream.Start(fmt.Sprintf("i-%08x", i))
		if err != nil {
			t.Fatal(err)
		}
		up.ServiceTime = 70 * time.Millisecond
		t.Cleanup(func() { up.Close() })
		lives = append(lives, registry.Instance{ID: up.ID, Service: "svc", Addr: up.Addr(), Zone: "a", Slots: 4, Sequence: 1})
	}

	ln, front, ready := listen(t), listen(t), listen(t)
	front.Close()
	ready.Close()
	port := ln.Addr().(*net.TCPAddr).Port
	last := min(port, 65500)
	set, err := nodesettings.Parse(fmt.Appendf(nil, `
self_settings: {node_name: edge-a-1, zone: a, ip_address: 127.0.0.1, limits: {memory_mb: 64}}
network_settings: {listen_addresses: {front: %q, readiness: %q}, internal_port_range: [%d, %d], seed_nodes: [%q], zones: {a: r}}
rule_terms: {bounds: {grace_period: 600ms}}
`, front.Addr(), ready.Addr(), port, last+8, ln.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	f, err := gateway.New(set, program.NewLogger(io.Discard, "forager"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx, make(chan os.Signal)) }()
	var ids atomic.Int64
	for range 3 {
		go func() {
			for ctx.Err() == nil {
				q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front.Addr().String()+"/x", nil)
				q.Header.Set("X-Attempt-Id", fmt.Sprint(ids.Add(1)))
				if resp, err := http.DefaultClient.Do(q); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
		}()
	}
	real, requests := actAsMember(t, ln, lives, reports)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if requests < reports*20 {
		t.Fatalf("the real forager carried %d requests, too few to compare", requests)
	}

	ln2 := listen(t)
	hctx, hstop := context.WithCancel(context.Background())
	n := 0
	h := &SyntheticGateway{Name: "edge-a-1", Zone: "a", IP: netip.MustParseAddr("127.0.0.1"), Seeds: []string{ln2.Addr().String()}, Received: &TrafficCounts{}, Sent: &TrafficCounts{}, instances: &sharedInstances{},
		Requests: RequestLoad{PerSecond: float64(requests) / reports, Chance: func() float64 { n++; return float64(n%8)/8 + 0.01 }}}
	h.initialize(1)
	done := make(chan error, 1)
	go func() { done <- h.Run(hctx, 0) }()
	hollow, _ := actAsMember(t, ln2, lives, reports)
	hstop()
	<-done

	for kind := range hollow {
		if _, ok := real[kind]; !ok {
			t.Errorf("only the hollow one says %q", kind)
		}
	}
	for kind, r := range real {
		h := hollow[kind]
		t.Logf("%-7s real %+v, hollow %+v", kind, r, h)
		if h.Messages != r.Messages || math.Abs(float64(h.Bytes-r.Bytes)) > 0.05*float64(r.Bytes) {
			t.Errorf("%q: real %+v, hollow %+v", kind, r, h)
		}
	}
	if in := h.Received.Snapshot(); in["configuration"].Messages != 1 || in["whole lives"].Messages != 1 || in["state"].Messages < 2 {
		t.Errorf("heard %+v", in)
	}
	if _, ok := h.VersionArrival(1); !ok {
		t.Error("the version was not seen")
	}
}
