package intake

import (
	"math"
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	clockBatches = 16 // a sender's clock is judged by so many of its batches, twice as many at most
	burstPeriods = 4  // a sender that was held up may bring so many periods' records at once
	seqWindow    = 64 // batches back from the latest that are told apart
	shareLeast   = 64 // records a period that any sender may bring
)

// weight is what a record of an age counts for by a fresh one: never more than a fresher one, nothing past the bound.
func (in *Intake) weight(age time.Duration) float64 {
	if age > in.set.MostAge {
		return 0
	}
	return math.Exp2(-float64(max(age, 0)) / float64(in.set.HalfLife))
}

// share is how many records a sender may bring in a period: its part of twice the budget, and one for each replica
// that is known at the least.
func (in *Intake) share() int {
	return max(2*in.set.Budget/(len(in.senders)+1), 2*in.byReplica.before, shareLeast)
}

// sender is what is known of a proxy's stream.
type sender struct {
	zone  rules.ZoneID
	left  int           // records that it may still bring
	last  uint32        // the highest number of a batch so far
	seen  uint64        // by bit, from last back: which have come
	least [2]rules.Time // least difference of our clock to its own: in this group of batches, in the one before
	heard int           // batches in this group
}

// order tells a new batch from one that came before and from one too far behind to say, and how many before it are
// lost so far; one that comes late after all takes itself off.
func (s *sender) order(seq uint32) (fate Cause, lost int) {
	switch {
	case seq == 0:
		return Kept, 0
	case s.last == 0 || seq > s.last:
		by := seq - s.last
		if lost = int(by) - 1; s.last == 0 || by > seqWindow {
			lost = min(lost, seqWindow)
			if s.last == 0 {
				lost = 0
			}
			s.seen = 0
		} else {
			s.seen <<= by
		}
		s.last, s.seen = seq, s.seen|1
		return Kept, lost
	case s.last-seq >= seqWindow:
		return TooLate, 0
	case s.seen&(1<<(s.last-seq)) != 0:
		return Repeated, 0
	}
	s.seen |= 1 << (s.last - seq)
	return Kept, -1
}

// transit is how much longer a batch took on its way than the fastest of late. Only differences of the sender's clock
// count, so one that is wrong does no harm; one that is set back makes its own batches look old until as many have
// come as the clock is judged by.
func (s *sender) transit(sent, read rules.Time) time.Duration {
	if sent == 0 {
		return 0
	}
	apart := read - sent
	if s.heard == 0 {
		s.least = [2]rules.Time{apart, apart}
	} else if s.heard%clockBatches == 0 {
		s.least = [2]rules.Time{apart, s.least[0]}
	}
	s.heard++
	s.least[0] = min(s.least[0], apart)
	return time.Duration(apart - min(s.least[0], s.least[1]))
}

// load is a replica's word on its load, and since when it holds.
type load struct {
	report rules.LoadReport
	at     rules.Time
	known  float64 // the share busy as told last; 1 before the first
	told   bool
}

// hear keeps the freshest word on a replica's load.
func (in *Intake) hear(now rules.Time, age time.Duration, r *Record) {
	if r.Report.Utilization < 0 {
		return
	}
	at := now - rules.Time(age+max(r.Heard, 0))
	if l, ok := in.loads[r.Replica]; !ok || at > l.at {
		if !ok {
			l.known = 1
		}
		in.loads[r.Replica] = load{report: r.Report, at: at, known: l.known}
	}
}

// report is what a replica's last word comes to now. An old one may show it busier, and idler only in part: against
// replicas that look idle because nothing has been heard since. Past the bound of age it says nothing.
func (in *Intake) report(now rules.Time, id rules.ReplicaID) rules.LoadReport {
	l, ok := in.loads[id]
	trust := in.weight(time.Duration(now - l.at))
	if !ok || trust == 0 {
		return rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	}
	out := l.report
	if out.Utilization < l.known {
		out.Utilization = l.known + trust*(out.Utilization-l.known)
	}
	if !l.told {
		l.known, l.told = out.Utilization, true
		in.loads[id] = l
	}
	return out
}
