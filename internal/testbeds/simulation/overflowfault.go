package simulation

import (
	"time"
)

const (
	overloadStart       = 3 * time.Second
	overloadEnd         = 8 * time.Second // before the end
	secondOverloadStart = 4 * time.Second
	secondOverloadEnd   = 10 * time.Second // before the end

	siteLinkFaults        = 4
	siteLinkFaultsFrom    = 5 * time.Second
	minLinkFaultDuration  = 500  // milliseconds
	linkFaultDurationSpan = 3000 // milliseconds, added to minLinkFaultDuration, exclusive bound

	siteStopAt    = 8 * time.Second
	siteRestartAt = 9 * time.Second
)

// overload multiplies a site's load by the scenario's factor from a start time until some time before the end.
func (o *overflowSimulation) overload(s *site, from, beforeEnd time.Duration) {
	o.after(from, func() { s.rate *= o.scenario.LoadFactor })
	o.after(o.scenario.Duration-beforeEnd, func() { s.rate /= o.scenario.LoadFactor })
}

// scheduleFaults draws link faults, a site restart and the overload of a further site.
func (o *overflowSimulation) scheduleFaults() {
	if o.scenario.Sites > 2 && o.random.IntN(2) == 0 {
		s := o.sites[o.scenario.OverloadedSites+o.random.IntN(o.scenario.Sites-o.scenario.OverloadedSites)]
		s.overloaded = true
		o.overload(s, secondOverloadStart, secondOverloadEnd)
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

// scheduleLinkFault makes a link drop messages for a while, or delay them until the fault ends.
func (o *overflowSimulation) scheduleLinkFault(l siteLink) {
	at := siteLinkFaultsFrom + time.Duration(o.random.Int64N(int64(o.scenario.Duration/2)))
	end := at + o.milliseconds(minLinkFaultDuration, linkFaultDurationSpan)
	if o.random.IntN(2) == 0 {
		o.after(at, func() { o.cutLinks[l] = true })
		o.after(end, func() { o.cutLinks[l] = false })
		return
	}
	o.after(at, func() { o.delayingLinks[l] = true })
	o.after(end, func() {
		o.delayingLinks[l] = false
		queued := o.delayedMessages[l]
		o.delayedMessages[l] = nil
		for _, arrive := range queued {
			arrive()
		}
	})
}
