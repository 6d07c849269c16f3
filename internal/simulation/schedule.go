package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one thing that goes wrong, for a while.
type Fault struct {
	At, For time.Duration

	// Kind: kill, power, wipe, freeze, cut, oneway, full, refuse, stall, step (of the clock) strike a core machine; all,
	// allpower every one at once, wipepower all at once of which as many lose their disks as may be lost; ackpower,
	// ackwipe whoever acknowledges next; ackallpower all, then; viewall all processes at the next view; grantpower,
	// grantall whoever hears first of the next grant of a window, or all; zone all machines of one; bkill, bfreeze, bcut
	// a forager; rcrash a replica.
	//
	// On days with a Tolerance also: cut, freeze for 20 s, still (a freeze in which the steady clock stands), stopped
	// (and the time of day too), island (cut
	// from the other combs alone, both ways), deaf, mute (one way); gone (for good, without a word), leave (SIGTERM),
	// spare (a new machine at a new address).
	Kind   string
	Target int `json:"On"`

	// On days with a Tolerance: Role, if any, says whom it strikes: head, tail, middle, seed, newest (the last spare).
	// Meet has a forager begin a new life and call that machine first, soon after it was struck and when it is over. When
	// says what is waited for, up to 6 s: joined (the first view with the newest spare in the chain), voter (in the
	// roster), viewed (any view).
	Role      string `json:",omitempty"`
	Reconnect bool   `json:"Meet,omitempty"`
	When      string `json:",omitempty"`
}

func (fault Fault) String() string {
	what := "of machine"
	switch fault.Kind {
	case "bkill", "bfreeze", "bcut":
		what = "of forager"
	case "rcrash":
		what = "of replica"
	}
	if fault.Role != "" {
		what += " (the " + fault.Role + ")"
	}
	return fmt.Sprintf("%.2fs %s %s %d for %.2fs", fault.At.Seconds(), fault.Kind, what, fault.Target, fault.For.Seconds())
}

// Action is something that operators or replicas do.
type Action struct {
	At         time.Duration
	Kind       string // put, evacuate, restore, read; drain, begin (cold); agree, ask, finish, cancel (a window)
	Version    uint64 // put
	To         int    `json:",omitempty"`     // 1 + the comb of the list that is called first; 0: any
	RetrySame  bool   `json:"Back,omitempty"` // that one is called again, not another
	LoseAnswer bool   `json:"Lost,omitempty"` // the first answer is lost on its way
	Body       int    `json:",omitempty"`     // put: names what is sent; 0: the act's place does
	Target     int    `json:"On"`             // evacuate, restore: the zone; drain: the replica; ask, finish, cancel: the forager
}

// Schedule is a day of the apiary.
type Schedule struct {
	Seed            uint64
	Members         int `json:"Machines"`
	InitialMembers  int `json:"Seeds"` // of the machines, those that form the first view
	Gateways        int `json:"Foragers"`
	Replicas        int
	Zones           int
	Duration        time.Duration `json:"Lasts"`
	Faults          []Fault       `json:"Troubles"`
	Actions         []Action      `json:"Acts"`
	LossRate        float64       `json:"Loss"`    // share of messages between combs that are lost
	ReorderRate     float64       `json:"Reorder"` // share that come late, behind later ones
	MaxReorderDelay time.Duration `json:"Late"`
	PlantedBug      PlantedBug    `json:"Fault,omitempty"`

	// Tolerance, where set, is how many machines may be lost at once; what is promised beside that is watched too.
	Tolerance   int           `json:",omitempty"`
	StartSpread time.Duration `json:"Spread,omitempty"` // machines start within this

	// Unasked has a comb tell each forager that joins what it holds to be committed, before it has asked the others: what the
	// forager itself keeps up when a comb is wrong shows only then.
	UnconfirmedUpdates bool `json:"Unasked,omitempty"`
}

// PlantedBug is a bug put in on purpose, to see that the invariants find it.
type PlantedBug string

