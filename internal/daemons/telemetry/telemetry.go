// Package telemetry serves a daemon's metrics in the Prometheus text exposition format, and its records of failed and slow requests, on a
// separate port.
package telemetry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	runtimemetrics "runtime/metrics"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/go-chi/chi/v5"

	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/invariant"
)

const (
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 8 << 10

	heapMetric = "/memory/classes/heap/objects:bytes"
)

// Paths at which records of requests are served as JSON.
const (
	FailuresPath     = "/failures" // the newest failed requests
	SlowRequestsPath = "/slow"     // the newest requests that were answered after their latency target
)

// Source is the data served for a daemon.
type Source struct {
	Metrics     *metrics.Set
	Connections *connlimit.Limiter // limits the connections of clients

	// Records maps paths to functions that return the newest records of requests, to be encoded as JSON. It may be nil.
	Records map[string]func() any
}

// NewMetrics creates a set with the metrics common to all daemons: goroutines, heap and invariant violations.
func NewMetrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("zincloft_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	set.NewGauge("zincloft_heap_bytes", heapBytes)
	set.RegisterMetricsWriter(writeViolations)
	return set
}

// BoolGauge returns 1 for true and 0 for false.
func BoolGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func heapBytes() float64 {
	sample := []runtimemetrics.Sample{{Name: heapMetric}}
	runtimemetrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

func writeViolations(w io.Writer) {
	for name := range invariant.Statements {
		label := `zincloft_invariant_violations_total{name="` + invariant.Name(name).String() + `"}`
		metrics.WriteCounterUint64(w, label, invariant.Count(invariant.Name(name)))
	}
}

// Serve serves source at an endpoint in the background until ctx is done. It returns an error if the port cannot be opened.
func Serve(ctx context.Context, ip netip.Addr, endpoint nodesettings.MetricsEndpoint, source Source) error {
	if endpoint.IsDisabled() {
		return nil
	}
	address := netip.AddrPortFrom(ip, endpoint.Port).String()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return merry.Prepend(err, "listening for metrics")
	}
	server := &http.Server{Handler: source.handler(endpoint.Path), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	source.Connections.Attach(server)
	context.AfterFunc(ctx, func() { _ = server.Close() }) // responses in progress are truncated
	go func() {
		if err := server.Serve(source.Connections.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close() // the daemon keeps running without metrics
		}
	}()
	return nil
}

func (s Source) handler(path string) http.Handler {
	router := chi.NewRouter()
	router.Get(path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		s.Metrics.WritePrometheus(w)
	})
	for recordsPath, newest := range s.Records {
		router.Get(recordsPath, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(newest()) // fails only if the client has disconnected
		})
	}
	return router
}
