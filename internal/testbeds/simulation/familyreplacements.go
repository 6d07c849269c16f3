package simulation

import (
	"slices"
	"time"
)

// generateReplacements removes members or shuts them down, adds spares before or after that, and injects a further
// loss during the replacement where the tolerance allows it.
func (g *generator) generateReplacements() {
	at := g.durationBetween(7*time.Second, 9*time.Second)
	for range 2 + g.random.IntN(3) {
		var until time.Duration
		switch g.random.IntN(4) {
		case 0:
			until = g.addRemovalThenSpare(at)
		case 1:
			until = g.addSpareThenRemoval(at)
		case 2:
			until = g.addFailingSpare(at)
		case 3:
			until = g.addSpareAndClusterFault(at)
		}
		at = max(at+time.Second, slices.Min(g.budget), until) + g.durationBetween(0, 2*time.Second)
	}
	g.schedule.Duration = max(at, slices.Max(g.budget)) + 2*time.Second
	g.addActions(7*time.Second, g.schedule.Duration, 50)
}

// returnDelay returns the time after which a removed member returns with its disk, long after it was replaced; 0 means
// never.
func (g *generator) returnDelay() time.Duration {
	if !g.chance(3) {
		return 0
	}
	return g.durationBetween(14*time.Second, 30*time.Second)
}

func (g *generator) addSpare(at time.Duration) { g.appendFault(Fault{At: at, Kind: AddSpareMember}) }

// addRemoval removes a member or shuts it down.
func (g *generator) addRemoval(at time.Duration) {
	g.appendFault(g.withTarget(Fault{At: at, For: g.returnDelay(), Kind: g.pickKind(RemoveMember, ShutDownMember)}))
}

// addConcurrentLoss makes a member unavailable during a replacement.
func (g *generator) addConcurrentLoss(at time.Duration) {
	fault := g.withTarget(Fault{At: at, For: g.durationBetween(100*time.Millisecond, 3*time.Second),
		Kind: g.pickKind(KillProcess, LosePower, PauseProcess, IsolateMember, WipeDisk, PartitionMember), Trigger: pickOne(g.random, TriggerSpareJoined, TriggerSpareIsVoter, TriggerViewChange)})
	if g.chance(4) {
		fault.Role = RoleNewestSpare
	}
	g.addFault(fault)
}

// addRemovalThenSpare removes a member and adds a spare afterwards. Like the next three functions, it returns the
// earliest time for the next replacement.
func (g *generator) addRemovalThenSpare(at time.Duration) (until time.Duration) {
	spareAt := at + g.durationBetween(100*time.Millisecond, 4*time.Second)
	until = spareAt + restartTime + catchUpTime
	if g.budget.reserve(at, until) {
		g.addRemoval(at)
		g.addSpare(spareAt)
		g.addConcurrentLoss(at + 50*time.Millisecond)
	}
	return until
}

// addSpareThenRemoval adds a spare and removes another member afterwards. If that member shuts down gracefully, a
// further one may fail during the handover.
func (g *generator) addSpareThenRemoval(at time.Duration) (until time.Duration) {
	g.addSpare(at)
	g.addConcurrentLoss(at)
	removedAt := at + catchUpTime + maxFaultWait + g.durationBetween(0, time.Second)
	until = removedAt + terminationGrace + restartTime
	if g.chance(2) {
		g.appendFault(Fault{At: removedAt, Kind: ShutDownMember, Role: RoleHead})
		g.addFault(Fault{At: removedAt + g.durationBetween(0, time.Second), For: g.durationBetween(time.Second, 8*time.Second),
			Kind: g.pickKind(LosePower, PauseProcess, IsolateMember), Role: pickOne(g.random, RoleMiddle, RoleTail)})
	} else if g.budget.reserve(removedAt, until) {
		g.addRemoval(removedAt)
	}
	return until
}

// addFailingSpare removes a spare while it joins, and adds another one.
func (g *generator) addFailingSpare(at time.Duration) (until time.Duration) {
	g.addSpare(at)
	until = at + 2*maxFaultWait + restartTime + catchUpTime
	if g.budget.reserve(at, until) {
		g.appendFault(Fault{At: at, Kind: RemoveMember, Role: RoleNewestSpare, Trigger: pickOne(g.random, TriggerSpareJoined, TriggerSpareIsVoter)})
		g.addSpare(at + maxFaultWait)
	}
	return until
}

// addSpareAndClusterFault stops all members while a spare joins.
func (g *generator) addSpareAndClusterFault(at time.Duration) (until time.Duration) {
	g.addSpare(at)
	fault := Fault{At: at, For: g.durationBetween(0, maxClusterDowntime), Kind: g.pickKind(KillAll, LosePowerAll), Trigger: pickOne(g.random, TriggerSpareJoined, TriggerSpareIsVoter, TriggerViewChange)}
	until = at + maxFaultWait + fault.For + 2*restartTime + catchUpTime
	if !g.budget.reserveAll(at, until) {
		return at
	}
	g.appendFault(fault)
	return until
}
