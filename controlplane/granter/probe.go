package granter

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
)

// probeInterval is the time between probes of a replica.
const probeInterval = time.Second

// probeReplicas calls replicas whose last call failed and that own no range, which nothing else would call again. A probe repeats the release of a
// key that another replica owns, which has no effect and shows whether the replica responds.
func (g *Granter) probeReplicas(now time.Duration, name string, ranges []ownership.Range, input Input, output *Output) {
	for _, instance := range input.Instances {
		if instance.Service != name || !g.isProbeDue(now, instance) || ownsRange(ranges, instance.ID) {
			continue
		}
		output.Calls = append(output.Calls, g.newCall(ownership.Call{
			Kind:     ownership.CallRelease,
			Service:  name,
			Replica:  instance.ID,
			Address:  instance.Addr,
			From:     ranges[0].From,
			To:       ranges[0].From,
			Token:    ranges[0].Token,
			NotAfter: input.AuthorizedUntil,
			Timeout:  grantTimeout,
		}))
	}
}

// isProbeDue reports whether a replica that could receive keys again has not been called for probeInterval.
func (g *Granter) isProbeDue(now time.Duration, instance fleet.Instance) bool {
	replica := g.replicas[instance.ID]
	if replica == nil || replica.failures == 0 || replica.misdirected || now < replica.retryAt+probeInterval {
		return false
	}
	isGone := instance.Deregistered || instance.Draining || instance.HeartbeatTimedOut
	return !isGone && !g.hasCallInFlight(instance.ID)
}

// hasCallInFlight reports whether a call to a replica has no result yet.
func (g *Granter) hasCallInFlight(replica string) bool {
	for _, call := range g.calls {
		if call.Replica == replica {
			return true
		}
	}
	return false
}

func ownsRange(ranges []ownership.Range, replica string) bool {
	return slices.ContainsFunc(ranges, func(r ownership.Range) bool { return r.Owner == replica })
}
