// Package registry knows the replicas: their lives as they beat, drain and end. It is free of I/O.
//
// Lives are soft state: whoever was told first tells on, and a comb that lost them hears them again from replicas,
// other combs and foragers. Within a life only a higher sequence tells something new; leaving is never taken back,
// and an ended id never returns, since each start of a replica has a new one.
package registry

import (
	"cmp"
	"slices"
	"time"
)

const (
	coldEarly  = 400 * time.Millisecond // a cold end that comes so much sooner is news
	coldLate   = 20 * time.Millisecond  // one that comes so much later: as it turned cold anew; less is the beat's way
	silentMost = 30 * time.Second       // after so long a silent one is taken for gone
	keepGone   = 60 * time.Second       // ended ids are remembered for so long, against late words of them
	doubtOnce  = 10 * time.Second       // one that was settled is not taken over again from combs that still have it
	doubtGrace = 50 * time.Millisecond  // a beat may have been under way when its zone was given back
)

// Life is one life of a replica, as it is told from governor to governor.
type Life struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Addr     string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Slots    int    `cbor:"5,keyasint,omitempty"`
	Draining bool   `cbor:"6,keyasint,omitempty"`
	Gone     bool   `cbor:"7,keyasint,omitempty"`
	Cold     int64  `cbor:"8,keyasint,omitempty"` // milliseconds that it stays cold
	Seq      uint64 `cbor:"9,keyasint,omitempty"`
	Age      int64  `cbor:"10,keyasint,omitempty"` // milliseconds since it beat
	Doubt    bool   `cbor:"11,keyasint,omitempty"` // it may have turned cold: its zone was just given back

	// Silent is one governor's own judgement, and is taken back by the next sign of life. It is never taken over from
	// others nor final: a comb that was frozen has heard nobody, and must not end the whole fleet when it wakes.
	Silent bool `cbor:"12,keyasint,omitempty"`

	// Old: known from a disk that holds its zone as evacuated, or from a forager that heard no comb for long. It may have
	// turned cold since. Who knows the replica otherwise passes over that; who does not takes it for cold until there is a
	// newer word.
	Old bool `cbor:"13,keyasint,omitempty"`
}

type entry struct {
	Life
	heard     time.Duration // last beat, by this clock
	direct    time.Duration // last beat to this comb
	coldUntil time.Duration
	endedAt   time.Duration
	rev       uint64
	doubtAt   time.Duration
	doubtSeq  uint64
}

// Registry holds lives. The zero value is not ready; use New.
type Registry struct {
	lives map[string]*entry
	ids   []string // in order: what goes over all lives must not depend on the map's
	rev   uint64
	most  time.Duration // silence after which a replica counts as gone
}

// New makes a registry in which a replica silent for so long counts as gone.
func New(most time.Duration) *Registry { return &Registry{lives: map[string]*entry{}, most: most} }

// Rev is the number of the newest change.
func (r *Registry) Rev() uint64 { return r.rev }

func (r *Registry) news(e *entry) { r.rev++; e.rev = r.rev }

// Beat takes a replica's own word and tells whether anything is new, and whether that must not wait.
func (r *Registry) Beat(now time.Duration, l Life) (news, urgent bool) {
	l.Age, l.Doubt, l.Old = 0, false, false
	news, urgent = r.take(now, l, true)
	if e := r.lives[l.ID]; e != nil {
		e.direct = now
	}
	return
}

func (r *Registry) take(now time.Duration, l Life, direct bool) (news, urgent bool) {
	e := r.lives[l.ID]
	l.Silent = false
	if e == nil {
		e = &entry{Life: l, heard: now - time.Duration(l.Age)*time.Millisecond, coldUntil: now + time.Duration(l.Cold)*time.Millisecond, direct: -time.Hour}
		if l.Gone {
			e.endedAt = now
		}
		e.doubtAt, e.doubtSeq = now, l.Seq
		r.lives[l.ID] = e
		i, _ := slices.BinarySearch(r.ids, l.ID)
		r.ids = slices.Insert(r.ids, i, l.ID)
		r.news(e)
		urgent = l.Draining || l.Gone
		if direct {
			for _, id := range r.ids { // an address is one replica's at a time: who had it before has ended
				if o := r.lives[id]; o != e && o.Addr == l.Addr && !o.Gone {
					o.Gone, o.endedAt, urgent = true, now, true
					r.news(o)
				}
			}
		}
		return true, urgent
	}
	if e.Gone {
		return false, false
	}
	if l.Gone {
		e.Gone, e.endedAt = true, now
		r.news(e)
		return true, true
	}
	if l.Draining && !e.Draining {
		e.Draining, news, urgent = true, true, true
	}
	if e.Old && !l.Old && l.Seq >= e.Seq {
		e.Old, news = false, true
		e.coldUntil = max(e.coldUntil, now+time.Duration(l.Cold)*time.Millisecond)
		if l.Doubt {
			e.Doubt, e.doubtAt, e.doubtSeq = true, now, l.Seq
		}
	}
	if l.Seq > e.Seq {
		if l.Doubt && !e.Doubt && !l.Old && now-e.doubtAt > doubtOnce { // this comb missed that its zone was given back
			e.Doubt, e.doubtAt, e.doubtSeq, news = true, now, l.Seq, true
		}
		e.Seq, e.heard = l.Seq, max(e.heard, now-time.Duration(l.Age)*time.Millisecond)
		if e.Silent && now-e.heard < r.most {
			e.Silent, news = false, true
		}
		until := now + time.Duration(l.Cold)*time.Millisecond
		// Only a beat of after the doubt settles it: where beats were lost on the way, one of before it may be two further on.
		since := now-time.Duration(l.Age)*time.Millisecond > e.doubtAt+doubtGrace
		settled := !e.Doubt || since && (direct || l.Seq >= e.doubtSeq+2)
		if settled && e.Doubt {
			e.Doubt, news = false, true
		}
		if l.Cold > 0 && until > e.coldUntil+coldLate || until < e.coldUntil-coldEarly {
			e.coldUntil, news = until, true
		}
		if l.Addr != "" && (e.Addr != l.Addr || e.Slots != l.Slots || e.Service != l.Service) {
			e.Addr, e.Slots, e.Service, e.Zone, news = l.Addr, l.Slots, l.Service, l.Zone, true
		}
	}
	if news {
		r.news(e)
	}
	return news, urgent
}

