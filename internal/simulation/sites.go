package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"zincloft.example/zincloft/dataplane/overflow"
)

// Way is how sites spill in a rush.
type Way string

const (
	ByLeases Way = "leases" // dataplane/overflow
	Nowhere  Way = "none"
	AtRandom Way = "random" // to any neighbour, without asking
	Oracle   Way = "oracle" // to whoever has room at the moment, seen without delay
)

// Rush is a day on which some sites are swamped.
type Rush struct {
	Seed    uint64
	Sites   int
	Swamped int // of them
	Times   float64
	Lasts   time.Duration
	Trouble bool // links that are cut one way or hold everything back, a site that restarts whole, neighbours swamped later
	Way     Way
}

// RushResult is what was seen.
type RushResult struct {
	Broken              []string
	Lookups, Unanswered int // first tries, and those not answered within their deadline though some site had room
	Orders, Charged     int
	Doubts, Spilled     int
	Own                 []time.Duration // latencies of the own clients of sites that were not swamped
	Guests              []time.Duration // of spilled lookups that were answered
	Used, Idle          float64         // seconds of slots at sites that were not swamped: used by guests, and free while others refused
}

const (
	siteWork   = 200 * time.Millisecond
	siteSlots  = 60
	siteBase   = 0.45 // of what a site can serve, that usually comes
	siteAim    = 800 * time.Millisecond
	siteWait   = 3 * time.Second // a client's deadline
	ordersPart = 0.25
)

type siteReq struct {
	id    int
	order bool
	home  int
	came  time.Duration
	runs  int
	done  bool
	doubt bool
	tries int
}

type rushSite struct {
	i                        int
	up                       bool
	life                     int
	slots                    int
	running, guests          int
	queue                    []*siteReq
	rate                     float64 // requests a second that come
	refused, spilled, served int     // in the second at hand
	lender                   *overflow.Lender
	borrower                 *overflow.Borrower
	purse                    *overflow.BorrowedQuota
	door                     *overflow.LentQuota
	stats                    overflow.Stats
	swamped                  bool
}

type rush struct {
	r       Rush
	history *historyChecksum // nil: none is taken down
	c       *rand.Rand
	now     time.Duration
	q       queue
	seq     int
	sites   []*rushSite
	cut     map[[2]int]bool
	held    map[[2]int][]func() // what a link holds back
	holds   map[[2]int]bool
	res     RushResult
	all     []*siteReq
}

func (w *rush) after(d time.Duration, f func()) {
	w.seq++
	w.q.push(event{w.now + d, w.seq, f})
}

func distance(a, b int) time.Duration { return time.Duration(10+(a*7+b*7)%71) * time.Millisecond }

// PlayRush plays a rush.
func PlayRush(r Rush) RushResult { return playRush(r, nil) }

// playRush plays a rush and takes its history down, if one is given.
func playRush(r Rush, h *historyChecksum) RushResult {
	w := &rush{r: r, history: h, c: rand.New(rand.NewPCG(r.Seed, 1)), cut: map[[2]int]bool{}, held: map[[2]int][]func(){}, holds: map[[2]int]bool{}}
	for i := range r.Sites {
		s := &rushSite{i: i, slots: siteSlots, rate: siteBase * siteSlots / siteWork.Seconds(), swamped: i < r.Swamped}
		w.sites = append(w.sites, s)
		w.boot(s)
	}
	for _, s := range w.sites {
		w.arrivals(s)
		w.seconds(s)
	}
	for i := range r.Swamped {
		w.after(3*time.Second, func() { w.sites[i].rate *= r.Times })
		w.after(r.Lasts-8*time.Second, func() { w.sites[i].rate /= r.Times })
	}
	if r.Trouble {
		w.troubles()
	}
	for len(w.q) > 0 && w.now < r.Lasts {
		e := w.q.pop()
		w.now = e.at
		e.do()
	}
	for _, q := range w.all {
		switch {
		case q.order:
			w.res.Orders++
			if q.done {
				w.res.Charged++
			}
			if q.doubt {
				w.res.Doubts++
			}
			if q.runs > 1 {
				w.res.Broken = append(w.res.Broken, fmt.Sprintf("order %d ran %d times", q.id, q.runs))
			}
			if q.done && q.runs != 1 {
				w.res.Broken = append(w.res.Broken, fmt.Sprintf("order %d was answered and ran %d times", q.id, q.runs))
			}
		default:
			w.res.Lookups++
			if !q.done && q.came < r.Lasts-siteWait-time.Second {
				w.res.Unanswered++
			}
		}
	}
	h.endRush(w)
	return w.res
}

