// Package loadbalancer chooses the replica that a request goes to, from the tables that a control-plane governor sends and
// what this proxy governor meets itself. It is free of I/O; clock and chance are handed in.
package loadbalancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/messages"
)

const (
	outFirst    = 400 * time.Millisecond // a replica that cannot be called is left for so long, twice as long each time
	outMost     = 6 * time.Second
	loadFades   = 1500 * time.Millisecond // what others have under way at a replica is believed less with time
	nearRoom    = 0.85                    // replicas of the own zone are used while their slots are filled less than this
	queueShare  = 1.5                     // a replica with so many requests to each slot counts as full
	badShare    = 0.5                     // of the newest tries spoilt, from which a replica gets only what others cannot take
	beatenAfter = 300 * time.Millisecond  // a replica left before this was not slow
	partOfAll   = 0.8                     // of a replica's connections, for those of its zone
	partLeast   = 2
	keepEnded   = time.Minute
	doubtMost   = 10 * time.Second
	givenBack   = 3 * time.Second // two beats of a replica in a zone that was given back, at the usual interval
)

// Replica is one life of a replica as this governor sees it.
type Replica struct {
	ID, Service, Addr, Zone string
	Slots                   int
	Draining, Gone, Silent  bool
	Weight                  float64 // from the table; 0: held out

	coldUntil time.Duration
	doubt     bool
	doubtSeq  uint64        // of the word that brought it
	doubtEnd  time.Duration // where no word settles it: its combs have lost it
	old       bool          // never known but from an old word
	seq       uint64        // of the newest word
	grant     float64       // requests a second while cold
	tokens    float64
	tokensAt  time.Duration

	sent     bool
	sentAt   time.Duration // a request, last
	inflight int
	others   float64 // requests that others had there when it last told
	toldAt   time.Duration
	outUntil time.Duration
	hearsay  time.Duration // the part of it that others told of
	shunned  bool          // fails this governor alone, as its comb judges
	fails    int
	spoilt   float64 // moving share of tries that brought nothing

	// Since the last report.
	Tries, Dropped         int
	Took                   time.Duration // of the good ones, summed
	Good                   int
	Running, Waiting, Told int
}

// Spread holds the replicas. Its calls are not made side by side.
type Spread struct {
	zone     string
	all      map[string]*Replica
	services map[string][]*Replica
	out      map[string]bool
	granted  map[string]float64
	caps     map[string]int           // requests at once at one replica of a service, so that connections suffice for all
	apart    map[string]time.Duration // between two requests to one replica of a service
	ended    map[string]time.Duration // ids that are not to come back: stale words of them may still arrive
}

// New makes an empty one for a governor in a zone.
func New(zone string) *Spread {
	return &Spread{zone: zone, all: map[string]*Replica{}, services: map[string][]*Replica{}, out: map[string]bool{}, granted: map[string]float64{},
		ended: map[string]time.Duration{}}
}

// Get returns a replica by id, or nil.
func (s *Spread) Get(id string) *Replica { return s.all[id] }

// All lists the replicas in the order of their ids.
func (s *Spread) All() []*Replica {
	return slices.SortedFunc(maps.Values(s.all), func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
}

// Lives takes in word of replicas. It returns those to which no connection is wanted any more.
func (s *Spread) Lives(now time.Duration, whole bool, lives []registry.Instance) (ended []string) {
	var unknown []string
	defer func() {
		for _, id := range ended {
			s.ended[id] = now
		}
		ended = append(unknown, ended...)
		for id, at := range s.ended {
			if s.all[id] == nil && now-at > keepEnded {
				delete(s.ended, id)
			}
		}
	}()
	if whole {
		named := map[string]bool{}
		for _, l := range lives {
			named[l.ID] = true
		}
		for id := range s.all {
			if !named[id] { // not known there, or not yet: that is no end
				s.remove(id)
				unknown = append(unknown, id)
			}
		}
	}
	for _, l := range lives {
		r := s.all[l.ID]
		if l.Deregistered {
			if r != nil {
				s.remove(l.ID)
				ended = append(ended, l.ID)
			}
			continue
		}
		if r == nil {
			if _, left := s.ended[l.ID]; left || l.Addr == "" {
				continue
			}
			r = &Replica{ID: l.ID, Weight: 1, grant: s.granted[l.ID], tokensAt: now}
			s.all[l.ID] = r
		}
		if r.Service != l.Service {
			s.unlist(r)
			r.Service = l.Service
			s.services[l.Service] = append(s.services[l.Service], r)
			slices.SortFunc(s.services[l.Service], func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) })
		}
		r.Addr, r.Zone, r.Slots = l.Addr, l.Zone, max(l.Slots, 1)
		if l.Draining && !r.Draining {
			r.Draining = true
			ended = append(ended, l.ID)
		}
		r.Silent = l.HeartbeatTimedOut
		r.warmth(now, l)
	}
	return ended
}

