package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a graceful shutdown that waits for connections on which no request was sent.
func TestUnusedConnectionsDoNotDelayShutdown(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, _ := startGateway(t, `"idle_timeout":"30s"`, up)
	unused := dial(t, addr)
	defer closeQuietly(unused)
	if got := fmt.Sprint(sendRaw(t, addr, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")); got != "[200]" {
		t.Fatal(got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := f.shutdownServer(ctx); err != nil {
		t.Error(err)
	}
	readWithin(t, unused, time.Second)
	if _, err := unused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Error("unused connection:", err)
	}
	if !waitUntil(func() bool { return f.frontConns.OpenCount() == 0 }) {
		t.Error("closed connections are still counted as open")
	}
}

// Guards against connections that do not become idle after a request that arrived in one read: they would delay shutdown and
// never reach the idle timeout.
func TestAnsweredConnectionsAreIdle(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		up := startReplica(t, "i0")
		addr, f, _ := startGateway(t, `"idle_timeout":"30s"`, up)
		c := dial(t, addr)
		defer closeQuietly(c)
		br := bufio.NewReader(c)
		readWithin(t, c, 5*time.Second)
		for i := range 3 {
			send(t, c, "%s /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\nContent-Length: 2\r\n\r\nab", method, i)
			if status, _, err := readResponse(br); err != nil || status != http.StatusOK {
				t.Fatal(status, err)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := f.shutdownServer(ctx); err != nil {
			t.Error(method, err)
		}
		if _, err := br.Peek(1); !errors.Is(err, io.EOF) {
			t.Error(method, err)
		}
	}
}
