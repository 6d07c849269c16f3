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
	initialInterval = 500 * time.Millisecond // between rounds at first
	steadyInterval  = 4 * time.Second        // then: each costs bytes between zones
	initialRounds   = 6                      // rounds that are quick
	maxDatagramSize = 1400                   // bytes of a datagram
)

type datagram struct {
	Reply       bool                      `cbor:"1,keyasint,omitempty"`
	Descriptors []peersampling.Descriptor `cbor:"2,keyasint"`
}

// Shuffler is one governor's part.
type Shuffler struct {
	mu   sync.Mutex
	view *peersampling.PartialView
	conn *net.UDPConn
}

// Start listens at the node's address and shuffles until the context ends.
func Start(ctx context.Context, self peersampling.Descriptor, seeds []string) (*Shuffler, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.Addr)
	if err != nil {
		return nil, merry.Prepend(err, "neighbours' address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, merry.Prepend(err, "listening for neighbours")
	}
	d := &Shuffler{view: peersampling.New(self, seeds, rand.IntN), conn: conn}
	go d.receive()
	go d.run(ctx)
	return d, nil
}

func (d *Shuffler) run(ctx context.Context) {
	defer d.conn.Close()
	for n := 0; ; n++ {
		d.mu.Lock()
		to, offer, ok := d.view.BeginRound()
		d.mu.Unlock()
		if ok {
			d.send(to, datagram{Descriptors: offer})
		}
		pause := steadyInterval
		if n < initialRounds {
			pause = initialInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
	}
}

func (d *Shuffler) send(to string, m datagram) {
	addr, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return
	}
	if b, err := cbor.Marshal(m); err == nil && len(b) <= maxDatagramSize {
		d.conn.WriteToUDP(b, addr)
	}
}

func (d *Shuffler) receive() {
	buf := make([]byte, 2*maxDatagramSize)
	for {
		n, from, err := d.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var m datagram
		if cbor.Unmarshal(buf[:n], &m) != nil || len(m.Descriptors) == 0 {
			continue
		}
		d.mu.Lock()
		if m.Reply {
			d.view.HandleReply(m.Descriptors)
			d.mu.Unlock()
			continue
		}
		answer := d.view.HandleOffer(m.Descriptors)
		d.mu.Unlock()
		d.send(from.String(), datagram{Reply: true, Descriptors: answer})
	}
}

// Peers lists the neighbours of a kind, those heard of last first.
func (d *Shuffler) Peers(k peersampling.Role) []peersampling.Descriptor {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Peers(k)
}