// warmth takes a word of how cold a replica is. One that is older than what is known changes nothing, one of the same beat
// takes nothing back, and one that may be out of date counts only where nothing is known, but for its doubt.
func (r *Replica) warmth(now time.Duration, l registry.Instance) {
	until := now + time.Duration(l.WarmupMillis)*time.Millisecond
	known := r.seq > 0 && !r.old
	if known && l.Stale {
		r.coldUntil = max(r.coldUntil, until)
		if l.WarmthUnknown { // a comb that has just started may be the one that gives the zone back
			r.doubt, r.doubtSeq, r.doubtEnd = true, max(r.seq, l.Sequence), now+doubtMost
		}
		return
	}
	switch {
	case l.WarmthUnknown: // its zone was given back: that is of after any beat
		r.doubt, r.doubtSeq = true, l.Sequence
	case !known || l.Sequence == 0 || l.Sequence > r.doubtSeq:
		r.doubt = false
	}
	if l.WarmthUnknown || l.Stale {
		r.doubtEnd = now + doubtMost
	}
	switch {
	case known && l.Sequence > 0 && l.Sequence < r.seq:
	case known && l.Sequence == r.seq:
		r.coldUntil = max(r.coldUntil, until)
	default:
		r.coldUntil, r.old, r.seq = until, l.Stale, l.Sequence
	}
}

func (s *Spread) unlist(r *Replica) {
	s.services[r.Service] = slices.DeleteFunc(s.services[r.Service], func(x *Replica) bool { return x == r })
	if len(s.services[r.Service]) == 0 {
		delete(s.services, r.Service)
	}
}

func (s *Spread) remove(id string) {
	r := s.all[id]
	r.Gone = true
	s.unlist(r)
	delete(s.all, id)
}

// Evacuated sets the zones whose replicas get nothing. The replicas of one that is given back may have turned cold; their comb
// may not remember that they were out, as it has just started, so that is doubted here too until they have beaten again.
func (s *Spread) Evacuated(now time.Duration, zones []string) {
	for _, r := range s.all {
		if s.out[r.Zone] && !slices.Contains(zones, r.Zone) && !(r.doubt && now < r.doubtEnd) {
			r.doubt, r.doubtSeq, r.doubtEnd = true, r.seq+1, now+givenBack
		}
	}
	clear(s.out)
	for _, z := range zones {
		s.out[z] = true
	}
}

// Line sets a weight of the table.
func (s *Spread) Line(id string, weight float64) {
	if r := s.all[id]; r != nil {
		r.Weight = weight
	}
}

// Shuns shuts replicas out as the last choice, or lets them in again. A whole state begins with none.
func (s *Spread) Shuns(whole bool, shuns []messages.PairEjection) {
	if whole {
		for _, r := range s.all {
			r.shunned = false
		}
	}
	for _, x := range shuns {
		if r := s.all[x.Replica]; r != nil {
			r.shunned = x.Ejected
		}
	}
}

// Grants sets what this governor may send to cold replicas, a second, in place of all that was granted before.
func (s *Spread) Grants(now time.Duration, grants map[string]float64) {
	s.granted = grants
	for id, r := range s.all {
		r.refill(now)
		if r.grant = grants[id]; r.grant == 0 {
			r.tokens = 0 // the right is another's now
		}
	}
}

