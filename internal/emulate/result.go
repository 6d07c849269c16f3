package emulate

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zincloft.example/zincloft/rules"
)

// FlowOutcome is what became of a flow.
type FlowOutcome int

// Endings: each flow has exactly one.
const (
	DeliveredInTime FlowOutcome = iota // delivered within its latency budget
	DeliveredLate                      // delivered later
	Rejected                           // not let in
	Dropped                            // given up on by the proxy
	Abandoned                          // by the client
	Pending                            // still under way when the run ended
	flowOutcomeCount
)

var flowOutcomeNames = [flowOutcomeCount]string{"in time", "late", "blocked", "dropped", "given up", "pending"}

func (e FlowOutcome) String() string { return flowOutcomeNames[e] }

// Second is what happened in one.
type Second struct {
	Offered           int
	InTime            int
	Late              int
	Rejected          int     `json:"Blocked"` // flows that admission control rejected
	Dropped           int     // flows that a proxy or their client gave up
	ClientRetries     int     `json:"Again"`   // times that clients came back
	Attempts          int     `json:"Tries"`   // attempts sent to replicas
	FailedAttempts    int     `json:"Bad"`     // attempts that ended without a good answer
	WarmupAttempts    int     `json:"Cold"`    // attempts sent to replicas that were warming up
	CrossZoneAttempts int     `json:"Crossed"` // attempts sent to another zone
	RequestedUtility  float64 `json:"Asked"`   // utility of the flows that came
	DeliveredUtility  float64 `json:"Served"`  // utility of the answers
	ChannelLines      float64 `json:"Lines"`   // lines put into all channels
	Messages          int     // messages put into all channels
	ChannelFill       float64 `json:"Waiting"` // queued lines of the fullest channel, by its capacity
	Utilization       float64 `json:"Load"`    // share of the cores of running replicas that were busy at its end
	RunningReplicas   int     `json:"Ready"`   // replicas that ran at its end
	WarmReplicas      int     `json:"Warm"`    // of these, the ones that were not warming up
}

// LogEntry is a trouble that began or ended.
type LogEntry struct {
	At   float64 // seconds from the start
	Text string
}

// GroupResult is what became of a traffic group.
type GroupResult struct {
	Name             string
	RequestedUtility float64 `json:"Asked"`  // utility of the flows that came
	DeliveredUtility float64 `json:"Served"` // utility of the answers
}

// Result is what a run has shown.
type Result struct {
	Seed                  uint64
	Seconds               []Second
	FaultLog              []LogEntry            `json:"Notes"`  // begins and ends of faults
	Violations            []Violation           `json:"Breaks"` // the first violation of each invariant
	Trace                 []LogEntry            `json:"Before"` // governors' inputs and orders in the minute before the first violation
	ViolationCount        int                   `json:"Broken"` // violations of any invariant
	Outcomes              [flowOutcomeCount]int `json:"Ended"`  // flows by outcome
	Groups                []GroupResult
	EventCount            uint64        `json:"Events"`  // events scheduled
	ServiceLevel          float64       `json:"Service"` // delivered utility by requested utility
	WorstServiceLevel     float64       `json:"Worst"`   // the same in the worst ten seconds
	P50                   time.Duration // median latency of answered flows
	P99                   time.Duration // 99th percentile of the same
	CrossZoneShare        float64       `json:"Crossed"` // share of the attempts that went to another zone
	FailedAttemptsPerFlow float64       `json:"Wasted"`  // attempts without a good answer, by flow
	Steps                 int

	latency *hdrhistogram.Histogram
}

// worstWindowSeconds is how many seconds Worst looks at.
const worstWindowSeconds = 10

func (sim *Simulation) startMetrics() {
	sim.current = &Second{}
	sim.result.latency = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for _, g := range sim.fleet.Groups {
		sim.result.Groups = append(sim.result.Groups, GroupResult{Name: g.Name})
	}
	var tick func()
	tick = func() {
		busy, cores := 0, 0
		for _, r := range sim.replicas {
			if r.up {
				busy, cores = busy+r.busy, cores+r.cores
				sim.current.RunningReplicas++
				if !r.isWarmingUp() {
					sim.current.WarmReplicas++
				}
			}
		}
		sim.current.Utilization = float64(busy) / float64(max(cores, 1))
		done := *sim.current
		sim.result.Seconds = append(sim.result.Seconds, done)
		*sim.current = Second{}
		sim.triggerFaults(done)
		sim.schedule(time.Second, tick)
	}
	sim.schedule(time.Second, tick)
}

// recordArrival counts a flow that comes.
func (sim *Simulation) recordArrival(f *flow) {
	sim.current.Offered++
	u := sim.fleet.Groups[f.group].Utility
	sim.current.RequestedUtility += u
	sim.result.Groups[f.group].RequestedUtility += u
	sim.result.Outcomes[Pending]++
}

