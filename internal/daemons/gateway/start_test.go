package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
)

const isolatedGatewaySettings = `
self_settings: {node_name: f1, zone: a, ip_address: 127.0.0.1, limits: {memory_mb: 64}}
network_settings: {listen_addresses: {front: %q, readiness: %q}, internal_port_range: [%d, %d], seed_nodes: ["127.0.0.1:3"], zones: {a: r}}
rule_terms: {bounds: {grace_period: 100ms}}
`

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress(t *testing.T) *net.TCPAddr {
	t.Helper()
	listener := listen(t)
	defer closeQuietly(listener)
	return listener.Addr().(*net.TCPAddr)
}

// TestGatewayWithoutConfigurationRejects guards against a gateway that leaves connections unread while it cannot reach the
// control plane: clients must get a 503 within a second.
func TestGatewayWithoutConfigurationRejects(t *testing.T) {
	front, internal := freeAddress(t).String(), min(freeAddress(t).Port, 65000)
	parsed, err := nodesettings.Parse(fmt.Appendf(nil, isolatedGatewaySettings, front, freeAddress(t).String(), internal, internal+9))
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := New(parsed, program.NewLogger(io.Discard, "gateway"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- gateway.Run(ctx, make(chan os.Signal)) }()
	var conn net.Conn
	if !waitUntil(func() bool {
		conn, err = new(net.Dialer).DialContext(ctx, "tcp", front)
		return err == nil
	}) {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	send(t, conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nContent-Length: 2\r\n\r\nab")
	readWithin(t, conn, time.Second)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer closeQuietly(response.Body)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
