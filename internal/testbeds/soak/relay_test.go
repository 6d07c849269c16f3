package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestRelayBlocksOneDirection verifies that a target gets requests while only its responses are withheld, and sees the source address.
func TestRelayBlocksOneDirection(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at the end of the test
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	received := make(chan string, 2)
	go func() {
		conn, err := target.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(conn).ReadString('\n')
		host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		received <- host + " " + line
		_, _ = io.WriteString(conn, "answer\n")
	}()
	linkRelay, err := newRelayFrom("127.9.9.9", "127.0.0.1:0", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer linkRelay.close()
	unblock := linkRelay.blockDirection(responses)
	conn, err := net.Dial("tcp", linkRelay.address()) //nolint:noctx // a local relay accepts at once
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "call\n")
	if got := <-received; got != "127.9.9.9 call\n" {
		t.Errorf("the target received %q", got)
	}
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := conn.Read(make([]byte, 10)); err == nil {
		t.Errorf("%d bytes of the response passed a blocked link", n)
	}
	unblock()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if answer, err := bufio.NewReader(conn).ReadString('\n'); answer != "answer\n" {
		t.Errorf("after the link healed: %q, %v", answer, err)
	}
}
