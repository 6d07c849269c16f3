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
	excessConnections = 100                    // more than a daemon can accept
	slowSendInterval  = 200 * time.Millisecond // between two bytes
)

// holdMode holds a connection open until ctx ends or the daemon closes it.
type holdMode func(ctx context.Context, conn net.Conn, host string)

// holdModes are indexed by Fault.HoldMode.
var holdModes = []holdMode{holdIdle, holdPartialHead, sendHeadSlowly, sendBodySlowly, holdKeepAlive, holdUnreadResponse}

// exhaustConnections holds more connections to an address than a daemon has descriptors until ctx ends and reopens those that are closed.
func (c *cluster) exhaustConnections(ctx context.Context, address string, mode int) {
	hold := holdModes[mode%len(holdModes)]
	var conns sync.WaitGroup
	for range c.options.Size.descriptors() + excessConnections {
		conns.Go(func() {
			for ctx.Err() == nil {
				holdConnection(ctx, address, hold)
			}
		})
	}
	conns.Wait()
}

// holdConnection opens one connection and holds it until it is closed or ctx ends.
func holdConnection(ctx context.Context, address string, hold holdMode) {
	dialer := net.Dialer{Timeout: clientDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		time.Sleep(requestPause)
		return
	}
	defer func() { _ = conn.Close() }() // the daemon may have closed it
	release := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer release()
	hold(ctx, conn, address)
}

// holdIdle sends nothing and waits until the connection ends.
func holdIdle(_ context.Context, conn net.Conn, _ string) { _, _ = conn.Read(make([]byte, 1)) }

func holdPartialHead(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "POST /hoard HTTP/1.1\r\nHost: %s\r\nX-Half", host) // the daemon may have closed it
	holdIdle(ctx, conn, host)
}

func sendHeadSlowly(ctx context.Context, conn net.Conn, host string) {
	sendSlowly(ctx, conn, "GET /hoard HTTP/1.1\r\nHost: "+host+"\r\nX-Padding: 0123456789\r\n")
}

// sendBodySlowly sends a head at once and its body byte by byte. The path matches no route and no control call, so nothing is
// executed.
func sendBodySlowly(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "POST /hoard HTTP/1.1\r\nHost: %s\r\nContent-Length: 1000\r\n\r\n", host) // the daemon may have closed it
	sendSlowly(ctx, conn, "0123456789")
}

func sendSlowly(ctx context.Context, conn net.Conn, text string) {
	for i := range text {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(slowSendInterval):
		}
	}
	holdIdle(ctx, conn, "")
}

// holdKeepAlive sends a valid request, reads the response and keeps the connection idle.
func holdKeepAlive(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "GET /hoard HTTP/1.1\r\nHost: %s\r\n\r\n", host) // the daemon may have closed it
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // a truncated body is fine
	_ = response.Body.Close()
	holdIdle(ctx, conn, host)
}

func holdUnreadResponse(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "GET /metrics HTTP/1.1\r\nHost: %s\r\n\r\n", host) // the daemon may have closed it
	<-ctx.Done()
}
