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
	// exhaustionConnections are more than a daemon has descriptors.
	exhaustionConnections = maxDescriptors + 100

	// slowSendInterval is the time between two bytes of a caller that sends one by one.
	slowSendInterval = 200 * time.Millisecond
)

// manner is how a caller holds a connection until ctx ends or the daemon closes it.
type holdMode func(ctx context.Context, conn net.Conn, host string)

// holdModes are what Fault.HoldMode numbers.
var holdModes = []holdMode{holdIdle, holdPartialHead, sendHeadSlowly, sendBodySlowly, holdKeepAlive, holdUnreadResponse}

// exhaustConnections opens connections to an address and holds them until ctx ends. Each that is closed is opened again.
func exhaustConnections(ctx context.Context, address string, choice int) {
	hold := holdModes[choice%len(holdModes)]
	var conns sync.WaitGroup
	for range exhaustionConnections {
		conns.Go(func() {
			for ctx.Err() == nil {
				holdConnection(ctx, address, hold)
			}
		})
	}
	conns.Wait()
}

// holdConnection holds one connection until it is closed or ctx ends.
func holdConnection(ctx context.Context, address string, hold holdMode) {
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

// holdIdle reads until the connection ends, whichever way.
func holdIdle(_ context.Context, conn net.Conn, _ string) { _, _ = conn.Read(make([]byte, 1)) }

func holdPartialHead(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "POST /hoard HTTP/1.1\r\nHost: %s\r\nX-Half", host) // the daemon may have closed it
	holdIdle(ctx, conn, host)
}

func sendHeadSlowly(ctx context.Context, conn net.Conn, host string) {
	sendSlowly(ctx, conn, "GET /hoard HTTP/1.1\r\nHost: "+host+"\r\nX-Padding: 0123456789\r\n")
}

// sendBodySlowly sends a head at once and its body byte by byte. No route has the path, and no control call the name: nothing is executed.
func sendBodySlowly(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "POST /hoard HTTP/1.1\r\nHost: %s\r\nContent-Length: 1000\r\n\r\n", host) // as above
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

// holdKeepAlive has a proper request answered and keeps the connection, as ordinary clients do.
func holdKeepAlive(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "GET /hoard HTTP/1.1\r\nHost: %s\r\n\r\n", host) // as above
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // a body that ends early changes nothing
	_ = response.Body.Close()
	holdIdle(ctx, conn, host)
}

func holdUnreadResponse(ctx context.Context, conn net.Conn, host string) {
	_, _ = fmt.Fprintf(conn, "GET /metrics HTTP/1.1\r\nHost: %s\r\n\r\n", host) // as above
	<-ctx.Done()
}