// Leave takes a replica's word that it ends.
func (r *Registry) Leave(now time.Duration, id string) bool {
	news, _ := r.take(now, Life{ID: id, Gone: true}, true)
	return news
}

// Merge takes what another governor tells. It returns whether anything is new and whether that must not wait.
func (r *Registry) Merge(now time.Duration, lives []Life) (news, urgent bool) {
	for _, l := range lives {
		if l.Addr == "" && !l.Gone && r.lives[l.ID] == nil {
			continue // a sign of life of one that is not known yet
		}
		n, u := r.take(now, l, false)
		news, urgent = news || n, urgent || u
	}
	return
}

// Expire marks lives that have been silent too long, and forgets those that ended long ago.
func (r *Registry) Expire(now time.Duration) (silent []string) {
	old := 0
	for _, id := range r.ids {
		switch e := r.lives[id]; {
		case e.Gone && now-e.endedAt > keepGone:
			delete(r.lives, id)
			old++
		case !e.Gone && now-e.heard > silentMost:
			e.Gone, e.endedAt = true, now
			r.news(e)
		case !e.Gone && !e.Silent && now-e.heard > r.most:
			e.Silent = true
			r.news(e)
			silent = append(silent, id)
		}
	}
	if old > 0 {
		r.ids = slices.DeleteFunc(r.ids, func(id string) bool { return r.lives[id] == nil })
	}
	return silent
}

// Excuse moves all signs of life forward, after this governor was held up or cut off and could hear nobody.
func (r *Registry) Excuse(now time.Duration) {
	for _, id := range r.ids {
		e := r.lives[id]
		e.heard = max(e.heard, now-r.most/2)
		if e.Silent {
			e.Silent = false
			r.news(e)
		}
	}
}

// Doubt takes the replicas of a zone for cold until they have said more: its evacuation has just ended.
func (r *Registry) Doubt(now time.Duration, zone string) {
	for _, id := range r.ids {
		if e := r.lives[id]; e.Zone == zone && !e.Gone {
			e.Doubt, e.doubtAt, e.doubtSeq = true, now, e.Seq
			r.news(e)
		}
	}
}

func (e *entry) told(now time.Duration) Life {
	l := e.Life
	l.Cold = max((e.coldUntil - now).Milliseconds(), 0)
	l.Age = max((now - e.heard).Milliseconds(), 0)
	return l
}

// All stands for the first revision: every life, also the ended ones.
const All = 0

// Changes lists the lives that changed after a revision, oldest change first.
func (r *Registry) Changes(now time.Duration, since uint64) []Life {
	var all []*entry
	for _, e := range r.lives {
		if e.rev > since {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.rev, b.rev) })
	lives := make([]Life, len(all))
	for i, e := range all {
		lives[i] = e.told(now)
	}
	return lives
}

// Signs lists the replicas that beat at this comb since a moment, without what does not change.
func (r *Registry) Signs(now, since time.Duration) []Life {
	var all []Life
	for id, e := range r.lives {
		if e.direct >= since && !e.Gone {
			all = append(all, Life{ID: id, Seq: e.Seq, Cold: e.told(now).Cold, Age: e.told(now).Age})
		}
	}
	slices.SortFunc(all, func(a, b Life) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Get is a life that has not ended.
func (r *Registry) Get(now time.Duration, id string) (Life, bool) {
	if e := r.lives[id]; e != nil && !e.Gone {
		return e.told(now), true
	}
	return Life{}, false
}

// Each calls f for every life that has not ended, in the order of ids.
func (r *Registry) Each(now time.Duration, f func(Life)) {
	for _, id := range r.ids {
		if e := r.lives[id]; !e.Gone {
			f(e.told(now))
		}
	}
}
