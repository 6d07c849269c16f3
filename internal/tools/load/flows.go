package load

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/internal/governor/resp"
)

const (
	// floodMargin is how long before and after the drain a proxy floods.
	floodMargin = 3 * time.Second
	// floodWriteTime is how long one burst of a flood goes on, and floodReports how many reports are written at a time.
	floodWriteTime = 900 * time.Millisecond
	floodReports   = 200
	// floodSequence keeps the sequence numbers of a flood's reports apart from the usual ones.
	floodSequence = 1000
)

// trafficGroups are the groups of the configuration, which a proxy's flows belong to in turn.
var trafficGroups = []string{"look", "edit", "pay"}

// generateFlows generates a second's flows at a time and reports them, until traffic has to end or the governor has gone.
func (p *proxy) generateFlows(ctx context.Context) {
	s := p.site
	offset := time.Duration(p.random.Int64N(int64(time.Second)))
	if s.plan.CollectorPhase == 0 {
		offset = 0
	}
	for second := 0; s.wait(ctx, offset+time.Duration(second)*time.Second); second++ {
		count := int(s.plan.FlowRate)
		p.sendFlows(count)
		if second > 0 && s.plan.ProxyReports {
			p.reportAttempts(second)
		}
		group := trafficGroups[second%len(trafficGroups)]
		if p.write("client_stats", "sidecar", strconv.Itoa(p.id), "kind", group, "n", strconv.Itoa(count), "bad", "0", "window", reportWindow) != nil {
			return
		}
		if now := s.elapsed(); s.plan.Flood && p.id == 0 && now > s.plan.DrainAt-floodMargin && now < s.plan.DrainAt+floodMargin {
			p.flood()
		}
	}
}

// sendFlows picks a replica by weight for each of so many flows, and counts the attempts. Those at a replica that hangs fail a
// second later.
func (p *proxy) sendFlows(count int) {
	stats := &p.site.zoneStats[p.id%p.site.plan.Zones]
	now := p.site.elapsed()
	p.mu.Lock()
	defer p.mu.Unlock()
	stats.mu.Lock()
	defer stats.mu.Unlock()
	for _, id := range p.pendingFailures {
		stats.attempts[id]++
		stats.failures[id]++
		p.attempts[id]++
		p.failures[id]++
	}
	p.pendingFailures = p.pendingFailures[:0]
	total := float32(0)
	for id, weight := range p.weights {
		if !p.ejected[id] {
			total += weight
		}
	}
	for range count {
		id, found := p.pick(p.random.Float32() * total)
		if !found {
			continue
		}
		if p.hangs(id, now) {
			p.pendingFailures = append(p.pendingFailures, id)
			continue
		}
		stats.attempts[id]++
		p.attempts[id]++
	}
}

// pick returns the replica that a draw by weight falls on, of those that are not ejected. The mutex must be held.
func (p *proxy) pick(draw float32) (id int, found bool) {
	for id, weight := range p.weights {
		if p.ejected[id] {
			continue
		}
		draw -= weight
		if draw <= 0 {
			return id, true
		}
	}
	return 0, false
}

// hangs reports whether a replica answers nothing to this proxy.
func (p *proxy) hangs(id int, now time.Duration) bool {
	plan := p.site.plan
	return id == hangingReplica && now > plan.HangAt || id == partialHangReplica && hasPartialHang(p.id) && now > plan.PartialHangAt
}

// reportAttempts reports what the proxy met at each replica since the last batch. A broken stream shows at the next write.
func (p *proxy) reportAttempts(sequence int) {
	var records []string
	for id, attempts := range p.attempts {
		if attempts > 0 {
			records = append(records, fmt.Sprintf("%s:%d:%d:%s", replicaName(id), attempts, p.failures[id], meanLatency))
		}
		p.attempts[id], p.failures[id] = 0, 0
	}
	if len(records) > 0 {
		_ = p.write("met", "sidecar", strconv.Itoa(p.id), "seq", strconv.Itoa(sequence), "sent", strconv.FormatInt(time.Now().UnixMilli(), 10),
			"age", "0", "window", "1000", "records", strings.Join(records, ","))
	}
}

// flood writes reports as fast as the governor takes them, for about a second. Its writes end by a deadline.
func (p *proxy) flood() {
	var burst []byte
	for i := range floodReports {
		if p.site.plan.ProxyReports {
			burst = resp.Append(burst, "met", "sidecar", strconv.Itoa(p.id), "seq", strconv.Itoa(floodSequence+i), "window", "1000",
				"records", "r-0005:1:1:0,r-0006:1:1:0")
		}
		burst = resp.Append(burst, "client_stats", "sidecar", strconv.Itoa(p.id), "kind", trafficGroups[0], "n", "1", "bad", "0", "window", reportWindow)
	}
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.conn.SetWriteDeadline(time.Now().Add(floodWriteTime)) != nil {
		return // closed: without a deadline the loop might not end
	}
	for {
		if _, err := p.conn.Write(burst); err != nil {
			break
		}
	}
	_ = p.conn.SetWriteDeadline(time.Time{}) // fails on a closed stream only, which shows at the next write
}
