package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Families are kinds of days with a Tolerance, each for one way in which a core may fail its callers.
var Families = []string{"cuts", "replaced", "twins", "storms", "long", "first"}

// toleranceByMembers is how many machines may be lost at once, by how many there are.
var toleranceByMembers = map[int]int{3: 1, 5: 2, 7: 2}

var faultRoles = []string{"head", "tail", "middle", "seed", ""}

const second = time.Second

// faultBudget are what may be lost at once: each is taken until a time.
type faultBudget []time.Duration

// reserve takes one that is free at a time until another, if there is one.
func (s faultBudget) reserve(at, until time.Duration) bool {
	i := slices.IndexFunc(s, func(t time.Duration) bool { return t <= at })
	if i >= 0 {
		s[i] = until
	}
	return i >= 0
}

// generator makes a day.
type generator struct {
	*rand.Rand
	schedule  Schedule
	budget    faultBudget
	bodyCount int
}

func (g *generator) durationBetween(a, b time.Duration) time.Duration {
	return a + time.Duration(g.Int64N(int64(b-a)))
}
func (g *generator) oneOf(all ...string) string { return all[g.IntN(len(all))] }

// withRole is one of some, and a machine where it is none.
func (g *generator) withRole(fault Fault) Fault {
	if fault.Role = g.oneOf(faultRoles...); fault.Role == "seed" {
		fault.Role, fault.Target = "", g.IntN(g.schedule.InitialMembers)
	} else if fault.Role == "" {
		fault.Target = g.IntN(g.schedule.Members)
	}
	return fault
}

// addFault adds a trouble that takes a slot, if one is free.
func (g *generator) addFault(fault Fault) bool {
	until := fault.At + fault.For + restartTime + catchUpTime
	if fault.When != "" {
		until += maxFaultWait
	}
	if !g.budget.reserve(fault.At, until) {
		return false
	}
	g.schedule.Faults = append(g.schedule.Faults, fault)
	return true
}

// addClusterFault strikes every machine's process or power, where nothing else is lost or returning.
func (g *generator) addClusterFault(at time.Duration, kinds ...string) {
	if slices.Max(g.budget) > at {
		return
	}
	t := Fault{At: at, For: g.durationBetween(0, 900*time.Millisecond), Kind: g.oneOf(kinds...)}
	for i := range g.budget {
		g.budget[i] = at + t.For + 300*time.Millisecond + restartTime + catchUpTime
	}
	g.schedule.Faults = append(g.schedule.Faults, t)
}

