package simulation

import (
	"fmt"
	"strconv"
	"time"

	"zincloft.example/zincloft/dataplane/overflow"
)

const (
	siteServiceTime = 200 * time.Millisecond
	siteSlots       = 60
	siteBaseLoad    = 0.45 // share of the capacity that the base load uses
	usableSlotShare = 0.85 // share of a site's slots up to which it accepts forwarded requests
)

// overflowService is the service that all sites offer.
const overflowService = "svc"

// site is a site whose gateways are modelled as one.
type site struct {
	index       int
	up          bool
	incarnation int
	overloaded  bool
	rate        float64 // arrivals per second

	slots   int
	running int
	queue   []*siteRequest

	rejected, forwarded, served int // within the current second
	stats                       overflow.Stats

	lender   *overflow.Lender
	borrower *overflow.Borrower
	borrowed *overflow.BorrowedQuota
	lent     *overflow.LentQuota
}

// hasSpareSlots reports whether a site has room for forwarded requests.
func (s *site) hasSpareSlots() bool { return s.running < s.usableSlots() }

func (s *site) usableSlots() int { return int(usableSlotShare * float64(s.slots)) }

// parseSite returns the index of a site by name.
func parseSite(name string) int {
	index, err := strconv.Atoi(name)
	if err != nil {
		panic(fmt.Sprintf("simulation: invalid site name %q", name))
	}
	return index
}

func siteName(index int) string { return strconv.Itoa(index) }

// startSite starts a new incarnation of a site, which has no leases.
func (o *overflowSimulation) startSite(s *site) {
	s.up, s.incarnation = true, s.incarnation+1
	s.lender, s.borrower = overflow.NewLender(fmt.Sprintf("s%d.%d", s.index, s.incarnation)), overflow.NewBorrower()
	s.borrowed, s.lent = overflow.NewBorrowedQuota(fmt.Sprintf("p%d.%d", s.index, s.incarnation)), overflow.NewLentQuota()
	s.running, s.queue = 0, nil
}

// schedulePeriodicTasks has a site update its statistics once a second and request leases from other sites.
func (o *overflowSimulation) schedulePeriodicTasks(s *site) {
	o.after(time.Second, func() {
		if s.up {
			o.measure(s)
			if o.scenario.Strategy == LeaseOverflow {
				o.requestLeases(s)
			}
		}
		o.schedulePeriodicTasks(s)
	})
}

// measure updates a site's statistics with the last second.
func (o *overflowSimulation) measure(s *site) {
	s.stats = overflow.Stats{Slots: float64(s.slots), Rate: float64(s.served), ServiceSeconds: siteServiceTime.Seconds(), RejectedRate: float64(s.rejected)}
	if s.rejected > 0 {
		o.measureIdleSlots()
	}
	s.borrower.RecordDemand(o.now, overflowService, float64(s.rejected), float64(s.forwarded))
	if s.rejected > 0 || len(s.borrower.Services()) > 0 {
		s.lender.RecordShortage(o.now, overflowService)
	}
	s.rejected, s.forwarded, s.served = 0, 0, 0
	s.lent.SetLeases(o.now, s.lender.ActiveLeases(o.now))
	s.borrowed.SetLeases(o.now, s.borrower.UsableLeases(o.now, overflowService))
}

func (o *overflowSimulation) measureIdleSlots() {
	for _, s := range o.sites {
		if !s.overloaded && s.up {
			o.result.IdleSlotSeconds += max(usableSlotShare*float64(s.slots)-float64(s.running), 0)
		}
	}
}

// requestLeases sends the borrower's lease requests to other sites.
func (o *overflowSimulation) requestLeases(s *site) {
	var peers []overflow.PeerSite
	for _, other := range o.sites {
		if other != s {
			peers = append(peers, overflow.PeerSite{Site: siteName(other.index), Distance: siteLatency(s.index, other.index)})
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

// grantLease has a site decide on a lease request. A lease without an address grants nothing.
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
