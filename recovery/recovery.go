// Package recovery decides how a governor starts from the state that it has stored on disk: how far the state is trusted, which
// replicas are listed, which measurements of them are restored, and when discovery's answer replaces it. It does no I/O and
// reads no clock.
package recovery

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// Stage is the progress of a recovery.
type Stage string

// The stages, in order.
const (
	FromDisk    Stage = "disk"      // until the first proxy joins or discovery answers
	FromProxies Stage = "proxies"   // proxies report; until discovery answers
	Confirmed   Stage = "confirmed" // discovery has answered
)

// Recovery tracks the trust in the stored list of replicas during a start. Trust decreases with the list's age and increases
// with each replica that responds; discovery's first answer sets it to 1. The zero value is a start without stored state. It
// is not safe for concurrent use.
type Recovery struct {
	settings    Settings
	confirmedAt rules.Time // when discovery last confirmed the list
	replicas    int
	responding  map[rules.ReplicaID]bool
	stage       Stage
	stored      []Replica
}

// Begin starts the recovery of a state by its plan.
func Begin(now rules.Time, stored State, p Plan, s Settings) *Recovery {
	r := &Recovery{settings: s, confirmedAt: now - rules.Time(p.Age), responding: map[rules.ReplicaID]bool{}, stage: FromDisk}
	if len(p.Events) > 0 {
		r.replicas, r.stored = len(p.Events[0].(rules.List).Entries), stored.Replicas
	}
	if p.Assessment == ClockSetBack {
		r.confirmedAt = now - rules.Time(s.MaxAge)
	}
	return r
}

// Handle records an event and returns the events to pass to the governor in its place. These are the event itself and, with
// discovery's first answer, the stored entries that it confirms: a list of changes confirms all entries that it does not
// contain, which get their stored start times back. The measurements of replicas that have not restarted are restored again,
// as a changed start time resets them.
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

// confirm merges discovery's first answer with the stored list, and restores the measurements of replicas that have not
// restarted.
func (r *Recovery) confirm(e rules.List) (out []rules.Event) {
	r.stage, r.responding = Confirmed, nil
	listed := map[rules.ReplicaID]rules.Entry{}
	for _, n := range e.Entries {
		listed[n.Replica] = n
	}
	confirmed := rules.List{Scope: rules.Changes}
	var measurements []rules.PriorMeasurement
	unrestarted := 0
	for _, s := range r.stored {
		n, ok := listed[s.Entry.Replica]
		if !ok && e.Scope == rules.Changes && s.Entry.State != rules.Deregistered {
			confirmed.Entries = append(confirmed.Entries, s.Entry)
		}
		if ok && n.StartedAt != s.Entry.StartedAt || !ok && e.Scope == rules.Full || ok && n.State != rules.Ready {
			continue
		}
		if unrestarted++; s.Learned.Speed > 0 {
			l := s.Learned
			l.Replica, l.Trust = s.Entry.Replica, 1
			measurements = append(measurements, l)
		}
	}
	r.stored = nil
	if len(confirmed.Entries) > 0 {
		out = append(out, confirmed)
	}
	out = append(out, e)
	for _, l := range measurements {
		l.Ejected = l.Ejected && float64(unrestarted) >= minUnrestartedShare*float64(max(len(e.Entries), r.replicas))
		out = append(out, l)
	}
	return out
}

// minUnrestartedShare is the lowest share of replicas that have not restarted at which ejections are restored. An ejected
// replica keeps a trial share, which would receive the flows that many cold replicas cannot take.
const minUnrestartedShare = 0.6

// Stage returns the progress of the recovery.
func (r *Recovery) Stage() Stage { return r.stage }

// Trust is the trust in the list at now, from 0 to 1. Replicas that have responded count in full, the others by the list's age.
func (r *Recovery) Trust(now rules.Time) float64 {
	if r.stage == Confirmed {
		return 1
	}
	if r.replicas == 0 {
		return 0
	}
	responding := min(float64(len(r.responding))/float64(r.replicas), 1)
	return responding + (1-responding)*r.settings.trustAt(time.Duration(now-r.confirmedAt))
}
