package controlserver

import (
	"errors"
	"net"

	"zincloft.example/zincloft/internal/daemons/connlimit"
)

// Shares of the process's file descriptors per listener. The rest is for files, outbound connections to other members and gossip.
const (
	callerDescriptorShare  = 0.55
	peerDescriptorShare    = 0.25
	replicaDescriptorShare = 0.1 // outbound connections to replicas of sharded services
	metricsDescriptorShare = 0.01
)

// memberReserve is how many connections of the peer listener are reserved for other members.
const memberReserve = 32

// maxStreams returns the maximum number of gateway streams. A gateway that is rejected connects to another member.
func (s *Server) maxStreams() int {
	limit := s.peerConns.Limit()
	return limit - min(memberReserve, limit/2)
}

// acceptConnections accepts connections from other members and gateways until the listener is closed. A permanent accept error is reported on
// serveErrors and ends the process.
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
