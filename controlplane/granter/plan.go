package granter

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

const (
	rangesPerReplica = 8 // of the first division

	planInterval    = time.Second
	maxMovesPerPlan = 48

	// The first division waits until no replica has been added for divisionQuietPeriod, but no longer than maxDivisionWait after the first one.
	divisionQuietPeriod = 1600 * time.Millisecond
	maxDivisionWait     = 8 * time.Second
)

// divide makes the first division of a service's keys.
func (g *Granter) divide(now time.Duration, service *serviceState, name string, pool *replicaPool, input Input, changes *changes) {
	if count := len(pool.eligible); count > service.replicaCount {
		if service.replicaCount == 0 {
			service.firstReplicaAt = now
		}
		service.replicaCount = count
		service.replicaCountedAt = now
	}
	mayBeIncomplete := now-service.replicaCountedAt < divisionQuietPeriod && now-service.firstReplicaAt < maxDivisionWait
	if len(pool.eligible) == 0 || input.Bootstrapping || mayBeIncomplete {
		return
	}
	if !g.mayDivide(now, name, service, input.Table) {
		return
	}
	changes.divide(name, pool.eligible)
}

// forgetFailures forgets failed calls to the replicas of a service without ranges: no call would show that a replica responds again.
func (g *Granter) forgetFailures(input Input, service string) {
	for _, instance := range input.Instances {
		if replica := g.replicas[instance.ID]; replica != nil && instance.Service == service && !g.hasCallInFlight(instance.ID) {
			replica.failures = 0
		}
	}
}

// plan starts the moves of ranges whose owners have to give them up and, once per planInterval, those that balance the load.
func (g *Granter) plan(now time.Duration, name string, service *serviceState, pool *replicaPool, input Input, changes *changes) {
	if len(pool.eligible) == 0 || input.ProposalPending {
		return
	}
	ranges := changes.table.Services[name]
	evicting := !input.Bootstrapping && slices.ContainsFunc(ranges, func(r ownership.Range) bool {
		return r.Phase == ownership.PhaseGranted && !pool.keeps[r.Owner]
	})
	if !evicting && now < service.nextPlanAt || input.Bootstrapping {
		return
	}
	if now >= service.nextPlanAt {
		changes.join(name, ownership.RangeLimit(len(pool.eligible)), func(r ownership.Range) bool {
			state := service.grants[grantID{r.From, r.Token}]
			return state != nil && state.accepted && !state.fenced
		})
		ranges = changes.table.Services[name]
		service.load.update(now)
		service.nextPlanAt = now + planInterval
	}
	moves := ownership.PlanMoves(ownership.PlanInput{
		Ranges:   ranges,
		Replicas: pool.eligible,
		Keeps:    pool.keeps,
		Load:     service.load.rates(),

		LoadWindow: loadWindow,
		MaxMoves:   maxMovesPerPlan,
	})
	if len(moves) > 0 {
		changes.release(name, moves)
	}
}
