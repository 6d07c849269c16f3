package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"zincloft.example/zincloft/dataplane/overflow"
)

// OverflowStrategy is how sites spill in a rush.
type OverflowStrategy string

const (
	LeaseOverflow  OverflowStrategy = "leases" // dataplane/overflow
	NoOverflow     OverflowStrategy = "none"
	RandomOverflow OverflowStrategy = "random" // to any neighbour, without asking
	OracleOverflow OverflowStrategy = "oracle" // to whoever has room at the moment, seen without delay
)

// OverflowScenario is a day on which some sites are swamped.
type OverflowScenario struct {
	Seed            uint64
	Sites           int
	OverloadedSites int // of them
	LoadFactor      float64
	Duration        time.Duration
	WithFaults      bool // links that are cut one way or hold everything back, a site that restarts whole, neighbours swamped later
	Strategy        OverflowStrategy
}

// OverflowResult is what was seen.
type OverflowResult struct {
	Violations                       []string
	Lookups, Unanswered              int // first tries, and those not answered within their deadline though some site had room
	Orders, Charged                  int
	Uncertain, Forwarded             int
	OwnLatencies                     []time.Duration // latencies of the own clients of sites that were not swamped
	ForwardedLatencies               []time.Duration // of spilled lookups that were answered
	UsedSlotSeconds, IdleSlotSeconds float64         // seconds of slots at sites that were not swamped: used by guests, and free while others refused
}

const (
	siteServiceTime   = 200 * time.Millisecond
	siteSlots         = 60
	siteBaseLoad      = 0.45 // of what a site can serve, that usually comes
	siteLatencyTarget = 800 * time.Millisecond
	clientDeadline    = 3 * time.Second // a client's deadline
	orderShare        = 0.25
)

type siteRequest struct {
	id         int
	isOrder    bool
	home       int
	arrivedAt  time.Duration
	executions int
	answered   bool
	uncertain  bool
	attempts   int
}

type site struct {
	index                       int
	up                          bool
	incarnation                 int
	slots                       int
	running, forwardedRunning   int
	queue                       []*siteRequest
	rate                        float64 // requests a second that come
	rejected, forwarded, served int     // in the second at hand
	lender                      *overflow.Lender
	borrower                    *overflow.Borrower
	purse                       *overflow.BorrowedQuota
	door                        *overflow.LentQuota
	stats                       overflow.Stats
	overloaded                  bool
}

type overflowSimulation struct {
	scenario     OverflowScenario
	history      *historyChecksum // nil: none is taken down
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastEvent    int
	sites        []*site
	cutLinks     map[[2]int]bool
	heldMessages map[[2]int][]func() // what a link holds back
	holdingLinks map[[2]int]bool
	result       OverflowResult
	requests     []*siteRequest
}

func (o *overflowSimulation) after(d time.Duration, f func()) {
	o.lastEvent++
	o.queue.push(event{o.now + d, o.lastEvent, f})
}

func siteDistance(a, b int) time.Duration { return time.Duration(10+(a*7+b*7)%71) * time.Millisecond }

// RunOverflow plays a rush.
func RunOverflow(scenario OverflowScenario) OverflowResult { return runOverflow(scenario, nil) }

