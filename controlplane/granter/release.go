package granter

import (
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// releaseGroup is a set of ranges of one replica that one call releases. No range granted to the replica lies between them.
type releaseGroup struct {
	owner  string
	ranges []ownership.Range
}

// callReleases calls the owners of ranges that are being released and not yet acknowledged.
func (g *Granter) callReleases(now time.Duration, name string, service *serviceState, ranges []ownership.Range, pool *replicaPool, input Input, output *Output) {
	for _, group := range groupReleases(service, ranges) {
		address := pool.addresses[group.owner]
		if address == "" || g.replica(group.owner).misdirected || !releaseDue(now, service, group) {
			continue
		}
		first, last := group.ranges[0], group.ranges[len(group.ranges)-1]
		token := uint64(0)
		for _, r := range group.ranges {
			token = max(token, r.Token)
			service.releases[releaseID{r.From, r.Token}].inFlight = true
		}
		output.Calls = append(output.Calls, g.newCall(ownership.Call{
			Kind:     ownership.CallRelease,
			Service:  name,
			Replica:  group.owner,
			Address:  address,
			From:     first.From,
			To:       last.To,
			Token:    token,
			NotAfter: input.AuthorizedUntil,
			Timeout:  releaseTimeout,
		}))
	}
}

// groupReleases groups the ranges being released, without those already acknowledged or with a call in flight. The groups are in the order of
// their first ranges.
func groupReleases(service *serviceState, ranges []ownership.Range) []*releaseGroup {
	var groups []*releaseGroup
	open := map[string]*releaseGroup{} // by owner
	for _, r := range ranges {
		if r.Phase == ownership.PhaseGranted {
			delete(open, r.Owner)
			continue
		}
		state := service.releases[releaseID{r.From, r.Token}]
		if state.released || state.inFlight {
			continue
		}
		group := open[r.Owner]
		if group == nil {
			group = &releaseGroup{owner: r.Owner}
			open[r.Owner] = group
			groups = append(groups, group)
		}
		group.ranges = append(group.ranges, r)
	}
	return groups
}

func releaseDue(now time.Duration, service *serviceState, group *releaseGroup) bool {
	for _, r := range group.ranges {
		if now < service.releases[releaseID{r.From, r.Token}].retryAt {
			return false
		}
	}
	return true
}

// grantFreeRanges grants ranges to their next owners whose release was acknowledged or whose lease has ended.
func (g *Granter) grantFreeRanges(now time.Duration, name string, service *serviceState, ranges []ownership.Range, pool *replicaPool, changes *changes) {
	var free []ownership.Range
	for _, r := range ranges {
		if r.Phase == ownership.PhaseReleasing && g.isFree(now, name, service, r) {
			free = append(free, r)
		}
	}
	pool.chooseTargets(ranges, free, service.load.rates())
	for _, r := range free {
		if r.Target != "" && !g.hasReleaseInFlight(name, r.Target, r) {
			changes.grant(name, r.From, r.To, r.Target, service.releases[releaseID{r.From, r.Token}].handover)
		}
	}
}

// hasReleaseInFlight reports whether a release call to a replica that covers some keys of the range has no result yet. A release is never refused, so
// it would end a grant of these keys that it follows.
func (g *Granter) hasReleaseInFlight(service, replica string, r ownership.Range) bool {
	for _, call := range g.calls {
		isRelease := call.Kind == ownership.CallRelease && call.Service == service && call.Replica == replica
		if isRelease && call.From <= r.To && r.From <= call.To {
			return true
		}
	}
	return false
}

// isFree reports whether no replica can hold any key of a range that is being released.
func (g *Granter) isFree(now time.Duration, name string, service *serviceState, r ownership.Range) bool {
	if service.releases[releaseID{r.From, r.Token}].released {
		return true
	}
	return now >= g.leaseEnd(service, r.From, r.To) && !g.hasGrantInFlight(name, r.From, r.To)
}
