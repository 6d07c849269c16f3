package discoveryclient

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

// maxHeaderBytes limits the headers of an answer.
const maxHeaderBytes = 64 << 10

var errAnswerTooLong = errors.New("the answer exceeds the size limit")

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// endpoint makes requests to discovery at one address through an in-process reverse proxy. All network access goes through
// completeTransport, so that callers never see a partial answer.
type endpoint struct {
	proxy     *httputil.ReverseProxy
	transport *completeTransport
	ctx       context.Context // canceled when the address changes
	close     context.CancelFunc
}

func newEndpoint(ctx context.Context, address string, maxBytes int64, dial dialFunc) *endpoint {
	ctx, cancel := context.WithCancel(ctx)
	t := &completeTransport{maxBytes: maxBytes, base: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
	context.AfterFunc(ctx, t.base.CloseIdleConnections)
	return &endpoint{transport: t, ctx: ctx, close: cancel, proxy: &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host, r.Out.Host = "http", address, address
		},
		Transport:    t,
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) { w.(*bufferedReply).err = err },
	}}
}

// get returns the body of an answer that has status 200 and arrives completely within timeout.
func (e *endpoint) get(ctx context.Context, target string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	w := &bufferedReply{header: http.Header{}}
	e.proxy.ServeHTTP(w, req)
	if w.err == nil && w.status != http.StatusOK {
		w.err = fmt.Errorf("discovery answered %d", w.status)
	}
	if w.err != nil {
		e.transport.base.CloseIdleConnections() // so that the next request uses a new connection
		return nil, w.err
	}
	return w.body.Bytes(), nil
}

// completeTransport is a round tripper that returns only complete answers. It rejects bodies that are truncated or longer than
// maxBytes.
type completeTransport struct {
	base     *http.Transport
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *completeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }() // nothing more is read
	body, err := io.ReadAll(io.LimitReader(res.Body, t.maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	if int64(len(body)) > t.maxBytes {
		return nil, errAnswerTooLong
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res, nil
}

// bufferedReply is the http.ResponseWriter that collects the answer from the reverse proxy.
type bufferedReply struct {
	header http.Header
	status int
	body   bytes.Buffer
	err    error
}

func (w *bufferedReply) Header() http.Header         { return w.header }
func (w *bufferedReply) WriteHeader(status int)      { w.status = status }
func (w *bufferedReply) Write(b []byte) (int, error) { return w.body.Write(b) }
