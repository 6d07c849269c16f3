// Package gateway is a proxy governor: it takes the requests of clients, sends them to replicas by the tables of a
// control-plane governor (a comb), and reports what it met.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-chi/chi/v5"
	"github.com/phuslu/log"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/gossip"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/replica"
	"zincloft.example/zincloft/peersampling"
)

const (
	sweepInterval         = time.Second
	countersInterval      = 10 * time.Second
	slowOverhead          = 50 * time.Millisecond  // of a request's time, beside the replica's, from which this node counts as slow
	exitReserve           = 300 * time.Millisecond // of the grace period, kept for the end of the process itself
	bodyMemoryShare       = 0.25                   // of the memory limit, for requests' bodies
	logRate               = 10                     // log lines a second that others cause
	logBurst              = 100
	closeUnusedInterval   = 20 * time.Millisecond
	minServerHeaderBytes  = 64 << 10 // bytes that the server reads of a head; the configuration in force allows less
	clientDescriptorShare = 0.7      // of the descriptors, for clients
	gcMemoryShare         = 0.6      // of the memory limit, the garbage collector's goal
)

// Gateway is one proxy governor.
type Gateway struct {
	settings      *nodesettings.Settings
	logger        *log.Logger
	startedAt     time.Time
	config        atomic.Pointer[gatewayconfig.Config]
	pool          *replica.Pool
	stopping      atomic.Bool
	draining      atomic.Bool   // for a maintenance window
	processorTime time.Duration // processor time at the last report
	hasTable      atomic.Bool   // a whole table has come
	frontOnce     sync.Once
	server        *http.Server
	frontListener net.Listener
	serveErrors   chan error
	gossip        *gossip.Shuffler
	bodyMemory    bodyMemory
	observations  chan outlier.Observation
	misdirected   chan string // replicas whose address another one has

	unusedConns unusedConns
	logLimiter  *rate.Limiter // of what others cause in the log

	mu       sync.Mutex
	router   *router.Router
	counters map[string]int
}

// New makes a forager from its settings.
func New(set *nodesettings.Settings, logger *log.Logger) (*Gateway, error) {
	if set.FrontAddress == "" || set.ReadinessAddress == "" {
		return nil, merry.New("settings: network_settings.listen_addresses: a forager needs front and readiness")
	}
	brain := router.New(router.Settings{Zone: set.Zone, Zones: len(set.ZoneRegions), RetryRatio: set.Bounds.RetryBudgetRatio, RetrySlack: set.Bounds.RetryBudgetSlack,
		WarmupOverage: set.Bounds.WarmupOverage, WarmupSlack: set.Bounds.WarmupSlack, Seed: rand.Uint64()})
	return &Gateway{settings: set, logger: logger, startedAt: time.Now(), pool: replica.NewPool(), router: brain,
		counters: map[string]int{}, serveErrors: make(chan error, 4), misdirected: make(chan string, 64), observations: make(chan outlier.Observation, 64),
		logLimiter: rate.NewLimiter(logRate, logBurst), bodyMemory: bodyMemory{limit: int64(float64(set.MemoryMB<<20) * bodyMemoryShare)}}, nil
}

func (g *Gateway) now() time.Duration { return time.Since(g.startedAt) }

func (g *Gateway) count(what string) {
	g.mu.Lock()
	g.counters[what]++
	g.mu.Unlock()
}

func (g *Gateway) pick(a router.PickRequest) router.PickResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Pick(g.now(), a)
}

func (g *Gateway) startRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.StartRequest(service)
}

// endRequest counts the end of a client's request, and whether it was held up here.
func (g *Gateway) endRequest(safe bool, total, atReplicas time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.EndRequest(g.now(), safe, total-atReplicas > slowOverhead)
}

func (g *Gateway) rejectsRequests() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.RejectsRequests(g.now())
}

func (g *Gateway) tryRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.TryRetry(service)
}