const (
	IgnoreViewNumber      PlantedBug = "a pass of any view is taken"
	KeepVoteAfterWipe     PlantedBug = "a machine that lost its disk keeps its vote"
	AcknowledgeBeforeSync PlantedBug = "a write is told as done before the sync"
	SkipFolderSync        PlantedBug = "a new file's folder is not synced"
	AcceptStaleState      PlantedBug = "a forager takes an older register"
	UndividedWarmupQuota  PlantedBug = "each comb deals out all that a cold replica bears"

	// On days with a Tolerance.
	UnconfirmedFirstState PlantedBug = "a forager that joins is told what is held, without asking the others"
	ConfirmSupersededView PlantedBug = "a view is vouched for by those who know of a later one"
	DropCommandID         PlantedBug = "an order that is entered again is a new one"
	AcceptDelayedCalls    PlantedBug = "what lay in the socket of a machine that stood still is taken for new"
	HideConflict          PlantedBug = "the head does not tell that a number is others'"
	ForgetClaims          PlantedBug = "numbers that were taken are forgotten at a restart"
	LeaveWithoutHandover  PlantedBug = "a leaver ends without waiting for anybody"
)

// kinds of trouble that a core machine has alone, and those of all.
var (
	memberFaults  = []string{"kill", "power", "wipe", "freeze", "cut", "oneway", "full", "refuse", "stall", "step", "ackpower", "ackwipe"}
	clusterFaults = []string{"all", "allpower", "wipepower", "ackallpower", "viewall"}
	edgeFaults    = []string{"bkill", "bfreeze", "bcut", "rcrash"}
)

// Generate makes a schedule with n troubles that never lose more machines at once than a core of this size must bear.
func Generate(seed uint64, machines, n int, lasts time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, 1))
	s := Schedule{Seed: seed, Members: machines, InitialMembers: min(machines, 3), Duration: lasts, Gateways: 3, Replicas: 5, Zones: generatedZones,
		LossRate: 0.002 * float64(r.IntN(3)), ReorderRate: 0.002 * float64(r.IntN(3)), MaxReorderDelay: 80 * time.Millisecond}
	if r.IntN(4) == 0 {
		s.MaxReorderDelay = 3 * time.Second
	}
	free := make([]time.Duration, (machines-1)/2) // each slot of tolerance, until when it is taken
	at := 2500 * time.Millisecond
	for range n {
		at += time.Duration(r.Int64N(int64(3 * time.Second)))
		t := Fault{At: at, For: time.Duration(200+r.IntN(4000)) * time.Millisecond, Target: r.IntN(machines)}
		switch k := r.IntN(20); {
		case k < 4:
			t.Kind, t.Target = edgeFaults[r.IntN(len(edgeFaults))], r.IntN(s.Gateways)
			s.Faults = append(s.Faults, t)
			continue
		case k < 7:
			t.Kind, t.For = clusterFaults[r.IntN(len(clusterFaults))], time.Duration(r.IntN(900))*time.Millisecond
			if slices.Max(free) > at {
				continue // only when nothing else is lost
			}
			for i := range free {
				free[i] = at + t.For + catchUpTime + 4*time.Second
			}
			s.Faults = append(s.Faults, t)
			continue
		}
		t.Kind = memberFaults[r.IntN(len(memberFaults))]
		slot := slices.IndexFunc(free, func(until time.Duration) bool { return until <= at })
		if slot < 0 {
			continue
		}
		free[slot] = at + t.For + restartTime + catchUpTime
		if strings.HasPrefix(t.Kind, "ack") {
			free[slot] += 2 * time.Second // it strikes within this
		}
		s.Faults = append(s.Faults, t)
	}
	s.Actions = GenerateActions(seed, 40, s.Replicas, lasts)
	return s
}

// GenerateActions makes n acts of operators, and some of replicas.
func GenerateActions(seed uint64, n, replicas int, lasts time.Duration) (acts []Action) {
	r := rand.New(rand.NewPCG(seed, 3))
	for range n {
		a := Action{At: time.Second + time.Duration(r.Int64N(int64(lasts-2*time.Second)))}
		switch k := r.IntN(12); {
		case k < 5:
			a.Kind, a.Version = "put", uint64(10*int(a.At/(500*time.Millisecond))+r.IntN(3))
		case k < 7:
			a.Kind, a.Target = []string{"evacuate", "restore"}[r.IntN(2)], r.IntN(generatedZones)
		case k < 10:
			a.Kind = "read"
		case k < 11:
			a.Kind, a.Target = "drain", r.IntN(replicas)
		default:
			a.Kind, a.Target = "begin", r.IntN(generatedZones)
		}
		acts = append(acts, a)
	}
	slices.SortStableFunc(acts, func(a, b Action) int { return int(a.At - b.At) })
	return acts
}