func (w *rush) boot(s *rushSite) {
	s.up, s.life = true, s.life+1
	s.lender, s.borrower = overflow.NewLender(fmt.Sprintf("s%d.%d", s.i, s.life)), overflow.NewBorrower()
	s.purse, s.door = overflow.NewBorrowedQuota(fmt.Sprintf("p%d.%d", s.i, s.life)), overflow.NewLentQuota()
	s.running, s.guests, s.queue = 0, 0, nil
}

func (w *rush) troubles() {
	if w.r.Sites > 2 && w.c.IntN(2) == 0 { // a neighbour is swamped a little later
		s := w.sites[w.r.Swamped+w.c.IntN(w.r.Sites-w.r.Swamped)]
		s.swamped = true
		w.after(4*time.Second, func() { s.rate *= w.r.Times })
		w.after(w.r.Lasts-10*time.Second, func() { s.rate /= w.r.Times })
	}
	for range 4 {
		a, b := w.c.IntN(w.r.Sites), w.c.IntN(w.r.Sites)
		if a == b {
			continue
		}
		link, at, span := [2]int{a, b}, 5*time.Second+time.Duration(w.c.Int64N(int64(w.r.Lasts/2))), time.Duration(500+w.c.IntN(3000))*time.Millisecond
		if w.c.IntN(2) == 0 {
			w.after(at, func() { w.cut[link] = true })
			w.after(at+span, func() { w.cut[link] = false })
			continue
		}
		w.after(at, func() { w.holds[link] = true })
		w.after(at+span, func() { // it delivers all
			w.holds[link] = false
			late := w.held[link]
			w.held[link] = nil
			for _, f := range late {
				f()
			}
		})
	}
	if w.c.IntN(2) == 0 {
		s := w.sites[w.c.IntN(w.r.Sites)]
		w.after(8*time.Second, func() { s.up = false })
		w.after(9*time.Second, func() { w.boot(s) })
	}
}

// over brings something to another site, if it arrives.
func (w *rush) over(from, to int, f func()) {
	link := [2]int{from, to}
	w.after(distance(from, to)+time.Duration(w.c.Int64N(int64(2*time.Millisecond))), func() {
		switch {
		case w.cut[link]:
		case w.holds[link]:
			w.held[link] = append(w.held[link], f)
		default:
			f()
		}
	})
}

func (w *rush) arrivals(s *rushSite) {
	w.after(time.Duration(w.c.ExpFloat64()/s.rate*float64(time.Second)), func() {
		q := &siteReq{id: len(w.all), order: w.c.Float64() < ordersPart, home: s.i, came: w.now}
		w.all = append(w.all, q)
		w.try(s, q)
		w.arrivals(s)
	})
}

// try is a client's: it is admitted, sent over, or refused and told to come back.
func (w *rush) try(s *rushSite, q *siteReq) {
	q.tries++
	if w.history != nil {
		w.history.add(entryRush, w.now, s.i, q.id, q.tries, s.up, len(s.queue))
	}
	again := func() {
		if w.now-q.came < siteWait-300*time.Millisecond {
			w.after(time.Duration(200+w.c.IntN(300))*time.Millisecond, func() { w.try(s, q) })
		}
	}
	if !s.up {
		again()
		return
	}
	wait := time.Duration(len(s.queue)) * siteWork / time.Duration(s.slots)
	if s.running < s.slots || siteWork+wait < siteAim/2 {
		w.admit(s, q, false, func(ran bool) {})
		return
	}
	if w.now-q.came > siteWait/2 {
		s.refused++
		again()
		return
	}
	if to, token, ok := w.target(s, q); ok {
		s.spilled++
		w.res.Spilled++
		w.send(s, to, q, token, again)
		return
	}
	s.refused++
	again()
}

// target chooses where to send what there is no room for.
func (w *rush) target(s *rushSite, q *siteReq) (int, overflow.Token, bool) {
	switch w.r.Way {
	case ByLeases:
		t, ok := s.purse.Spend(w.now, "svc", !q.order)
		if !ok {
			return 0, t, false
		}
		var to int
		fmt.Sscanf(t.Addr, "%d", &to)
		return to, t, true
	case AtRandom:
		to := w.c.IntN(w.r.Sites)
		return to, overflow.Token{Serial: fmt.Sprint(q.id, q.tries)}, to != s.i
	case Oracle:
		for _, o := range w.sites {
			if o != s && o.up && o.running < int(0.85*float64(o.slots)) {
				return o.i, overflow.Token{}, true
			}
		}
	}
	return 0, overflow.Token{}, false
}

