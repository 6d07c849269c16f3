package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"zincloft.example/zincloft/dataplane/overflow"
)

const (
	overflowStream    = 1
	siteServiceTime   = 200 * time.Millisecond
	siteSlots         = 60
	siteBaseLoad      = 0.45 // of what a site can serve, as usually comes
	siteLatencyTarget = 800 * time.Millisecond
	usableSlots       = 0.85 // of a site's slots, by which forwarded requests may use what its own clients leave
	clientDeadline    = 3 * time.Second
	orderShare        = 0.25 // of requests; the others are lookups

	clientRetryMargin   = 300 * time.Millisecond // a client makes no attempt so shortly before its deadline
	minClientRetryDelay = 200                    // milliseconds
	clientRetryJitter   = 300                    // milliseconds
	duplicateOneIn      = 50                     // forwarded requests, with faults
	maxDuplicateDelay   = 2500                   // milliseconds
	siteLinkJitter      = 2 * time.Millisecond

	overloadStart         = 3 * time.Second
	overloadEnd           = 8 * time.Second // before the end of the scenario
	furtherOverloadStart  = 4 * time.Second
	furtherOverloadEnd    = 10 * time.Second // before the end
	siteLinkFaults        = 4
	siteLinkFaultsFrom    = 5 * time.Second
	minLinkFaultDuration  = 500  // milliseconds
	linkFaultDurationSpan = 3000 // milliseconds
	siteStopAt            = 8 * time.Second
	siteRestartAt         = 9 * time.Second
)

// overflowService is the one service that all sites offer.
const overflowService = "svc"

// siteRequest is a client's request, with all its attempts.
type siteRequest struct {
	id         int
	isOrder    bool // which must not run twice
	home       int  // the site that the client calls
	arrivedAt  time.Duration
	attempts   int
	executions int
	answered   bool
	uncertain  bool // it was forwarded, and whether it ran is unknown
}

// site is one site with its gateways, seen as one.
type site struct {
	index       int
	up          bool
	incarnation int
	overloaded  bool
	rate        float64 // of arrivals a second

	slots   int
	running int
	queue   []*siteRequest

	rejected, forwarded, served int // in the second at hand
	stats                       overflow.Stats

	lender   *overflow.Lender
	borrower *overflow.Borrower
	borrowed *overflow.BorrowedQuota
	lent     *overflow.LentQuota
}

// hasRoomForOthers reports whether a site has slots that its own clients do not need.
func (s *site) hasRoomForOthers() bool { return s.running < s.usableSlots() }

func (s *site) usableSlots() int { return int(usableSlots * float64(s.slots)) }

// siteLink is one direction between two sites, by their indexes.
type siteLink struct{ from, to int }

// overflowSimulation is everything that one scenario simulates.
type overflowSimulation struct {
	scenario     OverflowScenario
	history      *historyChecksum // nil: none is kept
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	lastEvent    int
	sites        []*site
	cutLinks     map[siteLink]bool
	holdingLinks map[siteLink]bool
	heldMessages map[siteLink][]func() // of links that hold back
	requests     []*siteRequest
	result       OverflowResult
}

// RunOverflow simulates a scenario.
func RunOverflow(scenario OverflowScenario) OverflowResult { return runOverflow(scenario, nil) }

// runOverflow simulates a scenario and adds what happens to a history, if one is given.
func runOverflow(scenario OverflowScenario, history *historyChecksum) OverflowResult {
	o := &overflowSimulation{
		scenario:     scenario,
		history:      history,
		random:       rand.New(rand.NewPCG(scenario.Seed, overflowStream)),
		cutLinks:     map[siteLink]bool{},
		holdingLinks: map[siteLink]bool{},
		heldMessages: map[siteLink][]func(){},
	}
	o.startAll()
	if scenario.WithFaults {
		o.scheduleFaults()
	}
	for len(o.queue) > 0 && o.now < scenario.Duration {
		next := o.queue.pop()
		o.now = next.at
		next.do()
	}
	for _, request := range o.requests {
		o.count(request)
	}
	history.endOverflow(o)
	return o.result
}

// startAll starts the sites and schedules their load.
func (o *overflowSimulation) startAll() {
	for i := range o.scenario.Sites {
		s := &site{index: i, slots: siteSlots, rate: siteBaseLoad * siteSlots / siteServiceTime.Seconds(), overloaded: i < o.scenario.OverloadedSites}
		o.sites = append(o.sites, s)
		o.startSite(s)
	}
	for _, s := range o.sites {
		o.scheduleArrival(s)
		o.scheduleUpkeep(s)
	}
	for i := range o.scenario.OverloadedSites {
		o.overload(o.sites[i], overloadStart, overloadEnd)
	}
}