// recordDelivery counts a good answer.
func (sim *Simulation) recordDelivery(f *flow) {
	g := sim.fleet.Groups[f.group]
	took := time.Duration(sim.now - f.arrivedAt)
	_ = sim.result.latency.RecordValue(took.Microseconds()) // none is longer than the histogram holds
	earned := g.Utility
	if took > g.LatencyBudget {
		earned *= g.LateShare
		sim.recordOutcome(DeliveredLate)
	} else {
		sim.recordOutcome(DeliveredInTime)
	}
	sim.current.DeliveredUtility += earned
	sim.result.Groups[f.group].DeliveredUtility += earned
}

// recordOutcome notes a flow's ending.
func (sim *Simulation) recordOutcome(e FlowOutcome) {
	sim.result.Outcomes[Pending]--
	sim.result.Outcomes[e]++
	switch e {
	case DeliveredInTime:
		sim.current.InTime++
	case DeliveredLate:
		sim.current.Late++
	case Dropped, Abandoned:
		sim.current.Dropped++
	}
}

func (sim *Simulation) summarize() *Result {
	r := &sim.result
	r.EventCount = sim.eventCount
	asked, served, tries, bad, crossed := 0.0, 0.0, 0, 0, 0
	for _, g := range r.Groups {
		asked, served = asked+g.RequestedUtility, served+g.DeliveredUtility
	}
	for _, s := range r.Seconds {
		tries, bad, crossed = tries+s.Attempts, bad+s.FailedAttempts, crossed+s.CrossZoneAttempts
	}
	r.ServiceLevel, r.WorstServiceLevel = served/max(asked, 1e-9), 1
	for from := 0; from+worstWindowSeconds <= int(sim.fleet.Duration/time.Second); from++ {
		a, s := 0.0, 0.0
		for _, x := range r.Seconds[from:min(from+worstWindowSeconds, len(r.Seconds))] {
			a, s = a+x.RequestedUtility, s+x.DeliveredUtility
		}
		if a > 0 {
			r.WorstServiceLevel = min(r.WorstServiceLevel, s/a)
		}
	}
	r.P50 = time.Duration(r.latency.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
	r.CrossZoneShare, r.FailedAttemptsPerFlow = float64(crossed)/float64(max(tries, 1)), float64(bad)/float64(max(r.Offered(), 1))
	return r
}

// Offered is how many flows came.
func (r *Result) Offered() (n int) {
	for _, e := range r.Outcomes {
		n += e
	}
	return n
}

// WriteSummary writes a result for people: endings, rules, and five seconds a line.
func (r *Result) WriteSummary(out io.Writer) {
	fmt.Fprintf(out, "service %.4f  worst ten seconds %.4f  median %v  99th percentile %v  crossing zones %.3f\n", r.ServiceLevel, r.WorstServiceLevel, r.P50, r.P99, r.CrossZoneShare)
	for e, n := range r.Outcomes {
		fmt.Fprintf(out, "%s %d  ", FlowOutcome(e), n)
	}
	fmt.Fprintf(out, "(%d events)\n", r.EventCount)
	if len(r.Violations) == 0 {
		fmt.Fprintln(out, "rules kept")
	}
	for _, b := range r.Violations {
		fmt.Fprintf(out, "RULE BROKEN at %.2f s: %s: %s\n", b.At, b.Invariant, b.Detail)
	}
	fmt.Fprintf(out, "%5s %8s %8s %6s %8s %8s %7s %6s %6s %6s %7s %5s\n", "from", "offered", "in time", "late", "blocked", "dropped", "tries", "bad", "cold", "load", "waiting", "warm")
	for from := 0; from < len(r.Seconds); from += 5 {
		var s Second
		n := min(5, len(r.Seconds)-from)
		for _, x := range r.Seconds[from : from+n] {
			s.Offered, s.InTime, s.Late, s.Rejected, s.Dropped = s.Offered+x.Offered, s.InTime+x.InTime, s.Late+x.Late, s.Rejected+x.Rejected, s.Dropped+x.Dropped
			s.Attempts, s.FailedAttempts, s.WarmupAttempts, s.Utilization, s.ChannelFill, s.WarmReplicas = s.Attempts+x.Attempts, s.FailedAttempts+x.FailedAttempts, s.WarmupAttempts+x.WarmupAttempts, s.Utilization+x.Utilization/float64(n), max(s.ChannelFill, x.ChannelFill), x.WarmReplicas
		}
		fmt.Fprintf(out, "%5d %8d %8d %6d %8d %8d %7d %6d %6d %6.2f %7.2f %5d\n", from, s.Offered, s.InTime, s.Late, s.Rejected, s.Dropped, s.Attempts, s.FailedAttempts, s.WarmupAttempts, s.Utilization, s.ChannelFill, s.WarmReplicas)
	}
	for _, n := range r.FaultLog {
		fmt.Fprintf(out, "%7.2f s  %s\n", n.At, n.Text)
	}
}

// GovernorViews are what the governors know, for those that are rules.Governors.
func (sim *Simulation) GovernorViews() (out []rules.View) {
	for _, g := range sim.governors {
		if mind, is := g.decider.(*rules.Governor); is && g.up {
			var v rules.View
			mind.View(sim.now, &v)
			out = append(out, v)
		}
	}
	return out
}
