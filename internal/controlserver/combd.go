// Package controlserver is a control-plane governor: it takes the beats of replicas and the orders of operators, keeps the
// lasting state with the other combs, and steers its proxy governors (foragers).
//
// One goroutine drives what decides (controlplane/controller); sockets and the disk talk to it through a channel.
package controlserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"maps"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/internal/gossip"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/statestore"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

const (
	discoveryInterval    = 2 * time.Second
	peerIdleTimeout      = 30 * time.Second // a peer to whom nothing was sent for so long
	shutdownReserve      = time.Second      // of the grace period, for what remains once others do without this comb
	responseDrainTimeout = 200 * time.Millisecond
	storeRetryInterval   = 300 * time.Millisecond
	memoryLimitRatio     = 0.6
)

const stateKey = "state"

// Server is one control-plane governor.
type Server struct {
	settings  *nodesettings.Settings
	logger    *log.Logger
	startedAt time.Time
	tasks     chan func()
	store     *statestore.Store

	controller   *controller.Controller
	peers        map[string]*peertransport.Peer // by address
	hello        messages.Hello
	inboundPeers peertransport.InboundConns // of other combs' connections

	lastToken       uint64
	pendingCalls    map[uint64]chan controller.Response
	streams         map[uint64]*peertransport.Conn
	lastDiscoveryAt time.Duration
	lastSentAt      map[string]time.Duration // to peers, by address
	stopped         bool
	gossip          *gossip.Shuffler
	serveErrors     chan error
}

// New makes a comb from its settings.
func New(settings *nodesettings.Settings, logger *log.Logger) (*Server, error) {
	if settings.ControlAddress == "" {
		return nil, merry.New("settings: network_settings.listen_addresses.control: a comb needs it")
	}
	if settings.DataDir == "" {
		return nil, merry.New("settings: self_settings.data_directory: a comb needs a disk")
	}
	return &Server{settings: settings, logger: logger, startedAt: time.Now(), tasks: make(chan func(), 1024), peers: map[string]*peertransport.Peer{}, lastSentAt: map[string]time.Duration{},
		pendingCalls: map[uint64]chan controller.Response{}, streams: map[uint64]*peertransport.Conn{}, serveErrors: make(chan error, 4)}, nil
}

func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// enqueue has the deciding goroutine run f.
func (s *Server) enqueue(f func()) { s.tasks <- f }

func (s *Server) peerAddr() string {
	return netip.AddrPortFrom(s.settings.IP, uint16(s.settings.FirstInternalPort)).String()
}

