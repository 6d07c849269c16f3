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
)

// TestSilentCallersDoNotEndTheMember guards against a member that ends, or loses its disk, because callers hold connections and say
// nothing: they used up the process's descriptors, accepting failed, and that error ended the process.
func TestSilentCallersDoNotEndTheMember(t *testing.T) {
	const descriptors = 300 // of the process, lowered for this test
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	server := newIdleServer(t)
	server.settings.FileDescriptors = descriptors / 3 // the callers' ends are in this process too
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
	lowered := before
	lowered.Cur = descriptors
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	}()
	for range descriptors {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", server.settings.ControlAddress)
		if err != nil {
			break // no descriptor is left in this process
		}
		defer func() { _ = conn.Close() }()
	}
	time.Sleep(300 * time.Millisecond)
	if status := configuration(2); status != http.StatusOK {
		t.Errorf("a configuration is answered %d while callers hold connections", status)
	}
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
