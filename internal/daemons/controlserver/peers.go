package controlserver

import (
	"net"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

const (
	discoveryInterval = 2 * time.Second

	// peerIdleTimeout: the connection to a peer to which nothing was sent for so long is dropped.
	peerIdleTimeout = 30 * time.Second

	// Connections on which nothing comes for so long are closed.
	helloTimeout       = 2 * time.Second
	peerReadTimeout    = 5 * time.Second
	gatewayReadTimeout = 4 * time.Second

	// unackedTimeout bounds how long what was sent on a connection may stay unacknowledged.
	unackedTimeout = time.Second
)

// tick lets time pass for the controller and, now and then, looks for other members.
func (s *Server) tick() {
	if now := s.now(); now-s.lastDiscoveryAt > discoveryInterval {
		s.lastDiscoveryAt = now
		s.discoverPeers()
		s.dropIdlePeers(now)
	}
	s.step(controller.Event{})
}

// discoverPeers passes the addresses of possible other members to the controller: the seeds, and those known by gossip.
func (s *Server) discoverPeers() {
	if nodesettings.FileChanged() { // without a signal
		s.reloadSettings()
	}
	addrs := s.settings.SeedPeerAddresses()
	for _, peer := range s.gossip.Peers(peersampling.RoleControlPlane) {
		addrs = append(addrs, peer.Addr)
	}
	s.step(controller.Event{DiscoveredAddrs: addrs})
}

// dropIdlePeers gives up connections to peers that the controller no longer sends to: machines come and go.
func (s *Server) dropIdlePeers(now time.Duration) {
	for addr, sentAt := range s.lastSentAt {
		if now-sentAt > peerIdleTimeout {
			s.peers[addr].Stop()
			delete(s.peers, addr)
			delete(s.lastSentAt, addr)
		}
	}
}

// peerFrame is a message between members as a frame carries it; peerMessage is the reverse.
func peerFrame(message controller.Message) *peertransport.Frame {
	return &peertransport.Frame{
		Coordinator:    message.Coordinator,
		Instances:      message.Instances,
		GatewaySummary: message.Fleet,
		Ejections:      message.Ejections,
		PersistRequest: message.PersistRequest,
	}
}

func peerMessage(frame *peertransport.Frame) *controller.Message {
	return &controller.Message{
		Coordinator: frame.Coordinator,
		Instances:   frame.Instances,
		Fleet:       frame.GatewaySummary,
		Ejections:   frame.Ejections,

		PersistRequest: frame.PersistRequest,
	}
}

// sendToPeer sends a frame to a member, over a connection that is kept.
func (s *Server) sendToPeer(addr string, frame *peertransport.Frame) {
	encoded, err := peertransport.EncodeFrame(frame)
	if err != nil {
		s.logger.Error().Str("event", "encoding_failed").Err(err).Msg("")
		return
	}
	peer := s.peers[addr]
	if peer == nil {
		peer = peertransport.NewPeer(s.settings.DialAddress(addr), s.hello)
		s.peers[addr] = peer
	}
	s.lastSentAt[addr] = s.now()
	peer.Send(encoded)
}

// setUnackedTimeout sets unackedTimeout. Where the system refuses, the connection is served without.
func (s *Server) setUnackedTimeout(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = peertransport.SetUnackedTimeout(raw, unackedTimeout)
	}
	if err != nil {
		s.logger.Debug().Str("event", "unacked_timeout_refused").Err(err).Msg("")
	}
}

// readFrame reads the next frame of a connection within a time.
func readFrame(conn net.Conn, timeout time.Duration) (*peertransport.Frame, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	return peertransport.ReadFrame(conn)
}

// readHello reads what a connection begins with.
func readHello(conn net.Conn) (*messages.Hello, error) {
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	return peertransport.ReadHello(conn)
}

// serveConnection serves a connection from a gateway or from another member, by its Hello.
func (s *Server) serveConnection(conn *connlimit.Conn) {
	defer s.close(conn)
	hello, err := readHello(conn)
	if err != nil || !conn.BeginRequest() {
		return
	}
	if hello.Gateway != "" {
		s.serveGateway(conn, hello)
		return
	}
	s.servePeer(conn, hello)
}

// servePeer takes the messages of another member until the connection ends. Only its newest connection counts.
func (s *Server) servePeer(conn net.Conn, hello *messages.Hello) {
	from := hello.Member
	s.enqueue(func() {
		if !s.inboundPeers.Admit(hello, conn) {
			s.close(conn)
		}
	})
	defer s.enqueue(func() { s.inboundPeers.Remove(from.Addr, conn) })
	for {
		frame, err := readFrame(conn, peerReadTimeout)
		if err != nil {
			return
		}
		s.enqueue(func() {
			if s.inboundPeers.IsCurrent(from.Addr, conn) {
				s.step(controller.Event{From: &from, Message: peerMessage(frame)})
			}
		})
	}
}

// serveGateway takes the load reports of a gateway until its stream ends.
func (s *Server) serveGateway(conn net.Conn, hello *messages.Hello) {
	stream := peertransport.NewConn(conn)
	defer stream.Shutdown()
	var id uint64 // set and read by the goroutine of Run only
	s.enqueue(func() {
		if len(s.streams) >= s.maxStreams() {
			stream.Shutdown()
			return
		}
		s.lastToken++
		id = s.lastToken
		s.streams[id] = stream
		s.step(controller.Event{GatewayJoined: &controller.GatewayJoined{Stream: id, Gateway: hello.Gateway, Zone: hello.Member.Zone}})
	})
	for {
		frame, err := readFrame(conn, gatewayReadTimeout)
		if err != nil {
			break
		}
		if frame.LoadReport != nil {
			s.enqueue(func() { s.step(controller.Event{Stream: id, Report: frame.LoadReport}) })
		}
	}
	s.enqueue(func() {
		if id == 0 { // refused
			return
		}
		delete(s.streams, id)
		s.step(controller.Event{GatewayLeft: id})
	})
}
