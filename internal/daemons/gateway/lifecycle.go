package gateway

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

	"github.com/ansel1/merry/v2"
	"github.com/go-chi/chi/v5"

	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/daemons/gossip"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/telemetry"
	"zincloft.example/zincloft/peersampling"
)

const (
	sweepInterval              = time.Second // between checks for expired idle connections and changed settings
	readinessReadHeaderTimeout = 3 * time.Second
	readinessIdleTimeout       = 2 * time.Minute // longer than the check interval, so that checks reuse their connection
	readinessMaxHeaderBytes    = 8 << 10
	exitTimeReserve            = 300 * time.Millisecond // part of the grace period reserved for process exit
	closeUnusedInterval        = 20 * time.Millisecond
	minServerHeaderBytes       = 64 << 10               // limit of http.Server; handleRequest enforces the configured one
	unconfiguredServeDelay     = 500 * time.Millisecond // after the start, until clients are served without a configuration; less than the second that they wait for their request to be read
	gcMemoryShare              = 0.6                    // of the memory limit, passed to the garbage collector
)

// Run serves until ctx is done, then shuts down gracefully within the grace period. Each value on reload triggers a reload
// of the settings. It returns an error if a listener cannot be opened or fails.
func (g *Gateway) Run(ctx context.Context, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(float64(g.settings.MemoryMB<<20) * gcMemoryShare))
	readinessServer, err := g.listen(ctx)
	if err != nil {
		return err
	}
	defer closeQuietly(readinessServer)
	// The control stream outlives ctx, as maintenance drains still apply during shutdown.
	streamContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := telemetry.Source{Metrics: g.metrics.set, Connections: g.metricsConns, Records: map[string]func() any{
		telemetry.FailuresPath:     func() any { return g.failures.newest() },
		telemetry.SlowRequestsPath: func() any { return g.slowRequests.newest() },
	}}
	if err := telemetry.Serve(streamContext, g.settings.IP, g.settings.Metrics, source); err != nil {
		return err
	}
	if err := g.startGossip(streamContext); err != nil {
		return err
	}
	go g.maintainControlStream(streamContext)
	openUnconfigured := time.AfterFunc(unconfiguredServeDelay, func() { g.startFrontServer(unconfiguredLimits) })
	defer openUnconfigured.Stop()
	g.logger.Info().Str("event", "started").Str("name", g.settings.Name).Str("zone", g.settings.Zone).Str("front", g.settings.FrontAddress).Msg("gateway started")
	return g.loop(ctx, reload)
}

// listen opens the listeners for readiness checks and for clients, and starts serving readiness checks.
func (g *Gateway) listen(ctx context.Context) (*http.Server, error) {
	var config net.ListenConfig
	readinessListener, err := config.Listen(ctx, "tcp", g.settings.ReadinessAddress)
	if err != nil {
		return nil, merry.Prepend(err, "listening for readiness")
	}
	if g.frontListener, err = config.Listen(ctx, "tcp", g.settings.FrontAddress); err != nil {
		return nil, merry.Prepend(err, "listening for clients")
	}
	mux := chi.NewRouter()
	mux.Get("/api/readiness", g.handleReadiness)
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readinessReadHeaderTimeout,
		IdleTimeout:       readinessIdleTimeout,
		MaxHeaderBytes:    readinessMaxHeaderBytes,
		ErrorLog:          g.logger.Std("", 0),
	}
	g.readinessConns.Attach(server)
	go func() { g.serveErrors <- server.Serve(g.readinessConns.Listen(readinessListener)) }()
	return server, nil
}

// startGossip joins the gossip on the highest free internal port, as other processes of the machine may use some ports of
// the range.
func (g *Gateway) startGossip(ctx context.Context) (err error) {
	for port := g.settings.LastInternalPort; g.gossip == nil; port-- {
		self := peersampling.Descriptor{
			Addr: netip.AddrPortFrom(g.settings.IP, uint16(port)).String(),
			Role: peersampling.RoleGateway,
			Zone: g.settings.Zone,
		}
		if g.gossip, err = gossip.Start(ctx, self, g.settings.SeedPeerAddresses(), g.settings.DialAddress); err != nil && port <= g.settings.FirstInternalPort {
			return err
		}
	}
	return nil
}

