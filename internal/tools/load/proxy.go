package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"zincloft.example/zincloft/internal/governor/resp"
)

// Limits of a message to a proxy.
const (
	maxMessageBytes    = 64 << 20
	maxMessageElements = 64
)

// detectedPercent is the percentage of the proxies that must have detected the hanging replica.
const detectedPercent = 99

// proxy is a simulated proxy: a connection to the governor and the flows that it routes.
type proxy struct {
	site     *site
	id       int
	conn     net.Conn
	writeMu  sync.Mutex  // guards writes to conn
	hasTable atomic.Bool // has received a table
	random   *rand.Rand  // used only by generateFlows

	mu           sync.Mutex // guards the fields below
	weights      []float32  // by replica
	ejected      map[int]bool
	hangDetected bool    // the hanging replica's weight was cut to a quarter or less
	weightBefore float32 // weight of the hanging replica before the fault

	// Used only by generateFlows.
	attempts        []int // by replica, since the last report
	failures        []int
	pendingFailures []int // replicas of attempts that fail in the next second
}

// connectProxies connects all proxies and registers them as holding only their default table.
func (s *site) connectProxies(ctx context.Context) ([]*proxy, error) {
	proxies := make([]*proxy, s.plan.Proxies)
	for id := range proxies {
		conn, err := dial(ctx, s.address)
		if err != nil {
			return nil, fmt.Errorf("proxy %d: %w", id, err)
		}
		p := &proxy{
			site:     s,
			id:       id,
			conn:     conn,
			random:   rand.New(rand.NewPCG(s.plan.Seed, uint64(id))),
			weights:  make([]float32, s.plan.Replicas),
			attempts: make([]int, s.plan.Replicas),
			failures: make([]int, s.plan.Replicas),
		}
		proxies[id] = p
		go p.readMessages()
		err = p.write("attach", "sidecar", strconv.Itoa(id), "az", zoneName(id%s.plan.Zones), "share", fmt.Sprint(s.plan.FlowRate), "standing", "1")
		if err != nil {
			return nil, fmt.Errorf("proxy %d: %w", id, err)
		}
	}
	return proxies, ctx.Err()
}

func (p *proxy) close() { closeQuietly(p.conn) }

func (p *proxy) write(words ...string) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	_, err := p.conn.Write(resp.Append(nil, words...))
	return err
}

// currentWeights returns a copy of the weights.
func (p *proxy) currentWeights() []float32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]float32(nil), p.weights...)
}

// readMessages applies and acknowledges the governor's updates until the connection fails.
func (p *proxy) readMessages() {
	reader := resp.NewReader(p.conn, maxMessageBytes, maxMessageElements)
	for {
		words, err := reader.NextStrings()
		if err != nil {
			return
		}
		if words[0] != "assign" {
			continue
		}
		fields := map[string]string{}
		for i := 1; i+1 < len(words); i += 2 {
			fields[words[i]] = words[i+1]
		}
		p.apply(fields)
		version, lastPart := fields["nonce_out"], fields["continued"] == ""
		if version == "" || !lastPart {
			continue
		}
		if p.write("done", "sidecar", strconv.Itoa(p.id), "version", version, "lag_ms", "1.0") != nil {
			return
		}
	}
}

// tableChange describes the effects of an update that a run measures.
type tableChange struct {
	cuts         int  // weights of healthy replicas cut to less than a quarter
	drained      bool // the draining replica's weight became 0
	hangDetected bool // the hanging replica was detected by this update
}

// apply applies an update and records measurements.
func (p *proxy) apply(fields map[string]string) {
	s, now := p.site, p.site.elapsed()
	p.mu.Lock()
	defer p.mu.Unlock()
	if fields["full"] == "1" {
		clear(p.weights)
	}
	change := p.updateWeights(fields["endpoints"], now)
	drainSentAt := s.drainSentAt.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Messages++
	s.result.WeightCuts += change.cuts
	if change.drained && drainSentAt > 0 {
		delay := time.Duration(time.Now().UnixNano() - drainSentAt)
		_ = s.drainDelays.RecordValue(delay.Microseconds()) // fails only beyond maxDrainDelay, which no run reaches
	}
	if change.hangDetected {
		s.hangDetections++
		if s.hangDetections == percentOf(s.plan.Proxies, detectedPercent) {
			s.result.HangDetectedAfter = now - s.plan.HangAt
		}
	}
	p.applyEjections(fields["eject"], true, now)
	p.applyEjections(fields["restore"], false, now)
}

// percentOf returns a percentage of n, rounded up.
func percentOf(n, percent int) int { return (n*percent + 99) / 100 }

// updateWeights sets the weights listed in an update. The caller must hold p.mu.
func (p *proxy) updateWeights(endpoints string, now time.Duration) tableChange {
	plan := p.site.plan
	var change tableChange
	for endpoint := range strings.SplitSeq(endpoints, ",") {
		name, text, ok := strings.Cut(endpoint, ":")
		if !ok {
			continue
		}
		id := replicaNumber(name)
		weight, _ := strconv.ParseFloat(text, 32)
		before := p.weights[id]
		p.weights[id] = float32(weight)
		faulty := id == hangingReplica && now > plan.HangAt || id == drainingReplica && now > plan.DrainAt
		if now > 0 && !faulty && weight < float64(before)/4 {
			change.cuts++
		}
		if id == drainingReplica && weight == 0 && before > 0 && now > plan.DrainAt {
			change.drained = true
		}
	}
	if p.totalWeight() > 0 {
		p.hasTable.Store(true)
	}
	if now < plan.HangAt {
		p.weightBefore = p.weights[hangingReplica]
	}
	detectedBefore := p.hangDetected
	p.hangDetected = now > plan.HangAt && p.weights[hangingReplica] <= p.weightBefore/4
	change.hangDetected = p.hangDetected && !detectedBefore
	return change
}

// totalWeight returns the sum of all weights, including those of ejected replicas. The caller must hold p.mu.
func (p *proxy) totalWeight() float32 {
	total := float32(0)
	for _, weight := range p.weights {
		total += weight
	}
	return total
}

// applyEjections ejects or restores the listed replicas and counts ejections as correct or wrong. The caller must hold the mutexes of
// the proxy and the site.
func (p *proxy) applyEjections(names string, eject bool, now time.Duration) {
	s := p.site
	for name := range strings.SplitSeq(names, ",") {
		if name == "" {
			continue
		}
		id := replicaNumber(name)
		if p.ejected == nil {
			p.ejected = map[int]bool{}
		}
		p.ejected[id] = eject
		if !eject {
			continue
		}
		if id != partialHangReplica || !hasPartialHang(p.id) || now <= s.plan.PartialHangAt {
			s.result.WrongEjections++
			continue
		}
		s.result.CorrectEjections++
		if s.result.PartialHangDetectedAfter == 0 {
			s.result.PartialHangDetectedAfter = now - s.plan.PartialHangAt
		}
	}
}

// replicaNumber is the inverse of replicaName.
func replicaNumber(name string) int {
	id, _ := strconv.Atoi(strings.TrimPrefix(name, replicaPrefix)) // names are those that discovery listed
	return id
}
