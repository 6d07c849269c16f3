package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// play hands events to one governor and keeps a trace of what it orders, wake-ups left out.
type play struct {
	g       Governor
	now     Time
	mark    uint64
	list    []Entry
	proxies []Joined
	silent  bool // proxies do not confirm what they applied
	failing map[ReplicaID]float64
	hung    map[ReplicaID]bool
	load    map[ReplicaID]float64
	held    map[ReplicaID]float64
	flows   int // a period, over all replicas
	took    time.Duration
	slow    ReplicaID // takes three times as long
	turns   int       // a replica is heard of once in so many periods
	busy    ProxyID   // gets three times the flows of the others, if not 0
	version uint16
	trace   strings.Builder
}

const ms = Time(time.Millisecond)

// site is a small deployment: two zones, a retriable, a deduped and a non-retriable traffic group.
func site() Settings {
	return Settings{
		Groups: []TrafficGroup{
			{Name: "look", LatencyBudget: time.Second, Expiry: 3 * time.Second, Utility: 1, Effect: Retriable},
			{Name: "edit", LatencyBudget: 2 * time.Second, Expiry: 5 * time.Second, Utility: 3, Effect: Deduped,
				DedupedByAll: true, Window: 5 * time.Second, Writes: true},
			{Name: "pay", LatencyBudget: 2 * time.Second, Expiry: 5 * time.Second, Utility: 4, Writes: true},
		},
		Governors: 1, Proxies: 3, Zones: 2, Levels: LevelShare, Period: time.Second, EntryRate: 3000, EntryCapacity: 3000, MessageEntries: 4,
		MessageSpan: 10 * time.Second, MaxMessageDelay: 400 * time.Millisecond, FirstAttemptBudgets: 0.8, MaxUnboundTime: 5 * time.Second,
		DrainGrace: 2 * time.Second, ListRequestDeadline: 10 * time.Second, WarmupTime: 18 * time.Second, ColdCapacity: 0.2,
		OverloadMultiple: 4, OverloadTime: 2 * time.Second,
	}
}

// newPlay starts a governor with n replicas of alternating zones, and m proxies that join at once.
func newPlay(s Settings, n, m int) *play {
	p := &play{now: 1000 * Time(time.Second), turns: 1, took: 200 * time.Millisecond, failing: map[ReplicaID]float64{}, hung: map[ReplicaID]bool{},
		load: map[ReplicaID]float64{}, flows: 10 * n}
	for i := range n {
		id := ReplicaID(i + 1)
		p.list = append(p.list, Entry{Replica: id, Zone: ZoneID(i % 2), State: Ready, Listed: 1})
		p.load[id] = 0.5
	}
	p.step(Start{Seed: 7, Settings: s}, List{Scope: Cached, Entries: p.list})
	for i := range m {
		p.proxies = append(p.proxies, Joined{Proxy: ProxyID(i), Zone: ZoneID(i % 2), FlowRate: 5, Fresh: true})
	}
	if m > 0 {
		p.step(events(p.proxies)...)
	}
	return p
}

func events[E Event](list []E) []Event {
	var out []Event
	for _, e := range list {
		out = append(out, e)
	}
	return out
}

// step hands over events, writes down the orders, and lets the proxies confirm them.
func (p *play) step(events ...Event) {
	var shown []string
	for _, o := range p.g.Step(p.now, events) {
		switch o := o.(type) {
		case WakeAfter:
			p.mark = o.TimerID
		case AckRequest:
			p.version = o.Version
		case EndpointWeight:
			shown = append(shown, fmt.Sprintf("t%d r%d %.1f", o.Table, o.Replica, o.Weight))
		case Admit:
			shown = append(shown, fmt.Sprintf("admit t%d g%b %.2f retry %d", o.Table, o.Groups, o.Level, o.Retry))
		case Bind:
			shown = append(shown, fmt.Sprintf("bind p%d t%d g%b", o.Proxy, o.Table, o.Groups))
		default:
			shown = append(shown, testkit.TraceType(o)+testkit.TraceValue(o))
		}
	}
	if len(shown) > 0 {
		fmt.Fprintf(&p.trace, "%7.2f  %s\n", float64(p.now-1000*Time(time.Second))/float64(time.Second),
			strings.Join(shown, "; "))
	}
}

// note writes a line for the reader.
func (p *play) note(text string) { fmt.Fprintf(&p.trace, "# %s\n", text) }

// run lets time pass, with a wake each quarter of a second and sums each second.
func (p *play) run(seconds int) {
	for range seconds {
		for q := range 4 {
			p.now += 250 * ms
			var in []Event
			if q == 0 && !p.silent {
				for _, j := range p.proxies {
					in = append(in, Applied{Proxy: j.Proxy, Version: p.version})
				}
			}
			if q == 3 && len(p.proxies) > 0 {
				in = append(in, p.sums()...)
			}
			p.step(append(in, Wake{TimerID: p.mark})...)
		}
	}
}

// sums spreads the flows over the replicas by the governor's own lines.
func (p *play) sums() []Event {
	var out []Event
	total := 0.0
	for _, r := range p.g.replicas {
		total += r.sentWeight(common)
	}
	for _, r := range p.g.replicas {
		tries := int(float64(p.flows)*r.sentWeight(common)/max(total, 1) + 0.5)
		s := EndpointStats{Replica: r.id, Attempts: tries * p.turns, Window: time.Second * time.Duration(p.turns),
			Dropped: int(float64(tries*p.turns)*p.failing[r.id] + 0.5), MeanLatency: p.took, Report: LoadReport{Utilization: p.load[r.id], InFlight: p.held[r.id]}}
		if r.id == p.slow {
			s.MeanLatency *= 3
		}
		turn := (int(r.id)+int(p.now/1000/ms))%p.turns == 0
		if tries > 0 && !p.hung[r.id] && turn {
			out = append(out, s)
		}
	}
	for _, j := range p.proxies {
		for g := range 3 {
			n := p.flows / len(p.proxies) / 3
			if p.busy != 0 && j.Proxy == p.busy {
				n *= 3
			}
			out = append(out, GroupTraffic{Proxy: j.Proxy, Group: GroupID(g), Flows: n, Window: time.Second})
		}
	}
	return out
}

// change tells the governor of one replica's new state.
func (p *play) change(id ReplicaID, s State, started Time) {
	at := slices.IndexFunc(p.list, func(e Entry) bool { return e.Replica == id })
	p.list[at].State, p.list[at].StartedAt = s, started
	p.step(List{Scope: Changes, Entries: p.list[at : at+1]})
}

// check compares the trace with the one that is kept.
func (p *play) check(t *testing.T) {
	t.Helper()
	testkit.CompareTrace(t, p.trace.String())
}
