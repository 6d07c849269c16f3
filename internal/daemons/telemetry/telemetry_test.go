package telemetry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
)

// TestMetricsAreServedDespiteSilentClients guards against clients that block the metrics, or exhaust file descriptors, by holding
// connections without sending requests.
func TestMetricsAreServedDespiteSilentClients(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	port := netip.MustParseAddrPort(address).Port()
	set := NewMetrics()
	conns := connlimit.New("figures", connlimit.MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	set.RegisterMetricsWriter(conns.WriteMetrics)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if err := Serve(ctx, netip.MustParseAddr("127.0.0.1"), nodesettings.MetricsEndpoint{Port: port, Path: "/metrics"}, Source{Metrics: set, Connections: conns}); err != nil {
		t.Fatal(err)
	}
	for range 4 * connlimit.MinLimit {
		silent, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = silent.Close() }() // the server may have closed it
	}
	client := &http.Client{Timeout: time.Second}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/metrics", address), nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatalf("the metrics were not served: %v", err)
	}
	defer func() { _ = response.Body.Close() }() // ReadAll reports read errors
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`zincloft_connections_limit{listener="figures"} 8`, `zincloft_connections_reclaimed_total{listener="figures",rule="never_used"}`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	if conns.OpenCount() > connlimit.MinLimit {
		t.Error(conns.OpenCount(), "connections are open")
	}
}
