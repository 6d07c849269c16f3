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
	sweepEvery  = time.Second
	countsEvery = 10 * time.Second
	heldUpHere  = 50 * time.Millisecond  // of a request's time, beside the replica's, from which this node counts as slow
	leastGrace  = 300 * time.Millisecond // of the grace period, kept for the end of the process itself
	bodyPart    = 0.25                   // of the memory limit, for requests' bodies
	linesRate   = 10                     // log lines a second that others cause
	linesBurst  = 100
	unusedEvery = 20 * time.Millisecond
	headsMost   = 64 << 10 // bytes that the server reads of a head; the configuration in force allows less
	connPart    = 0.7      // of the descriptors, for clients
	memoryPart  = 0.6      // of the memory limit, the garbage collector's goal
)

// Forager is one proxy governor.
type Forager struct {
	set      *nodesettings.Settings
	log      *log.Logger
	start    time.Time
	config   atomic.Pointer[gatewayconfig.Config]
	replicas *replica.Pool
	stopping atomic.Bool
	draining atomic.Bool   // for a maintenance window
	used     time.Duration // processor time at the last report
	tabled   atomic.Bool   // a whole table has come
	front    sync.Once
	server   *http.Server
	frontLn  net.Listener
	failed   chan error
	dance    *gossip.Shuffler
	bodies   bodies
	fell     chan outlier.Word
	gone     chan string // replicas whose address another one has

	unused unused
	lines  *rate.Limiter // of what others cause in the log

	mu     sync.Mutex
	brain  *router.Forager
	counts map[string]int
}

// New makes a forager from its settings.
func New(set *nodesettings.Settings, logger *log.Logger) (*Forager, error) {
	if set.FrontAddress == "" || set.ReadinessAddress == "" {
		return nil, merry.New("settings: network_settings.listen_addresses: a forager needs front and readiness")
	}
	brain := router.New(router.Settings{Zone: set.Zone, Zones: len(set.ZoneRegions), RetryRatio: set.Bounds.RetryBudgetRatio, RetrySlack: set.Bounds.RetryBudgetSlack,
		ColdTimes: set.Bounds.WarmupOverage, ColdSlack: set.Bounds.WarmupSlack, Seed: rand.Uint64()})
	return &Forager{set: set, log: logger, start: time.Now(), replicas: replica.NewPool(), brain: brain,
		counts: map[string]int{}, failed: make(chan error, 4), gone: make(chan string, 64), fell: make(chan outlier.Word, 64),
		lines: rate.NewLimiter(linesRate, linesBurst), bodies: bodies{most: int64(float64(set.MemoryMB<<20) * bodyPart)}}, nil
}

func (f *Forager) now() time.Duration { return time.Since(f.start) }

func (f *Forager) count(what string) {
	f.mu.Lock()
	f.counts[what]++
	f.mu.Unlock()
}

func (f *Forager) pick(a router.Ask) router.Picked {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brain.Pick(f.now(), a)
}

func (f *Forager) arrived(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brain.Arrived(service)
}

// done counts the end of a client's request, and whether it was held up here.
func (f *Forager) done(safe bool, took, there time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brain.Done(f.now(), safe, took-there > heldUpHere)
}

func (f *Forager) refuses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brain.Refuses(f.now())
}

func (f *Forager) spend(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brain.Spend(service)
}

