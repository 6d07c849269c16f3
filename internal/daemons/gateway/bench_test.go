package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

// plainProxy returns a minimal net/http proxy as the baseline of BenchmarkForward.
func plainProxy(upstreamAddr string) http.Handler {
	client := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+upstreamAddr+r.RequestURI, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		q.Header, q.Host, q.ContentLength = r.Header, r.Host, r.ContentLength
		resp, err := client.RoundTrip(q)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer closeQuietly(resp.Body)
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body) // the client of the benchmark reports a truncated response
	})
}

// BenchmarkForward compares a request through the gateway with one through a plain proxy and one sent directly to the
// replica. With -cpu 1 the reported time is CPU time.
func BenchmarkForward(b *testing.B) {
	up, err := upstream.Start("i0")
	if err != nil {
		b.Fatal(err)
	}
	defer up.Close()
	set, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		b.Fatal(err)
	}
	f, err := New(set, program.NewLogger(io.Discard, "gateway"))
	if err != nil {
		b.Fatal(err)
	}
	f.frontServerOnce.Do(func() {})
	update := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: testConfig(1, "safe"),
		Instances: []fleet.Instance{{ID: up.ID, Service: "svc", Addr: up.Addr(), Zone: "a", Slots: 4}}}
	for _, x := range []struct {
		name string
		h    http.Handler
	}{{"gateway", http.HandlerFunc(f.handleRequest)}, {"plain", plainProxy(up.Addr())}, {"direct", nil}} {
		b.Run(x.name, func(b *testing.B) {
			f.applyUpdate(update) // without updates for two seconds the gateway limits its traffic
			ln := listen(b)
			srv := &http.Server{Handler: x.h}
			if x.name == "gateway" { // with the listener and connection hooks of startFrontServer
				srv.ConnContext, srv.ConnState = withClientConn, onConnState
				f.frontConns.Attach(srv)
				go func() { _ = srv.Serve(clientListener{f.frontConns.Listen(ln), f}) }() // ends with srv.Close
			} else {
				go func() { _ = srv.Serve(ln) }() // ends with srv.Close
			}
			defer closeQuietly(srv)
			url := "http://" + ln.Addr().String() + "/x/1"
			if x.h == nil {
				url = "http://" + up.Addr() + "/x/1"
			}
			for i := range b.N {
				q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil) // a background context has no cost per request
				if err != nil {
					b.Fatal(err)
				}
				q.Host = "h.example"
				q.Header.Set("X-Attempt-Id", fmt.Sprint(x.name, b.N, i))
				resp, err := http.DefaultClient.Do(q)
				if err != nil {
					b.Fatal(err)
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close() // Copy reports read errors
				if err != nil {
					b.Fatal(err)
				}
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
