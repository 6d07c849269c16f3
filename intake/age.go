package intake

import (
	"math"
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	clockGroupBatches = 16 // a sender's clock is judged by so many of its batches, twice as many at most
	burstPeriods      = 4  // a sender that was held up may bring so many periods' records at once
	sequenceWindow    = 64 // batches back from the latest that are told apart
	minSenderQuota    = 64 // records a period that any sender may bring
)

// ageWeight is what a record of an age counts for by a fresh one: never more than a fresher one, nothing past the bound.
func (in *Aggregator) ageWeight(age time.Duration) float64 {
	if age > in.settings.MaxAge {
		return 0
	}
	return math.Exp2(-float64(max(age, 0)) / float64(in.settings.HalfLife))
}

// senderQuota is how many records a sender may bring in a period: its part of twice the budget, and one for each replica
// that is known at the least.
func (in *Aggregator) senderQuota() int {
	return max(2*in.settings.Budget/(len(in.senders)+1), 2*in.byReplica.strataBefore, minSenderQuota)
}

// sender is what is known of a proxy's stream.
type sender struct {
	zone         rules.ZoneID
	quota        int           // records that it may still bring
	lastSequence uint32        // the highest number of a batch so far
	received     uint64        // by bit, from last back: which have come
	minOffset    [2]rules.Time // least difference of our clock to its own: in this group of batches, in the one before
	groupBatches int           // batches in this group
}

// classify tells a new batch from one that came before and from one too far behind to say, and how many before it are
// lost so far; one that comes late after all takes itself off.
func (s *sender) classify(seq uint32) (fate Cause, lost int) {
	switch {
	case seq == 0:
		return Kept, 0
	case s.lastSequence == 0 || seq > s.lastSequence:
		by := seq - s.lastSequence
		if lost = int(by) - 1; s.lastSequence == 0 || by > sequenceWindow {
			lost = min(lost, sequenceWindow)
			if s.lastSequence == 0 {
				lost = 0
			}
			s.received = 0
		} else {
			s.received <<= by
		}
		s.lastSequence, s.received = seq, s.received|1
		return Kept, lost
	case s.lastSequence-seq >= sequenceWindow:
		return TooLate, 0
	case s.received&(1<<(s.lastSequence-seq)) != 0:
		return Repeated, 0
	}
	s.received |= 1 << (s.lastSequence - seq)
	return Kept, -1
}

// extraDelay is how much longer a batch took on its way than the fastest of late. Only differences of the sender's clock
// count, so one that is wrong does no harm; one that is set back makes its own batches look old until as many have
// come as the clock is judged by.
func (s *sender) extraDelay(sent, read rules.Time) time.Duration {
	if sent == 0 {
		return 0
	}
	apart := read - sent
	if s.groupBatches == 0 {
		s.minOffset = [2]rules.Time{apart, apart}
	} else if s.groupBatches%clockGroupBatches == 0 {
		s.minOffset = [2]rules.Time{apart, s.minOffset[0]}
	}
	s.groupBatches++
	s.minOffset[0] = min(s.minOffset[0], apart)
	return time.Duration(apart - min(s.minOffset[0], s.minOffset[1]))
}

// reportedLoad is a replica's word on its load, and since when it holds.
type reportedLoad struct {
	report          rules.LoadReport
	heardAt         rules.Time
	lastUtilization float64 // the share busy as told last; 1 before the first
	delivered       bool
}

// recordReport keeps the freshest word on a replica's load.
func (in *Aggregator) recordReport(now rules.Time, age time.Duration, r *Record) {
	if r.Report.Utilization < 0 {
		return
	}
	at := now - rules.Time(age+max(r.ReportAge, 0))
	if l, ok := in.reports[r.Replica]; !ok || at > l.heardAt {
		if !ok {
			l.lastUtilization = 1
		}
		in.reports[r.Replica] = reportedLoad{report: r.Report, heardAt: at, lastUtilization: l.lastUtilization}
	}
}

// currentReport is what a replica's last word comes to now. An old one may show it busier, and idler only in part: against
// replicas that look idle because nothing has been heard since. Past the bound of age it says nothing.
func (in *Aggregator) currentReport(now rules.Time, id rules.ReplicaID) rules.LoadReport {
	l, ok := in.reports[id]
	trust := in.ageWeight(time.Duration(now - l.heardAt))
	if !ok || trust == 0 {
		return rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	}
	out := l.report
	if out.Utilization < l.lastUtilization {
		out.Utilization = l.lastUtilization + trust*(out.Utilization-l.lastUtilization)
	}
	if !l.delivered {
		l.lastUtilization, l.delivered = out.Utilization, true
		in.reports[id] = l
	}
	return out
}
