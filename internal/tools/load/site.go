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

// The replicas that faults hit.
const (
	hangingReplica     = 0
	drainingReplica    = 1
	partialHangReplica = 2 // hangs for the proxies of which hasPartialHang is true
)

const (
	fastReplicaInterval      = 4   // every fourth replica is fast
	partialHangProxyInterval = 100 // every hundredth proxy is hit by the partial fault
	partialHangProxyOffset   = 7
	// maxDrainDelay bounds the histogram of drain delays.
	maxDrainDelay = time.Minute
	// histogramDigits are its significant digits.
	histogramDigits = 3
)

func isFast(replica int) bool { return replica%fastReplicaInterval == 0 }

func hasPartialHang(proxy int) bool { return proxy%partialHangProxyInterval == partialHangProxyOffset }

// replicaPrefix begins the name of each replica.
const replicaPrefix = "r-"

func replicaName(id int) string { return fmt.Sprintf("%s%04d", replicaPrefix, id) }

func zoneName(zone int) string { return string(rune('a' + zone)) }

// site is a run under way: what governor, proxies, collectors and discovery have in common.
type site struct {
	plan        Plan
	folder      string
	address     string       // of the governor
	start       atomic.Int64 // unix nanoseconds at which the plan's time begins; 0: not yet
	drainSentAt atomic.Int64 // unix nanoseconds at which discovery answered with the drain; 0: not yet
	discovery   *discovery
	zoneStats   []zoneStats
	stopped     chan struct{} // closed when traffic has to end

	mu             sync.Mutex              // guards the fields below
	drainDelays    *hdrhistogram.Histogram // microseconds
	result         Result
	hangDetections int // proxies at which the replica that hangs has lost most of its weight
}

// zoneStats sums up the attempts of a zone's proxies since its collector last wrote.
type zoneStats struct {
	mu       sync.Mutex
	attempts []int // by replica
	failures []int // by replica
}

func newSite(plan Plan) (*site, error) {
	folder, err := os.MkdirTemp("", "zinclab")
	if err != nil {
		return nil, fmt.Errorf("a folder for the run: %w", err)
	}
	s := &site{
		plan:        plan,
		folder:      folder,
		zoneStats:   make([]zoneStats, plan.Zones),
		stopped:     make(chan struct{}),
		drainDelays: hdrhistogram.New(1, int64(maxDrainDelay/time.Microsecond), histogramDigits),
		result:      Result{Proxies: plan.Proxies},
	}
	for zone := range s.zoneStats {
		s.zoneStats[zone].attempts, s.zoneStats[zone].failures = make([]int, plan.Replicas), make([]int, plan.Replicas)
	}
	if s.discovery, err = startDiscovery(s); err != nil {
		s.removeFolder()
		return nil, err
	}
	return s, nil
}

// close ends discovery and removes the run's folder.
func (s *site) close() {
	s.discovery.close()
	s.removeFolder()
}

func (s *site) removeFolder() {
	_ = os.RemoveAll(s.folder) // a leftover in the temporary folder does no harm
}

// startTraffic begins the plan's time, the collectors' writing and the proxies' flows. The wait group is done when they have
// ended, after stopped is closed.
func (s *site) startTraffic(ctx context.Context, proxies []*proxy) *sync.WaitGroup {
	s.start.Store(time.Now().UnixNano())
	running := &sync.WaitGroup{}
	for zone := range s.plan.Zones {
		running.Go(func() { s.collect(ctx, zone) })
	}
	for _, p := range proxies {
		running.Go(func() { p.generateFlows(ctx) })
	}
	return running
}

// timeAt is the wall-clock time of a time of the plan, once it has begun.
func (s *site) timeAt(at time.Duration) time.Time { return time.Unix(0, s.start.Load()).Add(at) }

// elapsed is the time of the plan, below 0 before it begins.
func (s *site) elapsed() time.Duration {
	start := s.start.Load()
	if start == 0 {
		return -1
	}
	return time.Duration(time.Now().UnixNano() - start)
}

func (s *site) sleepUntil(at time.Duration) { time.Sleep(time.Until(s.timeAt(at))) }

// wait waits for a time of the plan. It reports false if traffic has to end before.
func (s *site) wait(ctx context.Context, at time.Duration) bool {
	select {
	case <-time.After(time.Until(s.timeAt(at))):
		return true
	case <-s.stopped:
	case <-ctx.Done():
	}
	return false
}
