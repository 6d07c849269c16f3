package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Families are kinds of days with a Tolerance, each for one way in which a core may fail its callers.
var Families = []string{"cuts", "replaced", "twins", "storms", "long", "first"}

// tolerances is how many machines may be lost at once, by how many there are.
var tolerances = map[int]int{3: 1, 5: 2, 7: 2}

var roles = []string{"head", "tail", "middle", "seed", ""}

const second = time.Second

// lossSlots are what may be lost at once: each is taken until a time.
type lossSlots []time.Duration

// take takes one that is free at a time until another, if there is one.
func (s lossSlots) take(at, until time.Duration) bool {
	i := slices.IndexFunc(s, func(t time.Duration) bool { return t <= at })
	if i >= 0 {
		s[i] = until
	}
	return i >= 0
}

// drawer makes a day.
type drawer struct {
	*rand.Rand
	s      Schedule
	lost   lossSlots
	bodies int
}

func (d *drawer) between(a, b time.Duration) time.Duration {
	return a + time.Duration(d.Int64N(int64(b-a)))
}
func (d *drawer) of(all ...string) string { return all[d.IntN(len(all))] }

// role is one of some, and a machine where it is none.
func (d *drawer) role(t Trouble) Trouble {
	if t.Role = d.of(roles...); t.Role == "seed" {
		t.Role, t.On = "", d.IntN(d.s.Seeds)
	} else if t.Role == "" {
		t.On = d.IntN(d.s.Machines)
	}
	return t
}

// strike adds a trouble that takes a slot, if one is free.
func (d *drawer) strike(t Trouble) bool {
	until := t.At + t.For + restart + catchUp
	if t.When != "" {
		until += waitsMost
	}
	if !d.lost.take(t.At, until) {
		return false
	}
	d.s.Troubles = append(d.s.Troubles, t)
	return true
}

// all strikes every machine's process or power, where nothing else is lost or returning.
func (d *drawer) all(at time.Duration, kinds ...string) {
	if slices.Max(d.lost) > at {
		return
	}
	t := Trouble{At: at, For: d.between(0, 900*time.Millisecond), Kind: d.of(kinds...)}
	for i := range d.lost {
		d.lost[i] = at + t.For + 300*time.Millisecond + restart + catchUp
	}
	d.s.Troubles = append(d.s.Troubles, t)
}

// DrawDay makes a day of a family. It never loses more machines at once than the tolerance allows.
func DrawDay(family string, seed uint64, machines int) Schedule {
	d := &drawer{Rand: rand.New(rand.NewPCG(seed, 6)), s: Schedule{Seed: seed, Machines: machines, Seeds: min(machines, 3), Tolerance: tolerances[machines],
		Foragers: 2, Replicas: 2, Zones: zones, Late: 80 * time.Millisecond}}
	d.lost = make(lossSlots, d.s.Tolerance)
	d.s.Loss, d.s.Reorder = 0.002*float64(d.IntN(3)), 0.002*float64(d.IntN(3))
	if d.IntN(4) == 0 {
		d.s.Late = 3 * second
	}
	d.act(Act{At: 500 * time.Millisecond, Kind: "put", Version: 1})
	switch family {
	case "cuts":
		d.cuts()
	case "replaced":
		d.replaced()
	case "twins":
		d.twins()
	case "storms":
		d.storms()
	case "long":
		d.long()
	case "first":
		d.first()
	}
	slices.SortStableFunc(d.s.Troubles, func(a, b Trouble) int { return int(a.At - b.At) })
	slices.SortStableFunc(d.s.Acts, func(a, b Act) int { return int(a.At - b.At) })
	return d.s
}

// act adds an operator's or a replica's; each configuration has a body of its own, unless it names one.
func (d *drawer) act(a Act) {
	if a.Kind == "put" && a.Body == 0 {
		d.bodies++
		a.Body = d.bodies
	}
	d.s.Acts = append(d.s.Acts, a)
}

// cuts has machines cut off, both ways or one, or frozen for 20 s, and called meanwhile and as they come back.
func (d *drawer) cuts() {
	d.s.Lasts = 36 * second
	at := d.between(7*second, 9*second)
	for range 1 + d.IntN(d.s.Tolerance) {
		d.strike(d.role(Trouble{At: at, For: 20 * second, Kind: d.of("cut", "island", "deaf", "mute", "freeze", "still", "stopped"), Meet: d.IntN(2) == 0}))
		at += d.between(0, 4*second)
	}
	for at := 10 * second; at < 34*second; at += d.between(2*second, 9*second) {
		d.strike(d.role(Trouble{At: at, For: d.between(200*time.Millisecond, 2*second), Kind: d.of("kill", "power", "wipe", "freeze", "island")}))
	}
	d.acts(7*second, 36*second, 36)
}

// later is when one that is gone comes back all the same, with its disk, long after its successor: at times.
func (d *drawer) later() time.Duration {
	if d.IntN(3) > 0 {
		return 0
	}
	return d.between(14*second, 30*second)
}

