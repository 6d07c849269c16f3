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

	// peerIdleTimeout is how long a connection to a peer is kept after the last message sent to it.
	peerIdleTimeout = 30 * time.Second

	// Inbound connections are closed if no frame arrives within these timeouts.
	helloTimeout       = 2 * time.Second
	peerReadTimeout    = 5 * time.Second
	gatewayReadTimeout = 4 * time.Second

	// unackedTimeout limits how long sent data may remain unacknowledged before the connection is closed.
	unackedTimeout = time.Second
)

// tick advances the controller's time and runs peer discovery every discoveryInterval.
func (s *Server) tick() {
	if now := s.now(); now-s.lastDiscoveryAt > discoveryInterval {
		s.lastDiscoveryAt = now
		s.discoverPeers()
		s.dropIdlePeers(now)
	}
	s.step(controller.Event{})
}

// discoverPeers passes the addresses of candidate members, from the seeds and from gossip, to the controller.
func (s *Server) discoverPeers() {
	if nodesettings.FileChanged() { // the reload signal is optional
		s.reloadSettings()
	}
	addrs := s.settings.SeedPeerAddresses()
	for _, peer := range s.gossip.Peers(peersampling.RoleControlPlane) {
		addrs = append(addrs, peer.Addr)
	}
	s.step(controller.Event{DiscoveredAddrs: addrs})
}

// dropIdlePeers closes connections to peers to which the controller has stopped sending, such as replaced machines.
func (s *Server) dropIdlePeers(now time.Duration) {
	for addr, sentAt := range s.lastSentAt {
		if now-sentAt > peerIdleTimeout {
			s.peers[addr].Stop()
			delete(s.peers, addr)
			delete(s.lastSentAt, addr)
		}
	}
}

// peerFrame converts a message between members to a frame.
func peerFrame(message controller.Message) *peertransport.Frame {
	return &peertransport.Frame{
		Coordinator:    message.Coordinator,
		Instances:      message.Instances,
		GatewaySummary: message.Fleet,
		Ejections:      message.Ejections,
		KeyLoads:       message.KeyLoads,
		PersistRequest: message.PersistRequest,
	}
}

// peerMessage converts a frame to a message between members.
func peerMessage(frame *peertransport.Frame) *controller.Message {
	return &controller.Message{
		Coordinator: frame.Coordinator,
		Instances:   frame.Instances,
		Fleet:       frame.GatewaySummary,
		Ejections:   frame.Ejections,
		KeyLoads:    frame.KeyLoads,

		PersistRequest: frame.PersistRequest,
	}
}

// sendToPeer sends a frame to a member over a persistent connection, which it creates if there is none.
func (s *Server) sendToPeer(addr string, frame *peertransport.Frame) {
	encoded, err := peertransport.EncodeFrame(frame)
	if err != nil {
		s.logger.Error().Str("event", "encoding_failed").Err(err).Msg("message to a member could not be encoded and was not sent")
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

// setUnackedTimeout applies unackedTimeout to a connection. If the operating system rejects it, the connection is served without the timeout.
func (s *Server) setUnackedTimeout(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = peertransport.SetUnackedTimeout(raw, unackedTimeout)
	}
	if err != nil {
		s.logger.Debug().Str("event", "unacked_timeout_refused").Err(err).Msg("TCP_USER_TIMEOUT could not be set")
	}
}

// readFrame reads the next frame from conn. It fails if the frame does not arrive within timeout.
func readFrame(conn net.Conn, timeout time.Duration) (*peertransport.Frame, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	return peertransport.ReadFrame(conn)
}

// readHello reads the Hello that starts a connection.
func readHello(conn net.Conn) (*messages.Hello, error) {
	if err := conn.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	return peertransport.ReadHello(conn)
}

// serveConnection serves an inbound connection. Its Hello tells whether it comes from a gateway or from another member.
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

// servePeer receives messages from another member until the connection ends. Messages from any but the member's newest connection are
// discarded.
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

// serveGateway registers a gateway's stream and receives its load reports until the connection ends.
func (s *Server) serveGateway(conn net.Conn, hello *messages.Hello) {
	stream := peertransport.NewConn(conn)
	defer stream.Shutdown()
	var id uint64 // accessed only by the goroutine of Run
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
		if id == 0 { // the stream was rejected because of maxStreams
			return
		}
		delete(s.streams, id)
		s.step(controller.Event{GatewayLeft: id})
	})
}
