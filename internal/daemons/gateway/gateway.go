// Package gateway is the data plane's process: it takes the requests of clients, forwards them to replicas by the
// endpoint table and the configuration that a control-plane member streams to it, and reports to that member what it
// observed.
//
// All decisions are made by dataplane/router, a state machine without I/O; this package owns the sockets, the clock and
// the lock around that state machine. internal/daemons/replica speaks HTTP/1.1 to the replicas.
package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/daemons/bodybuffer"
	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/gossip"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/replica"
	"zincloft.example/zincloft/internal/daemons/telemetry"
)

const (
	bodyMemoryShare     = 0.25                  // of the memory limit, for buffered request bodies
	headMemoryShare     = 0.02                  // of the memory limit, for bytes of incomplete heads, which take several times as much
	logRate             = 10                    // log lines a second that clients and replicas may cause
	logBurst            = 100                   // log lines that clients and replicas may cause at once
	slowRequestOverhead = 50 * time.Millisecond // time of a request spent outside replicas, from which the gateway counts as slow
	maxQueuedReports    = 64                    // observations, and misdirected endpoints, that wait for the control stream
	maxServeErrors      = 4                     // listeners that may fail at once
)

// Parts of the process's file descriptors. What is left is for the control stream, the gossip and files.
const (
	frontDescriptorShare     = 0.6
	replicaDescriptorShare   = 0.3
	readinessDescriptorShare = 0.02
	metricsDescriptorShare   = 0.01
)

// ErrMissingListener says that the settings name no address for clients or none for readiness checks.
var ErrMissingListener = merry.Sentinel("settings: network_settings.listen_addresses: a gateway needs front and readiness")

// Gateway is one gateway process. It is made by New and served by Run.
type Gateway struct {
	settings  *nodesettings.Settings
	logger    *log.Logger
	startedAt time.Time

	config   atomic.Pointer[gatewayconfig.Config] // nil until the first one was received
	hasTable atomic.Bool                          // a full endpoint table was received
	draining atomic.Bool                          // for a maintenance window
	stopping atomic.Bool                          // the process is shutting down

	frontServerOnce sync.Once // guards the start of server
	frontListener   net.Listener
	server          atomic.Pointer[http.Server] // nil until clients are served
	serveErrors     chan error
	bodyBudget      *bodybuffer.Budget // bodies wait here until they are complete: a slow client keeps no replica busy, and a retry sends the same bytes
	headBudget      *bodybuffer.Budget // what incomplete heads hold beyond freeHeadBytes

	// Connections by purpose, each with a share of the file descriptors.
	frontConns     *connlimit.Limiter // of clients
	readinessConns *connlimit.Limiter
	metricsConns   *connlimit.Limiter

	pool   *replica.Pool
	gossip *gossip.Shuffler

	observations chan fleet.Observation // failures that the control plane is to hear of at once
	misdirected  chan string            // endpoints whose address belongs to another instance
	cpuTime      time.Duration          // used by the process until the last report; owned by the report loop

	logLimiter *rate.Limiter // bounds log lines that clients and replicas cause

	metrics  *gatewayMetrics
	counters *eventCounters
	failures failureLog

	mu     sync.Mutex // guards what follows, and settings.Seeds
	router *router.Router
}

// New makes a gateway from its settings. It opens no socket; ErrMissingListener is returned where an address is missing.
func New(settings *nodesettings.Settings, logger *log.Logger) (*Gateway, error) {
	if settings.FrontAddress == "" || settings.ReadinessAddress == "" {
		return nil, ErrMissingListener
	}
	set := telemetry.NewMetrics()
	g := &Gateway{
		settings:    settings,
		logger:      logger,
		startedAt:   time.Now(),
		serveErrors: make(chan error, maxServeErrors),
		bodyBudget:  bodybuffer.New(int64(float64(settings.MemoryMB<<20) * bodyMemoryShare)),
		headBudget:  bodybuffer.New(int64(float64(settings.MemoryMB<<20) * headMemoryShare)),
		pool:        replica.NewPool(connlimit.Share(settings.FileDescriptors, replicaDescriptorShare)),

		frontConns:     connlimit.New("front", connlimit.Share(settings.FileDescriptors, frontDescriptorShare), logger),
		readinessConns: connlimit.New("readiness", connlimit.Share(settings.FileDescriptors, readinessDescriptorShare), logger),
		metricsConns:   connlimit.New("figures", connlimit.Share(settings.FileDescriptors, metricsDescriptorShare), logger),

		observations: make(chan fleet.Observation, maxQueuedReports),
		misdirected:  make(chan string, maxQueuedReports),
		logLimiter:   rate.NewLimiter(logRate, logBurst),
		router: router.New(router.Settings{
			Zone:          settings.Zone,
			Zones:         len(settings.ZoneRegions),
			RetryRatio:    settings.Bounds.RetryBudgetRatio,
			RetrySlack:    settings.Bounds.RetryBudgetSlack,
			RetryWindow:   settings.Bounds.RetryBudgetWindow,
			WarmupOverage: settings.Bounds.WarmupOverage,
			WarmupSlack:   settings.Bounds.WarmupSlack,
			Seed:          rand.Uint64(),
		}),
		counters: newEventCounters(set),
	}
	g.metrics = newGatewayMetrics(set, g)
	return g, nil
}

// now is the router's clock: the time since the gateway was made.
func (g *Gateway) now() time.Duration { return time.Since(g.startedAt) }

// pickedEndpoint is the endpoint of an attempt, and the control plane's update that it was picked by.
type pickedEndpoint struct {
	router.PickResult
	tableUpdate uint64
}

// pick chooses the endpoint of an attempt.
func (g *Gateway) pick(request router.PickRequest) pickedEndpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return pickedEndpoint{g.router.Pick(g.now(), request), g.router.UpdateCount()}
}

// startRequest counts a client's request. It must be followed by endRequest.
func (g *Gateway) startRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.StartRequest(g.now(), service)
}

// endRequest counts the end of a client's request, and whether the gateway itself delayed it: atReplicas is the part of
// its total time that attempts took.
func (g *Gateway) endRequest(idempotent bool, total, attemptTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.EndRequest(g.now(), idempotent, total-attemptTime > slowRequestOverhead)
}

// rejectsRequests tells whether a draining gateway turns requests away by now.
func (g *Gateway) rejectsRequests() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.RejectsRequests(g.now())
}

// tryRetry withdraws one retry from the service's budget, if it holds one.
func (g *Gateway) tryRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.TryRetry(g.now(), service)
}
