package emulate

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zincloft.example/zincloft/rules"
)

// Ending is what became of a flow.
type Ending int

// Endings: each flow has exactly one.
const (
	InTime  Ending = iota // delivered within its latency budget
	Late                  // delivered later
	Blocked               // not let in
	Dropped               // given up on by the proxy
	GivenUp               // by the client
	Pending               // still under way when the run ended
	endings
)

var endingNames = [endings]string{"in time", "late", "blocked", "dropped", "given up", "pending"}

func (e Ending) String() string { return endingNames[e] }

// Second is what happened in one.
type Second struct {
	Offered  int
	InTime   int
	Late     int
	Blocked  int     `json:"Blocked"` // flows that admission control rejected
	Dropped  int     // flows that a proxy or their client gave up
	Again    int     `json:"Again"`   // times that clients came back
	Tries    int     `json:"Tries"`   // attempts sent to replicas
	Bad      int     `json:"Bad"`     // attempts that ended without a good answer
	Cold     int     `json:"Cold"`    // attempts sent to replicas that were warming up
	Crossed  int     `json:"Crossed"` // attempts sent to another zone
	Asked    float64 `json:"Asked"`   // utility of the flows that came
	Served   float64 `json:"Served"`  // utility of the answers
	Lines    float64 `json:"Lines"`   // lines put into all channels
	Messages int     // messages put into all channels
	Waiting  float64 `json:"Waiting"` // queued lines of the fullest channel, by its capacity
	Load     float64 `json:"Load"`    // share of the cores of running replicas that were busy at its end
	Ready    int     `json:"Ready"`   // replicas that ran at its end
	Warm     int     `json:"Warm"`    // of these, the ones that were not warming up
}

// Note is a trouble that began or ended.
type Note struct {
	At   float64 // seconds from the start
	Text string
}

// GroupResult is what became of a traffic group.
type GroupResult struct {
	Name   string
	Asked  float64 `json:"Asked"`  // utility of the flows that came
	Served float64 `json:"Served"` // utility of the answers
}

// Result is what a run has shown.
type Result struct {
	Seed    uint64
	Seconds []Second
	Notes   []Note       `json:"Notes"`  // begins and ends of faults
	Breaks  []Break      `json:"Breaks"` // the first violation of each invariant
	Before  []Note       `json:"Before"` // governors' inputs and orders in the minute before the first violation
	Broken  int          `json:"Broken"` // violations of any invariant
	Ended   [endings]int `json:"Ended"`  // flows by outcome
	Groups  []GroupResult
	Events  uint64        `json:"Events"`  // events scheduled
	Service float64       `json:"Service"` // delivered utility by requested utility
	Worst   float64       `json:"Worst"`   // the same in the worst ten seconds
	P50     time.Duration // median latency of answered flows
	P99     time.Duration // 99th percentile of the same
	Crossed float64       `json:"Crossed"` // share of the attempts that went to another zone
	Wasted  float64       `json:"Wasted"`  // attempts without a good answer, by flow
	Steps   int

	latency *hdrhistogram.Histogram
}

// worstSpan is how many seconds Worst looks at.
const worstSpan = 10

func (w *World) everySecond() {
	w.second = &Second{}
	w.res.latency = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	for _, g := range w.fleet.Groups {
		w.res.Groups = append(w.res.Groups, GroupResult{Name: g.Name})
	}
	var tick func()
	tick = func() {
		busy, cores := 0, 0
		for _, r := range w.replicas {
			if r.up {
				busy, cores = busy+r.busy, cores+r.cores
				w.second.Ready++
				if !r.cold() {
					w.second.Warm++
				}
			}
		}
		w.second.Load = float64(busy) / float64(max(cores, 1))
		done := *w.second
		w.res.Seconds = append(w.res.Seconds, done)
		*w.second = Second{}
		w.arise(done)
		w.in(time.Second, tick)
	}
	w.in(time.Second, tick)
}

// offer counts a flow that comes.
func (w *World) offer(f *flow) {
	w.second.Offered++
	u := w.fleet.Groups[f.group].Utility
	w.second.Asked += u
	w.res.Groups[f.group].Asked += u
	w.res.Ended[Pending]++
}