// replaced has machines go for good or leave in order, and others come at new addresses, before or after that, with a
// further loss timed into it where that is allowed.
func (d *drawer) replaced() {
	s := &d.s
	at := d.between(7*second, 9*second)
	spare := func(at time.Duration) { s.Troubles = append(s.Troubles, Trouble{At: at, Kind: "spare"}) }
	midst := func(at time.Duration) { // a loss in the midst of what is going on
		t := d.role(Trouble{At: at, For: d.between(100*time.Millisecond, 3*second), Kind: d.of("kill", "power", "freeze", "cut", "wipe", "island"), When: d.of("joined", "voter", "viewed")})
		if d.IntN(4) == 0 {
			t.Role = "newest"
		}
		d.strike(t)
	}
	for range 2 + d.IntN(3) {
		until := at
		switch d.IntN(4) {
		case 0: // it goes, and a successor comes
			comes := at + d.between(100*time.Millisecond, 4*second)
			until = comes + restart + catchUp
			if !d.lost.take(at, until) {
				break
			}
			s.Troubles = append(s.Troubles, d.role(Trouble{At: at, For: d.later(), Kind: d.of("gone", "leave")}))
			spare(comes)
			midst(at + 50*time.Millisecond)
		case 1: // the successor is there first, then it leaves
			spare(at)
			midst(at)
			leaves := at + catchUp + waitsMost + d.between(0, second)
			until = leaves + grace + restart
			if d.IntN(2) == 0 { // in order: another may be lost while it hands over
				s.Troubles = append(s.Troubles, Trouble{At: leaves, Kind: "leave", Role: "head"})
				d.strike(Trouble{At: leaves + d.between(0, second), For: d.between(time.Second, 8*time.Second), Kind: d.of("power", "freeze", "cut"), Role: d.of("middle", "tail")})
			} else if d.lost.take(leaves, until) {
				s.Troubles = append(s.Troubles, d.role(Trouble{At: leaves, For: d.later(), Kind: d.of("gone", "leave")}))
			}
		case 2: // the newcomer itself is lost as it comes in, and another comes
			spare(at)
			until = at + 2*waitsMost + restart + catchUp
			if d.lost.take(at, until) {
				s.Troubles = append(s.Troubles, Trouble{At: at, Kind: "gone", Role: "newest", When: d.of("joined", "voter")})
				spare(at + waitsMost)
			}
		case 3: // all lose power in the midst
			spare(at)
			t := Trouble{At: at, For: d.between(0, 900*time.Millisecond), Kind: d.of("all", "allpower"), When: d.of("joined", "voter", "viewed")}
			if slices.Max(d.lost) <= at {
				until = at + waitsMost + t.For + 2*restart + catchUp
				for i := range d.lost {
					d.lost[i] = until
				}
				s.Troubles = append(s.Troubles, t)
			}
		}
		at = max(at+second, slices.Min(d.lost), until) + d.between(0, 2*second)
	}
	s.Lasts = max(at, slices.Max(d.lost)) + 2*second
	d.acts(7*second, s.Lasts, 50)
}

// twins has operators use one number at the same moment, send again what was answered or not, eight at once, while the
// machines that take it die.
func (d *drawer) twins() {
	d.s.Lasts = 26 * second
	for at := d.between(7*second, 8*second); at < 24*second; at += d.between(2*second, 4*second) {
		d.burst(at)
		switch d.IntN(4) {
		case 0:
			d.all(at+d.between(0, 600*time.Millisecond), "all", "allpower", "wipepower")
		case 1, 2:
			d.strike(d.role(Trouble{At: at + d.between(0, 30*time.Millisecond), For: d.between(300*time.Millisecond, 4*second), Kind: d.of("kill", "power", "wipe", "freeze", "still", "stopped", "cut", "island", "deaf", "mute", "stall"), Meet: d.IntN(3) == 0}))
		}
	}
	d.acts(7*second, 26*second, 12)
}

// burst is eight orders at once, some of them two under one number.
func (d *drawer) burst(at time.Duration) {
	s := &d.s
	for i := range 8 {
		a := Act{At: at + time.Duration(d.IntN(4))*time.Millisecond*time.Duration(d.IntN(8)), Kind: "put", To: 1 + d.IntN(s.Machines), Version: version(at) + uint64(i/2), Lost: d.IntN(4) == 0, Back: d.IntN(3) == 0}
		if d.IntN(4) == 0 {
			a.Kind, a.On = d.of("evacuate", "restore"), d.IntN(zones)
		}
		d.act(a)
	}
}

