package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// try is one request of a client.
type try struct {
	id, method, host, path string
	body                   []byte
	chunked                bool
	key                    int // -1: none
	deadline               time.Duration
}

// outcome of a try. A status of 0 means that the connection ended without a complete answer.
type outcome struct {
	status  int
	seal    string
	body    string
	answers string // X-Attempt-Id of the answer
	err     error
	took    time.Duration
}

// send sends a try on a connection of its own.
func send(address string, t try) (o outcome) {
	start := time.Now()
	defer func() { o.took = time.Since(start) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = conn.Close() }()
	return sendOn(conn, bufio.NewReader(conn), t)
}

// sendOn sends a try on an open connection.
func sendOn(conn net.Conn, in *bufio.Reader, t try) outcome {
	_ = conn.SetDeadline(time.Now().Add(t.deadline + time.Second))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", t.method, t.path, t.host, t.id, t.deadline.Milliseconds())
	if t.key >= 0 {
		fmt.Fprintf(&head, "X-Shard-Key: %d\r\n", t.key)
	}
	switch {
	case t.chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	case t.method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(t.body))
	default:
		head.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return outcome{err: err}
	}
	if err := writeBody(conn, t); err != nil {
		return outcome{err: err}
	}
	response, err := http.ReadResponse(in, &http.Request{Method: t.method})
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{err: err}
	}
	return outcome{status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), body: string(body), answers: response.Header.Get("X-Attempt-Id")}
}

func writeBody(conn net.Conn, t try) error {
	if !t.chunked {
		_, err := conn.Write(t.body)
		return err
	}
	for rest := t.body; len(rest) > 0; {
		n := min(len(rest), 64<<10)
		if _, err := fmt.Fprintf(conn, "%x\r\n", n); err != nil {
			return err
		}
		if _, err := conn.Write(rest[:n]); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, "\r\n"); err != nil {
			return err
		}
		rest = rest[n:]
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}
