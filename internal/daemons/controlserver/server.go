// Package controlserver is the process of a control-plane member: its sockets, its disk, and the calls of replicas and operators.
//
// One goroutine runs the state machine that decides (package controller) and carries out its actions. Everything else, such as connections,
// HTTP handlers and writes to the disk, hands it functions through a channel.
package controlserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	metrics "github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/internal/daemons/bodybuffer"
	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/gossip"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/internal/daemons/statestore"
	"zincloft.example/zincloft/internal/daemons/telemetry"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

const (
	// shutdownReserve is the part of the grace period that is kept for the rest of the shutdown, after the others go on without this member.
	shutdownReserve = time.Second

	// responseDrainTimeout bounds how long calls under way may take to be answered at the end.
	responseDrainTimeout = 200 * time.Millisecond

	readHeaderTimeout     = 3 * time.Second
	idleConnectionTimeout = 30 * time.Second

	// memoryLimitRatio is the part of the machine's memory bound that is set as the Go runtime's memory limit.
	memoryLimitRatio = 0.6

	// bodyMemoryRatio is the part of the machine's memory bound that bodies of calls may hold at once.
	bodyMemoryRatio = 0.25

	// maxInstancesPerMB of the machine's memory bound may be remembered: each takes about a kilobyte, with its place in what is sent and written.
	maxInstancesPerMB = 200

	maxHeaderBytes = 16 << 10 // of a call: many callers may send a head at once

	taskQueueSize = 1024
)

// Server is one control-plane member. Its fields belong to the goroutine of Run, except those that never change.
type Server struct {
	settings    *nodesettings.Settings
	logger      *log.Logger
	startedAt   time.Time
	tasks       chan func()
	serveErrors chan error
	store       *statestore.Store
	controller  *controller.Controller
	stopped     bool

	metricSet      *metrics.Set
	callLogLimiter *rate.Limiter

	bodyBudget *bodybuffer.Budget // of calls that are being received

	// Connections by purpose, each with a share of the file descriptors.
	callerConns  *connlimit.Limiter // of replicas and operators
	peerConns    *connlimit.Limiter // of other members and gateways
	metricsConns *connlimit.Limiter

	// The other members.
	hello           messages.Hello
	peers           map[string]*peertransport.Peer // by address
	lastSentAt      map[string]time.Duration       // by address
	inboundPeers    peertransport.InboundConns
	gossip          *gossip.Shuffler
	lastDiscoveryAt time.Duration

	// Calls and gateway streams, which share one sequence of tokens.
	lastToken    uint64
	pendingCalls map[uint64]chan controller.Response
	streams      map[uint64]*peertransport.Conn
}

// New makes a member from its settings, which must name a control address and a data directory.
func New(settings *nodesettings.Settings, logger *log.Logger) (*Server, error) {
	if settings.ControlAddress == "" {
		return nil, merry.New("settings: network_settings.listen_addresses.control: a control-plane member needs it")
	}
	if settings.DataDir == "" {
		return nil, merry.New("settings: self_settings.data_directory: a control-plane member needs a disk")
	}
	s := &Server{
		settings:     settings,
		logger:       logger,
		startedAt:    time.Now(),
		tasks:        make(chan func(), taskQueueSize),
		serveErrors:  make(chan error, 4),
		peers:        map[string]*peertransport.Peer{},
		lastSentAt:   map[string]time.Duration{},
		pendingCalls: map[uint64]chan controller.Response{},
		streams:      map[uint64]*peertransport.Conn{},

		callLogLimiter: rate.NewLimiter(callLogRate, callLogBurst),
		bodyBudget:     bodybuffer.New(int64(bodyMemoryRatio * float64(settings.MemoryMB<<20))),
		callerConns:    connlimit.New("control", connlimit.Share(settings.FileDescriptors, callerDescriptorShare), logger),
		peerConns:      connlimit.New("peers", connlimit.Share(settings.FileDescriptors, peerDescriptorShare), logger),
		metricsConns:   connlimit.New("figures", connlimit.Share(settings.FileDescriptors, metricsDescriptorShare), logger),
	}
	s.metricSet = s.newMetrics()
	return s, nil
}

// now is the time since the start, by the monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// enqueue has the goroutine of Run call f.
func (s *Server) enqueue(f func()) { s.tasks <- f }

// peerAddr is where the other members and the gateways connect to this one.
func (s *Server) peerAddr() string {
	return netip.AddrPortFrom(s.settings.IP, uint16(s.settings.FirstInternalPort)).String()
}