// storms has nothing but orders and questions, thick about the moments at which a machine is struck and is back.
func (d *drawer) storms() {
	s := &d.s
	s.Lasts, s.Foragers, s.Replicas = 24*second, 0, 0
	s.Loss, s.Reorder, s.Late = 0.01*float64(d.IntN(3)), 0.02*float64(d.IntN(3)), 80*time.Millisecond
	thick := func(from time.Duration) {
		for range 14 {
			at := d.between(from-100*time.Millisecond, from+1200*time.Millisecond)
			a := Act{At: at, Kind: "put", Version: version(at) + uint64(d.IntN(4)), To: 1 + d.IntN(s.Machines), Lost: d.IntN(6) == 0, Back: d.IntN(2) == 0}
			switch d.IntN(4) {
			case 0:
				a.Kind, a.On = d.of("evacuate", "restore"), d.IntN(2)
			case 1:
				a.Kind = "read"
			}
			d.act(a)
		}
	}
	for at := d.between(7*second, 8*second); at < 21*second; at += d.between(2*second, 5*second) {
		t := d.role(Trouble{At: at, For: d.between(20*time.Millisecond, 2500*time.Millisecond), Kind: d.of("kill", "kill", "power", "wipe", "freeze", "still", "stopped", "cut", "island", "deaf", "mute", "stall", "full", "refuse")})
		if d.IntN(5) == 0 {
			d.all(at, "all", "allpower", "wipepower")
		} else if d.strike(t); d.IntN(3) == 0 { // and another, where that may be, as the view changes
			t = d.role(Trouble{At: at + time.Millisecond, For: d.between(20*time.Millisecond, 2500*time.Millisecond), Kind: d.of("kill", "power", "wipe", "freeze", "cut", "mute"), When: "viewed"})
			d.strike(t)
		}
		thick(at)
		thick(at + t.For)
	}
}

// version is a number that rises with time.
func version(at time.Duration) uint64 { return 10 * uint64(at/(100*time.Millisecond)) }

// long has hundreds of changes in a day, with restarts, wipes and full disks among them.
func (d *drawer) long() {
	n := 300 + d.IntN(701)
	d.s.Lasts = 10*second + time.Duration(n)*40*time.Millisecond
	for at := d.between(7*second, 9*second); at < d.s.Lasts-2*second; at += d.between(second, 4*second) {
		if d.IntN(6) == 0 {
			d.all(at, "all", "allpower", "wipepower")
			continue
		}
		d.strike(d.role(Trouble{At: at, For: d.between(200*time.Millisecond, 5*second), Kind: d.of("kill", "power", "wipe", "full", "refuse", "stall", "freeze", "cut")}))
	}
	for i := range n {
		at := 7*second + time.Duration(i)*40*time.Millisecond + d.between(0, 40*time.Millisecond)
		a := Act{At: at, Kind: "put", Version: uint64(1000 + 2*i)}
		if i%8 == 0 {
			a.Kind, a.On = d.of("evacuate", "restore"), d.IntN(zones)
		}
		d.act(a)
	}
	d.acts(7*second, d.s.Lasts, 10)
}

// first has machines struck within the second in which the system starts for the first time.
func (d *drawer) first() {
	d.s.Lasts, d.s.Spread = 14*second, 300*time.Millisecond
	at := d.between(time.Millisecond, 700*time.Millisecond)
	if d.IntN(2) == 0 {
		for range 1 + d.IntN(d.s.Tolerance) {
			d.strike(Trouble{At: at, For: d.between(50*time.Millisecond, 2*second), Kind: d.of("kill", "power", "wipe", "freeze", "cut"), On: d.IntN(d.s.Machines)})
			at += d.between(0, 400*time.Millisecond)
		}
	} else {
		d.all(at, "all", "allpower")
	}
	for i := range 4 {
		d.act(Act{At: d.between(0, second), Kind: "put", Version: uint64(2 + i)})
	}
	d.acts(second, 13*second, 12)
}

// acts are operators' calls of all kinds, and some of replicas.
func (d *drawer) acts(from, to time.Duration, n int) {
	for range n {
		a := Act{At: d.between(from, to), Lost: d.IntN(8) == 0, Back: d.IntN(3) == 0}
		switch k := d.IntN(16); {
		case k < 4:
			a.Kind, a.Version = "put", version(a.At)+uint64(d.IntN(3))
		case k < 7:
			a.Kind, a.On = d.of("evacuate", "restore"), d.IntN(zones)
		case k < 11: // through each comb
			for i := range d.s.Machines {
				d.act(Act{At: a.At, Kind: "read", To: 1 + i})
			}
			continue
		case k < 12: // two with one number
			a.Kind, a.Version, a.To = "put", version(a.At)+5, 1+d.IntN(d.s.Machines)
			d.act(a)
			a.To, a.At = 1+d.IntN(d.s.Machines), a.At+time.Duration(d.IntN(3))*500*time.Microsecond
		case k < 14: // one that is sent again, soon or late
			if i := d.IntN(len(d.s.Acts)); d.s.Acts[i].Kind == "put" && d.s.Acts[i].At < a.At {
				a.Kind, a.Version, a.Body, a.To = "put", d.s.Acts[i].Version, d.s.Acts[i].Body, 1+d.IntN(d.s.Machines)
				break
			}
			fallthrough
		default:
			a.Kind, a.On = "begin", d.IntN(zones)
			if d.IntN(2) == 0 {
				a.Kind, a.On = "drain", d.IntN(d.s.Replicas)
			}
		}
		d.act(a)
	}
}
