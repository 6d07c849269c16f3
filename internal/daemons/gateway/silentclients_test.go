package gateway

import (
	"bufio"
	"net"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/messages"
)

// TestSilentClientsDoNotBlockOtherClients guards against clients that hold all connections without sending anything: a new
// client must get a response within a second.
func TestSilentClientsDoNotBlockOtherClients(t *testing.T) {
	const descriptors = 100 // limit in the settings, shared by all listeners
	replica := startReplica(t, "i0")
	parsed, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	parsed.FileDescriptors = descriptors
	gateway, err := New(parsed, program.NewLogger(&logBuffer{}, "gateway"))
	if err != nil {
		t.Fatal(err)
	}
	gateway.frontListener = listen(t)
	update := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: testConfigWithLimits(1, `"header_timeout":"3s","idle_timeout":"15s"`)}
	update.Instances = append(update.Instances, instanceOf(replica))
	gateway.applyUpdate(update)
	t.Cleanup(func() { closeQuietly(gateway.server.Load()) })
	address := gateway.frontListener.Addr().String()
	for range descriptors {
		silent := dial(t, address)
		t.Cleanup(func() { closeQuietly(silent) })
	}
	if !waitUntil(func() bool { return gateway.frontConns.OpenCount() >= gateway.frontConns.Limit() }) {
		t.Fatal("the silent connections were not accepted")
	}
	client, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(client)
	send(t, client, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nContent-Length: 2\r\n\r\nab")
	readWithin(t, client, time.Second)
	if _, _, err := readResponse(bufio.NewReader(client)); err != nil {
		t.Fatalf("no response: %v", err)
	}
}
