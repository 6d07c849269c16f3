package scalerun

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/standin/upstream"
)

const (
	heartbeatTimeout    = time.Second
	heartbeatRetryDelay = 100 * time.Millisecond
	answerBufferSize    = 512
	maxAnswerSize       = 4 << 10
)

// SyntheticReplica sends heartbeats as the protocol page says, on a connection of its own, and serves nobody.
type SyntheticReplica struct {
	Instance          registry.Instance
	HeartbeatInterval time.Duration
	Seeds             []string // control addresses
	Sent, Received    *TrafficCounts

	conn   net.Conn // nil: none
	in     *bufio.Reader
	target string // control address that it was told to send to; empty: a random seed

	mu               sync.Mutex
	lastAcknowledged time.Time
}

// LastAcknowledged returns when a heartbeat was last acknowledged; the zero time if none was.
func (r *SyntheticReplica) LastAcknowledged() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAcknowledged
}

// Run sends heartbeats until ctx ends, the first after a part of an interval that differs from replica to replica.
func (r *SyntheticReplica) Run(ctx context.Context) {
	defer r.disconnect()
	delay := rand.N(r.HeartbeatInterval)
	for sequence := r.Instance.Sequence; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = r.HeartbeatInterval
		if err := r.heartbeat(ctx, sequence); err != nil {
			r.disconnect()
			delay = heartbeatRetryDelay
		}
	}
}

// heartbeat sends one heartbeat, on a new connection where there is none.
func (r *SyntheticReplica) heartbeat(ctx context.Context, sequence uint64) error {
	addr := r.target
	if addr == "" {
		addr = r.Seeds[rand.IntN(len(r.Seeds))]
	}
	if r.conn == nil {
		dialer := net.Dialer{Timeout: heartbeatTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return err
		}
		r.conn = conn
		r.in = bufio.NewReaderSize(countingConn{Conn: conn, counts: r.Received}, answerBufferSize)
	}
	next, err := r.sendHeartbeat(addr, sequence)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lastAcknowledged = time.Now()
	r.mu.Unlock()
	if next != "" && next != addr {
		r.disconnect()
		r.target = next
	}
	return nil
}

func (r *SyntheticReplica) disconnect() {
	r.target = ""
	if r.conn != nil {
		_ = r.conn.Close() // whatever it reports, the next heartbeat has a new one
		r.conn = nil
	}
}

// sendHeartbeat sends a heartbeat and returns the control address that the answer names for the next one; empty if none.
func (r *SyntheticReplica) sendHeartbeat(host string, sequence uint64) (target string, err error) {
	instance := r.Instance
	body, err := json.Marshal(upstream.NewHeartbeat(instance.Service, instance.Addr, instance.Zone, instance.Slots, sequence))
	if err != nil {
		return "", err
	}
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /api/rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		url.QueryEscape(instance.ID), host, len(body))
	request.Write(body)
	if err := r.conn.SetDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
		return "", err
	}
	if _, err := r.conn.Write(request.Bytes()); err != nil {
		return "", err
	}
	r.Sent.add("heartbeat", request.Len())
	return readTarget(r.in)
}

// readTarget reads the answer to a heartbeat; its bytes are counted by the connection.
func readTarget(in *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // nothing is left to be read
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return "", err
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("a heartbeat was answered by %d", response.StatusCode)
	}
	var acknowledgement struct {
		Target string `json:"heartbeat_target"`
	}
	if err := json.Unmarshal(answer, &acknowledgement); err != nil {
		return "", nil // an acknowledgement that names no target
	}
	return acknowledgement.Target, nil
}

// countingConn counts what is read: an answer comes in one piece.
type countingConn struct {
	net.Conn
	counts *TrafficCounts
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counts.add("heartbeat answer", n)
	}
	return n, err
}
