// Package recovery decides what a governor that starts makes of what it kept on disk: how far that is trusted, which
// replicas it names, what is recalled of them, and in which order the disk, the proxies and discovery are believed. It
// does no I/O and reads no clock.
package recovery

import (
	"fmt"
	"math"
	"time"

	"zincloft.example/zincloft/rules"
)

// Kept is what a governor kept.
type Kept struct {
	Governor  string     // its name
	Discovery string     // the address that the list is from
	Version   uint64     // of the list
	Heard     rules.Time // when discovery last confirmed the list
	Written   rules.Time
	Next      rules.ReplicaID // the next number
	Replicas  []Replica
}

// Replica is what was kept of one.
type Replica struct {
	Name   string
	Entry  rules.Entry
	Learnt rules.Recalled // Speed 0: nothing
}

// Settings are how age is weighed.
type Settings struct {
	HalfLife time.Duration // a list of this age is trusted by half
	MostAge  time.Duration // an older one is not used
}

// Verdict is what is made of a kept list.
type Verdict string

// Verdicts.
const (
	Used       Verdict = "used"
	Nothing    Verdict = "nothing is kept"
	TooOld     Verdict = "older than it may be"
	Another    Verdict = "of another governor or discovery"
	ClockBack  Verdict = "of the future: the clock went back; used without trust"
	Impossible Verdict = "impossible"
)

// Plan is how to begin.
type Plan struct {
	Verdict Verdict
	Age     time.Duration
	Trust   float64 // of the list, at the start
	Events  []rules.Event
}

// clockSlack is how far the wall clock may be off between two lives.
const clockSlack = time.Minute

// Weigh makes a plan of what was kept. No replica of it counts as warm, as each may have started anew since: where the list
// says that one started long ago, it is taken to have started now. What it had learnt is recalled by the list's trust.
func Weigh(now rules.Time, k Kept, governor, discovery string, s Settings) Plan {
	p := Plan{Age: time.Duration(now - k.Heard)}
	switch {
	case len(k.Replicas) == 0:
		p.Verdict = Nothing
	case k.Heard <= 0 || k.Written < k.Heard-rules.Time(clockSlack):
		p.Verdict = Impossible
	case k.Governor != governor || k.Discovery != discovery:
		p.Verdict = Another
	case p.Age < -clockSlack:
		p.Verdict = ClockBack
	case p.Age > s.MostAge:
		p.Verdict = TooOld
	default:
		p.Verdict, p.Trust = Used, s.trust(p.Age)
	}
	if p.Verdict != Used && p.Verdict != ClockBack {
		return p
	}
	list := rules.List{Scope: rules.Cached}
	var recalled []rules.Event
	for _, r := range k.Replicas {
		e := r.Entry
		if e.State == rules.Deregistered {
			continue
		}
		e.StartedAt = max(e.StartedAt, now)
		list.Entries = append(list.Entries, e)
		if r.Learnt.Speed > 0 {
			l := r.Learnt
			l.Replica, l.Trust, l.Out = e.Replica, p.Trust, false // among cold ones a held out one would draw all
			recalled = append(recalled, l)
		}
	}
	p.Events = append([]rules.Event{list}, recalled...)
	return p
}

func (s Settings) trust(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(s.HalfLife))
}

// Step is where a recovery stands.
type Step string

// Steps, in their order.
const (
	FromDisk    Step = "disk"      // ends with the first proxy that joins, or discovery's first answer
	FromProxies Step = "proxies"   // what they bring is heard; ends with discovery's first answer
	Confirmed   Step = "confirmed" // discovery has spoken
)

// Recovery is the one measure of trust in what is known of the replicas. It falls with the list's age, and rises as the
// living speak: with each replica that is heard of, and to the whole with discovery. The zero value is a start from
// nothing.
type Recovery struct {
	set      Settings
	heardAt  rules.Time // when the list was true
	replicas int
	heard    map[rules.ReplicaID]bool
	step     Step
	kept     []Replica
}

// Begin starts a recovery by a plan.
func Begin(now rules.Time, k Kept, p Plan, s Settings) *Recovery {
	r := &Recovery{set: s, heardAt: now - rules.Time(p.Age), heard: map[rules.ReplicaID]bool{}, step: FromDisk}
	if len(p.Events) > 0 {
		r.replicas, r.kept = len(p.Events[0].(rules.List).Entries), k.Replicas
	}
	if p.Verdict == ClockBack {
		r.heardAt = now - rules.Time(s.MostAge)
	}
	return r
}

// Hear takes note of an event, and returns what stands in its place: itself, with what discovery's first answer confirms.
// Changes alone confirm that all else is as it was kept, so what was taken to have started now gets its true start again;
// and what has not started anew since is recalled once more, as its record began anew with its start.
func (r *Recovery) Hear(e rules.Event) []rules.Event {
	switch e := e.(type) {
	case rules.Joined:
		if r.step == FromDisk {
			r.step = FromProxies
		}
	case rules.EndpointStats:
		if r.step != Confirmed && e.Attempts > e.Dropped {
			r.heard[e.Replica] = true
		}
	case rules.List:
		if r.step != Confirmed && (e.Scope == rules.Changes || e.Scope == rules.Full) {
			return r.confirm(e)
		}
	}
	return []rules.Event{e}
}

func (r *Recovery) confirm(e rules.List) (out []rules.Event) {
	r.step, r.heard = Confirmed, nil
	told := map[rules.ReplicaID]rules.Entry{}
	for _, n := range e.Entries {
		told[n.Replica] = n
	}
	asKept := rules.List{Scope: rules.Changes}
	var recalled []rules.Recalled
	same := 0 // replicas that have not started anew since
	for _, k := range r.kept {
		n, is := told[k.Entry.Replica]
		if !is && e.Scope == rules.Changes && k.Entry.State != rules.Deregistered {
			asKept.Entries = append(asKept.Entries, k.Entry)
		}
		if is && n.StartedAt != k.Entry.StartedAt || !is && e.Scope == rules.Full || is && n.State != rules.Ready {
			continue
		}
		if same++; k.Learnt.Speed > 0 {
			l := k.Learnt
			l.Replica, l.Trust = k.Entry.Replica, 1
			recalled = append(recalled, l)
		}
	}
	r.kept = nil
	if len(asKept.Entries) > 0 {
		out = append(out, asKept)
	}
	out = append(out, e)
	for _, l := range recalled {
		l.Out = l.Out && float64(same) >= warmLeast*float64(max(len(e.Entries), r.replicas))
		out = append(out, l)
	}
	return out
}

// warmLeast is the part of the list that must have gone on since, for those held out to be held out again: else one of
// them would draw what cold replicas can't be sent.
const warmLeast = 0.6

// Step tells where the recovery stands.
func (r *Recovery) Step() Step { return r.step }

// Trust is from 0 to 1. A replica that answers is as good as listed, so the part that has been heard of counts whole, and
// the rest by the list's age.
func (r *Recovery) Trust(now rules.Time) float64 {
	if r.step == Confirmed {
		return 1
	}
	if r.replicas == 0 {
		return 0
	}
	part := min(float64(len(r.heard))/float64(r.replicas), 1)
	return part + (1-part)*r.set.trust(time.Duration(now-r.heardAt))
}

// String is for the log.
func (p Plan) String() string {
	return fmt.Sprintf("%s, %v old, trust %.2f", p.Verdict, p.Age.Round(time.Second), p.Trust)
}
