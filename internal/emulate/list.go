package emulate

import (
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// list is discovery: what it knows follows the truth late, and each governor is told of changes while it watches.
type list struct {
	w       *World
	entries []rules.Entry // by replica, as discovery knows them
	version int
	changed []int // version of each entry's last change
	told    map[*governor]toldTo
	down    int           // troubles that take it down
	late    time.Duration // more than usual, by troubles
}

// toldTo is how far a life of a governor has been told.
type toldTo struct{ life, version int }

func (l *list) begin(w *World) {
	l.w, l.told = w, map[*governor]toldTo{}
	for _, r := range w.replicas {
		l.entries = append(l.entries, r.entry())
		l.changed = append(l.changed, 0)
	}
	l.version = 1
}

func (r *replica) entry() rules.Entry {
	return rules.Entry{Replica: r.id, Zone: rules.ZoneID(r.zone), Kind: rules.KindID(r.kind), State: r.state, Listed: 1, StartedAt: r.started}
}

// change has discovery learn of a replica, late.
func (l *list) change(r *replica) {
	w := l.w
	entry := r.entry()
	w.in(w.between(w.fleet.ListLate/2, w.fleet.ListLate)+l.late, func() {
		for int(r.id) >= len(l.entries) {
			l.entries = append(l.entries, rules.Entry{Replica: rules.ReplicaID(len(l.entries))})
			l.changed = append(l.changed, 0)
		}
		l.version++
		l.entries[r.id], l.changed[r.id] = entry, l.version
		for _, g := range w.governors {
			if g.up && g.watching && l.down == 0 {
				l.tell(g)
			}
		}
	})
}

// tell posts what a governor has not been told yet.
func (l *list) tell(g *governor) {
	if at, is := l.told[g]; is && at.life == g.life && at.version == l.version {
		return
	}
	l.post(g)
}

func (l *list) post(g *governor) {
	at := l.told[g]
	e := rules.List{Scope: rules.Changes}
	if at.life != g.life {
		e.Scope, at.version = rules.Full, -1
	}
	for i, entry := range l.entries {
		if l.changed[i] > at.version && !(e.Scope == rules.Full && entry.State == rules.Deregistered) {
			e.Entries = append(e.Entries, entry)
		}
	}
	l.told[g] = toldTo{g.life, l.version}
	g.post(e)
}

// callTakes is how long an answer of discovery is on its way, refusal how long until a call is known to have failed.
const (
	callTakes = 20 * time.Millisecond
	refusal   = 500 * time.Millisecond
)

// call begins a watch: its first answer comes at once.
func (l *list) call(g *governor) {
	life := g.life
	if l.down > 0 {
		l.w.in(refusal, func() {
			if g.life == life && g.watching {
				g.watching = false
				g.post(rules.List{Scope: rules.Failed})
			}
		})
		return
	}
	l.w.in(l.w.between(callTakes/2, callTakes), func() {
		if g.life == life && l.down == 0 {
			l.post(g)
		}
	})
}

func (l *list) fetch(g *governor) {
	delete(l.told, g)
	l.call(g)
}

// fall ends all watches.
func (l *list) fall() {
	if l.down++; l.down > 1 {
		return
	}
	for _, g := range l.w.governors {
		life := g.life
		if g.up && g.watching {
			g.watching = false
			l.w.in(l.w.fleet.Net, func() { // all at once
				if g.life == life {
					g.post(rules.List{Scope: rules.Failed})
				}
			})
		}
	}
}

// ready are the replicas that are up, listed as ready and warm in truth.
func (w *World) ready() (out []*replica) {
	for _, r := range w.replicas {
		if r.up && r.state == rules.Ready && !r.cold() {
			out = append(out, r)
		}
	}
	return slices.Clip(out)
}