// overload multiplies a site's load from a moment until some time before the end.
func (o *overflowSimulation) overload(s *site, from, beforeEnd time.Duration) {
	o.after(from, func() { s.rate *= o.scenario.LoadFactor })
	o.after(o.scenario.Duration-beforeEnd, func() { s.rate /= o.scenario.LoadFactor })
}

// count adds a request to the result, and checks that no order ran twice and that each that was answered ran.
func (o *overflowSimulation) count(request *siteRequest) {
	result := &o.result
	if !request.isOrder {
		result.Lookups++
		if !request.answered && request.arrivedAt < o.scenario.Duration-clientDeadline-time.Second {
			result.Unanswered++
		}
		return
	}
	result.Orders++
	if request.answered {
		result.Charged++
	}
	if request.uncertain {
		result.Uncertain++
	}
	if request.executions > 1 {
		result.Violations = append(result.Violations, fmt.Sprintf("order %d ran %d times", request.id, request.executions))
	}
	if request.answered && request.executions != 1 {
		result.Violations = append(result.Violations, fmt.Sprintf("order %d was answered and ran %d times", request.id, request.executions))
	}
}

func (o *overflowSimulation) after(delay time.Duration, do func()) {
	o.lastEvent++
	o.queue.push(event{o.now + delay, o.lastEvent, do})
}

func (o *overflowSimulation) milliseconds(least, span int) time.Duration {
	return time.Duration(least+o.random.IntN(span)) * time.Millisecond
}

// startSite begins a new incarnation of a site, which knows nothing of earlier leases.
func (o *overflowSimulation) startSite(s *site) {
	s.up, s.incarnation = true, s.incarnation+1
	s.lender, s.borrower = overflow.NewLender(fmt.Sprintf("s%d.%d", s.index, s.incarnation)), overflow.NewBorrower()
	s.borrowed, s.lent = overflow.NewBorrowedQuota(fmt.Sprintf("p%d.%d", s.index, s.incarnation)), overflow.NewLentQuota()
	s.running, s.queue = 0, nil
}

// scheduleFaults draws faults of links, the restart of a site, and another site's overload.
func (o *overflowSimulation) scheduleFaults() {
	if o.scenario.Sites > 2 && o.random.IntN(2) == 0 {
		s := o.sites[o.scenario.OverloadedSites+o.random.IntN(o.scenario.Sites-o.scenario.OverloadedSites)]
		s.overloaded = true
		o.overload(s, furtherOverloadStart, furtherOverloadEnd)
	}
	for range siteLinkFaults {
		if l := (siteLink{o.random.IntN(o.scenario.Sites), o.random.IntN(o.scenario.Sites)}); l.from != l.to {
			o.scheduleLinkFault(l)
		}
	}
	if o.random.IntN(2) == 0 {
		s := o.sites[o.random.IntN(o.scenario.Sites)]
		o.after(siteStopAt, func() { s.up = false })
		o.after(siteRestartAt, func() { o.startSite(s) })
	}
}

// scheduleLinkFault has a link lose everything for a while, or hold it back and deliver it then.
func (o *overflowSimulation) scheduleLinkFault(l siteLink) {
	at := siteLinkFaultsFrom + time.Duration(o.random.Int64N(int64(o.scenario.Duration/2)))
	end := at + o.milliseconds(minLinkFaultDuration, linkFaultDurationSpan)
	if o.random.IntN(2) == 0 {
		o.after(at, func() { o.cutLinks[l] = true })
		o.after(end, func() { o.cutLinks[l] = false })
		return
	}
	o.after(at, func() { o.holdingLinks[l] = true })
	o.after(end, func() {
		o.holdingLinks[l] = false
		held := o.heldMessages[l]
		o.heldMessages[l] = nil
		for _, arrive := range held {
			arrive()
		}
	})
}

// siteDistance is what a message between two sites takes.
func siteDistance(a, b int) time.Duration { return time.Duration(10+(a*7+b*7)%71) * time.Millisecond }

// send takes a message to another site, if it arrives.
func (o *overflowSimulation) send(from, to int, arrive func()) {
	l := siteLink{from, to}
	o.after(siteDistance(from, to)+time.Duration(o.random.Int64N(int64(siteLinkJitter))), func() {
		switch {
		case o.cutLinks[l]:
		case o.holdingLinks[l]:
			o.heldMessages[l] = append(o.heldMessages[l], arrive)
		default:
			arrive()
		}
	})
}

