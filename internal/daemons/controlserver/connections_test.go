package controlserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/messages"
)

// TestIdleCallersDoNotExhaustDescriptors guards against idle client connections that use up the file descriptors, so that accepting or opening
// files fails and the process exits. The client ends are in this process too, so its limit leaves room for them.
func TestIdleCallersDoNotExhaustDescriptors(t *testing.T) {
	const (
		memberDescriptors = 100 // configured limit
		callers           = 130
		replacements      = 20
	)
	server := newIdleServer(t)
	server.settings.FileDescriptors = memberDescriptors
	server.callerConns = connlimit.New("control", connlimit.Share(memberDescriptors, callerDescriptorShare), server.logger)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run(ctx, make(chan os.Signal)) }()
	replaceConfiguration := func(version int) int {
		return serveCall(ctx, server, "call=configuration.replace", fmt.Sprintf(emptyConfiguration, version)).Code
	}
	for deadline := time.Now().Add(10 * time.Second); replaceConfiguration(1) != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("the server did not become ready within 10 s")
		}
	}
	limitDescriptors(t, openDescriptors(t)+callers+memberDescriptors)
	for range callers {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", server.settings.ControlAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // the server may already have closed it
	}
	for version := range replacements {
		if status := replaceConfiguration(2 + version); status != http.StatusOK {
			t.Fatalf("configuration %d: got status %d while idle connections are open, want 200", 2+version, status)
		}
	}
	awaitNewCaller(ctx, t, server.settings.ControlAddress)
	select {
	case err := <-runErr:
		t.Fatalf("Run returned early: %v", err)
	default:
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}

// awaitNewCaller calls over new connections until a call is answered. That must happen within a second, when the idle connections are old
// enough to be closed to make room.
func awaitNewCaller(ctx context.Context, t *testing.T, address string) {
	t.Helper()
	transport := &http.Transport{DisableKeepAlives: true}
	for deadline := time.Now().Add(time.Second); ; {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/api/rpc?call=core.describe", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err == nil {
			_ = response.Body.Close()
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no call over a new connection was answered within 1 s: %v", err)
		}
	}
}

func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// limitDescriptors lowers the process's file descriptor limit until the test ends.
func limitDescriptors(t *testing.T, limit int) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	lowered := before
	lowered.Cur = uint64(limit)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	})
}

// TestIdlePeerConnectionsDoNotBlockGateways guards the peer listener: connections that never send a Hello must not keep out those that do, and
// gateways must leave room for members.
func TestIdlePeerConnectionsDoNotBlockGateways(t *testing.T) {
	const memberDescriptors = 100 // configured limit
	server := newIdleServer(t)
	server.peerConns = connlimit.New("peers", connlimit.Share(memberDescriptors, peerDescriptorShare), server.logger)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run(ctx, make(chan os.Signal)) }()
	for deadline := time.Now().Add(10 * time.Second); serveCall(ctx, server, "call=configuration.replace", fmt.Sprintf(emptyConfiguration, 1)).Code != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("the server did not become ready within 10 s")
		}
	}
	dial := func() net.Conn {
		var conn net.Conn
		var err error
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
			if conn, err = new(net.Dialer).DialContext(ctx, "tcp", server.peerAddr()); err == nil {
				return conn
			}
		}
		t.Fatal(err)
		return nil
	}
	for range 2 * server.peerConns.Limit() {
		idle := dial()
		defer func() { _ = idle.Close() }() // the server may already have closed it
	}
	hello, err := peertransport.EncodeFrame(&peertransport.Frame{Hello: &messages.Hello{Gateway: "g1", Member: fleet.Member{Zone: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	subscribe := func() error { // fails while the member does not yet accept gateway streams
		gateway := dial()
		defer func() { _ = gateway.Close() }() // the server may already have closed it
		if _, err := gateway.Write(hello); err != nil {
			return err
		}
		if err := gateway.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			return err
		}
		_, err := peertransport.ReadFrame(gateway)
		return err
	}
	for deadline := time.Now().Add(5 * time.Second); ; {
		err := subscribe()
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the gateway received no frame within 5 s: %v", err)
		}
	}
	if open := server.peerConns.OpenCount(); open > server.peerConns.Limit() {
		t.Errorf("%d connections are open, the limit is %d", open, server.peerConns.Limit())
	}
	if streams, limit := server.maxStreams(), server.peerConns.Limit(); streams >= limit {
		t.Errorf("gateway streams may use %d of %d connections, leaving none for members", streams, limit)
	}
	cancel()
	if err := <-runErr; err != nil {
		t.Error(err)
	}
}
