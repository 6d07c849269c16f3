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
	Name    string                 // its name at discovery
	Entry   rules.Entry            // its entry in the kept list
	Learned rules.PriorMeasurement `json:"Learnt"` // what was measured of it; Speed 0: nothing
}

// Settings are how much a kept list is trusted by its age.
type Settings struct {
	HalfLife time.Duration // a list of this age has trust 0.5
	MaxAge   time.Duration // an older one is not used
}

// Assessment is whether and how a kept list is used; its text is for the log.
type Assessment string

// The assessments.
const (
	Used         Assessment = "used"
	NoState      Assessment = "nothing is kept"
	TooOld       Assessment = "older than it may be"
	Mismatch     Assessment = "of another governor or discovery"
	ClockSetBack Assessment = "of the future: the clock went back; used without trust"
	Inconsistent Assessment = "impossible"
)

// Plan is how a governor starts from its kept state.
type Plan struct {
	Assessment Assessment
	Age        time.Duration
	Trust      float64       // of the list at the start, 0 to 1
	Events     []rules.Event // for the first Step, after Start
}

// String returns the plan's summary for the log.
func (p Plan) String() string {
	return fmt.Sprintf("%s, %v old, trust %.2f", p.Assessment, p.Age.Round(time.Second), p.Trust)
}

// maxClockSkew is how far the wall clock may be off between two runs.
const maxClockSkew = time.Minute

// NewPlan plans the start from a kept state, for a governor of that name and address of its discovery service. No replica
// counts as warm, as each may have restarted since: one that started long ago by the list is taken to have started now.
// What was measured of it is recalled with the list's trust.
func NewPlan(now rules.Time, k State, governor, discovery string, s Settings) Plan {
	p := Plan{Age: time.Duration(now - k.ConfirmedAt)}
	switch {
	case len(k.Replicas) == 0:
		p.Assessment = NoState
	case k.ConfirmedAt <= 0 || k.WrittenAt < k.ConfirmedAt-rules.Time(maxClockSkew):
		p.Assessment = Inconsistent
	case k.Governor != governor || k.Discovery != discovery:
		p.Assessment = Mismatch
	case p.Age < -maxClockSkew:
		p.Assessment = ClockSetBack
	case p.Age > s.MaxAge:
		p.Assessment = TooOld
	default:
		p.Assessment, p.Trust = Used, s.trustAt(p.Age)
	}
	if p.Assessment != Used && p.Assessment != ClockSetBack {
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
			l.Replica, l.Trust, l.Ejected = e.Replica, p.Trust, false // among cold ones an ejected one would draw all flows
			recalled = append(recalled, l)
		}
	}
	p.Events = append([]rules.Event{list}, recalled...)
	return p
}

// trustAt is the trust in a list of an age, from 1 down to 0.
func (s Settings) trustAt(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(s.HalfLife))
}