// restore reads the disk, or begins anew.
func (s *Server) restore() error {
	store, err := statestore.Open(statestore.Directory(s.settings.DataDir))
	if err != nil {
		return err
	}
	s.store = store
	for _, name := range store.Quarantined {
		s.logger.Error().Str("event", "file_set_aside").Str("file", name).Msg("")
	}
	var kept coordinator.PersistentState
	if raw, ok := store.Get(stateKey); ok {
		if kept, err = coordinator.DecodePersistentState(raw); err != nil {
			return merry.Prepend(err, "reading the kept state")
		}
	}
	seeds := s.settings.SeedPeerAddresses()
	var b [6]byte
	rand.Read(b[:])
	kept.Initialize(s.peerAddr(), seeds, s.settings.FirstStart, hex.EncodeToString(b[:]))
	self := membership.Member{ID: kept.DiskID, Addr: s.peerAddr(), Zone: s.settings.Zone, APIAddr: s.settings.ControlAddress}
	s.controller = controller.New(s.now(), controller.Options{Zone: s.settings.Zone, ControlAddr: s.settings.ControlAddress, Zones: slices.Sorted(maps.Keys(s.settings.ZoneRegions)), Seeds: seeds,
		LinkMbps: s.settings.LinkMbps, DrainDeadline: s.settings.Bounds.DrainDeadline, HeartbeatInterval: s.settings.HeartbeatInterval, RandomSeed: mrand.Uint64(), RegionByZone: s.settings.ZoneRegions}, self, kept)
	s.hello = messages.Hello{Member: self, Incarnation: mrand.Uint64()}
	raw, err := s.controller.PersistentState()
	if err != nil {
		return err
	}
	if err := store.Put(map[string][]byte{stateKey: raw}); err != nil {
		return merry.Prepend(err, "first write")
	}
	s.logger.Info().Str("event", "start").Str("name", s.settings.Name).Str("disk", kept.DiskID).Uint64("view", kept.View.View.Number).
		Uint64("seq", kept.Register.Sequence).Uint64("version", kept.Register.Version).Bool("first", s.settings.FirstStart).Msg("")
	return nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context, hup <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(float64(s.settings.MemoryMB<<20) * memoryLimitRatio))
	for {
		err := s.restore()
		if err == nil {
			break
		}
		s.logger.Error().Str("event", "disk").Err(err).Msg("")
		select {
		case <-time.After(storeRetryInterval):
		case <-ctx.Done():
			return nil
		}
	}
	peerListener, err := net.Listen("tcp", s.peerAddr())
	if err != nil {
		return merry.Prepend(err, "listening for governors")
	}
	controlListener, err := net.Listen("tcp", s.settings.ControlAddress)
	if err != nil {
		return merry.Prepend(err, "listening for replicas and operators")
	}
	httpServer := &http.Server{Handler: s.routes(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second, ErrorLog: s.logger.Std("", 0)}
	go func() {
		if err := httpServer.Serve(controlListener); err != http.ErrServerClosed {
			s.serveErrors <- err
		}
	}()
	go s.acceptConnections(peerListener)
	if s.gossip, err = gossip.Start(ctx, peersampling.Descriptor{Addr: s.peerAddr(), Role: peersampling.RoleControlPlane, Zone: s.settings.Zone}, s.settings.SeedPeerAddresses()); err != nil {
		return err
	}
	s.step(controller.Event{Start: true})
	ticker := time.NewTicker(controller.TickInterval)
	shutdownRequested := ctx.Done()
	var shutdownDeadline <-chan time.Time
	for !s.stopped {
		select {
		case f := <-s.tasks:
			f()
		case <-ticker.C:
			s.tick()
		case err := <-s.serveErrors:
			return merry.Prepend(err, "serving")
		case <-hup:
			s.reloadSettings()
		case <-shutdownRequested: // what it alone holds must be with others before it ends
			shutdownRequested, shutdownDeadline = nil, time.After(max(s.settings.Bounds.GracePeriod-shutdownReserve, 0))
			s.step(controller.Event{Shutdown: true})
		case <-shutdownDeadline:
			s.logger.Warn().Str("event", "left_early").Msg("")
			s.stopped = true
		}
	}
	s.shutdown(httpServer, peerListener)
	return nil
}

// shutdown has the calls at hand answered, for a moment, and closes what is open.
func (s *Server) shutdown(httpServer *http.Server, peerListener net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), responseDrainTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		httpServer.Shutdown(ctx)
		close(done)
	}()
	for open := true; open; {
		select {
		case f := <-s.tasks:
			f()
		case <-done:
			open = false
		}
	}
	httpServer.Close()
	peerListener.Close()
	for _, stream := range s.streams {
		stream.Shutdown()
	}
	s.logger.Info().Str("event", "stopped").Msg("")
}

func (s *Server) reloadSettings() {
	set, err := nodesettings.Load()
	if err != nil {
		s.logger.Error().Str("event", "settings_refused").Err(err).Msg("")
		return
	}
	s.settings.Seeds = set.Seeds
	s.logger.Info().Str("event", "settings_read").Int("seeds", len(set.Seeds)).Msg("")
}

func (s *Server) tick() {
	if now := s.now(); now-s.lastDiscoveryAt > discoveryInterval {
		s.lastDiscoveryAt = now
		if nodesettings.FileChanged() { // without a signal
			s.reloadSettings()
		}
		met := s.settings.SeedPeerAddresses()
		for _, n := range s.gossip.Peers(peersampling.RoleControlPlane) {
			met = append(met, n.Addr)
		}
		s.step(controller.Event{DiscoveredAddrs: met})
		for addr, at := range s.lastSentAt { // machines come and go
			if now-at > peerIdleTimeout {
				s.peers[addr].Stop()
				delete(s.peers, addr)
				delete(s.lastSentAt, addr)
			}
		}
	}
	s.step(controller.Event{})
}

