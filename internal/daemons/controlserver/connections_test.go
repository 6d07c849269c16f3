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

// TestIdleCallersDoNotExhaustDescriptors guards against a member that ends, or loses its disk, because callers hold connections and say
// nothing: they used up the process's descriptors, accepting failed, and that error ended the process. The callers' own ends are in this
// process too, so its limit leaves room for them.
func TestIdleCallersDoNotExhaustDescriptors(t *testing.T) {
	const (
		memberDescriptors = 100 // by its settings
		callers           = 130
		orders            = 20
	)
	server := newIdleServer(t)
	server.settings.FileDescriptors = memberDescriptors
	server.callerConns = connlimit.New("control", connlimit.Share(memberDescriptors, callerDescriptorShare), server.logger)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, make(chan os.Signal)) }()
	configuration := func(version int) int {
		return serveCall(ctx, server, "call=configuration.replace", fmt.Sprintf(emptyConfiguration, version)).Code
	}
	for deadline := time.Now().Add(10 * time.Second); configuration(1) != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("the server does not answer")
		}
	}
	limitDescriptors(t, openDescriptors(t)+callers+memberDescriptors)
	for range callers {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", server.settings.ControlAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // the server may have closed it
	}
	for version := range orders {
		if status := configuration(2 + version); status != http.StatusOK {
			t.Fatalf("order %d is answered %d while callers hold connections", version, status)
		}
	}
	awaitNewCaller(ctx, t, server.settings.ControlAddress)
	select {
	case err := <-ended:
		t.Fatalf("the member ended: %v", err)
	default:
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// awaitNewCaller has a caller that keeps no connection call again and again, as callers do, until it is answered: within a second, once the
// silent ones are old enough to be closed in its favour.
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
			_ = response.Body.Close() // it is not read
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("a new caller is not served: %v", err)
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

// limitDescriptors lowers the process's limit until the test ends.
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

// TestIdlePeerConnectionsDoNotBlockGateways guards the listener for members and gateways: connections that never say whose they are take no room from those
// that do, and gateways leave room for members.
func TestIdlePeerConnectionsDoNotBlockGateways(t *testing.T) {
	const memberDescriptors = 100 // by its settings
	server := newIdleServer(t)
	server.peerConns = connlimit.New("peers", connlimit.Share(memberDescriptors, peerDescriptorShare), server.logger)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, make(chan os.Signal)) }()
	for deadline := time.Now().Add(10 * time.Second); serveCall(ctx, server, "call=configuration.replace", fmt.Sprintf(emptyConfiguration, 1)).Code != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("the server does not answer")
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
		silent := dial()
		defer func() { _ = silent.Close() }() // the member may have closed it
	}
	hello, err := peertransport.EncodeFrame(&peertransport.Frame{Hello: &messages.Hello{Gateway: "g1", Member: fleet.Member{Zone: "a"}}})
	if err != nil {
		t.Fatal(err)
	}
	follow := func() error { // as a gateway does, which goes on while the member is not ready to be followed
		gateway := dial()
		defer func() { _ = gateway.Close() }() // the member may have closed it
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
		err := follow()
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the gateway hears nothing: %v", err)
		}
	}
	if open := server.peerConns.OpenCount(); open > server.peerConns.Limit() {
		t.Error(open, "connections are open")
	}
	if streams, limit := server.maxStreams(), server.peerConns.Limit(); streams >= limit {
		t.Errorf("gateways may take all %d connections", limit)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