// loop runs the periodic tasks until ctx is done or a listener fails.
func (g *Gateway) loop(ctx context.Context, reload <-chan os.Signal) error {
	sweep, counters := time.NewTicker(sweepInterval), time.NewTicker(countersInterval)
	defer sweep.Stop()
	defer counters.Stop()
	for {
		select {
		case err := <-g.serveErrors:
			return merry.Prepend(err, "serving")
		case <-sweep.C:
			g.pool.Sweep(time.Now())
			if nodesettings.FileChanged() { // reload does not require a signal
				g.reloadSettings()
			}
		case <-counters.C:
			g.logCounters()
		case <-reload:
			g.reloadSettings()
		case <-ctx.Done():
			g.logger.Info().Str("event", "stopping").Msg("gateway is shutting down")
			g.shutdown()
			g.logCounters()
			g.logger.Info().Str("event", "stopped").Msg("gateway stopped")
			return nil
		}
	}
}

// unconfiguredLimits are the limits of http.Server if it starts without a configuration. MaxHeaderBytes is generous, as
// handleRequest enforces the limit of the current configuration.
var unconfiguredLimits = gatewayconfig.Limits{MaxHeaderBytes: http.DefaultMaxHeaderBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// startFrontServer starts serving clients when the first configuration arrives, or after unconfiguredServeDelay without
// one, so that clients get a 503 instead of waiting. http.Server keeps the limits passed here; clientConn and handleRequest
// apply those of the current configuration.
func (g *Gateway) startFrontServer(limits gatewayconfig.Limits) {
	g.frontServerOnce.Do(func() {
		mux := chi.NewRouter()
		mux.Handle("/*", http.HandlerFunc(g.handleRequest))
		mux.NotFound(g.handleRequest)
		mux.MethodNotAllowed(g.handleRequest)
		server := &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    max(int(limits.MaxHeaderBytes), minServerHeaderBytes),
			ErrorLog:          g.logger.Std("", 0),
			ConnContext:       withClientConn,
			ConnState:         onConnState,
		}
		g.frontConns.Attach(server)
		g.server.Store(server)
		listener := clientListener{g.frontConns.Listen(g.frontListener), g}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				g.serveErrors <- err
			}
		}()
	})
}

// handleReadiness answers 200 if the gateway is ready, otherwise 503.
func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether the gateway has a configuration and an endpoint table and is neither draining nor stopping.
func (g *Gateway) isReady() bool {
	return !g.stopping.Load() && !g.draining.Load() && g.config.Load() != nil && g.hasTable.Load()
}

// shutdown first reports not ready, then closes connections with their next response and waits for requests in flight, all
// within the grace period.
func (g *Gateway) shutdown() {
	g.stopping.Store(true)
	deadline := time.Now().Add(g.settings.Bounds.GracePeriod - exitTimeReserve)
	g.startFrontServer(unconfiguredLimits) // if not started yet: clients in the accept queue get a 503
	time.Sleep(min(router.ReadinessPropagation, g.settings.Bounds.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := g.shutdownServer(ctx); err != nil {
		g.logger.Info().Str("event", "shutdown_incomplete").Err(err).Msg("grace period ended before all requests were answered")
	}
}

// shutdownServer stops the server once the requests in flight are answered. It closes connections without data itself, as
// http.Server.Shutdown waits five seconds for them.
func (g *Gateway) shutdownServer(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- g.server.Load().Shutdown(ctx) }()
	ticker := time.NewTicker(closeUnusedInterval)
	defer ticker.Stop()
	for {
		g.frontConns.CloseNew()
		select {
		case err := <-done:
			return err
		case <-ticker.C:
		}
	}
}

// closeQuietly closes c and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }

// reloadSettings reloads the settings file. Only the seeds can be changed at run time.
func (g *Gateway) reloadSettings() {
	settings, err := nodesettings.Load()
	if err != nil {
		g.logger.Error().Str("event", "settings_rejected").Err(err).Msg("settings could not be reloaded; the previous seed addresses stay in use")
		return
	}
	g.mu.Lock()
	g.settings.Seeds = settings.Seeds
	g.mu.Unlock()
	g.logger.Info().Str("event", "settings_loaded").Int("seeds", len(settings.Seeds)).Msg("seed addresses reloaded")
}
