package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/standin/upstream"
	"zincloft.example/zincloft/messages"
)

// plain is a forwarder on net/http alone, to measure against.
func plain(to string) http.Handler {
	client := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+to+r.RequestURI, r.Body)
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
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	})
}

// BenchmarkForward compares the time of a request through a forager with that through a plain forwarder, beside the
// replica's and the client's own, which "direct" shows. Run it with -cpu 1: then the time is processor time.
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
	f, err := New(set, program.NewLogger(io.Discard, "forager"))
	if err != nil {
		b.Fatal(err)
	}
	f.frontOnce.Do(func() {})
	f.applyUpdate(&messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: configured(1, "safe"),
		Instances: []registry.Instance{{ID: up.ID, Service: "svc", Addr: up.Addr(), Zone: "a", Slots: 4}}})
	for _, x := range []struct {
		name string
		h    http.Handler
	}{{"forager", http.HandlerFunc(f.handleRequest)}, {"plain", plain(up.Addr())}, {"direct", nil}} {
		b.Run(x.name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			srv := &http.Server{Handler: x.h}
			if x.name == "forager" { // as in service: with what watches its clients' bytes
				srv.ConnContext = withClientConn
				go srv.Serve(clientListener{ln, f})
			} else {
				go srv.Serve(ln)
			}
			defer srv.Close()
			url := "http://" + ln.Addr().String() + "/x/1"
			if x.h == nil {
				url = "http://" + up.Addr() + "/x/1"
			}
			for i := range b.N {
				q, _ := http.NewRequest(http.MethodGet, url, nil)
				q.Host = "h.example"
				q.Header.Set("X-Attempt-Id", fmt.Sprint(x.name, b.N, i))
				resp, err := http.DefaultClient.Do(q)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
