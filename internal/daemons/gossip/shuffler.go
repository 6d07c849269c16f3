// Package gossip carries the shuffles of peersampling over UDP: one datagram out and one back in each round.
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
	initialInterval = 500 * time.Millisecond // between the first rounds
	steadyInterval  = 4 * time.Second        // between later ones: each costs bytes between zones
	initialRounds   = 6
	maxDatagramSize = 1400 // bytes, below the MTU of common networks
)

// datagram is an offer, or the reply to one.
type datagram struct {
	Reply       bool                      `cbor:"1,keyasint,omitempty"`
	Descriptors []peersampling.Descriptor `cbor:"2,keyasint"`
}

// Shuffler takes part in the shuffling for one process. Its methods may be called by several goroutines.
type Shuffler struct {
	conn    *net.UDPConn
	resolve func(string) string // the address to send to, in place of a peer's own

	mu   sync.Mutex // guards view
	view *peersampling.PartialView
}

// Start listens at the process's own address and shuffles until ctx ends. resolve returns the address at which a peer can be
// reached, where that is not its own; nil: each peer is reached at its own address.
func Start(ctx context.Context, self peersampling.Descriptor, seeds []string, resolve func(string) string) (*Shuffler, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.Addr)
	if err != nil {
		return nil, merry.Prepend(err, "gossip address")
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, merry.Prepend(err, "listening for gossip")
	}
	if resolve == nil {
		resolve = func(address string) string { return address }
	}
	s := &Shuffler{conn: conn, resolve: resolve, view: peersampling.New(self, seeds, rand.IntN)}
	go s.receive()
	go s.run(ctx)
	return s, nil
}

// Peers lists the known peers of a role, those most recently heard of first.
func (s *Shuffler) Peers(role peersampling.Role) []peersampling.Descriptor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Peers(role)
}

// run begins a round after the other until ctx ends; closing the socket then ends receive too.
func (s *Shuffler) run(ctx context.Context) {
	defer func() { _ = s.conn.Close() }() // a UDP socket has nothing to flush
	for round := 0; ; round++ {
		s.beginRound()
		interval := steadyInterval
		if round < initialRounds {
			interval = initialInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval/2 + rand.N(interval)):
		}
	}
}

func (s *Shuffler) beginRound() {
	s.mu.Lock()
	shuffle, ok := s.view.BeginRound()
	s.mu.Unlock()
	if ok {
		s.send(shuffle.To, datagram{Descriptors: shuffle.Offer})
	}
}

// send sends a datagram, or drops it: a lost one is made up for by the next round.
func (s *Shuffler) send(to string, message datagram) {
	addr, err := net.ResolveUDPAddr("udp4", s.resolve(to))
	if err != nil {
		return
	}
	encoded, err := cbor.Marshal(message)
	if err != nil || len(encoded) > maxDatagramSize {
		return
	}
	_, _ = s.conn.WriteToUDP(encoded, addr) // as if it were lost on the way
}

// receive handles datagrams until the socket is closed. What cannot be decoded is ignored.
func (s *Shuffler) receive() {
	buffer := make([]byte, 2*maxDatagramSize)
	for {
		size, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		var message datagram
		if cbor.Unmarshal(buffer[:size], &message) != nil || len(message.Descriptors) == 0 {
			continue
		}
		s.handle(from, message)
	}
}

func (s *Shuffler) handle(from *net.UDPAddr, message datagram) {
	if message.Reply {
		s.mu.Lock()
		s.view.HandleReply(message.Descriptors)
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	reply := s.view.HandleOffer(message.Descriptors)
	s.mu.Unlock()
	s.send(from.String(), datagram{Reply: true, Descriptors: reply})
}
