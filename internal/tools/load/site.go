package load

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Replicas affected by faults.
const (
	hangingReplica     = 0
	drainingReplica    = 1
	partialHangReplica = 2 // hangs for the proxies selected by hasPartialHang
)

const (
	fastReplicaInterval      = 4   // every fourth replica is fast
	partialHangProxyInterval = 100 // every hundredth proxy is affected by the partial hang
	partialHangProxyOffset   = 7
	// maxDrainDelay is the upper bound of the drain delay histogram.
	maxDrainDelay = time.Minute
	// histogramDigits is the histogram's precision in significant digits.
	histogramDigits = 3
)

func isFast(replica int) bool { return replica%fastReplicaInterval == 0 }

func hasPartialHang(proxy int) bool { return proxy%partialHangProxyInterval == partialHangProxyOffset }

const replicaPrefix = "r-"

func replicaName(id int) string { return fmt.Sprintf("%s%04d", replicaPrefix, id) }

func zoneName(zone int) string { return string(rune('a' + zone)) }

// site is the shared state of a run's governor, proxies, collectors and discovery.
type site struct {
	plan        Plan
	directory   string
	address     string       // of the governor
	start       atomic.Int64 // start of the plan's time in Unix nanoseconds; 0: not started
	drainSentAt atomic.Int64 // Unix nanoseconds of discovery's first response with the drain; 0: none
	discovery   *discovery
	zoneStats   []zoneStats
	stopped     chan struct{} // closed to stop traffic

	mu             sync.Mutex              // guards the fields below
	drainDelays    *hdrhistogram.Histogram // microseconds
	result         Result
	hangDetections int // number of proxies that have detected the hanging replica
}

// zoneStats counts the attempts of a zone's proxies since its collector's last report.
type zoneStats struct {
	mu       sync.Mutex
	attempts []int // by replica
	failures []int // by replica
}

func newSite(plan Plan) (*site, error) {
	directory, err := os.MkdirTemp("", "zinclab")
	if err != nil {
		return nil, fmt.Errorf("create directory for the run: %w", err)
	}
	s := &site{
		plan:        plan,
		directory:   directory,
		zoneStats:   make([]zoneStats, plan.Zones),
		stopped:     make(chan struct{}),
		drainDelays: hdrhistogram.New(1, int64(maxDrainDelay/time.Microsecond), histogramDigits),
		result:      Result{Proxies: plan.Proxies},
	}
	for zone := range s.zoneStats {
		s.zoneStats[zone].attempts, s.zoneStats[zone].failures = make([]int, plan.Replicas), make([]int, plan.Replicas)
	}
	if s.discovery, err = startDiscovery(s); err != nil {
		s.removeDirectory()
		return nil, err
	}
	return s, nil
}

// close stops discovery and removes the run's directory.
func (s *site) close() {
	s.discovery.close()
	s.removeDirectory()
}

func (s *site) removeDirectory() {
	_ = os.RemoveAll(s.directory) // a leftover temporary directory is harmless
}

// startTraffic starts the plan's time, the collectors and the proxies' flows. Its wait group is done when all of them have ended after
// stopped is closed.
func (s *site) startTraffic(ctx context.Context, proxies []*proxy) *sync.WaitGroup {
	s.start.Store(time.Now().UnixNano())
	traffic := &sync.WaitGroup{}
	for zone := range s.plan.Zones {
		traffic.Go(func() { s.collect(ctx, zone) })
	}
	for _, p := range proxies {
		traffic.Go(func() { p.generateFlows(ctx) })
	}
	return traffic
}

// timeAt converts a plan time to wall-clock time. The plan's time must have started.
func (s *site) timeAt(at time.Duration) time.Time { return time.Unix(0, s.start.Load()).Add(at) }

// elapsed returns the current plan time, negative before it starts.
func (s *site) elapsed() time.Duration {
	start := s.start.Load()
	if start == 0 {
		return -1
	}
	return time.Duration(time.Now().UnixNano() - start)
}

func (s *site) sleepUntil(at time.Duration) { time.Sleep(time.Until(s.timeAt(at))) }

// wait waits until a plan time. It returns false if traffic is stopped or ctx is done before.
func (s *site) wait(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(time.Until(s.timeAt(at))):
		return true
	case <-s.stopped:
	case <-ctx.Done():
	}
	return false
}
