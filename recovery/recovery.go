// Package recovery decides how a governor starts from the state that it kept on disk: how far that is trusted, which
// replicas it lists, what is recalled of them, and in which order the disk, the proxies and discovery take precedence. It
// does no I/O and reads no clock.
package recovery

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// Stage is how far a recovery has come.
type Stage string

// The stages, in their order.
const (
	FromDisk    Stage = "disk"      // ends with the first proxy that joins, or discovery's first answer
	FromProxies Stage = "proxies"   // proxies report; ends with discovery's first answer
	Confirmed   Stage = "confirmed" // discovery has answered
)

// Recovery is the measure of trust in the list of replicas during a start. Trust falls with the list's age and rises with
// each replica that responds; discovery's first answer makes it 1. The zero value is a start from nothing. It is not safe
// for concurrent use.
type Recovery struct {
	settings    Settings
	confirmedAt rules.Time // when discovery last confirmed the list
	replicas    int
	responding  map[rules.ReplicaID]bool
	stage       Stage
	kept        []Replica
}

// Begin starts a recovery from a plan.
func Begin(now rules.Time, k State, p Plan, s Settings) *Recovery {
	r := &Recovery{settings: s, confirmedAt: now - rules.Time(p.Age), responding: map[rules.ReplicaID]bool{}, stage: FromDisk}
	if len(p.Events) > 0 {
		r.replicas, r.kept = len(p.Events[0].(rules.List).Entries), k.Replicas
	}
	if p.Assessment == ClockSetBack {
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

// confirm merges discovery's first answer with the kept list, and recalls what was measured of replicas that have not
// restarted since.
func (r *Recovery) confirm(e rules.List) (out []rules.Event) {
	r.stage, r.responding = Confirmed, nil
	told := map[rules.ReplicaID]rules.Entry{}
	for _, n := range e.Entries {
		told[n.Replica] = n
	}
	asKept := rules.List{Scope: rules.Changes}
	var recalled []rules.PriorMeasurement
	same := 0 // replicas that have not restarted since
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
		l.Ejected = l.Ejected && float64(same) >= minUnrestartedShare*float64(max(len(e.Entries), r.replicas))
		out = append(out, l)
	}
	return out
}

// minUnrestartedShare is the share of the list that must not have restarted since for ejected replicas to be ejected again:
// else one of them would draw what cold replicas can't be sent.
const minUnrestartedShare = 0.6

// Stage returns how far the recovery has come.
func (r *Recovery) Stage() Stage { return r.stage }

// Trust is the trust in the list at now, from 0 to 1. A replica that responds counts as confirmed, so the share of those
// counts in full, and the rest by the list's age.
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