// Right is what this governor may send to a replica while it is cold, a second.
func (s *Spread) Right(id string) float64 { return s.granted[id] }

// Misdirected takes a replica out whose address another one has answered at. It is told whether that is new.
func (s *Spread) Misdirected(now time.Duration, id string) bool {
	if s.all[id] == nil {
		return false
	}
	s.remove(id)
	s.ended[id] = now
	return true
}

// Apart has this governor leave so much time between two requests to one replica, by service; nil: none. It is for one that
// hears no comb: any replica may have turned cold, and others who know no more send to it too.
func (s *Spread) Apart(by map[string]time.Duration) { s.apart = by }

// Caps sets how many requests this governor may have at one replica at once, by service: its part of the connections
// that a replica accepts from all.
func (s *Spread) Caps(caps map[string]int) { s.caps = caps }

func (s *Spread) capped(r *Replica) bool {
	most, ok := s.caps[r.Service]
	return ok && r.inflight >= most
}

// Part is a governor's part of the connections that a replica accepts, among so many governors over so many zones:
// most of a replica's requests come from its own zone.
func Part(connections, governors, zones int) int {
	return max(int(partOfAll*float64(connections))/max((governors+zones-1)/max(zones, 1), 1), partLeast)
}

// Life is what this governor was told of a replica.
func (r *Replica) Life(now time.Duration) registry.Instance {
	return registry.Instance{ID: r.ID, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining, Sequence: r.seq,
		WarmthUnknown: r.doubt && now < r.doubtEnd, Stale: r.old && now < r.doubtEnd, WarmupMillis: max((r.coldUntil - now).Milliseconds(), 0)}
}

// Cold tells whether a replica must be spared.
func (r *Replica) Cold(now time.Duration) bool {
	return now < r.coldUntil || (r.doubt || r.old) && now < r.doubtEnd
}

func (r *Replica) refill(now time.Duration) {
	r.tokens = min(r.tokens+r.grant*(now-r.tokensAt).Seconds(), 1)
	r.tokensAt = now
}

// busy estimates the requests that a replica has, running and waiting.
func (r *Replica) busy(now time.Duration) float64 {
	fade := 1 - min(float64(now-r.toldAt)/float64(loadFades), 1)
	return float64(r.inflight) + r.others*fade
}

// Fill is how many requests to a slot a replica has by estimate.
func (r *Replica) Fill(now time.Duration) float64 { return r.fill(now) }

func (r *Replica) fill(now time.Duration) float64 { return r.busy(now) / float64(max(r.Slots, 1)) }

