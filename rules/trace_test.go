package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// harness drives one governor and records its orders as a trace, except for timers and acknowledgement requests.
type harness struct {
	g            Governor
	now          Time
	timerID      uint64
	list         []Entry
	proxies      []Joined
	noAcks       bool // proxies do not acknowledge messages
	dropShares   map[ReplicaID]float64
	unresponsive map[ReplicaID]bool // replicas without statistics
	loads        map[ReplicaID]float64
	inFlight     map[ReplicaID]float64
	flows        int // per period, over all replicas
	latency      time.Duration
	slowReplica  ReplicaID // has three times the latency
	reportEvery  int       // periods between the statistics of a replica
	busyProxy    ProxyID   // receives three times the flows of the others; 0: none
	version      uint16
	trace        strings.Builder
}

const ms = Time(time.Millisecond)

// testSettings describe a site of two zones with a retriable, a deduped and a non-retriable traffic group.
func testSettings() Settings {
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

// newHarness starts a governor with replicas in alternating zones and with proxies that join at once.
func newHarness(s Settings, replicas, proxies int) *harness {
	h := &harness{now: 1000 * Time(time.Second), reportEvery: 1, latency: 200 * time.Millisecond, dropShares: map[ReplicaID]float64{},
		unresponsive: map[ReplicaID]bool{}, loads: map[ReplicaID]float64{}, flows: 10 * replicas}
	for i := range replicas {
		id := ReplicaID(i + 1)
		h.list = append(h.list, Entry{Replica: id, Zone: ZoneID(i % 2), State: Ready, Listed: 1})
		h.loads[id] = 0.5
	}
	h.step(Start{Seed: 7, Settings: s}, List{Scope: Cached, Entries: h.list})
	for i := range proxies {
		h.proxies = append(h.proxies, Joined{Proxy: ProxyID(i), Zone: ZoneID(i % 2), FlowRate: 5, Fresh: true})
	}
	if proxies > 0 {
		h.step(events(h.proxies)...)
	}
	return h
}

func events[E Event](list []E) []Event {
	var out []Event
	for _, e := range list {
		out = append(out, e)
	}
	return out
}

// step passes events to the governor and adds the resulting orders to the trace.
func (h *harness) step(events ...Event) {
	var printed []string
	for _, o := range h.g.Step(h.now, events) {
		switch o := o.(type) {
		case WakeAfter:
			h.timerID = o.TimerID
		case AckRequest:
			h.version = o.Version
		case EndpointWeight:
			printed = append(printed, fmt.Sprintf("t%d r%d %.1f", o.Table, o.Replica, o.Weight))
		case Admit:
			printed = append(printed, fmt.Sprintf("admit t%d g%b %.2f retry %d", o.Table, o.Groups, o.Level, o.Retry))
		case Bind:
			printed = append(printed, fmt.Sprintf("bind p%d t%d g%b", o.Proxy, o.Table, o.Groups))
		default:
			printed = append(printed, testkit.TraceType(o)+testkit.TraceValue(o))
		}
	}
	if len(printed) > 0 {
		fmt.Fprintf(&h.trace, "%7.2f  %s\n", float64(h.now-1000*Time(time.Second))/float64(time.Second),
			strings.Join(printed, "; "))
	}
}

// note adds a comment to the trace.
func (h *harness) note(text string) { fmt.Fprintf(&h.trace, "# %s\n", text) }

// run advances time, with a timer each quarter of a second and statistics each second.
func (h *harness) run(seconds int) {
	for range seconds {
		for q := range 4 {
			h.now += 250 * ms
			var events []Event
			if q == 0 && !h.noAcks {
				for _, j := range h.proxies {
					events = append(events, Applied{Proxy: j.Proxy, Version: h.version})
				}
			}
			if q == 3 && len(h.proxies) > 0 {
				events = append(events, h.stats()...)
			}
			h.step(append(events, Wake{TimerID: h.timerID})...)
		}
	}
}

// stats distributes the flows over the replicas by their ordered weights and returns the statistics.
func (h *harness) stats() []Event {
	var out []Event
	total := 0.0
	for _, r := range h.g.replicas {
		total += r.sentWeight(common)
	}
	for _, r := range h.g.replicas {
		attempts := int(float64(h.flows)*r.sentWeight(common)/max(total, 1) + 0.5)
		s := EndpointStats{Replica: r.id, Attempts: attempts * h.reportEvery, Window: time.Second * time.Duration(h.reportEvery),
			Dropped: int(float64(attempts*h.reportEvery)*h.dropShares[r.id] + 0.5), MeanLatency: h.latency, Report: LoadReport{Utilization: h.loads[r.id], InFlight: h.inFlight[r.id]}}
		if r.id == h.slowReplica {
			s.MeanLatency *= 3
		}
		due := (int(r.id)+int(h.now/1000/ms))%h.reportEvery == 0
		if attempts > 0 && !h.unresponsive[r.id] && due {
			out = append(out, s)
		}
	}
	for _, j := range h.proxies {
		for g := range 3 {
			n := h.flows / len(h.proxies) / 3
			if h.busyProxy != 0 && j.Proxy == h.busyProxy {
				n *= 3
			}
			out = append(out, GroupTraffic{Proxy: j.Proxy, Group: GroupID(g), Flows: n, Window: time.Second})
		}
	}
	return out
}

// setState sends the governor a list update with a replica's new state.
func (h *harness) setState(id ReplicaID, s State, started Time) {
	i := slices.IndexFunc(h.list, func(e Entry) bool { return e.Replica == id })
	h.list[i].State, h.list[i].StartedAt = s, started
	h.step(List{Scope: Changes, Entries: h.list[i : i+1]})
}

// compareTrace compares the trace with the recorded one of this test.
func (h *harness) compareTrace(t *testing.T) {
	t.Helper()
	testkit.CompareTrace(t, h.trace.String())
}
