package intake

import (
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	clockGroupBatches = 16 // batches per group; a sender's clock offset is estimated from up to two groups
	burstPeriods      = 4  // periods of quota that a sender may accumulate
	sequenceWindow    = 64 // number of latest sequence numbers for which duplicates are detected
	minSenderQuota    = 64 // smallest quota, in records per period
)

// sender is the state of a proxy's stream.
type sender struct {
	zone         rules.ZoneID
	quota        int           // records that it may still send
	lastSequence uint32        // highest sequence number so far
	received     uint64        // bit i: whether lastSequence-i was received
	minOffset    [2]rules.Time // smallest difference between receive and send times: in the current group of batches, in the previous one
	groupBatches int           // batches since the stream began
}

// senderQuota is the number of records that a sender may send per period: its share of twice the budget, but at least two
// for each known replica.
func (a *Aggregator) senderQuota() int {
	return max(2*a.settings.Budget/(len(a.senders)+1), 2*a.byReplica.previousStrata, minSenderQuota)
}

// classify returns Kept for a new batch, Repeated for a duplicate, or TooLate if that is unknown. It also returns the change
// of the number of lost batches, which is -1 if a batch that was counted as lost arrives.
func (s *sender) classify(seq uint32) (cause Cause, lost int) {
	switch {
	case seq == 0:
		return Kept, 0
	case s.lastSequence == 0 || seq > s.lastSequence:
		step := seq - s.lastSequence
		if lost = int(step) - 1; s.lastSequence == 0 || step > sequenceWindow {
			lost = min(lost, sequenceWindow)
			if s.lastSequence == 0 {
				lost = 0
			}
			s.received = 0
		} else {
			s.received <<= step
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

// extraDelay is a batch's transit time in excess of the fastest recent one. A constant offset of the sender's clock has no
// effect. After a clock is set back, the sender's batches appear old until their group and the next one have passed.
func (s *sender) extraDelay(sent, received rules.Time) time.Duration {
	if sent == 0 {
		return 0
	}
	offset := received - sent
	if s.groupBatches == 0 {
		s.minOffset = [2]rules.Time{offset, offset}
	} else if s.groupBatches%clockGroupBatches == 0 {
		s.minOffset = [2]rules.Time{offset, s.minOffset[0]}
	}
	s.groupBatches++
	s.minOffset[0] = min(s.minOffset[0], offset)
	return time.Duration(offset - min(s.minOffset[0], s.minOffset[1]))
}
