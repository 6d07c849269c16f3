// Package gossip carries the shuffles of peersampling: one datagram out and one back a round.
package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/peersampling"
)

const (
	quick  = 500 * time.Millisecond // between rounds at first
	steady = 4 * time.Second        // then: each costs bytes between zones
	early  = 6                      // rounds that are quick
	most   = 1400                   // bytes of a datagram
)

type datagram struct {
	Answer bool                `cbor:"1,keyasint,omitempty"`
	Nodes  []peersampling.Node `cbor:"2,keyasint"`
}

// Dance is one governor's part.
type Dance struct {
	mu   sync.Mutex
	view *peersampling.View
	conn *net.UDPConn
}

// Start listens at the node's address and shuffles until the context ends.
func Start(ctx context.Context, self peersampling.Node, seeds []string) (*Dance, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.Addr)
	if err != nil {
		return nil, merry.Prepend(err, "neighbours' address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, merry.Prepend(err, "listening for neighbours")
	}
	d := &Dance{view: peersampling.New(self, seeds, rand.IntN), conn: conn}
	go d.receive()
	go d.rounds(ctx)
	return d, nil
}

func (d *Dance) rounds(ctx context.Context) {
	defer d.conn.Close()
	for n := 0; ; n++ {
		d.mu.Lock()
		to, offer, ok := d.view.Round()
		d.mu.Unlock()
		if ok {
			d.send(to, datagram{Nodes: offer})
		}
		pause := steady
		if n < early {
			pause = quick
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
}

func (d *Dance) send(to string, m datagram) {
	addr, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return
	}
	if b, err := cbor.Marshal(m); err == nil && len(b) <= most {
		d.conn.WriteToUDP(b, addr)
	}
}

func (d *Dance) receive() {
	buf := make([]byte, 2*most)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var m datagram
		if cbor.Unmarshal(buf[:n], &m) != nil || len(m.Nodes) == 0 {
			continue
		}
		d.mu.Lock()
		if m.Answer {
			d.view.Answered(m.Nodes)
			d.mu.Unlock()
			continue
		}
		answer := d.view.Called(m.Nodes)
		d.mu.Unlock()
		d.send(from.String(), datagram{Answer: true, Nodes: answer})
	}
}

// Known lists the neighbours of a kind, those heard of last first.
func (d *Dance) Known(k peersampling.Kind) []peersampling.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Known(k)
}
