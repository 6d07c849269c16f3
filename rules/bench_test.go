package rules

import (
	"fmt"
	"testing"
	"time"
)

// sizes are proxies of one governor and replicas.
var sizes = [][2]int{{250, 30}, {250, 120}, {250, 200}, {1280, 30}, {1280, 120}, {1280, 200}, {2400, 30}, {2400, 120}, {2400, 200}}

// grown is a governor of so many proxies, all bound, that has heard sums of all replicas for some periods.
func grown(proxies, replicas int) *play {
	s := site()
	s.Proxies, s.MessageLimit = proxies, 0
	s.EntryRate, s.EntryCapacity = 8*float64(proxies), 32*float64(proxies)
	s.FailuresToAvoid = 3
	p := newPlay(s, replicas, 0)
	for i := range proxies {
		p.proxies = append(p.proxies, Joined{Proxy: ProxyID(i), Zone: ZoneID(i % 2), FlowRate: 0.5, Fresh: true})
	}
	p.step(events(p.proxies)...)
	p.run(12)
	return p
}

func eachSize(b *testing.B, do func(b *testing.B, p *play)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("proxies=%d/replicas=%d", size[0], size[1]), func(b *testing.B) {
			p := grown(size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			do(b, p)
		})
	}
}

// drainChannel takes what waits as applied, so that the channel has room again.
func (p *play) drainChannel() {
	p.g.channel, p.g.queuedEntries = nil, 0
}

// BenchmarkJoin has a proxy come back and be bound, a Step each.
func BenchmarkJoin(b *testing.B) {
	eachSize(b, func(b *testing.B, p *play) {
		for b.Loop() {
			p.now += Time(time.Millisecond)
			p.drainChannel()
			p.g.Step(p.now, []Event{Joined{Proxy: 7, Zone: 1, FlowRate: 0.5}})
		}
	})
}

// BenchmarkList has a replica drain and another come back, a Step each.
func BenchmarkList(b *testing.B) {
	eachSize(b, func(b *testing.B, p *play) {
		state := Draining
		for b.Loop() {
			p.now += Time(10 * time.Millisecond)
			p.drainChannel()
			e := p.list[3]
			e.State = state
			p.g.Step(p.now, []Event{List{Scope: Changes, Entries: []Entry{e}}})
			state = Ready + Draining - state
		}
	})
}

// BenchmarkReview has the sums of a period come and be reviewed, in one Step.
func BenchmarkReview(b *testing.B) {
	eachSize(b, func(b *testing.B, p *play) {
		for b.Loop() {
			p.now += Time(time.Second)
			p.drainChannel()
			p.g.Step(p.now, append(p.sums(), Wake{TimerID: p.mark}))
		}
	})
}
