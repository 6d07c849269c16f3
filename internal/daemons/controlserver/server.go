// Package controlserver runs a control-plane member: its listeners, its persistent state and the HTTP API for replicas and operators.
//
// A single goroutine, that of Run, owns the state machine (package controller) and executes its actions. Connection handlers, HTTP handlers and
// disk writes run in their own goroutines and submit functions to it over a channel.
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
	"zincloft.example/zincloft/internal/daemons/grantclient"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/internal/daemons/statestore"
	"zincloft.example/zincloft/internal/daemons/telemetry"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/peersampling"
)

const (
	// shutdownReserve is the part of the grace period reserved for closing connections after the handover to the other members.
	shutdownReserve = time.Second

	// responseDrainTimeout limits how long shutdown waits for calls in progress.
	responseDrainTimeout = 200 * time.Millisecond

	readHeaderTimeout     = 3 * time.Second
	idleConnectionTimeout = 30 * time.Second

	// memoryLimitRatio is the fraction of the configured memory limit that is set as the Go runtime's memory limit.
	memoryLimitRatio = 0.6

	// bodyMemoryRatio is the fraction of the configured memory limit available to request bodies.
	bodyMemoryRatio = 0.25

	// maxInstancesPerMB is how many instances are tracked per megabyte of the configured memory limit. An instance takes about 1 kB, its share
	// of messages and of the persistent state included.
	maxInstancesPerMB = 200

	maxHeaderBytes = 16 << 10 // per call; limits the memory used by many concurrent callers

	taskQueueSize = 1024
)

// Server is a control-plane member. Fields that change after New are accessed only by the goroutine of Run.
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

	bodyBudget *bodybuffer.Budget // memory for request bodies

	// Connection limits per listener, each a share of the file descriptors.
	callerConns  *connlimit.Limiter // replicas and operators
	peerConns    *connlimit.Limiter // other members and gateways
	metricsConns *connlimit.Limiter

	// Connections with other members.
	hello           messages.Hello
	peers           map[string]*peertransport.Peer // by address
	lastSentAt      map[string]time.Duration       // by address
	inboundPeers    peertransport.InboundConns
	gossip          *gossip.Shuffler
	lastDiscoveryAt time.Duration

	// Pending calls and gateway streams, identified by tokens from one sequence.
	lastToken    uint64
	pendingCalls map[uint64]chan controller.Response
	streams      map[uint64]*peertransport.Conn

	replicaCalls *grantclient.Client // calls to replicas of sharded services
}

// New returns a member with the given settings, which must include a control address and a data directory.
func New(settings *nodesettings.Settings, logger *log.Logger) (*Server, error) {
	if settings.ControlAddress == "" {
		return nil, merry.New("settings: network_settings.listen_addresses.control: must be set for a control-plane member")
	}
	if settings.DataDir == "" {
		return nil, merry.New("settings: self_settings.data_directory: must be set for a control-plane member")
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
	s.replicaCalls = s.newReplicaCalls()
	s.metricSet = s.newMetrics()
	return s, nil
}

// now returns the time since New by the monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// enqueue schedules f on the goroutine of Run.
func (s *Server) enqueue(f func()) { s.tasks <- f }

// peerAddr returns the address on which this member listens for other members and gateways.
func (s *Server) peerAddr() string {
	return netip.AddrPortFrom(s.settings.IP, uint16(s.settings.FirstInternalPort)).String()
}

// Run serves until ctx is canceled and then hands over to the other members within the grace period. A signal on hup reloads the settings.
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

// serveControl starts the HTTP server for replicas and operators.
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

// runUntilStopped runs tasks and ticks. When ctx is canceled, the member leaves the group: it stops once the other members have all the state
// that only it holds, or when the grace period ends.
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
			s.logger.Warn().Str("event", "shutdown_deadline_exceeded").Msg("grace period ended before the handover to the other members was complete")
			s.stopped = true
		}
	}
	return nil
}

// shutdown waits up to responseDrainTimeout for calls in progress and closes all listeners and streams. Calls to replicas end at once.
func (s *Server) shutdown(httpServer *http.Server, peerListener net.Listener) {
	ctx, cancel := context.WithTimeout(context.Background(), responseDrainTimeout)
	defer cancel()
	done := make(chan error)
	go func() {
		s.replicaCalls.Close()
		done <- httpServer.Shutdown(ctx)
	}()
	for open := true; open; {
		select {
		case task := <-s.tasks:
			task()
		case err := <-done:
			if err != nil {
				s.logger.Info().Str("event", "calls_aborted").Err(err).Msg("calls still in progress at shutdown were aborted")
			}
			open = false
		}
	}
	s.close(httpServer)
	s.close(peerListener)
	for _, stream := range s.streams {
		stream.Shutdown()
	}
	s.logger.Info().Str("event", "stopped").Msg("control-plane member stopped")
}

// close closes a listener, server or connection. An error is only logged, because the remote end sees the connection end in any case.
func (s *Server) close(closer io.Closer) {
	if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.logger.Debug().Str("event", "close_failed").Err(err).Msg("closing a connection or listener failed")
	}
}

// reloadSettings applies changed seed addresses. Other settings take effect only at process start.
func (s *Server) reloadSettings() {
	reloaded, err := nodesettings.Load()
	if err != nil {
		s.logger.Error().Str("event", "settings_rejected").Err(err).Msg("settings could not be reloaded; the previous seed addresses stay in use")
		return
	}
	s.settings.Seeds = reloaded.Seeds
	s.logger.Info().Str("event", "settings_loaded").Int("seeds", len(reloaded.Seeds)).Msg("seed addresses reloaded")
}