// Run serves until the context ends, then ends in order.
func (g *Gateway) Run(ctx context.Context, hup <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(float64(g.settings.MemoryMB<<20) * gcMemoryShare))
	ready, err := net.Listen("tcp", g.settings.ReadinessAddress)
	if err != nil {
		return merry.Prepend(err, "listening for readiness")
	}
	if g.frontListener, err = net.Listen("tcp", g.settings.FrontAddress); err != nil {
		return merry.Prepend(err, "listening for clients")
	}
	mux := chi.NewRouter()
	mux.Get("/api/readiness", g.handleReadiness)
	readySrv := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
	go func() { g.serveErrors <- readySrv.Serve(ready) }()
	defer readySrv.Close()
	following, cancel := context.WithCancel(context.Background()) // also while it ends: drains still count
	defer cancel()
	for port := g.settings.LastInternalPort; g.gossip == nil; port-- { // another process of this machine may have some of them
		self := peersampling.Descriptor{Addr: netip.AddrPortFrom(g.settings.IP, uint16(port)).String(), Role: peersampling.RoleGateway, Zone: g.settings.Zone}
		if g.gossip, err = gossip.Start(following, self, g.settings.SeedPeerAddresses()); err != nil && port <= g.settings.FirstInternalPort {
			return err
		}
	}
	go g.followControlPlane(following)
	g.logger.Info().Str("event", "start").Str("name", g.settings.Name).Str("zone", g.settings.Zone).Str("front", g.settings.FrontAddress).Msg("")
	sweep, counts := time.NewTicker(sweepInterval), time.NewTicker(countersInterval)
	for {
		select {
		case err := <-g.serveErrors:
			return merry.Prepend(err, "serving")
		case <-sweep.C:
			g.pool.Sweep(time.Now())
			if nodesettings.FileChanged() { // without a signal
				g.reloadSettings()
			}
		case <-counts.C:
			g.logCounters()
		case <-hup:
			g.reloadSettings()
		case <-ctx.Done():
			g.logger.Info().Str("event", "stopping").Msg("")
			g.shutdown()
			g.logCounters()
			g.logger.Info().Str("event", "stopped").Msg("")
			return nil
		}
	}
}

// openFront starts to serve clients, with the limits of the first configuration.
func (g *Gateway) openFront(c *gatewayconfig.Config) {
	g.frontOnce.Do(func() {
		mux := chi.NewRouter()
		mux.Handle("/*", http.HandlerFunc(g.handleRequest))
		mux.NotFound(g.handleRequest)
		mux.MethodNotAllowed(g.handleRequest)
		g.server = &http.Server{Handler: mux, ReadHeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout,
			MaxHeaderBytes: max(int(c.Limits.MaxHeaderBytes), minServerHeaderBytes), ErrorLog: nil, ConnContext: withClientConn, ConnState: g.unusedConns.connState}
		g.server.ErrorLog = g.logger.Std("", 0)
		go func() {
			if err := g.server.Serve(clientListener{netutil.LimitListener(g.frontListener, int(float64(g.settings.FileDescriptors)*clientDescriptorShare)), g}); err != http.ErrServerClosed {
				g.serveErrors <- err
			}
		}()
	})
}

func (g *Gateway) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.draining.Load() || g.config.Load() == nil || !g.hasTable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// shutdown ends in order: readiness falls, connections end by their answers, then what is under way ends.
func (g *Gateway) shutdown() {
	g.stopping.Store(true)
	end := time.Now().Add(g.settings.Bounds.GracePeriod - exitReserve)
	time.Sleep(min(router.ReadinessPropagation, g.settings.Bounds.GracePeriod/2))
	if g.server == nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	g.shutdownServer(ctx)
}

// shutdownServer ends the server once what is under way has its answer. It would wait five seconds for connections that have not
// had a request yet, as clients open them in advance; those are closed.
func (g *Gateway) shutdownServer(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- g.server.Shutdown(ctx) }()
	again := time.NewTicker(closeUnusedInterval)
	defer again.Stop()
	for {
		g.unusedConns.closeAll()
		select {
		case err := <-done:
			return err
		case <-again.C:
		}
	}
}

func (g *Gateway) reloadSettings() {
	set, err := nodesettings.Load()
	if err != nil {
		g.logger.Error().Str("event", "settings_refused").Err(err).Msg("")
		return
	}
	g.mu.Lock()
	g.settings.Seeds = set.Seeds
	g.mu.Unlock()
	g.logger.Info().Str("event", "settings_read").Int("seeds", len(set.Seeds)).Msg("")
}

func (g *Gateway) logCounters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.counters) == 0 {
		return
	}
	e := g.logger.Info().Str("event", "counts")
	for _, k := range sortedKeys(g.counters) {
		e = e.Int(k, g.counters[k])
	}
	e.Msg("")
	clear(g.counters)
}
