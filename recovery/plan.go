package recovery

import (
	"fmt"
	"math"
	"time"

	"zincloft.example/zincloft/rules"
)

// State is what a governor stores on disk for its next start. "zincloft state export" prints its JSON form.
type State struct {
	Governor      string          // name of the governor
	Discovery     string          // address of the discovery service that supplied the list
	Version       uint64          // version of the list
	ConfirmedAt   rules.Time      `json:"Heard"`   // when discovery last confirmed the list
	WrittenAt     rules.Time      `json:"Written"` // when the state was written
	NextReplicaID rules.ReplicaID `json:"Next"`    // lowest ID not yet assigned to a replica
	Replicas      []Replica
}

// Replica is the stored state of one replica.
type Replica struct {
	Name    string                 // name at discovery
	Entry   rules.Entry            // entry in the stored list
	Learned rules.PriorMeasurement `json:"Learnt"` // measurements; Speed 0: none
}

// Settings determine the trust in a stored list by its age.
type Settings struct {
	HalfLife time.Duration // age at which a list has trust 0.5
	MaxAge   time.Duration // age above which a list is not used
}

// Assessment states whether and how a stored list is used. Its text is logged.
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

// Plan describes how a governor starts from its stored state.
type Plan struct {
	Assessment Assessment
	Age        time.Duration
	Trust      float64       // in the list at the start, 0 to 1
	Events     []rules.Event // for the first Step, after Start
}

// String returns a summary for the log.
func (p Plan) String() string {
	return fmt.Sprintf("%s, %v old, trust %.2f", p.Assessment, p.Age.Round(time.Second), p.Trust)
}

// maxClockSkew is the largest tolerated difference of the wall clock between two runs.
const maxClockSkew = time.Minute

// NewPlan plans the start from a stored state, given the name of the governor and the address of its discovery service. All
// replicas count as started now, as each may have restarted since the state was stored. Their measurements are restored with
// the trust in the list.
func NewPlan(now rules.Time, stored State, governor, discovery string, s Settings) Plan {
	p := Plan{Age: time.Duration(now - stored.ConfirmedAt)}
	switch {
	case len(stored.Replicas) == 0:
		p.Assessment = NoState
	case stored.ConfirmedAt <= 0 || stored.WrittenAt < stored.ConfirmedAt-rules.Time(maxClockSkew):
		p.Assessment = Inconsistent
	case stored.Governor != governor || stored.Discovery != discovery:
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
	var measurements []rules.Event
	for _, r := range stored.Replicas {
		e := r.Entry
		if e.State == rules.Deregistered {
			continue
		}
		e.StartedAt = max(e.StartedAt, now)
		list.Entries = append(list.Entries, e)
		if r.Learned.Speed > 0 {
			l := r.Learned
			l.Replica, l.Trust, l.Ejected = e.Replica, p.Trust, false // among cold replicas, the trial share of an ejected one would receive most flows
			measurements = append(measurements, l)
		}
	}
	p.Events = append([]rules.Event{list}, measurements...)
	return p
}

// trustAt is the trust in a list by its age, from 1 down to 0.
func (s Settings) trustAt(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(s.HalfLife))
}
