// Package overflow decides what a site sends to a neighbouring one, and what that one takes. It is free of I/O; clocks are
// handed in, and every span is measured by one clock only.
//
// Room is lent by leases that run out: what a site has promised is off what it can promise to others, whether or not it is
// used. A site that refuses its own clients, or borrows itself, lends nothing; a guest is never sent on. So nobody spills
// at each other, and everything makes one hop at most.
package overflow

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// LeaseFor is how long a lease holds from the lender's grant on; the borrower stops using it sooner by the margin.
	LeaseFor = 2 * time.Second

	margin    = 400 * time.Millisecond // for the way there and back, and clocks that run unlike
	fillMost  = 0.8                    // of the slots, what may be in use, guests included; a guest is let in on a free slot only
	askMore   = 1.3                    // of what was refused
	quietFor  = 3 * time.Second        // without a refusal, after which less is asked for each time
	decay     = 0.6
	leastRate = 0.5             // requests a second; less is not asked for
	lentAfter = 3 * time.Second // of calm, a service that lacked room is lent again

	againAfter = 900 * time.Millisecond // of a refusal
	ordersMin  = 0.3                    // part of a purse that must be there for an order: lookups go first
	burst      = 0.25
	serials    = 1 << 16 // of guests that are remembered, against duplicates that come late
)

// Stats is what a site knows of one of its services.
type Stats struct {
	Slots   float64 `cbor:"1,keyasint"` // of replicas that are ready and warm, in zones that are not being emptied
	Rate    float64 `cbor:"2,keyasint"` // requests a second that reach them
	Took    float64 `cbor:"3,keyasint"` // seconds that one takes
	Refused float64 `cbor:"4,keyasint"` // a second, for want of room
}

// Room is what could be served besides, in requests a second.
func (s Stats) Room() float64 {
	if s.Took <= 0 || s.Refused > 0 {
		return 0
	}
	return max(fillMost*s.Slots/s.Took-s.Rate, 0)
}