// deliver counts a good answer.
func (w *World) deliver(f *flow) {
	g := w.fleet.Groups[f.group]
	took := time.Duration(w.now - f.born)
	_ = w.res.latency.RecordValue(took.Microseconds()) // none is longer than the histogram holds
	earned := g.Utility
	if took > g.LatencyBudget {
		earned *= g.LateShare
		w.ended(Late)
	} else {
		w.ended(InTime)
	}
	w.second.Served += earned
	w.res.Groups[f.group].Served += earned
}

// ended notes a flow's ending.
func (w *World) ended(e Ending) {
	w.res.Ended[Pending]--
	w.res.Ended[e]++
	switch e {
	case InTime:
		w.second.InTime++
	case Late:
		w.second.Late++
	case Dropped, GivenUp:
		w.second.Dropped++
	}
}

func (w *World) finish() *Result {
	r := &w.res
	r.Events = w.count
	asked, served, tries, bad, crossed := 0.0, 0.0, 0, 0, 0
	for _, g := range r.Groups {
		asked, served = asked+g.Asked, served+g.Served
	}
	for _, s := range r.Seconds {
		tries, bad, crossed = tries+s.Tries, bad+s.Bad, crossed+s.Crossed
	}
	r.Service, r.Worst = served/max(asked, 1e-9), 1
	for from := 0; from+worstSpan <= int(w.fleet.Length/time.Second); from++ {
		a, s := 0.0, 0.0
		for _, x := range r.Seconds[from:min(from+worstSpan, len(r.Seconds))] {
			a, s = a+x.Asked, s+x.Served
		}
		if a > 0 {
			r.Worst = min(r.Worst, s/a)
		}
	}
	r.P50 = time.Duration(r.latency.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(r.latency.ValueAtQuantile(99)) * time.Microsecond
	r.Crossed, r.Wasted = float64(crossed)/float64(max(tries, 1)), float64(bad)/float64(max(r.Offered(), 1))
	return r
}

// Offered is how many flows came.
func (r *Result) Offered() (n int) {
	for _, e := range r.Ended {
		n += e
	}
	return n
}

// Write writes a result for people: endings, rules, and five seconds a line.
func (r *Result) Write(out io.Writer) {
	fmt.Fprintf(out, "service %.4f  worst ten seconds %.4f  median %v  99th percentile %v  crossing zones %.3f\n", r.Service, r.Worst, r.P50, r.P99, r.Crossed)
	for e, n := range r.Ended {
		fmt.Fprintf(out, "%s %d  ", Ending(e), n)
	}
	fmt.Fprintf(out, "(%d events)\n", r.Events)
	if len(r.Breaks) == 0 {
		fmt.Fprintln(out, "rules kept")
	}
	for _, b := range r.Breaks {
		fmt.Fprintf(out, "RULE BROKEN at %.2f s: %s: %s\n", b.At, b.Rule, b.Detail)
	}
	fmt.Fprintf(out, "%5s %8s %8s %6s %8s %8s %7s %6s %6s %6s %7s %5s\n", "from", "offered", "in time", "late", "blocked", "dropped", "tries", "bad", "cold", "load", "waiting", "warm")
	for from := 0; from < len(r.Seconds); from += 5 {
		var s Second
		n := min(5, len(r.Seconds)-from)
		for _, x := range r.Seconds[from : from+n] {
			s.Offered, s.InTime, s.Late, s.Blocked, s.Dropped = s.Offered+x.Offered, s.InTime+x.InTime, s.Late+x.Late, s.Blocked+x.Blocked, s.Dropped+x.Dropped
			s.Tries, s.Bad, s.Cold, s.Load, s.Waiting, s.Warm = s.Tries+x.Tries, s.Bad+x.Bad, s.Cold+x.Cold, s.Load+x.Load/float64(n), max(s.Waiting, x.Waiting), x.Warm
		}
		fmt.Fprintf(out, "%5d %8d %8d %6d %8d %8d %7d %6d %6d %6.2f %7.2f %5d\n", from, s.Offered, s.InTime, s.Late, s.Blocked, s.Dropped, s.Tries, s.Bad, s.Cold, s.Load, s.Waiting, s.Warm)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(out, "%7.2f s  %s\n", n.At, n.Text)
	}
}

// Views are what the governors know, for those that are rules.Governors.
func (w *World) Views() (out []rules.View) {
	for _, g := range w.governors {
		if mind, is := g.mind.(*rules.Governor); is && g.up {
			var v rules.View
			mind.View(w.now, &v)
			out = append(out, v)
		}
	}
	return out
}