// GenerateWindows is a schedule in which maintenance windows of nine foragers in three regions are asked for, finished and
// cancelled at random, by several operators; combs are struck as they grant, zones are lost in mid-window.
func GenerateWindows(seed uint64, machines, n int, lasts time.Duration) Schedule {
	s := Generate(seed, machines, n, lasts)
	s.Gateways, s.Replicas = 9, 4
	r := rand.New(rand.NewPCG(seed, 4))
	if r.IntN(2) == 0 { // instead of what was drawn: struck at a grant, and a zone after that
		s.Faults = []Fault{{At: 6 * time.Second, For: time.Duration(300+r.IntN(2500)) * time.Millisecond, Kind: []string{"grantpower", "grantall"}[r.IntN(2)]},
			{At: 20 * time.Second, For: time.Duration(1000+r.IntN(3000)) * time.Millisecond, Kind: "zone", Target: r.IntN(generatedZones)}}
	}
	s.Actions = []Action{{At: 1200 * time.Millisecond, Kind: "put", Version: 1}, {At: 2 * time.Second, Kind: "agree"}}
	for range 40 {
		a := Action{At: 5*time.Second + time.Duration(r.Int64N(int64(lasts-6*time.Second))), Target: r.IntN(s.Gateways)}
		switch k := r.IntN(10); {
		case k < 6:
			a.Kind = "ask"
		case k < 9:
			a.Kind = "finish"
		default:
			a.Kind = "cancel"
		}
		s.Actions = append(s.Actions, a)
	}
	slices.SortStableFunc(s.Actions, func(a, b Action) int { return int(a.At - b.At) })
	return s
}

// Shrink drops troubles (no successors), acts, foragers and replicas from a schedule as long as it still breaks something.
func Shrink(schedule Schedule) (Schedule, Result) {
	return ShrinkBy(schedule, func(schedule Schedule) (Result, bool) { r := Run(schedule); return r, len(r.Violations) > 0 })
}

// ShrinkBy does the same with a check of one's own.
func ShrinkBy(schedule Schedule, play func(Schedule) (Result, bool)) (Schedule, Result) {
	res, _ := play(schedule)
	try := func(t Schedule) bool {
		r, breaks := play(t)
		if breaks {
			schedule, res = t, r
		}
		return breaks
	}
	for again := true; again; {
		again = false
		for i := 0; i < len(schedule.Faults); i++ {
			if schedule.Faults[i].Kind == "spare" {
				continue // without the successor more would be lost than may be
			}
			t := schedule
			t.Faults = slices.Delete(slices.Clone(schedule.Faults), i, i+1)
			if try(t) {
				again = true
				i--
			}
		}
		for part := len(schedule.Actions) / 2; part > 0; part /= 2 {
			for i := 0; i+part <= len(schedule.Actions); {
				t := schedule
				t.Actions = slices.Delete(slices.Clone(schedule.Actions), i, i+part)
				if try(t) {
					again = true
				} else {
					i += part
				}
			}
		}
		for _, n := range []*int{&schedule.Gateways, &schedule.Replicas} {
			for *n > 0 {
				t := schedule
				if n == &schedule.Gateways {
					t.Gateways--
				} else {
					t.Replicas--
				}
				if !try(t) {
					break
				}
				again = true
			}
		}
		if len(schedule.Faults)+len(schedule.Actions) > 60 {
			break
		}
	}
	return schedule, res
}

// Text is a schedule as it is kept for a test.
func (schedule Schedule) Text() string {
	b, err := json.MarshalIndent(schedule, "", " ")
	if err != nil {
		return err.Error()
	}
	return string(b)
}