// sorted lists the replicas that a request may go to: warm ones of the own zone and of others, cold ones for which there
// is a token, and those that are doubted.
func (s *Spread) sorted(now time.Duration, service string, tried func(string) bool) (near, far, cold, poor []*Replica) {
	for _, r := range s.services[service] {
		if r.Draining || s.out[r.Zone] || tried(r.ID) || s.capped(r) || r.sent && now-r.sentAt < s.apart[service] {
			continue
		}
		if r.Cold(now) {
			if r.refill(now); r.tokens >= 1 && now >= r.outUntil {
				cold = append(cold, r)
			}
			continue
		}
		switch {
		case r.Silent || now < r.outUntil || r.Weight <= 0 || r.spoilt > badShare || r.shunned:
			poor = append(poor, r)
		case r.Zone == s.zone:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	return near, far, cold, poor
}

// Pick chooses a replica of a service for a request that was not yet at those that tried names, or nil. None is
// chosen that has more requests to a slot than depth.
func (s *Spread) Pick(now time.Duration, service string, tried func(string) bool, depth float64, chance func() float64) *Replica {
	near, far, cold, poor := s.sorted(now, service, tried)
	// Exception: bytes between zones cost, so the own zone's replicas go first while they have room. Weights still
	// say how it is shared among them, and all share it by weight once they are full.
	if r := best(now, near, nearRoom, chance); r != nil {
		return r
	}
	if r := best(now, far, nearRoom, chance); r != nil {
		return r
	}
	warm := append(near, far...)
	if r := best(now, warm, min(queueShare, depth), chance); r != nil {
		return r
	}
	if len(cold) > 0 {
		return cold[int(chance()*float64(len(cold)))%len(cold)]
	}
	if r := best(now, warm, depth, chance); r != nil {
		return r
	}
	if len(warm) > 0 {
		return nil
	}
	return best(now, poor, depth, chance) // nothing better is left: those may have come back
}

// Spare chooses as Pick does, but only a warm replica with free slots.
func (s *Spread) Spare(now time.Duration, service string, tried func(string) bool, chance func() float64) *Replica {
	near, far, _, _ := s.sorted(now, service, tried)
	if r := best(now, near, nearRoom, chance); r != nil {
		return r
	}
	return best(now, far, nearRoom, chance)
}

// best draws two replicas by weight and takes the less filled, among those filled less than most.
func best(now time.Duration, from []*Replica, most float64, chance func() float64) *Replica {
	a, b := draw(from, chance), draw(from, chance)
	if a == nil {
		return nil
	}
	if b.fill(now) < a.fill(now) {
		a = b
	}
	if a.fill(now) < most {
		return a
	}
	a = slices.MinFunc(from, func(a, b *Replica) int { return cmp.Compare(a.fill(now), b.fill(now)) })
	if a.fill(now) < most {
		return a
	}
	return nil
}

func draw(from []*Replica, chance func() float64) *Replica {
	sum := 0.0
	for _, r := range from {
		sum += max(r.Weight, 1e-3)
	}
	left := chance() * sum
	for _, r := range from {
		if left -= max(r.Weight, 1e-3); left < 0 {
			return r
		}
	}
	if len(from) > 0 {
		return from[len(from)-1]
	}
	return nil
}

// Begin counts a request that is about to be sent.
func (s *Spread) Begin(now time.Duration, r *Replica) {
	if r.Cold(now) {
		r.refill(now)
		r.tokens--
	}
	r.inflight++
	r.Tries++
	r.sent, r.sentAt = true, now
}

// Outcome is what became of a try.
type Outcome int

const (
	Good     Outcome = iota // a whole answer
	Full                    // it did not run the request
	Spoilt                  // an answer that is none, or cut short, or a failure of its own
	Silent                  // no answer, or the connection broke
	Uncalled                // it could not be called
	Left                    // the client left
)

// Fell takes the word that a replica broke under somebody: it is the last choice for a while.
func (s *Spread) Fell(now time.Duration, id string, span time.Duration) {
	if r := s.all[id]; r != nil {
		r.outUntil = max(r.outUntil, now+span)
		r.hearsay = max(r.hearsay, now+span)
	}
}

// End counts a try's outcome.
func (s *Spread) End(now time.Duration, r *Replica, o Outcome, took time.Duration) {
	r.inflight--
	bad := 0.0
	switch o {
	case Good:
		r.fails, r.outUntil = 0, r.hearsay // an answer of before the fall does not undo it
		r.Good++
		r.Took += took
	case Left: // or beaten by another; a second time without a good answer between tells something
		if took < beatenAfter {
			return
		}
		r.fails++
		if r.fails > 1 {
			r.outUntil = now + min(outFirst<<min(r.fails-2, 5), outMost)
		}
		return
	case Full:
		r.Dropped++
		return
	case Spoilt:
		r.Dropped++
		bad = 1
	case Silent, Uncalled:
		r.Dropped++
		bad = 1
		wait := min(outFirst<<min(r.fails, 5), outMost)
		r.fails++
		if o == Uncalled || r.fails > 1 {
			r.outUntil = now + wait
		}
	}
	r.spoilt += (bad - r.spoilt) / 8
}

// Load takes a replica's own word on its load, from an answer.
func (r *Replica) Load(now time.Duration, running, waiting, slots int) {
	r.Running, r.Waiting, r.Told = running, waiting, slots
	r.others = max(float64(running+waiting-r.inflight), 0)
	r.toldAt = now
}