// Lease is room that one site lends another.
type Lease struct {
	ID      string        `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	Site    string        `cbor:"3,keyasint"` // the other one
	Rate    float64       `cbor:"4,keyasint"`
	Until   time.Duration `cbor:"5,keyasint"` // by the holder's own clock
	Addrs   []string      `cbor:"6,keyasint,omitempty"`
}

// Lender is the lending side of one core machine.
type Lender struct {
	name   string
	leases []Lease
	n      uint64
	poor   map[string]time.Duration // services that lacked room here, when last
}

// NewLender makes one; its name is no other lender's.
func NewLender(name string) *Lender { return &Lender{name: name, poor: map[string]time.Duration{}} }

// Poor notes that a service lacks room here, or is borrowed for.
func (l *Lender) Poor(now time.Duration, service string) { l.poor[service] = now }

// Lend takes a wish. Room is this lender's part of what the site has; what is lent to others already comes off it. A
// borrower's older lease of the service is replaced by its new one: it uses one at a time.
func (l *Lender) Lend(now time.Duration, borrower, service string, want, room, most float64) (Lease, bool) {
	l.leases = slices.DeleteFunc(l.leases, func(x Lease) bool { return now >= x.Until })
	if at, ok := l.poor[service]; ok && now-at < lentAfter {
		return Lease{}, false
	}
	for _, x := range l.leases {
		if x.Service == service && x.Site != borrower {
			room -= x.Rate
		}
	}
	rate := min(want, room)
	if most > 0 {
		rate = min(rate, most)
	}
	if rate < leastRate {
		return Lease{}, false
	}
	for i := range l.leases { // still good at the door until it ends, for what is on its way
		if x := &l.leases[i]; x.Service == service && x.Site == borrower {
			x.Rate = 0
		}
	}
	l.n++
	x := Lease{ID: fmt.Sprintf("%s.%d", l.name, l.n), Service: service, Site: borrower, Rate: rate, Until: now + LeaseFor}
	l.leases = append(l.leases, x)
	return x, true
}

// Lent lists what is lent now.
func (l *Lender) Lent(now time.Duration) (all []Lease) {
	for _, x := range l.leases {
		if now < x.Until {
			all = append(all, x)
		}
	}
	return all
}

// Neighbour is a site that may be asked.
type Neighbour struct {
	Site     string        `json:"site" cbor:"1,keyasint"`
	Combs    []string      `json:"combs" cbor:"2,keyasint"`            // where its core machines hear other governors
	Distance time.Duration `json:"distance" cbor:"3,keyasint"`         // one way
	Lend     float64       `json:"lend" cbor:"4,keyasint,omitempty"`   // requests a second of a service that it may be lent; 0: as many as there is room for
	Borrow   float64       `json:"borrow" cbor:"5,keyasint,omitempty"` // likewise, that may be sent there; 0: any
	Closed   bool          `json:"closed" cbor:"6,keyasint,omitempty"` // nothing either way
}

// Want is a wish for room.
type Want struct {
	Site    string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Rate    float64 `cbor:"3,keyasint"`
}

type need struct {
	rate      float64
	refusedAt time.Duration
	held      map[string]Lease // by site
	deniedAt  map[string]time.Duration
}

// Borrower is the borrowing side of one core machine.
type Borrower struct{ needs map[string]*need }

// NewBorrower makes one.
func NewBorrower() *Borrower { return &Borrower{needs: map[string]*need{}} }

// Told takes what a second brought at a service: requests refused for want of room, and sent to neighbours.
func (b *Borrower) Told(now time.Duration, service string, refused, spilled float64) {
	n := b.needs[service]
	if n == nil {
		if refused == 0 {
			return
		}
		n = &need{held: map[string]Lease{}, deniedAt: map[string]time.Duration{}}
		b.needs[service] = n
	}
	switch {
	case refused > 0:
		n.rate, n.refusedAt = max(n.rate*decay, (refused+spilled)*askMore), now
	case now-n.refusedAt > quietFor:
		if n.rate = max(n.rate*decay, 0); spilled > 0 {
			n.rate = max(n.rate, spilled*decay)
		}
	}
	if n.rate < leastRate && len(b.Held(now, service)) == 0 {
		delete(b.needs, service)
	}
}

// Wants lists what is to be asked for now: of the nearest neighbour first, of the next ones what those before have not
// given. A lease is renewed when half of it is over; one that has refused is asked again after a while.
func (b *Borrower) Wants(now time.Duration, neighbours []Neighbour) (all []Want) {
	near := slices.Clone(neighbours)
	slices.SortStableFunc(near, func(x, y Neighbour) int {
		return cmp.Or(cmp.Compare(x.Distance, y.Distance), strings.Compare(x.Site, y.Site))
	})
	for _, service := range slices.Sorted(maps.Keys(b.needs)) {
		n := b.needs[service]
		left := n.rate
		for _, x := range near {
			if left < leastRate || x.Closed {
				continue
			}
			want := left
			if x.Borrow > 0 {
				want = min(want, x.Borrow)
			}
			l, held := n.held[x.Site]
			if held = held && now < l.Until; held {
				left -= l.Rate
			}
			if denied, ok := n.deniedAt[x.Site]; ok && now-denied < againAfter {
				continue
			} else if !ok && !held {
				left -= want // it is asked alone at first
			}
			if !held || l.Until-now < (LeaseFor-margin)/2 || l.Rate < 0.8*want {
				all = append(all, Want{x.Site, service, want})
			}
		}
	}
	return all
}

// Given takes a neighbour's answer; a lease without a rate is a refusal. Sent is when it was asked for, by our clock: the
// lease cannot have begun earlier.
func (b *Borrower) Given(now, sent time.Duration, site string, l Lease) {
	n := b.needs[l.Service]
	if n == nil {
		return
	}
	if l.Rate <= 0 {
		n.deniedAt[site] = now
		return
	}
	l.Site, l.Until = site, sent+LeaseFor-margin
	if delete(n.deniedAt, site); l.Rate < leastRate*2 {
		n.deniedAt[site] = now
	}
	if now < l.Until {
		n.held[site] = l
	}
}

// Held lists the leases of a service that may be used.
func (b *Borrower) Held(now time.Duration, service string) (all []Lease) {
	if n := b.needs[service]; n != nil {
		for _, site := range slices.Sorted(maps.Keys(n.held)) {
			if l := n.held[site]; now < l.Until {
				all = append(all, l)
			} else {
				delete(n.held, site)
			}
		}
	}
	return all
}

// Services lists those that something is asked for.
func (b *Borrower) Services() []string { return slices.Sorted(maps.Keys(b.needs)) }

// Purse is a forager's part of what its site has borrowed.
type Purse struct {
	leases map[string]*coin // by lease
	serial uint64
	name   string
}

type coin struct {
	Lease
	have float64
	at   time.Duration
	turn int
}

// NewPurse makes an empty one. Its name is no other purse's, also not in an earlier life.
func NewPurse(name string) *Purse { return &Purse{leases: map[string]*coin{}, name: name} }

// Fill sets the leases that may be used, each with this forager's part of its rate.
func (p *Purse) Fill(now time.Duration, leases []Lease) {
	next := map[string]*coin{}
	for _, l := range leases {
		c := p.leases[l.ID]
		if c == nil {
			c = &coin{at: now}
			for _, o := range p.leases { // what an older one of the same room has left stays
				if o.Site == l.Site && o.Service == l.Service {
					c.have, c.at = o.have, o.at
				}
			}
		}
		c.Lease = l
		next[l.ID] = c
	}
	p.leases = next
}

// Token names one guest.
type Token struct {
	Lease, Serial, Addr, Site string
}

// String is how a token is told; Parse reads it.
func (t Token) String() string { return t.Lease + "/" + t.Serial }

// Parse reads a token.
func Parse(s string) (t Token, ok bool) {
	t.Lease, t.Serial, ok = strings.Cut(s, "/")
	return t, ok && t.Lease != "" && t.Serial != ""
}

// Take spends on one request of a service, the nearest lease first in the order in which they were filled by site. An order
// is let go only where much is left: lookups go first.
func (p *Purse) Take(now time.Duration, service string, safe bool) (Token, bool) {
	for _, id := range slices.Sorted(maps.Keys(p.leases)) {
		c := p.leases[id]
		if c.Service != service || now >= c.Until || len(c.Addrs) == 0 {
			continue
		}
		most := max(c.Rate*burst, 1)
		c.have = min(c.have+c.Rate*max(now-c.at, 0).Seconds(), most)
		c.at = now
		if c.have < 1 || !safe && c.have < 1+ordersMin*(most-1) {
			continue
		}
		c.have--
		c.turn++
		p.serial++
		return Token{Lease: c.ID, Serial: p.name + "-" + strconv.FormatUint(p.serial, 36), Addr: c.Addrs[c.turn%len(c.Addrs)], Site: c.Site}, true
	}
	return Token{}, false
}

// Answer is what becomes of a guest at the door.
type Answer int

const (
	NotRun Answer = iota // proof: it is not let in and never will be
	Admit
	Doubt // it has been here before: what became of it is not said again
)

// Door is a forager's part of what its site has lent.
type Door struct {
	leases map[string]*coin
	seen   map[string]bool
	order  []string
}

// NewDoor makes one that is closed.
func NewDoor() *Door { return &Door{leases: map[string]*coin{}, seen: map[string]bool{}} }

// Lent sets the leases under which guests are let in, each with this forager's part.
func (d *Door) Lent(now time.Duration, leases []Lease) {
	next := map[string]*coin{}
	for _, l := range leases {
		c := d.leases[l.ID]
		if c == nil {
			c = &coin{have: max(l.Rate*burst, 1), at: now}
		}
		if c.Lease = l; l.Rate == 0 { // replaced: what it has left is for what is on its way
			c.at = now
		}
		next[l.ID] = c
	}
	d.leases = next
}

// Open tells what becomes of a guest for a service. A duplicate is never let in: the first one may have run.
func (d *Door) Open(now time.Duration, t Token, service string) Answer {
	key := t.String()
	if d.seen[key] {
		return Doubt
	}
	if len(d.order) >= serials {
		delete(d.seen, d.order[0])
		d.order = d.order[1:]
	}
	d.seen[key] = true
	d.order = append(d.order, key)
	c := d.leases[t.Lease]
	if c == nil || now >= c.Until || c.Service != service {
		return NotRun
	}
	c.have = min(c.have+c.Rate*max(now-c.at, 0).Seconds(), max(2*c.Rate*burst, c.have, 2))
	if c.at = now; c.have < 1 {
		return NotRun
	}
	c.have--
	return Admit
}
