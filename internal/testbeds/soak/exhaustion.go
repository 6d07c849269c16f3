package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// hoardedConnections are more than a daemon has descriptors.
	hoardedConnections = maxDescriptors + 100

	// dripInterval is the time between two bytes of a caller that sends one by one.
	dripInterval = 200 * time.Millisecond
)

// manner is how a caller holds a connection until ctx ends or the daemon closes it.
type manner func(ctx context.Context, conn net.Conn, host string)

// manners are what Fault.HoldMode numbers.
var manners = []manner{holdSilently, holdHalfHead, dripHead, dripBody, restAfterResponse, leaveResponseUnread}

// hoard opens connections to an address and holds them until ctx ends. Each that is closed is opened again.
func hoard(ctx context.Context, address string, choice int) {
	hold := manners[choice%len(manners)]
	var conns sync.WaitGroup
	for range hoardedConnections {
		conns.Go(func() {
			for ctx.Err() == nil {
				holdOne(ctx, address, hold)
			}
		})
	}
	conns.Wait()
}

// holdOne holds one connection until it is closed or ctx ends.
func holdOne(ctx context.Context, address string, hold manner) {
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		time.Sleep(requestPause)
		return
	}
	defer func() { _ = conn.Close() }() // it is given up
	release := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer release()
	hold(ctx, conn, address)
}

// holdSilently reads until the connection ends, whichever way.
func holdSilently(_ context.Context, conn net.Conn, _ string) { _, _ = conn.Read(make([]byte, 1)) }

func holdHalfHead(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "POST /hoard HTTP/1.1\r\nHost: %s\r\nX-Half", host) // the daemon may have closed it
	holdSilently(ctx, conn, host)
}

func dripHead(ctx context.Context, conn net.Conn, host string) {
	drip(ctx, conn, "GET /hoard HTTP/1.1\r\nHost: "+host+"\r\nX-Padding: 0123456789\r\n")
}

// dripBody sends a head at once and its body byte by byte. No route has the path, and no control call the name: nothing is executed.
func dripBody(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "POST /hoard HTTP/1.1\r\nHost: %s\r\nContent-Length: 1000\r\n\r\n", host) // as above
	drip(ctx, conn, "0123456789")
}

func drip(ctx context.Context, conn net.Conn, text string) {
	for i := range text {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(dripInterval):
		}
	}
	holdSilently(ctx, conn, "")
}

// restAfterResponse has a proper request answered and keeps the connection, as ordinary clients do.
func restAfterResponse(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "GET /hoard HTTP/1.1\r\nHost: %s\r\n\r\n", host) // as above
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // a body that ends early changes nothing
	_ = response.Body.Close()
	holdSilently(ctx, conn, host)
}

func leaveResponseUnread(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "GET /metrics HTTP/1.1\r\nHost: %s\r\n\r\n", host) // as above
	<-ctx.Done()
}
