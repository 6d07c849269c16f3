package intake

import (
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	clockGroupBatches = 16 // batches by which a sender's clock offset is estimated, twice as many at most
	burstPeriods      = 4  // periods' quotas that a sender may use up at once, after a stall
	sequenceWindow    = 64 // batches back from the latest within which repeats are recognized
	minSenderQuota    = 64 // records a period that any sender may deliver
)

// sender is the state of a proxy's stream.
type sender struct {
	zone         rules.ZoneID
	quota        int           // records that it may still deliver
	lastSequence uint32        // the highest sequence number of a batch so far
	received     uint64        // by bit, from lastSequence back: which were received
	minOffset    [2]rules.Time // least difference of the governor's clock to its own: in this group of batches, in the one before
	groupBatches int           // batches in this group
}

// senderQuota is how many records a sender may deliver in a period: its share of twice the budget, but at least one for
// each known replica.
func (in *Aggregator) senderQuota() int {
	return max(2*in.settings.Budget/(len(in.senders)+1), 2*in.byReplica.strataBefore, minSenderQuota)
}

// classify returns whether a batch is new, repeated or too late to tell, and the change of the count of lost batches: those
// that it skips, or -1 for one that was counted as lost and has arrived after all.
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

// extraDelay is how much longer a batch was in transit than the fastest recent one. Only differences of the sender's clock
// count, so a constant offset does no harm; a clock that is set back makes its own batches look old until
// clockGroupBatches more have come.
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