// step has the brain decide, and carries out what it says. It runs on the deciding goroutine only.
func (s *Server) step(event controller.Event) {
	event.WallClock = time.Duration(time.Now().UnixNano())
	actions := s.controller.Step(s.now(), event)
	for _, event := range actions.LogEvents {
		program.LogEvent(s.logger, event.Warning, event.Name, func(yield func(string, any) bool) {
			for _, f := range event.Fields {
				if !yield(f.Key, f.Value) {
					return
				}
			}
		})
	}
	for i := range actions.Send {
		m := &actions.Send[i].Message
		s.sendToPeer(actions.Send[i].To, &peertransport.Frame{Coordinator: m.Coordinator, Instances: m.Instances, GatewaySummary: m.Fleet, Ejections: m.Ejections})
	}
	if actions.Write != nil {
		go func() {
			problem := ""
			if err := s.store.Put(map[string][]byte{stateKey: actions.Write}); err != nil {
				problem = err.Error()
			}
			s.enqueue(func() { s.step(controller.Event{WriteResult: &controller.WriteResult{Error: problem}}) })
		}()
	}
	for i := range actions.Publish {
		b, err := peertransport.EncodeFrame(&peertransport.Frame{StateUpdate: &actions.Publish[i].Update})
		if err != nil {
			s.logger.Error().Str("event", "encode").Err(err).Msg("")
			continue
		}
		for _, event := range actions.Publish[i].Streams {
			if answer := s.streams[event]; answer != nil {
				answer.Send(b)
			}
		}
	}
	for _, answer := range actions.Responses {
		if done := s.pendingCalls[answer.Token]; done != nil {
			delete(s.pendingCalls, answer.Token)
			done <- answer
		}
	}
	s.stopped = s.stopped || actions.ShutdownComplete
	for _, event := range actions.CloseStreams {
		if answer := s.streams[event]; answer != nil {
			answer.Shutdown()
		}
	}
}

func (s *Server) sendToPeer(addr string, message *peertransport.Frame) {
	frame, err := peertransport.EncodeFrame(message)
	if err != nil {
		s.logger.Error().Str("event", "encode").Err(err).Msg("")
		return
	}
	peer := s.peers[addr]
	if peer == nil {
		peer = peertransport.NewPeer(addr, s.hello)
		s.peers[addr] = peer
	}
	s.lastSentAt[addr] = s.now()
	peer.Send(frame)
}

func (s *Server) acceptConnections(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.serveErrors <- err
			return
		}
		if raw, err := conn.(*net.TCPConn).SyscallConn(); err == nil {
			peertransport.SetUnackedTimeout(raw, time.Second)
		}
		go s.serveConnection(conn)
	}
}

func (s *Server) serveConnection(conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	first, err := peertransport.ReadFrame(conn)
	if err != nil || first.Hello == nil {
		return
	}
	if first.Hello.Gateway != "" {
		s.serveGateway(conn, first.Hello)
		return
	}
	from := first.Hello.Member
	s.enqueue(func() {
		if !s.inboundPeers.Admit(first.Hello, conn) {
			conn.Close()
		}
	})
	defer s.enqueue(func() { s.inboundPeers.Remove(from.Addr, conn) })
	for {
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		message, err := peertransport.ReadFrame(conn)
		if err != nil {
			return
		}
		s.enqueue(func() {
			if !s.inboundPeers.IsCurrent(from.Addr, conn) {
				return // of an earlier connection
			}
			s.step(controller.Event{From: &from, Message: &controller.Message{Coordinator: message.Coordinator, Instances: message.Instances, Fleet: message.GatewaySummary, Ejections: message.Ejections}})
		})
	}
}

// serveGateway holds a forager's stream until it ends.
func (s *Server) serveGateway(conn net.Conn, hello *messages.Hello) {
	stream := peertransport.NewConn(conn)
	defer stream.Shutdown()
	var streamID uint64
	s.enqueue(func() {
		s.lastToken++
		streamID = s.lastToken
		s.streams[streamID] = stream
		s.step(controller.Event{GatewayJoined: &controller.GatewayJoined{Stream: streamID, Gateway: hello.Gateway, Zone: hello.Member.Zone}})
	})
	for {
		conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		message, err := peertransport.ReadFrame(conn)
		if err != nil {
			break
		}
		if message.LoadReport != nil {
			s.enqueue(func() { s.step(controller.Event{Stream: streamID, Report: message.LoadReport}) })
		}
	}
	s.enqueue(func() {
		delete(s.streams, streamID)
		s.step(controller.Event{GatewayLeft: streamID})
	})
}