// Run serves until the context ends, then ends in order.
func (f *Forager) Run(ctx context.Context, hup <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(float64(f.set.MemoryMB<<20) * memoryPart))
	ready, err := net.Listen("tcp", f.set.ReadinessAddress)
	if err != nil {
		return merry.Prepend(err, "listening for readiness")
	}
	if f.frontLn, err = net.Listen("tcp", f.set.FrontAddress); err != nil {
		return merry.Prepend(err, "listening for clients")
	}
	mux := chi.NewRouter()
	mux.Get("/api/readiness", f.readiness)
	readySrv := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
	go func() { f.failed <- readySrv.Serve(ready) }()
	defer readySrv.Close()
	following, cancel := context.WithCancel(context.Background()) // also while it ends: drains still count
	defer cancel()
	for port := f.set.LastInternalPort; f.dance == nil; port-- { // another process of this machine may have some of them
		self := peersampling.Descriptor{Addr: netip.AddrPortFrom(f.set.IP, uint16(port)).String(), Role: peersampling.RoleGateway, Zone: f.set.Zone}
		if f.dance, err = gossip.Start(following, self, f.set.SeedPeerAddresses()); err != nil && port <= f.set.FirstInternalPort {
			return err
		}
	}
	go f.follow(following)
	f.log.Info().Str("event", "start").Str("name", f.set.Name).Str("zone", f.set.Zone).Str("front", f.set.FrontAddress).Msg("")
	sweep, counts := time.NewTicker(sweepEvery), time.NewTicker(countsEvery)
	for {
		select {
		case err := <-f.failed:
			return merry.Prepend(err, "serving")
		case <-sweep.C:
			f.replicas.Sweep(time.Now())
			if nodesettings.FileChanged() { // without a signal
				f.reload()
			}
		case <-counts.C:
			f.logCounts()
		case <-hup:
			f.reload()
		case <-ctx.Done():
			f.log.Info().Str("event", "stopping").Msg("")
			f.stop()
			f.logCounts()
			f.log.Info().Str("event", "stopped").Msg("")
			return nil
		}
	}
}

// open starts to serve clients, with the limits of the first configuration.
func (f *Forager) open(c *gatewayconfig.Config) {
	f.front.Do(func() {
		mux := chi.NewRouter()
		mux.Handle("/*", http.HandlerFunc(f.serve))
		mux.NotFound(f.serve)
		mux.MethodNotAllowed(f.serve)
		f.server = &http.Server{Handler: mux, ReadHeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout,
			MaxHeaderBytes: max(int(c.Limits.MaxHeaderBytes), headsMost), ErrorLog: nil, ConnContext: withClient, ConnState: f.unused.state}
		f.server.ErrorLog = f.log.Std("", 0)
		go func() {
			if err := f.server.Serve(clients{netutil.LimitListener(f.frontLn, int(float64(f.set.FileDescriptors)*connPart)), f}); err != http.ErrServerClosed {
				f.failed <- err
			}
		}()
	})
}

func (f *Forager) readiness(w http.ResponseWriter, _ *http.Request) {
	if f.stopping.Load() || f.draining.Load() || f.config.Load() == nil || !f.tabled.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop ends in order: readiness falls, connections end by their answers, then what is under way ends.
func (f *Forager) stop() {
	f.stopping.Store(true)
	end := time.Now().Add(f.set.Bounds.GracePeriod - leastGrace)
	time.Sleep(min(router.LeaveFor, f.set.Bounds.GracePeriod/2))
	if f.server == nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	f.shut(ctx)
}

// shut ends the server once what is under way has its answer. It would wait five seconds for connections that have not
// had a request yet, as clients open them in advance; those are closed.
func (f *Forager) shut(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(ctx) }()
	again := time.NewTicker(unusedEvery)
	defer again.Stop()
	for {
		f.unused.close()
		select {
		case err := <-done:
			return err
		case <-again.C:
		}
	}
}

func (f *Forager) reload() {
	set, err := nodesettings.Load()
	if err != nil {
		f.log.Error().Str("event", "settings_refused").Err(err).Msg("")
		return
	}
	f.mu.Lock()
	f.set.Seeds = set.Seeds
	f.mu.Unlock()
	f.log.Info().Str("event", "settings_read").Int("seeds", len(set.Seeds)).Msg("")
}

func (f *Forager) logCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.counts) == 0 {
		return
	}
	e := f.log.Info().Str("event", "counts")
	for _, k := range sortedKeys(f.counts) {
		e = e.Int(k, f.counts[k])
	}
	e.Msg("")
	clear(f.counts)
}
