// Package gateway implements the data-plane process. It forwards client requests to replicas according to the endpoint
// table and configuration streamed by a control-plane member, and reports load and failures back to that member.
//
// Routing decisions are made by dataplane/router, a state machine without I/O. This package owns the sockets, the clock
// and the lock that guards the state machine. internal/daemons/replica implements HTTP/1.1 towards replicas.
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
	headMemoryShare     = 0.02                  // of the memory limit, for incomplete heads; parsing needs several times their size
	logRate             = 10                    // log lines per second caused by clients and replicas
	logBurst            = 100                   // log lines in a burst
	reasonLogRate       = 1                     // log lines per second of requests that failed for the same reason
	reasonLogBurst      = 20                    // log lines in a burst for the same reason
	maxLoggedReasons    = 32                    // reasons with a limit of their own; further ones share one
	slowRequestOverhead = 50 * time.Millisecond // time outside attempts above which a request counts as delayed by the gateway
	maxQueuedReports    = 64                    // queue lengths for observations and misdirected endpoints awaiting the control stream
	maxServeErrors      = 4                     // capacity for concurrent listener failures
)

// Shares of the process's file descriptors. The rest is left for the control stream, gossip and files.
const (
	frontDescriptorShare     = 0.6
	replicaDescriptorShare   = 0.3
	readinessDescriptorShare = 0.02
	metricsDescriptorShare   = 0.01
)

// ErrMissingListener is returned when the settings lack the listen address for clients or for readiness checks.
var ErrMissingListener = merry.Sentinel("settings: network_settings.listen_addresses: a gateway needs front and readiness")

// Gateway is a gateway process. Create it with New and start it with Run.
type Gateway struct {
	settings  *nodesettings.Settings
	logger    *log.Logger
	startedAt time.Time

	config          atomic.Pointer[gatewayconfig.Config] // nil until a configuration is received
	configAppliedAt atomic.Int64                         // when config came into force, in milliseconds since 1970; 0 if there is none

	hasTable atomic.Bool // a full endpoint table has been received
	draining atomic.Bool // a maintenance window is in progress
	stopping atomic.Bool // the process is shutting down

	frontServerOnce sync.Once // guards starting server
	frontListener   net.Listener
	server          atomic.Pointer[http.Server] // nil until clients are served
	serveErrors     chan error
	bodyBudget      *bodybuffer.Budget // request bodies, buffered completely so that slow clients do not occupy replicas and retries can resend them
	headBudget      *bodybuffer.Budget // memory of incomplete heads beyond uncountedHeadBytes

	// Each listener has its own share of the file descriptors.
	frontConns     *connlimit.Limiter // limits client connections
	readinessConns *connlimit.Limiter
	metricsConns   *connlimit.Limiter

	pool   *replica.Pool
	gossip *gossip.Shuffler

	observations chan fleet.Observation // failures to report immediately
	misdirected  chan string            // endpoints whose address belongs to another instance
	cpuTime      time.Duration          // of the process at the last report; owned by the report loop

	logLimiter    *rate.Limiter // limits log lines caused by clients and replicas, but for those of reasonLimiter
	reasonLimiter reasonLimiter // limits log lines of failed requests

	metrics  *gatewayMetrics
	counters *eventCounters
	failures failureLog

	slowRequests failureLog // answered after their latency targets

	mu        sync.Mutex // guards router, settings.Seeds and ownership.changed
	router    *router.Router
	ownership ownershipWaits
}

// New creates a gateway from its settings without opening sockets. It returns ErrMissingListener if a listen address is
// missing.
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
		counters:  newEventCounters(set),
		ownership: ownershipWaits{changed: make(chan struct{})},
	}
	g.metrics = newGatewayMetrics(set, g)
	return g, nil
}

// now is the router's clock: the time since the gateway was created.
func (g *Gateway) now() time.Duration { return time.Since(g.startedAt) }

// pickedEndpoint is the endpoint of an attempt and the number of the control-plane update in effect when it was picked.
type pickedEndpoint struct {
	router.PickResult
	tableUpdate uint64

	ownershipChanged <-chan struct{} // closed once the owners of shard keys may have changed since the pick
}

// pick selects the endpoint for an attempt.
func (g *Gateway) pick(request router.PickRequest) pickedEndpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return pickedEndpoint{g.router.Pick(g.now(), request), g.router.UpdateCount(), g.ownership.changed}
}

// startRequest counts a client request. Each call must be followed by endRequest.
func (g *Gateway) startRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.StartRequest(g.now(), service)
}

// endRequest counts the end of a client request. attemptTime is the part of total spent in attempts; the rest is overhead
// of the gateway.
func (g *Gateway) endRequest(idempotent bool, total, attemptTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.router.EndRequest(g.now(), idempotent, total-attemptTime > slowRequestOverhead)
}

// rejectsRequests reports whether a draining gateway already rejects requests.
func (g *Gateway) rejectsRequests() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.RejectsRequests(g.now())
}

// tryRetry takes one retry from the service's retry budget and reports whether one was available.
func (g *Gateway) tryRetry(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.TryRetry(g.now(), service)
}
