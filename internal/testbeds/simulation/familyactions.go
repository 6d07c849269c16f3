package simulation

import "time"

// addActions adds n random actions of operators and replicas.
func (g *generator) addActions(from, to time.Duration, n int) {
	for range n {
		a := Action{At: g.durationBetween(from, to), LoseResponse: g.chance(8), RetrySame: g.chance(3)}
		switch k := g.random.IntN(16); {
		case k < 4:
			a.Kind, a.Version = PutConfig, versionAt(a.At)+uint64(g.random.IntN(3))
			g.addAction(a)
		case k < 7:
			a.Kind, a.Target = g.evacuateOrRestore(), g.random.IntN(generatedZones)
			g.addAction(a)
		case k < 11:
			g.addReadsOfAll(a.At)
		case k < 12:
			g.addConflictingPuts(a)
		case k < 14:
			if !g.addRepeatedPut(a) {
				g.addReplicaAction(a)
			}
		default:
			g.addReplicaAction(a)
		}
	}
}

// addReadsOfAll adds a read through each member.
func (g *generator) addReadsOfAll(at time.Duration) {
	for i := range g.schedule.Members {
		g.addAction(Action{At: at, Kind: ReadConfig, To: 1 + i})
	}
}

// addConflictingPuts adds two different configurations with the same version.
func (g *generator) addConflictingPuts(a Action) {
	a.Kind, a.Version, a.To = PutConfig, versionAt(a.At)+5, g.randomMember()
	g.addAction(a)
	a.To = g.randomMember()
	a.At += time.Duration(g.random.IntN(3)) * 500 * time.Microsecond
	g.addAction(a)
}

// addRepeatedPut repeats a random earlier put. It reports false if the action drawn is not an earlier put.
func (g *generator) addRepeatedPut(a Action) bool {
	earlier := g.schedule.Actions[g.random.IntN(len(g.schedule.Actions))]
	if earlier.Kind != PutConfig || earlier.At >= a.At {
		return false
	}
	a.Kind, a.Version, a.Body, a.To = PutConfig, earlier.Version, earlier.Body, g.randomMember()
	g.addAction(a)
	return true
}

// addReplicaAction adds an action that starts or drains a replica.
func (g *generator) addReplicaAction(a Action) {
	a.Kind, a.Target = StartReplica, g.random.IntN(generatedZones)
	if g.chance(2) {
		a.Kind, a.Target = DrainReplica, g.random.IntN(g.schedule.Replicas)
	}
	g.addAction(a)
}
