package controlserver

import (
	"errors"
	"net"

	"zincloft.example/zincloft/internal/daemons/connlimit"
)

// Parts of the process's file descriptors. What is left is for the disk, the connections to other members and the gossip.
const (
	callerDescriptorShare  = 0.6
	peerDescriptorShare    = 0.25
	metricsDescriptorShare = 0.01
)

// memberReserve is how many connections of the listener for peers are kept from gateways, for the other members.
const memberReserve = 32

// maxStreams is how many gateways may follow this member at once. One that is refused goes on to another member.
func (s *Server) maxStreams() int {
	limit := s.peerConns.Limit()
	return limit - min(memberReserve, limit/2)
}

// acceptConnections takes the connections of other members and of gateways until the listener is closed. An error after which accepting is of
// no use ends the process.
func (s *Server) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.serveErrors <- err
			return
		}
		limited := conn.(*connlimit.Conn)
		s.setUnackedTimeout(limited.Conn)
		go s.serveConnection(limited)
	}
}
