// Package gossip runs the peersampling protocol over UDP. Each round consists of one offer and one reply, a datagram each.
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
	initialInterval = 500 * time.Millisecond // mean interval of the first rounds
	steadyInterval  = 4 * time.Second        // mean interval of later rounds; long to limit traffic between zones
	initialRounds   = 6
	maxDatagramSize = 1400 // bytes; below the MTU of common networks
)

// datagram is an offer or a reply to an offer.
type datagram struct {
	Reply       bool                      `cbor:"1,keyasint,omitempty"`
	Descriptors []peersampling.Descriptor `cbor:"2,keyasint"`
}

// Shuffler runs the protocol for one process. It is safe for concurrent use.
type Shuffler struct {
	conn    *net.UDPConn
	resolve func(string) string // maps a peer's address to the address to send to

	mu   sync.Mutex // guards view
	view *peersampling.PartialView
}

// Start listens on the address of self and runs the protocol until ctx is canceled. resolve maps a peer's address to the address
// at which it is reachable; nil means that they are the same.
func Start(ctx context.Context, self peersampling.Descriptor, seeds []string, resolve func(string) string) (*Shuffler, error) {
	addr, err := net.ResolveUDPAddr("udp4", self.Addr)
	if err != nil {
		return nil, merry.Prepend(err, "resolving the gossip address")
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

// Peers returns the known peers of a role, ordered from the most recently seen to the oldest.
func (s *Shuffler) Peers(role peersampling.Role) []peersampling.Descriptor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Peers(role)
}

// run starts rounds until ctx is canceled. It then closes the socket, which ends receive.
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

// send sends a datagram. Errors are ignored like packet loss, because later rounds compensate for it.
func (s *Shuffler) send(to string, message datagram) {
	addr, err := net.ResolveUDPAddr("udp4", s.resolve(to))
	if err != nil {
		return
	}
	encoded, err := cbor.Marshal(message)
	if err != nil || len(encoded) > maxDatagramSize {
		return
	}
	_, _ = s.conn.WriteToUDP(encoded, addr) // like packet loss, see above
}

// receive handles datagrams until the socket is closed. Datagrams that cannot be decoded are ignored.
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
		s.handleDatagram(from, message)
	}
}

func (s *Shuffler) handleDatagram(from *net.UDPAddr, message datagram) {
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