// scheduleArrival has the next client's request come to a site, and all further ones.
func (o *overflowSimulation) scheduleArrival(s *site) {
	o.after(time.Duration(o.random.ExpFloat64()/s.rate*float64(time.Second)), func() {
		request := &siteRequest{id: len(o.requests), isOrder: o.random.Float64() < orderShare, home: s.index, arrivedAt: o.now}
		o.requests = append(o.requests, request)
		o.attempt(s, request)
		o.scheduleArrival(s)
	})
}

// attempt is one attempt of a client: the request is admitted, forwarded, or rejected and made again.
func (o *overflowSimulation) attempt(s *site, request *siteRequest) {
	request.attempts++
	if o.history != nil {
		o.history.add(entryOverflow, o.now, s.index, request.id, request.attempts, s.up, len(s.queue))
	}
	retry := func() { o.retry(s, request) }
	if !s.up {
		retry()
		return
	}
	wait := time.Duration(len(s.queue)) * siteServiceTime / time.Duration(s.slots)
	if s.running < s.slots || siteServiceTime+wait < siteLatencyTarget/2 {
		o.admit(s, request, false, func() {})
		return
	}
	if o.now-request.arrivedAt > clientDeadline/2 {
		s.rejected++
		retry()
		return
	}
	if destination, token, ok := o.chooseDestination(s, request); ok {
		s.forwarded++
		o.result.Forwarded++
		o.forward(s, destination, request, token, retry)
		return
	}
	s.rejected++
	retry()
}

// retry has a client make another attempt after a while, if its deadline allows it.
func (o *overflowSimulation) retry(s *site, request *siteRequest) {
	if o.now-request.arrivedAt < clientDeadline-clientRetryMargin {
		o.after(o.milliseconds(minClientRetryDelay, clientRetryJitter), func() { o.attempt(s, request) })
	}
}

// chooseDestination is the site to which a request is forwarded, if there is one.
func (o *overflowSimulation) chooseDestination(s *site, request *siteRequest) (destination int, token overflow.Token, ok bool) {
	switch o.scenario.Strategy {
	case LeaseOverflow:
		token, ok = s.borrowed.Spend(o.now, overflowService, !request.isOrder)
		if !ok {
			return 0, token, false
		}
		return parseSite(token.Addr), token, true
	case RandomOverflow:
		destination = o.random.IntN(o.scenario.Sites)
		return destination, overflow.Token{Serial: fmt.Sprint(request.id, request.attempts)}, destination != s.index
	case OracleOverflow:
		for _, other := range o.sites {
			if other != s && other.up && other.hasRoomForOthers() {
				return other.index, overflow.Token{}, true
			}
		}
	}
	return 0, overflow.Token{}, false
}

// parseSite is the index of a site by its name, which the simulation itself has given.
func parseSite(name string) int {
	index, err := strconv.Atoi(name)
	if err != nil {
		panic(fmt.Sprintf("simulation: %q is no site", name))
	}
	return index
}

func siteName(index int) string { return strconv.Itoa(index) }

// forward hands a request to another site. The home site hears what became of it, or nothing: then the outcome is
// uncertain, and an order is not tried anywhere else.
func (o *overflowSimulation) forward(home *site, destination int, request *siteRequest, token overflow.Token, retry func()) {
	target, incarnation, heard := o.sites[destination], home.incarnation, false
	reply := func(receive func()) {
		o.send(destination, home.index, func() {
			if home.up && home.incarnation == incarnation && !heard {
				heard = true
				receive()
			}
		})
	}
	if o.scenario.WithFaults && o.random.IntN(duplicateOneIn) == 0 { // a duplicate, which arrives late
		o.send(home.index, destination, func() {
			o.after(o.milliseconds(0, maxDuplicateDelay), func() { o.receiveForwarded(target, request, token, func(func()) {}, func() {}) })
		})
	}
	o.send(home.index, destination, func() { o.receiveForwarded(target, request, token, reply, retry) })
	o.after(clientDeadline/2, func() {
		if heard || !home.up || home.incarnation != incarnation {
			return
		}
		heard = true
		if request.isOrder {
			request.uncertain = true
		} else {
			retry()
		}
	})
}

// receiveForwarded has a site admit a request that another one forwards, or reply that it has not run.
func (o *overflowSimulation) receiveForwarded(target *site, request *siteRequest, token overflow.Token, reply func(func()), retry func()) {
	if !target.up {
		return
	}
	if o.scenario.Strategy == LeaseOverflow {
		switch target.lent.Admit(o.now, token, overflowService) {
		case overflow.NotExecuted:
			reply(retry)
			return
		case overflow.Duplicate:
			return
		}
	}
	limit := target.usableSlots() // its own clients go first
	if o.scenario.Strategy == RandomOverflow {
		limit = target.slots
	}
	if target.running >= limit {
		reply(retry)
		return
	}
	o.admit(target, request, true, func() {
		reply(func() {
			if !request.answered {
				request.answered = true
				o.result.ForwardedLatencies = append(o.result.ForwardedLatencies, o.now-request.arrivedAt)
			}
		})
	})
}

