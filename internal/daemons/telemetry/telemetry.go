// Package telemetry serves a daemon's own figures in the text exposition format of Prometheus, and what it keeps to explain failed
// requests, on a port of its own.
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
	"runtime/metrics"
	"time"

	figures "github.com/VictoriaMetrics/metrics"
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

// FailuresPath is where the newest failures are served as JSON, beside the figures.
const FailuresPath = "/failures"

// Source is what a daemon has to tell.
type Source struct {
	Metrics     *figures.Set
	Connections *connlimit.Limiter // bounds those of the readers
	Failures    func() any         // the newest failures, to be encoded as JSON; nil: none are kept
}

// NewMetrics makes a set of figures that begins with those of every process: goroutines, heap, and violations of invariants.
func NewMetrics() *figures.Set {
	set := figures.NewSet()
	set.NewGauge("zincloft_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	set.NewGauge("zincloft_heap_bytes", heapBytes)
	set.RegisterMetricsWriter(writeViolations)
	return set
}

// BoolGauge is 1 for a condition that holds, else 0.
func BoolGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func heapBytes() float64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

func writeViolations(w io.Writer) {
	for name := range invariant.Statements {
		label := `zincloft_invariant_violations_total{name="` + invariant.Name(name).String() + `"}`
		figures.WriteCounterUint64(w, label, invariant.Count(invariant.Name(name)))
	}
}

// Serve serves the source at the endpoint of an address until ctx ends. It returns once the port is open; an error says why it
// could not be opened.
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
	context.AfterFunc(ctx, func() { _ = server.Close() }) // who reads figures of a process that ends gets a part of them
	go func() {
		if err := server.Serve(source.Connections.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close() // figures are no reason to end the daemon
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
	if s.Failures != nil {
		router.Get(FailuresPath, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(s.Failures()) // fails only where the caller has left
		})
	}
	return router
}
