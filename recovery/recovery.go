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

// State is what a governor kept on disk for its next start. Its JSON form, with the names in the tags, is what
// "zincloft state export" prints.
type State struct {
	Governor      string          // its name
	Discovery     string          // address of the discovery service that the list is from
	Version       uint64          // of the list
	ConfirmedAt   rules.Time      `json:"Heard"`   // when discovery last confirmed the list
	WrittenAt     rules.Time      `json:"Written"` // when the state was written
	NextReplicaID rules.ReplicaID `json:"Next"`    // the lowest ID that no replica has had
	Replicas      []Replica
}

// Replica is the kept state of one replica.
type Replica struct {
	Name    string         // its name at discovery
	Entry   rules.Entry    // its entry in the kept list
	Learned rules.Recalled `json:"Learnt"` // what was measured of it; Speed 0: nothing
}

// Settings are how age is weighed.
type Settings struct {
	HalfLife time.Duration // a list of this age is trusted by half
	MaxAge   time.Duration // an older one is not used
}

// Assessment is what is made of a kept list.
type Assessment string

// Verdicts.
const (
	Used       Assessment = "used"
	Nothing    Assessment = "nothing is kept"
	TooOld     Assessment = "older than it may be"
	Mismatch   Assessment = "of another governor or discovery"
	ClockBack  Assessment = "of the future: the clock went back; used without trust"
	Impossible Assessment = "impossible"
)

// Plan is how to begin.
type Plan struct {
	Assessment Assessment
	Age        time.Duration
	Trust      float64 // of the list, at the start
	Events     []rules.Event
}

// maxClockSkew is how far the wall clock may be off between two lives.
const maxClockSkew = time.Minute

// NewPlan makes a plan of what was kept. No replica of it counts as warm, as each may have started anew since: where the list
// says that one started long ago, it is taken to have started now. What it had learnt is recalled by the list's trust.
func NewPlan(now rules.Time, k State, governor, discovery string, s Settings) Plan {
	p := Plan{Age: time.Duration(now - k.ConfirmedAt)}
	switch {
	case len(k.Replicas) == 0:
		p.Assessment = Nothing
	case k.ConfirmedAt <= 0 || k.WrittenAt < k.ConfirmedAt-rules.Time(maxClockSkew):
		p.Assessment = Impossible
	case k.Governor != governor || k.Discovery != discovery:
		p.Assessment = Mismatch
	case p.Age < -maxClockSkew:
		p.Assessment = ClockBack
	case p.Age > s.MaxAge:
		p.Assessment = TooOld
	default:
		p.Assessment, p.Trust = Used, s.trustAt(p.Age)
	}
	if p.Assessment != Used && p.Assessment != ClockBack {
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
		if r.Learned.Speed > 0 {
			l := r.Learned
			l.Replica, l.Trust, l.Out = e.Replica, p.Trust, false // among cold ones a held out one would draw all
			recalled = append(recalled, l)
		}
	}
	p.Events = append([]rules.Event{list}, recalled...)
	return p
}

func (s Settings) trustAt(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(s.HalfLife))
}

// Stage is where a recovery stands.
type Stage string

// Steps, in their order.
const (
	FromDisk    Stage = "disk"      // ends with the first proxy that joins, or discovery's first answer
	FromProxies Stage = "proxies"   // what they bring is heard; ends with discovery's first answer
	Confirmed   Stage = "confirmed" // discovery has spoken
)

// Recovery is the one measure of trust in what is known of the replicas. It falls with the list's age, and rises as the
// living speak: with each replica that is heard of, and to the whole with discovery. The zero value is a start from
// nothing.
type Recovery struct {
	settings    Settings
	confirmedAt rules.Time // when the list was true
	replicas    int
	responding  map[rules.ReplicaID]bool
	stage       Stage
	kept        []Replica
}

// Begin starts a recovery by a plan.
func Begin(now rules.Time, k State, p Plan, s Settings) *Recovery {
	r := &Recovery{settings: s, confirmedAt: now - rules.Time(p.Age), responding: map[rules.ReplicaID]bool{}, stage: FromDisk}
	if len(p.Events) > 0 {
		r.replicas, r.kept = len(p.Events[0].(rules.List).Entries), k.Replicas
	}
	if p.Assessment == ClockBack {
		r.confirmedAt = now - rules.Time(s.MaxAge)
	}
	return r
}

// Handle takes note of an event, and returns what stands in its place: itself, with what discovery's first answer confirms.
// Changes alone confirm that all else is as it was kept, so what was taken to have started now gets its true start again;
// and what has not started anew since is recalled once more, as its record began anew with its start.
func (r *Recovery) Handle(e rules.Event) []rules.Event {
	switch e := e.(type) {
	case rules.Joined:
		if r.stage == FromDisk {
			r.stage = FromProxies
		}
	case rules.EndpointStats:
		if r.stage != Confirmed && e.Attempts > e.Dropped {
			r.responding[e.Replica] = true
		}
	case rules.List:
		if r.stage != Confirmed && (e.Scope == rules.Changes || e.Scope == rules.Full) {
			return r.confirm(e)
		}
	}
	return []rules.Event{e}
}

func (r *Recovery) confirm(e rules.List) (out []rules.Event) {
	r.stage, r.responding = Confirmed, nil
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
		if same++; k.Learned.Speed > 0 {
			l := k.Learned
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
		l.Out = l.Out && float64(same) >= minUnrestartedShare*float64(max(len(e.Entries), r.replicas))
		out = append(out, l)
	}
	return out
}

// minUnrestartedShare is the part of the list that must have gone on since, for those held out to be held out again: else one of
// them would draw what cold replicas can't be sent.
const minUnrestartedShare = 0.6

// Stage tells where the recovery stands.
func (r *Recovery) Stage() Stage { return r.stage }

// Trust is from 0 to 1. A replica that answers is as good as listed, so the part that has been heard of counts whole, and
// the rest by the list's age.
func (r *Recovery) Trust(now rules.Time) float64 {
	if r.stage == Confirmed {
		return 1
	}
	if r.replicas == 0 {
		return 0
	}
	part := min(float64(len(r.responding))/float64(r.replicas), 1)
	return part + (1-part)*r.settings.trustAt(time.Duration(now-r.confirmedAt))
}

// String is for the log.
func (p Plan) String() string {
	return fmt.Sprintf("%s, %v old, trust %.2f", p.Assessment, p.Age.Round(time.Second), p.Trust)
}
