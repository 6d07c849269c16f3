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

// testConfiguration has one service.
const testConfiguration = `{"version":"00000001","services":[{"name":"svc","max_connections":100,"cold_per_s":4}],"limits":{"max_body_bytes":100},
"virtual_hosts":[{"hostname":"127.0.0.1","path_routes":[{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

// gatewayTraffic is what a gateway sent to a member.
type gatewayTraffic struct {
	counts   map[string]Count // by kind
	requests int              // that its reports tell of
}

// actAsMember is a member that accepts one gateway, sends it a full state and then empty updates. It returns what the gateway sent
// until it had sent so many reports.
func actAsMember(t *testing.T, listener net.Listener, instances []registry.Instance, reports int) gatewayTraffic {
	t.Helper()
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	stream, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := peertransport.NewConn(stream)
	defer conn.Shutdown()
	go sendEmptyUpdates(t, conn)
	counts, traffic := &TrafficCounts{}, gatewayTraffic{}
	for received := 0; received < reports; {
		if err := stream.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		frame, err := peertransport.ReadFrame(stream)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := peertransport.EncodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		counts.add(MessageKind(frame), len(encoded))
		if frame.Hello != nil {
			sendUpdate(t, conn, messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: []byte(testConfiguration), Instances: instances, GatewayCount: 1,
				Members: []membership.Member{{ID: "c/0", Addr: listener.Addr().String(), Zone: "a", APIAddr: "127.0.0.1:1"}}})
		}
		if MessageKind(frame) == kindReport {
			received++
			traffic.requests += frame.LoadReport.Requests["svc"]
		}
	}
	traffic.counts = counts.Snapshot()
	return traffic
}

func sendUpdate(t *testing.T, conn *peertransport.Conn, update messages.StateUpdate) {
	encoded, err := peertransport.EncodeFrame(&peertransport.Frame{StateUpdate: &update})
	if err != nil {
		t.Error(err)
		return
	}
	conn.Send(encoded)
}

// sendEmptyUpdates shows that the member lives.
func sendEmptyUpdates(t *testing.T, conn *peertransport.Conn) {
	ticker := time.NewTicker(200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			sendUpdate(t, conn, messages.StateUpdate{})
		case <-conn.Done():
			return
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // some are closed before
	return listener
}

// freeAddress is one that nobody listened at a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startReplicas starts stand-ins of replicas of one zone.
func startReplicas(t *testing.T, count int) []registry.Instance {
	t.Helper()
	var instances []registry.Instance
	for i := range count {
		replica, err := upstream.Start(fmt.Sprintf("i-%08x", i))
		if err != nil {
			t.Fatal(err)
		}
		replica.ServiceTime = 70 * time.Millisecond
		t.Cleanup(replica.Close)
		instances = append(instances, registry.Instance{ID: replica.ID, Service: "svc", Addr: replica.Addr(), Zone: "a", Slots: 4, Sequence: 1})
	}
	return instances
}

// realGatewayTraffic runs a real gateway under requests.
func realGatewayTraffic(t *testing.T, instances []registry.Instance, reports int) gatewayTraffic {
	t.Helper()
	listener, front, readiness := listen(t), freeAddress(t), freeAddress(t)
	port := listener.Addr().(*net.TCPAddr).Port
	settings, err := nodesettings.Parse(fmt.Appendf(nil, `
self_settings: {node_name: edge-a-1, zone: a, ip_address: 127.0.0.1, limits: {memory_mb: 64}}
network_settings: {listen_addresses: {front: %q, readiness: %q}, internal_port_range: [%d, %d], seed_nodes: [%q], zones: {a: r}}
rule_terms: {bounds: {grace_period: 600ms}}
`, front, readiness, port, min(port, 65500)+8, listener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	real, err := gateway.New(settings, program.NewLogger(io.Discard, "gateway"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- real.Run(ctx, make(chan os.Signal)) }()
	var attempts atomic.Int64
	for range 3 {
		go sendRequests(ctx, "http://"+front+"/x", &attempts)
	}
	traffic := actAsMember(t, listener, instances, reports)
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	return traffic
}

// sendRequests sends one request after the other until ctx ends. Their outcome does not matter.
func sendRequests(ctx context.Context, url string, attempts *atomic.Int64) {
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		request.Header.Set("X-Attempt-Id", fmt.Sprint(attempts.Add(1)))
		_, _, _ = send(request)
	}
}

// The experiment's figures hold only while a synthetic gateway sends what a real one sends: the same count, and bytes within 5%, of
// each kind. The real one carries requests here; the synthetic one reports as many.
func TestSyntheticGatewaySendsWhatARealOneSends(t *testing.T) {
	const reports = 3
	instances := startReplicas(t, 4)
	real := realGatewayTraffic(t, instances, reports)
	if real.requests < reports*20 {
		t.Fatalf("the real gateway carried %d requests, too few to compare", real.requests)
	}

	listener := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	n := 0
	gateway := &SyntheticGateway{
		Name:      "edge-a-1",
		Zone:      "a",
		IP:        netip.MustParseAddr("127.0.0.1"),
		Seeds:     []string{listener.Addr().String()},
		Load:      RequestLoad{PerSecond: float64(real.requests) / reports, Random: func() float64 { n++; return float64(n%8)/8 + 0.01 }},
		Received:  &TrafficCounts{},
		Sent:      &TrafficCounts{},
		instances: &sharedInstances{},
	}
	gateway.initialize(1)
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run(ctx, 0) }()
	synthetic := actAsMember(t, listener, instances, reports)
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}

	for kind := range synthetic.counts {
		if _, ok := real.counts[kind]; !ok {
			t.Errorf("only the synthetic gateway sends %q", kind)
		}
	}
	for kind, want := range real.counts {
		got := synthetic.counts[kind]
		t.Logf("%-7s real %+v, synthetic %+v", kind, want, got)
		if got.Messages != want.Messages || math.Abs(float64(got.Bytes-want.Bytes)) > 0.05*float64(want.Bytes) {
			t.Errorf("%q: real %+v, synthetic %+v", kind, want, got)
		}
	}
	received := gateway.Received.Snapshot()
	if received["configuration"].Messages != 1 || received["full instances"].Messages != 1 || received["state"].Messages < 2 {
		t.Errorf("received %+v", received)
	}
	if _, ok := gateway.VersionArrival(1); !ok {
		t.Error("the version was not seen")
	}
}
