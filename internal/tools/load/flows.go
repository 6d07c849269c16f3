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
	// floodMargin is the duration of the flood before and after the drain.
	floodMargin = 3 * time.Second
	// floodWriteTime is the duration of one burst of a flood, and floodReports the number of reports in one write.
	floodWriteTime = 900 * time.Millisecond
	floodReports   = 200
	// floodSequence is the first sequence number of a flood's reports, above those of the regular reports.
	floodSequence = 1000
)

// trafficGroups are the configured traffic groups, which a proxy uses in turn.
var trafficGroups = []string{"look", "edit", "pay"}

// generateFlows generates and reports flows once per second until traffic is stopped or the connection fails.
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

// sendFlows picks a replica by weight for each flow and counts the attempts. Attempts at a hanging replica are counted as failed by
// the next call.
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

// pick returns the replica at a random position in the cumulative weights of the replicas that are not ejected. The caller must hold
// p.mu.
func (p *proxy) pick(position float32) (id int, found bool) {
	for id, weight := range p.weights {
		if p.ejected[id] {
			continue
		}
		position -= weight
		if position <= 0 {
			return id, true
		}
	}
	return 0, false
}

// hangs reports whether a replica does not respond to this proxy.
func (p *proxy) hangs(id int, now time.Duration) bool {
	plan := p.site.plan
	return id == hangingReplica && now > plan.HangAt || id == partialHangReplica && hasPartialHang(p.id) && now > plan.PartialHangAt
}

// reportAttempts reports the attempts and failures at each replica since the last report. A write error is ignored because the next
// write by generateFlows fails too.
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

// flood writes reports as fast as the governor reads them, until floodWriteTime has passed.
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
		return // without a deadline the loop might not end
	}
	for {
		if _, err := p.conn.Write(burst); err != nil {
			break
		}
	}
	_ = p.conn.SetWriteDeadline(time.Time{}) // fails only if the connection is closed, which the next write reports
}
