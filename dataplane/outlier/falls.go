// Package outlier tells all foragers of a replica that broke under one of them, so that not each must find out by a
// request of its own, and has one that comes and goes earn its way back slower each time. It is free of I/O.
package outlier

import (
	"maps"
	"slices"
	"time"
)

const (
	first     = 800 * time.Millisecond // a replica that fell is left for so long, twice as long each further time
	most      = 8 * time.Second
	forget    = 20 * time.Second // without a fall, the next one counts as the first
	together  = time.Second      // words of several foragers within this are of one fall
	witnesses = 2                // foragers that must tell of a broken connection; a refused call tells enough by itself
	outMost   = 0.4              // part of a service's replicas that may be out by hearsay
)

// Word is what a forager tells.
type Word struct {
	Replica string `cbor:"1,keyasint"`
	Refused bool   `cbor:"2,keyasint,omitempty"` // nobody listens there: proof, unless the forager's own link is at fault
}

// Out is told to foragers: a replica is the last choice for so long.
type Out struct {
	Replica string `cbor:"1,keyasint"`
	Millis  int64  `cbor:"2,keyasint"`
}

type fall struct {
	by    map[string]bool // foragers that told of the fall at hand
	since time.Duration
	times int
	until time.Duration
	last  time.Duration
}

// Falls is one comb's part.
type Falls struct{ all map[string]*fall }

// New makes one.
func New() *Falls { return &Falls{all: map[string]*fall{}} }

// Told takes a forager's word. Peers are the replicas of the same service that are in use. It returns what all are to
// be told, if anything.
func (f *Falls) Told(now time.Duration, forager string, w Word, peers []string) (Out, bool) {
	x := f.all[w.Replica]
	if x == nil {
		x = &fall{by: map[string]bool{}, last: -forget}
		f.all[w.Replica] = x
	}
	if now-x.since > together {
		x.since = now
		clear(x.by)
	}
	x.by[forager] = true
	if now < x.until || !w.Refused && len(x.by) < witnesses {
		return Out{}, false
	}
	out := 0
	for _, id := range peers {
		if p := f.all[id]; p != nil && now < p.until {
			out++
		}
	}
	if float64(out+1) > outMost*float64(len(peers)) {
		return Out{}, false // where many fall the fault may lie elsewhere, and somebody must serve
	}
	if now-x.last > forget {
		x.times = 0
	}
	span := min(first<<min(x.times, 10), most)
	x.times++
	x.last, x.until = now, now+span
	return Out{w.Replica, span.Milliseconds()}, true
}

// Heard takes another comb's word, so that the next fall counts on from it.
func (f *Falls) Heard(now time.Duration, o Out) {
	x := f.all[o.Replica]
	if x == nil {
		x = &fall{by: map[string]bool{}}
		f.all[o.Replica] = x
	}
	x.until, x.last = max(x.until, now+time.Duration(o.Millis)*time.Millisecond), now
	x.times++
}

// Forget drops what is long past.
func (f *Falls) Forget(now time.Duration) {
	for _, id := range slices.Collect(maps.Keys(f.all)) {
		if x := f.all[id]; now-max(x.last, x.since) > 2*forget {
			delete(f.all, id)
		}
	}
}
