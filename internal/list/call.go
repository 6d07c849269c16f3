package list

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"time"
)

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// caller makes calls to discovery at one address through a reverse proxy that is run in-process: the transport
// below is all that touches the network, and a caller never sees half an answer.
type caller struct {
	proxy *httputil.ReverseProxy
	trips *trips
	ctx   context.Context // ends when another address has taken this one's place
	end   context.CancelFunc
}

func newCaller(ctx context.Context, address string, most int64, dial dialer) *caller {
	ctx, end := context.WithCancel(ctx)
	t := &trips{most: most, base: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
	}}
	context.AfterFunc(ctx, t.base.CloseIdleConnections)
	return &caller{trips: t, ctx: ctx, end: end, proxy: &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host, r.Out.Host = "http", address, address
		},
		Transport:    t,
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) { w.(*reply).err = err },
	}}
}

// get returns the body of an answer that came whole and well within the time.
func (c *caller) get(ctx context.Context, target string, within time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	w := &reply{header: http.Header{}}
	c.proxy.ServeHTTP(w, req)
	if w.err == nil && w.status != http.StatusOK {
		w.err = fmt.Errorf("discovery answered %d", w.status)
	}
	if w.err != nil {
		c.trips.base.CloseIdleConnections() // the next call goes by a fresh connection
		return nil, w.err
	}
	return w.body.Bytes(), nil
}

// trips is a round tripper that returns answers whole or not at all. It guards against bodies that are cut,
// too long or that never end.
type trips struct {
	base *http.Transport
	most int64
}

func (t *trips) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, t.most+1))
	if err != nil {
		return nil, fmt.Errorf("the answer is cut: %w", err)
	}
	if int64(len(body)) > t.most {
		return nil, errors.New("the answer is too long")
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, nil
}

// reply takes what the reverse proxy answers.
type reply struct {
	header http.Header
	status int
	body   bytes.Buffer
	err    error
}

func (w *reply) Header() http.Header         { return w.header }
func (w *reply) WriteHeader(status int)      { w.status = status }
func (w *reply) Write(b []byte) (int, error) { return w.body.Write(b) }