// send hands a request over. The home side hears what became of it, or nothing: then it is a doubt, and an order is tried
// nowhere else.
func (w *rush) send(s *rushSite, to int, q *siteReq, token overflow.Token, again func()) {
	o, life, heard := w.sites[to], s.life, false
	back := func(f func()) {
		w.over(to, s.i, func() {
			if s.up && s.life == life && !heard {
				heard = true
				f()
			}
		})
	}
	if w.r.Trouble && w.c.IntN(50) == 0 { // a duplicate that arrives late
		w.over(s.i, to, func() {
			w.after(time.Duration(w.c.IntN(2500))*time.Millisecond, func() { w.guest(o, q, token, func(func()) {}, func() {}) })
		})
	}
	w.over(s.i, to, func() { w.guest(o, q, token, back, again) })
	w.after(siteWait/2, func() { // no answer
		if !heard && s.up && s.life == life {
			if heard = true; q.order {
				q.doubt = true
			} else {
				again()
			}
		}
	})
}

// guest is a request of another site at the door.
func (w *rush) guest(o *rushSite, q *siteReq, token overflow.Token, back func(func()), again func()) {
	if !o.up {
		return
	}
	if w.r.Way == ByLeases {
		switch o.door.Admit(w.now, token, "svc") {
		case overflow.NotExecuted:
			back(again)
			return
		case overflow.Duplicate:
			return
		}
	}
	if w.r.Way != AtRandom && o.running >= int(0.85*float64(o.slots)) || w.r.Way == AtRandom && o.running >= o.slots {
		back(again) // its own clients go first; this one has not run
		return
	}
	w.admit(o, q, true, func(bool) {
		back(func() {
			if !q.done {
				q.done = true
				w.res.Guests = append(w.res.Guests, w.now-q.came)
			}
		})
	})
}

func (w *rush) admit(s *rushSite, q *siteReq, guest bool, ended func(bool)) {
	if s.running >= s.slots {
		s.queue = append(s.queue, q)
		return
	}
	s.running++
	s.served++
	q.runs++
	if w.history != nil {
		w.history.add(entryRush, w.now, s.i, q.id, q.tries, guest, s.running)
	}
	life := s.life
	if guest {
		s.guests++
		w.res.Used += siteWork.Seconds()
	}
	w.after(time.Duration(float64(siteWork)*(0.7+0.6*w.c.Float64())), func() {
		if s.life != life || !s.up {
			return // it was cut off in mid-work: its client waits for its deadline
		}
		s.running--
		if guest {
			s.guests--
		} else if !q.done {
			q.done = true
			if !s.swamped {
				w.res.Own = append(w.res.Own, w.now-q.came)
			}
		}
		ended(true)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			w.admit(s, next, false, func(bool) {})
		}
	})
}

// seconds has a site look at itself once a second, ask its neighbours and answer theirs.
func (w *rush) seconds(s *rushSite) {
	w.after(time.Second, func() {
		defer w.seconds(s)
		if !s.up {
			return
		}
		s.stats = overflow.Stats{Slots: float64(s.slots), Rate: float64(s.served), ServiceSeconds: siteWork.Seconds(), RejectedRate: float64(s.refused)}
		busy := s.refused > 0
		if busy {
			for _, o := range w.sites {
				if !o.swamped && o.up {
					w.res.Idle += max(0.85*float64(o.slots)-float64(o.running), 0)
				}
			}
		}
		s.borrower.RecordDemand(w.now, "svc", float64(s.refused), float64(s.spilled))
		if busy || len(s.borrower.Services()) > 0 {
			s.lender.MarkShort(w.now, "svc")
		}
		s.refused, s.spilled, s.served = 0, 0, 0
		s.door.SetLeases(w.now, s.lender.ActiveLeases(w.now))
		s.purse.SetLeases(w.now, s.borrower.UsableLeases(w.now, "svc"))
		if w.r.Way != ByLeases {
			return
		}
		var near []overflow.PeerSite
		for _, o := range w.sites {
			if o != s {
				near = append(near, overflow.PeerSite{Site: fmt.Sprint(o.i), Distance: distance(s.i, o.i)})
			}
		}
		for _, x := range s.borrower.LeaseRequests(w.now, near) {
			var to int
			fmt.Sscan(x.Site, &to)
			o, sent, life := w.sites[to], w.now, s.life
			w.over(s.i, to, func() {
				if !o.up {
					return
				}
				l, ok := o.lender.Grant(w.now, fmt.Sprint(s.i), "svc", x.Rate, o.stats.SpareRate(), 0)
				if w.history != nil {
					w.history.add(entryRush, w.now, s.i, x, l, ok)
				}
				o.door.SetLeases(w.now, o.lender.ActiveLeases(w.now))
				w.over(to, s.i, func() {
					if !s.up || s.life != life {
						return
					}
					if l.Service = "svc"; ok {
						l.Addrs = []string{fmt.Sprint(to)}
					}
					s.borrower.HandleResponse(w.now, sent, x.Site, l)
					s.purse.SetLeases(w.now, s.borrower.UsableLeases(w.now, "svc"))
				})
			})
		}
	})
}

// P99 is the latency that 99 in 100 stay within.
func P99(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Clone(all)
	slices.Sort(s)
	return s[len(s)*99/100]
}