// GenerateFamily makes a day of a family. It never loses more machines at once than the tolerance allows.
func GenerateFamily(family string, seed uint64, machines int) Schedule {
	d := &generator{Rand: rand.New(rand.NewPCG(seed, 6)), schedule: Schedule{Seed: seed, Members: machines, InitialMembers: min(machines, 3), Tolerance: toleranceByMembers[machines],
		Gateways: 2, Replicas: 2, Zones: generatedZones, MaxReorderDelay: 80 * time.Millisecond}}
	d.budget = make(faultBudget, d.schedule.Tolerance)
	d.schedule.LossRate, d.schedule.ReorderRate = 0.002*float64(d.IntN(3)), 0.002*float64(d.IntN(3))
	if d.IntN(4) == 0 {
		d.schedule.MaxReorderDelay = 3 * second
	}
	d.addAction(Action{At: 500 * time.Millisecond, Kind: "put", Version: 1})
	switch family {
	case "cuts":
		d.generatePartitions()
	case "replaced":
		d.generateReplacements()
	case "twins":
		d.generateConflicts()
	case "storms":
		d.generateStorms()
	case "long":
		d.generateLongHistory()
	case "first":
		d.generateFirstStart()
	}
	slices.SortStableFunc(d.schedule.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	slices.SortStableFunc(d.schedule.Actions, func(a, b Action) int { return int(a.At - b.At) })
	return d.schedule
}

// addAction adds an operator's or a replica's; each configuration has a body of its own, unless it names one.
func (g *generator) addAction(action Action) {
	if action.Kind == "put" && action.Body == 0 {
		g.bodyCount++
		action.Body = g.bodyCount
	}
	g.schedule.Actions = append(g.schedule.Actions, action)
}

// generatePartitions has machines cut off, both ways or one, or frozen for 20 s, and called meanwhile and as they come back.
func (g *generator) generatePartitions() {
	g.schedule.Duration = 36 * second
	at := g.durationBetween(7*second, 9*second)
	for range 1 + g.IntN(g.schedule.Tolerance) {
		g.addFault(g.withRole(Fault{At: at, For: 20 * second, Kind: g.oneOf("cut", "island", "deaf", "mute", "freeze", "still", "stopped"), Reconnect: g.IntN(2) == 0}))
		at += g.durationBetween(0, 4*second)
	}
	for at := 10 * second; at < 34*second; at += g.durationBetween(2*second, 9*second) {
		g.addFault(g.withRole(Fault{At: at, For: g.durationBetween(200*time.Millisecond, 2*second), Kind: g.oneOf("kill", "power", "wipe", "freeze", "island")}))
	}
	g.addActions(7*second, 36*second, 36)
}

// returnDelay is when one that is gone comes back all the same, with its disk, long after its successor: at times.
func (g *generator) returnDelay() time.Duration {
	if g.IntN(3) > 0 {
		return 0
	}
	return g.durationBetween(14*second, 30*second)
}

// generateReplacements has machines go for good or leave in order, and others come at new addresses, before or after that, with a
// further loss timed into it where that is allowed.
func (g *generator) generateReplacements() {
	s := &g.schedule
	at := g.durationBetween(7*second, 9*second)
	spare := func(at time.Duration) { s.Faults = append(s.Faults, Fault{At: at, Kind: "spare"}) }
	midst := func(at time.Duration) { // a loss in the midst of what is going on
		t := g.withRole(Fault{At: at, For: g.durationBetween(100*time.Millisecond, 3*second), Kind: g.oneOf("kill", "power", "freeze", "cut", "wipe", "island"), When: g.oneOf("joined", "voter", "viewed")})
		if g.IntN(4) == 0 {
			t.Role = "newest"
		}
		g.addFault(t)
	}
	for range 2 + g.IntN(3) {
		until := at
		switch g.IntN(4) {
		case 0: // it goes, and a successor comes
			comes := at + g.durationBetween(100*time.Millisecond, 4*second)
			until = comes + restartTime + catchUpTime
			if !g.budget.reserve(at, until) {
				break
			}
			s.Faults = append(s.Faults, g.withRole(Fault{At: at, For: g.returnDelay(), Kind: g.oneOf("gone", "leave")}))
			spare(comes)
			midst(at + 50*time.Millisecond)
		case 1: // the successor is there first, then it leaves
			spare(at)
			midst(at)
			leaves := at + catchUpTime + maxFaultWait + g.durationBetween(0, second)
			until = leaves + terminationGrace + restartTime
			if g.IntN(2) == 0 { // in order: another may be lost while it hands over
				s.Faults = append(s.Faults, Fault{At: leaves, Kind: "leave", Role: "head"})
				g.addFault(Fault{At: leaves + g.durationBetween(0, second), For: g.durationBetween(time.Second, 8*time.Second), Kind: g.oneOf("power", "freeze", "cut"), Role: g.oneOf("middle", "tail")})
			} else if g.budget.reserve(leaves, until) {
				s.Faults = append(s.Faults, g.withRole(Fault{At: leaves, For: g.returnDelay(), Kind: g.oneOf("gone", "leave")}))
			}
		case 2: // the newcomer itself is lost as it comes in, and another comes
			spare(at)
			until = at + 2*maxFaultWait + restartTime + catchUpTime
			if g.budget.reserve(at, until) {
				s.Faults = append(s.Faults, Fault{At: at, Kind: "gone", Role: "newest", When: g.oneOf("joined", "voter")})
				spare(at + maxFaultWait)
			}
		case 3: // all lose power in the midst
			spare(at)
			t := Fault{At: at, For: g.durationBetween(0, 900*time.Millisecond), Kind: g.oneOf("all", "allpower"), When: g.oneOf("joined", "voter", "viewed")}
			if slices.Max(g.budget) <= at {
				until = at + maxFaultWait + t.For + 2*restartTime + catchUpTime
				for i := range g.budget {
					g.budget[i] = until
				}
				s.Faults = append(s.Faults, t)
			}
		}
		at = max(at+second, slices.Min(g.budget), until) + g.durationBetween(0, 2*second)
	}
	s.Duration = max(at, slices.Max(g.budget)) + 2*second
	g.addActions(7*second, s.Duration, 50)
}

// generateConflicts has operators use one number at the same moment, send again what was answered or not, eight at once, while the
// machines that take it die.
func (g *generator) generateConflicts() {
	g.schedule.Duration = 26 * second
	for at := g.durationBetween(7*second, 8*second); at < 24*second; at += g.durationBetween(2*second, 4*second) {
		g.addBurst(at)
		switch g.IntN(4) {
		case 0:
			g.addClusterFault(at+g.durationBetween(0, 600*time.Millisecond), "all", "allpower", "wipepower")
		case 1, 2:
			g.addFault(g.withRole(Fault{At: at + g.durationBetween(0, 30*time.Millisecond), For: g.durationBetween(300*time.Millisecond, 4*second), Kind: g.oneOf("kill", "power", "wipe", "freeze", "still", "stopped", "cut", "island", "deaf", "mute", "stall"), Reconnect: g.IntN(3) == 0}))
		}
	}
	g.addActions(7*second, 26*second, 12)
}

// addBurst is eight orders at once, some of them two under one number.
func (g *generator) addBurst(at time.Duration) {
	s := &g.schedule
	for i := range 8 {
		a := Action{At: at + time.Duration(g.IntN(4))*time.Millisecond*time.Duration(g.IntN(8)), Kind: "put", To: 1 + g.IntN(s.Members), Version: versionAt(at) + uint64(i/2), LoseAnswer: g.IntN(4) == 0, RetrySame: g.IntN(3) == 0}
		if g.IntN(4) == 0 {
			a.Kind, a.Target = g.oneOf("evacuate", "restore"), g.IntN(generatedZones)
		}
		g.addAction(a)
	}
}

// generateStorms has nothing but orders and questions, thick about the moments at which a machine is struck and is back.
func (g *generator) generateStorms() {
	s := &g.schedule
	s.Duration, s.Gateways, s.Replicas = 24*second, 0, 0
	s.LossRate, s.ReorderRate, s.MaxReorderDelay = 0.01*float64(g.IntN(3)), 0.02*float64(g.IntN(3)), 80*time.Millisecond
	thick := func(from time.Duration) {
		for range 14 {
			at := g.durationBetween(from-100*time.Millisecond, from+1200*time.Millisecond)
			a := Action{At: at, Kind: "put", Version: versionAt(at) + uint64(g.IntN(4)), To: 1 + g.IntN(s.Members), LoseAnswer: g.IntN(6) == 0, RetrySame: g.IntN(2) == 0}
			switch g.IntN(4) {
			case 0:
				a.Kind, a.Target = g.oneOf("evacuate", "restore"), g.IntN(2)
			case 1:
				a.Kind = "read"
			}
			g.addAction(a)
		}
	}
	for at := g.durationBetween(7*second, 8*second); at < 21*second; at += g.durationBetween(2*second, 5*second) {
		t := g.withRole(Fault{At: at, For: g.durationBetween(20*time.Millisecond, 2500*time.Millisecond), Kind: g.oneOf("kill", "kill", "power", "wipe", "freeze", "still", "stopped", "cut", "island", "deaf", "mute", "stall", "full", "refuse")})
		if g.IntN(5) == 0 {
			g.addClusterFault(at, "all", "allpower", "wipepower")
		} else if g.addFault(t); g.IntN(3) == 0 { // and another, where that may be, as the view changes
			t = g.withRole(Fault{At: at + time.Millisecond, For: g.durationBetween(20*time.Millisecond, 2500*time.Millisecond), Kind: g.oneOf("kill", "power", "wipe", "freeze", "cut", "mute"), When: "viewed"})
			g.addFault(t)
		}
		thick(at)
		thick(at + t.For)
	}
}

// versionAt is a number that rises with time.
func versionAt(at time.Duration) uint64 { return 10 * uint64(at/(100*time.Millisecond)) }

// generateLongHistory has hundreds of changes in a day, with restarts, wipes and full disks among them.
func (g *generator) generateLongHistory() {
	n := 300 + g.IntN(701)
	g.schedule.Duration = 10*second + time.Duration(n)*40*time.Millisecond
	for at := g.durationBetween(7*second, 9*second); at < g.schedule.Duration-2*second; at += g.durationBetween(second, 4*second) {
		if g.IntN(6) == 0 {
			g.addClusterFault(at, "all", "allpower", "wipepower")
			continue
		}
		g.addFault(g.withRole(Fault{At: at, For: g.durationBetween(200*time.Millisecond, 5*second), Kind: g.oneOf("kill", "power", "wipe", "full", "refuse", "stall", "freeze", "cut")}))
	}
	for i := range n {
		at := 7*second + time.Duration(i)*40*time.Millisecond + g.durationBetween(0, 40*time.Millisecond)
		a := Action{At: at, Kind: "put", Version: uint64(1000 + 2*i)}
		if i%8 == 0 {
			a.Kind, a.Target = g.oneOf("evacuate", "restore"), g.IntN(generatedZones)
		}
		g.addAction(a)
	}
	g.addActions(7*second, g.schedule.Duration, 10)
}

// generateFirstStart has machines struck within the second in which the system starts for the first time.
func (g *generator) generateFirstStart() {
	g.schedule.Duration, g.schedule.StartSpread = 14*second, 300*time.Millisecond
	at := g.durationBetween(time.Millisecond, 700*time.Millisecond)
	if g.IntN(2) == 0 {
		for range 1 + g.IntN(g.schedule.Tolerance) {
			g.addFault(Fault{At: at, For: g.durationBetween(50*time.Millisecond, 2*second), Kind: g.oneOf("kill", "power", "wipe", "freeze", "cut"), Target: g.IntN(g.schedule.Members)})
			at += g.durationBetween(0, 400*time.Millisecond)
		}
	} else {
		g.addClusterFault(at, "all", "allpower")
	}
	for i := range 4 {
		g.addAction(Action{At: g.durationBetween(0, second), Kind: "put", Version: uint64(2 + i)})
	}
	g.addActions(second, 13*second, 12)
}

// addActions are operators' calls of all kinds, and some of replicas.
func (g *generator) addActions(from, to time.Duration, n int) {
	for range n {
		a := Action{At: g.durationBetween(from, to), LoseAnswer: g.IntN(8) == 0, RetrySame: g.IntN(3) == 0}
		switch k := g.IntN(16); {
		case k < 4:
			a.Kind, a.Version = "put", versionAt(a.At)+uint64(g.IntN(3))
		case k < 7:
			a.Kind, a.Target = g.oneOf("evacuate", "restore"), g.IntN(generatedZones)
		case k < 11: // through each comb
			for i := range g.schedule.Members {
				g.addAction(Action{At: a.At, Kind: "read", To: 1 + i})
			}
			continue
		case k < 12: // two with one number
			a.Kind, a.Version, a.To = "put", versionAt(a.At)+5, 1+g.IntN(g.schedule.Members)
			g.addAction(a)
			a.To, a.At = 1+g.IntN(g.schedule.Members), a.At+time.Duration(g.IntN(3))*500*time.Microsecond
		case k < 14: // one that is sent again, soon or late
			if i := g.IntN(len(g.schedule.Actions)); g.schedule.Actions[i].Kind == "put" && g.schedule.Actions[i].At < a.At {
				a.Kind, a.Version, a.Body, a.To = "put", g.schedule.Actions[i].Version, g.schedule.Actions[i].Body, 1+g.IntN(g.schedule.Members)
				break
			}
			fallthrough
		default:
			a.Kind, a.Target = "begin", g.IntN(generatedZones)
			if g.IntN(2) == 0 {
				a.Kind, a.Target = "drain", g.IntN(g.schedule.Replicas)
			}
		}
		g.addAction(a)
	}
}
