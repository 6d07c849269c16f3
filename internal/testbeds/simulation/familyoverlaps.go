package simulation

import "time"

// Parameters of generateOverlaps.
const (
	overlapDuration    = 50 * time.Second
	maxShortAbsence    = 2 * time.Second
	maxLongAbsence     = 24 * time.Second
	maxAbsenceStagger  = 4 * time.Second
	maxWipedDowntime   = 3 * time.Second
	maxIntervalOfWipes = 1500 * time.Millisecond
)

// generateOverlaps makes more members unavailable at once than the tolerance allows, with their disks kept, and wipes as many
// disks beside them as may be lost. Service may rest meanwhile, but nothing that was acknowledged may be lost, and all members
// must recover afterwards.
func (g *generator) generateOverlaps() {
	g.schedule.Duration, g.schedule.ExceedsTolerance = overlapDuration, true
	start := g.durationBetween(7*time.Second, 9*time.Second)
	end := start + g.durationBetween(maxShortAbsence, maxLongAbsence)
	if g.chance(2) {
		g.addCommonAbsence(start, end)
	} else {
		g.addStaggeredAbsences(start)
	}
	at := end - g.durationBetween(0, end-start)/4
	for range g.schedule.Tolerance {
		fault := g.withTarget(Fault{At: at, For: g.durationBetween(100*time.Millisecond, maxWipedDowntime), Kind: WipeDisk})
		if g.chance(3) {
			fault.Trigger = TriggerViewChange
		}
		g.appendFault(fault)
		at += g.durationBetween(0, maxIntervalOfWipes)
	}
	g.addActions(7*time.Second, overlapDuration, 36)
}

// addCommonAbsence makes as many members as may be lost unavailable for the same time.
func (g *generator) addCommonAbsence(start, end time.Duration) {
	for i := range g.schedule.Tolerance {
		g.appendFault(Fault{At: start, For: end - start + g.durationBetween(0, maxAbsenceStagger), Kind: g.absenceKind(), Target: g.schedule.Members - 1 - i})
	}
}

// addStaggeredAbsences makes up to all members unavailable one after the other, each for a time of its own.
func (g *generator) addStaggeredAbsences(at time.Duration) {
	for range 1 + g.random.IntN(g.schedule.Members) {
		duration := g.durationBetween(200*time.Millisecond, maxShortAbsence)
		if g.chance(2) {
			duration = g.durationBetween(maxShortAbsence, maxLongAbsence)
		}
		g.appendFault(g.withTarget(Fault{At: at, For: duration, Reconnect: g.chance(4), Kind: g.absenceKind()}))
		at += g.durationBetween(0, maxAbsenceStagger)
	}
}

// absenceKind draws a fault that makes a member unavailable and keeps its disk.
func (g *generator) absenceKind() FaultKind {
	return g.pickKind(KillProcess, LosePower, LosePower, PauseProcess, PauseWithMonotonicClock, PauseWithAllClocks, IsolateMember, PartitionMember, DropInbound, DropOutbound, StallDisk)
}