// Run serves until the context ends, then hands over to the other members within the grace period. A signal on hup has it read its settings
// again.
func (s *Server) Run(ctx context.Context, hup <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(float64(s.settings.MemoryMB<<20) * memoryLimitRatio))
	if !s.restoreWithRetry(ctx) {
		return nil
	}
	var listenConfig net.ListenConfig
	peerListener, err := listenConfig.Listen(ctx, "tcp", s.peerAddr())
	if err != nil {
		return merry.Prepend(err, "listening for peers")
	}
	controlListener, err := listenConfig.Listen(ctx, "tcp", s.settings.ControlAddress)
	if err != nil {
		return merry.Prepend(err, "listening for replicas and operators")
	}
	httpServer := s.serveControl(controlListener)
	go s.acceptConnections(s.peerConns.Listen(peerListener))
	self := peersampling.Descriptor{Addr: s.peerAddr(), Role: peersampling.RoleControlPlane, Zone: s.settings.Zone}
	if s.gossip, err = gossip.Start(ctx, self, s.settings.SeedPeerAddresses(), s.settings.DialAddress); err != nil {
		return err
	}
	if err := telemetry.Serve(ctx, s.settings.IP, s.settings.Metrics, telemetry.Source{Metrics: s.metricSet, Connections: s.metricsConns}); err != nil {
		return err
	}
	s.step(controller.Event{Start: true})
	if err := s.runUntilStopped(ctx, hup); err != nil {
		return err
	}
	s.shutdown(httpServer, peerListener)
	return nil
}

// serveControl serves the calls of replicas and operators.
func (s *Server) serveControl(listener net.Listener) *http.Server {
	server := &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnectionTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          s.logger.Std("", 0),
	}
	s.callerConns.Attach(server)
	go func() {
		if err := server.Serve(s.callerConns.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			s.serveErrors <- err
		}
	}()
	return server
}

// runUntilStopped runs tasks and ticks. Once the context has ended, the member leaves: what only it has must be at the others before it
// stops, unless the grace period runs out first.
func (s *Server) runUntilStopped(ctx context.Context, hup <-chan os.Signal) error {
	ticker := time.NewTicker(controller.TickInterval)
	defer ticker.Stop()
	shutdownRequested := ctx.Done()
	var shutdownDeadline <-chan time.Time
	for !s.stopped {
		select {
		case task := <-s.tasks:
			task()
		case <-ticker.C:
			s.tick()
		case err := <-s.serveErrors:
			return merry.Prepend(err, "serving")
		case <-hup:
			s.reloadSettings()
		case <-shutdownRequested:
			shutdownRequested = nil
			shutdownDeadline = time.After(max(s.settings.Bounds.GracePeriod-shutdownReserve, 0))
			s.step(controller.Event{Shutdown: true})
		case <-shutdownDeadline:
			s.logger.Warn().Str("event", "shutdown_deadline_exceeded").Msg("")
			s.stopped = true
		}
	}
	return nil
}

// shutdown answers the calls under way, for a moment, and closes what is open.
func (s *Server) shutdown(httpServer *http.Server, peerListener net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), responseDrainTimeout)
	defer cancel()
	done := make(chan error)
	go func() { done <- httpServer.Shutdown(ctx) }()
	for open := true; open; {
		select {
		case task := <-s.tasks:
			task()
		case err := <-done:
			if err != nil {
				s.logger.Info().Str("event", "calls_aborted").Err(err).Msg("")
			}
			open = false
		}
	}
	s.close(httpServer)
	s.close(peerListener)
	for _, stream := range s.streams {
		stream.Shutdown()
	}
	s.logger.Info().Str("event", "stopped").Msg("")
}

// close closes what is no longer needed. An error would change nothing: the other end sees the connection end in any case.
func (s *Server) close(closer io.Closer) {
	if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.logger.Debug().Str("event", "close_failed").Err(err).Msg("")
	}
}

// reloadSettings takes over new seeds; other settings hold from the start to the end.
func (s *Server) reloadSettings() {
	reloaded, err := nodesettings.Load()
	if err != nil {
		s.logger.Error().Str("event", "settings_rejected").Err(err).Msg("")
		return
	}
	s.settings.Seeds = reloaded.Seeds
	s.logger.Info().Str("event", "settings_loaded").Int("seeds", len(reloaded.Seeds)).Msg("")
}