// admit has a request run at a site, now or after those in its queue.
func (o *overflowSimulation) admit(s *site, request *siteRequest, forwarded bool, ended func()) {
	if s.running >= s.slots {
		s.queue = append(s.queue, request)
		return
	}
	s.running++
	s.served++
	request.executions++
	if o.history != nil {
		o.history.add(entryOverflow, o.now, s.index, request.id, request.attempts, forwarded, s.running)
	}
	incarnation := s.incarnation
	if forwarded {
		o.result.UsedSlotSeconds += siteServiceTime.Seconds()
	}
	o.after(time.Duration(float64(siteServiceTime)*(0.7+0.6*o.random.Float64())), func() {
		if s.incarnation != incarnation || !s.up {
			return // the site stopped in mid-work: the client waits for its deadline
		}
		s.running--
		if !forwarded && !request.answered {
			request.answered = true
			if !s.overloaded {
				o.result.OwnLatencies = append(o.result.OwnLatencies, o.now-request.arrivedAt)
			}
		}
		ended()
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			o.admit(s, next, false, func() {})
		}
	})
}

// scheduleUpkeep has a site measure itself once a second, and ask other sites for leases.
func (o *overflowSimulation) scheduleUpkeep(s *site) {
	o.after(time.Second, func() {
		if s.up {
			o.measure(s)
			if o.scenario.Strategy == LeaseOverflow {
				o.requestLeases(s)
			}
		}
		o.scheduleUpkeep(s)
	})
}

// measure has a site look at the second that is over.
func (o *overflowSimulation) measure(s *site) {
	s.stats = overflow.Stats{Slots: float64(s.slots), Rate: float64(s.served), ServiceSeconds: siteServiceTime.Seconds(), RejectedRate: float64(s.rejected)}
	if s.rejected > 0 {
		o.measureIdleSlots()
	}
	s.borrower.RecordDemand(o.now, overflowService, float64(s.rejected), float64(s.forwarded))
	if s.rejected > 0 || len(s.borrower.Services()) > 0 {
		s.lender.MarkShort(o.now, overflowService)
	}
	s.rejected, s.forwarded, s.served = 0, 0, 0
	s.lent.SetLeases(o.now, s.lender.ActiveLeases(o.now))
	s.borrowed.SetLeases(o.now, s.borrower.UsableLeases(o.now, overflowService))
}

func (o *overflowSimulation) measureIdleSlots() {
	for _, s := range o.sites {
		if !s.overloaded && s.up {
			o.result.IdleSlotSeconds += max(usableSlots*float64(s.slots)-float64(s.running), 0)
		}
	}
}

// requestLeases has a site ask others for what its borrower wants.
func (o *overflowSimulation) requestLeases(s *site) {
	var peers []overflow.PeerSite
	for _, other := range o.sites {
		if other != s {
			peers = append(peers, overflow.PeerSite{Site: siteName(other.index), Distance: siteDistance(s.index, other.index)})
		}
	}
	for _, request := range s.borrower.LeaseRequests(o.now, peers) {
		lender := o.sites[parseSite(request.Site)]
		sentAt, incarnation := o.now, s.incarnation
		o.send(s.index, lender.index, func() {
			if !lender.up {
				return
			}
			lease := o.grantLease(lender, s, request)
			o.send(lender.index, s.index, func() {
				if s.up && s.incarnation == incarnation {
					s.borrower.HandleResponse(o.now, sentAt, request.Site, lease)
					s.borrowed.SetLeases(o.now, s.borrower.UsableLeases(o.now, overflowService))
				}
			})
		})
	}
}

// grantLease has a site decide on another's request. A lease that names no address grants nothing.
func (o *overflowSimulation) grantLease(lender, borrower *site, request overflow.LeaseRequest) overflow.Lease {
	lease, ok := lender.lender.Grant(o.now, siteName(borrower.index), overflowService, request.Rate, lender.stats.SpareRate(), 0)
	if o.history != nil {
		o.history.add(entryOverflow, o.now, borrower.index, request, lease, ok)
	}
	lender.lent.SetLeases(o.now, lender.lender.ActiveLeases(o.now))
	lease.Service = overflowService
	if ok {
		lease.Addrs = []string{siteName(lender.index)}
	}
	return lease
}