// runOverflow plays a rush and takes its history down, if one is given.
func runOverflow(r OverflowScenario, h *historyChecksum) OverflowResult {
	w := &overflowSimulation{scenario: r, history: h, random: rand.New(rand.NewPCG(r.Seed, 1)), cutLinks: map[[2]int]bool{}, heldMessages: map[[2]int][]func(){}, holdingLinks: map[[2]int]bool{}}
	for i := range r.Sites {
		s := &site{index: i, slots: siteSlots, rate: siteBaseLoad * siteSlots / siteServiceTime.Seconds(), overloaded: i < r.OverloadedSites}
		w.sites = append(w.sites, s)
		w.startSite(s)
	}
	for _, s := range w.sites {
		w.scheduleArrivals(s)
		w.everySecond(s)
	}
	for i := range r.OverloadedSites {
		w.after(3*time.Second, func() { w.sites[i].rate *= r.LoadFactor })
		w.after(r.Duration-8*time.Second, func() { w.sites[i].rate /= r.LoadFactor })
	}
	if r.WithFaults {
		w.scheduleFaults()
	}
	for len(w.queue) > 0 && w.now < r.Duration {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
	for _, q := range w.requests {
		switch {
		case q.isOrder:
			w.result.Orders++
			if q.answered {
				w.result.Charged++
			}
			if q.uncertain {
				w.result.Uncertain++
			}
			if q.executions > 1 {
				w.result.Violations = append(w.result.Violations, fmt.Sprintf("order %d ran %d times", q.id, q.executions))
			}
			if q.answered && q.executions != 1 {
				w.result.Violations = append(w.result.Violations, fmt.Sprintf("order %d was answered and ran %d times", q.id, q.executions))
			}
		default:
			w.result.Lookups++
			if !q.answered && q.arrivedAt < r.Duration-clientDeadline-time.Second {
				w.result.Unanswered++
			}
		}
	}
	h.endOverflow(w)
	return w.result
}

func (o *overflowSimulation) startSite(site *site) {
	site.up, site.incarnation = true, site.incarnation+1
	site.lender, site.borrower = overflow.NewLender(fmt.Sprintf("s%d.%d", site.index, site.incarnation)), overflow.NewBorrower()
	site.purse, site.door = overflow.NewBorrowedQuota(fmt.Sprintf("p%d.%d", site.index, site.incarnation)), overflow.NewLentQuota()
	site.running, site.forwardedRunning, site.queue = 0, 0, nil
}

func (o *overflowSimulation) scheduleFaults() {
	if o.scenario.Sites > 2 && o.random.IntN(2) == 0 { // a neighbour is swamped a little later
		site := o.sites[o.scenario.OverloadedSites+o.random.IntN(o.scenario.Sites-o.scenario.OverloadedSites)]
		site.overloaded = true
		o.after(4*time.Second, func() { site.rate *= o.scenario.LoadFactor })
		o.after(o.scenario.Duration-10*time.Second, func() { site.rate /= o.scenario.LoadFactor })
	}
	for range 4 {
		a, b := o.random.IntN(o.scenario.Sites), o.random.IntN(o.scenario.Sites)
		if a == b {
			continue
		}
		link, at, span := [2]int{a, b}, 5*time.Second+time.Duration(o.random.Int64N(int64(o.scenario.Duration/2))), time.Duration(500+o.random.IntN(3000))*time.Millisecond
		if o.random.IntN(2) == 0 {
			o.after(at, func() { o.cutLinks[link] = true })
			o.after(at+span, func() { o.cutLinks[link] = false })
			continue
		}
		o.after(at, func() { o.holdingLinks[link] = true })
		o.after(at+span, func() { // it delivers all
			o.holdingLinks[link] = false
			late := o.heldMessages[link]
			o.heldMessages[link] = nil
			for _, f := range late {
				f()
			}
		})
	}
	if o.random.IntN(2) == 0 {
		site := o.sites[o.random.IntN(o.scenario.Sites)]
		o.after(8*time.Second, func() { site.up = false })
		o.after(9*time.Second, func() { o.startSite(site) })
	}
}

// send brings something to another site, if it arrives.
func (o *overflowSimulation) send(from, to int, f func()) {
	link := [2]int{from, to}
	o.after(siteDistance(from, to)+time.Duration(o.random.Int64N(int64(2*time.Millisecond))), func() {
		switch {
		case o.cutLinks[link]:
		case o.holdingLinks[link]:
			o.heldMessages[link] = append(o.heldMessages[link], f)
		default:
			f()
		}
	})
}

func (o *overflowSimulation) scheduleArrivals(site *site) {
	o.after(time.Duration(o.random.ExpFloat64()/site.rate*float64(time.Second)), func() {
		request := &siteRequest{id: len(o.requests), isOrder: o.random.Float64() < orderShare, home: site.index, arrivedAt: o.now}
		o.requests = append(o.requests, request)
		o.attempt(site, request)
		o.scheduleArrivals(site)
	})
}

// attempt is a client's: it is admitted, sent over, or refused and told to come back.
func (o *overflowSimulation) attempt(site *site, request *siteRequest) {
	request.attempts++
	if o.history != nil {
		o.history.add(entryOverflow, o.now, site.index, request.id, request.attempts, site.up, len(site.queue))
	}
	again := func() {
		if o.now-request.arrivedAt < clientDeadline-300*time.Millisecond {
			o.after(time.Duration(200+o.random.IntN(300))*time.Millisecond, func() { o.attempt(site, request) })
		}
	}
	if !site.up {
		again()
		return
	}
	wait := time.Duration(len(site.queue)) * siteServiceTime / time.Duration(site.slots)
	if site.running < site.slots || siteServiceTime+wait < siteLatencyTarget/2 {
		o.admit(site, request, false, func(ran bool) {})
		return
	}
	if o.now-request.arrivedAt > clientDeadline/2 {
		site.rejected++
		again()
		return
	}
	if to, token, ok := o.chooseTarget(site, request); ok {
		site.forwarded++
		o.result.Forwarded++
		o.forward(site, to, request, token, again)
		return
	}
	site.rejected++
	again()
}

// chooseTarget chooses where to send what there is no room for.
func (o *overflowSimulation) chooseTarget(site *site, request *siteRequest) (int, overflow.Token, bool) {
	switch o.scenario.Strategy {
	case LeaseOverflow:
		token, ok := site.purse.Spend(o.now, "svc", !request.isOrder)
		if !ok {
			return 0, token, false
		}
		var to int
		fmt.Sscanf(token.Addr, "%d", &to)
		return to, token, true
	case RandomOverflow:
		to := o.random.IntN(o.scenario.Sites)
		return to, overflow.Token{Serial: fmt.Sprint(request.id, request.attempts)}, to != site.index
	case OracleOverflow:
		for _, other := range o.sites {
			if other != site && other.up && other.running < int(0.85*float64(other.slots)) {
				return other.index, overflow.Token{}, true
			}
		}
	}
	return 0, overflow.Token{}, false
}

// forward hands a request over. The home side hears what became of it, or nothing: then it is a doubt, and an order is tried
// nowhere else.
func (o *overflowSimulation) forward(site *site, destination int, request *siteRequest, token overflow.Token, again func()) {
	target, incarnation, heard := o.sites[destination], site.incarnation, false
	back := func(f func()) {
		o.send(destination, site.index, func() {
			if site.up && site.incarnation == incarnation && !heard {
				heard = true
				f()
			}
		})
	}
	if o.scenario.WithFaults && o.random.IntN(50) == 0 { // a duplicate that arrives late
		o.send(site.index, destination, func() {
			o.after(time.Duration(o.random.IntN(2500))*time.Millisecond, func() { o.receiveForwarded(target, request, token, func(func()) {}, func() {}) })
		})
	}
	o.send(site.index, destination, func() { o.receiveForwarded(target, request, token, back, again) })
	o.after(clientDeadline/2, func() { // no answer
		if !heard && site.up && site.incarnation == incarnation {
			if heard = true; request.isOrder {
				request.uncertain = true
			} else {
				again()
			}
		}
	})
}

// receiveForwarded is a request of another site at the door.
func (o *overflowSimulation) receiveForwarded(target *site, request *siteRequest, token overflow.Token, back func(func()), again func()) {
	if !target.up {
		return
	}
	if o.scenario.Strategy == LeaseOverflow {
		switch target.door.Admit(o.now, token, "svc") {
		case overflow.NotExecuted:
			back(again)
			return
		case overflow.Duplicate:
			return
		}
	}
	if o.scenario.Strategy != RandomOverflow && target.running >= int(0.85*float64(target.slots)) || o.scenario.Strategy == RandomOverflow && target.running >= target.slots {
		back(again) // its own clients go first; this one has not run
		return
	}
	o.admit(target, request, true, func(bool) {
		back(func() {
			if !request.answered {
				request.answered = true
				o.result.ForwardedLatencies = append(o.result.ForwardedLatencies, o.now-request.arrivedAt)
			}
		})
	})
}

func (o *overflowSimulation) admit(site *site, request *siteRequest, guest bool, ended func(bool)) {
	if site.running >= site.slots {
		site.queue = append(site.queue, request)
		return
	}
	site.running++
	site.served++
	request.executions++
	if o.history != nil {
		o.history.add(entryOverflow, o.now, site.index, request.id, request.attempts, guest, site.running)
	}
	incarnation := site.incarnation
	if guest {
		site.forwardedRunning++
		o.result.UsedSlotSeconds += siteServiceTime.Seconds()
	}
	o.after(time.Duration(float64(siteServiceTime)*(0.7+0.6*o.random.Float64())), func() {
		if site.incarnation != incarnation || !site.up {
			return // it was cut off in mid-work: its client waits for its deadline
		}
		site.running--
		if guest {
			site.forwardedRunning--
		} else if !request.answered {
			request.answered = true
			if !site.overloaded {
				o.result.OwnLatencies = append(o.result.OwnLatencies, o.now-request.arrivedAt)
			}
		}
		ended(true)
		if len(site.queue) > 0 {
			next := site.queue[0]
			site.queue = site.queue[1:]
			o.admit(site, next, false, func(bool) {})
		}
	})
}

// everySecond has a site look at itself once a second, ask its neighbours and answer theirs.
func (o *overflowSimulation) everySecond(site *site) {
	o.after(time.Second, func() {
		defer o.everySecond(site)
		if !site.up {
			return
		}
		site.stats = overflow.Stats{Slots: float64(site.slots), Rate: float64(site.served), ServiceSeconds: siteServiceTime.Seconds(), RejectedRate: float64(site.rejected)}
		busy := site.rejected > 0
		if busy {
			for _, other := range o.sites {
				if !other.overloaded && other.up {
					o.result.IdleSlotSeconds += max(0.85*float64(other.slots)-float64(other.running), 0)
				}
			}
		}
		site.borrower.RecordDemand(o.now, "svc", float64(site.rejected), float64(site.forwarded))
		if busy || len(site.borrower.Services()) > 0 {
			site.lender.MarkShort(o.now, "svc")
		}
		site.rejected, site.forwarded, site.served = 0, 0, 0
		site.door.SetLeases(o.now, site.lender.ActiveLeases(o.now))
		site.purse.SetLeases(o.now, site.borrower.UsableLeases(o.now, "svc"))
		if o.scenario.Strategy != LeaseOverflow {
			return
		}
		var near []overflow.PeerSite
		for _, other := range o.sites {
			if other != site {
				near = append(near, overflow.PeerSite{Site: fmt.Sprint(other.index), Distance: siteDistance(site.index, other.index)})
			}
		}
		for _, want := range site.borrower.LeaseRequests(o.now, near) {
			var to int
			fmt.Sscan(want.Site, &to)
			other, sent, incarnation := o.sites[to], o.now, site.incarnation
			o.send(site.index, to, func() {
				if !other.up {
					return
				}
				lease, ok := other.lender.Grant(o.now, fmt.Sprint(site.index), "svc", want.Rate, other.stats.SpareRate(), 0)
				if o.history != nil {
					o.history.add(entryOverflow, o.now, site.index, want, lease, ok)
				}
				other.door.SetLeases(o.now, other.lender.ActiveLeases(o.now))
				o.send(to, site.index, func() {
					if !site.up || site.incarnation != incarnation {
						return
					}
					if lease.Service = "svc"; ok {
						lease.Addrs = []string{fmt.Sprint(to)}
					}
					site.borrower.HandleResponse(o.now, sent, want.Site, lease)
					site.purse.SetLeases(o.now, site.borrower.UsableLeases(o.now, "svc"))
				})
			})
		}
	})
}

// P99 is the latency that 99 in 100 stay within.
func P99(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Clone(all)
	slices.Sort(s)
	return s[len(s)*99/100]
}
