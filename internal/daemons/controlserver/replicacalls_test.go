package controlserver

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// TestShutdownDuringCallsToReplicas guards against a shutdown that waits for a silent replica, or for results that nobody takes off the task
// queue.
func TestShutdownDuringCallsToReplicas(t *testing.T) {
	replica, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0") // accepts in the kernel and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = replica.Close() }()
	server := newIdleServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- server.Run(ctx, make(chan os.Signal)) }()
	calls := make([]ownership.Call, 3*taskQueueSize)
	for i := range calls {
		calls[i] = ownership.Call{
			ID: uint64(i + 1), Kind: ownership.CallGrant, Service: "catalogue", Replica: "replica-1", Address: replica.Addr().String(),
			To: ownership.MaxKey, Token: 1, Hold: time.Second, NotAfter: time.Hour, Timeout: time.Hour,
		}
	}
	server.enqueue(func() { server.replicaCalls.Start(calls) })
	cancel()
	select {
	case err := <-runErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("Run did not return within 20 s")
	}
	server.replicaCalls.Close() // returns at once
}
