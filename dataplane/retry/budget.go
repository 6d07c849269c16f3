package retry

import "time"

// budgetSlots is how many parts of a window the deposits of requests are kept by.
const budgetSlots = 10

// Budget is one gateway's part of the retries that all gateways may make at a service. It begins empty: what a process may spend rests on
// what it has seen, so that restarts, however many, add nothing. Two sources fill it.
//
//   - Each request of a client deposits a part of a retry, which lasts for a window. In any window the gateway spends at most what the
//     requests of that window and of the one before it have deposited.
//   - Its share of the slack comes in over time, at half a share a window, and up to half a share is kept. In any window it spends at most
//     one share, and all incarnations of a gateway together do, as time passes once for all of them.
type Budget struct {
	ratio  float64 // deposited by each request
	window time.Duration

	slots      [budgetSlots]float64 // deposits left, by the part of the window in which they were made
	newestSlot int64                // number of the newest part, which counts from the clock's zero

	slackShare float64 // of a window
	slack      float64 // left of it
	accruedAt  time.Duration
}

// NewBudget makes an empty budget for bounds that hold over a window. Its share of the slack is 0 until SetSlackShare.
func NewBudget(now time.Duration, ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, window: window, accruedAt: now}
}

// SetSlackShare sets how much of the slack of a window this gateway may spend.
func (b *Budget) SetSlackShare(now time.Duration, share float64) {
	b.accrue(now)
	b.slackShare = share
	b.slack = min(b.slack, b.maxSlack())
}

// maxSlack is how much of the slack is kept at most.
func (b *Budget) maxSlack() float64 { return b.slackShare / 2 }

// Deposit counts a request of a client.
func (b *Budget) Deposit(now time.Duration) {
	b.expire(now)
	b.slots[b.newestSlot%budgetSlots] += b.ratio
}

// TryWithdraw takes one retry, if there is one: from the oldest deposits first, as they expire next, and from the slack what they lack.
func (b *Budget) TryWithdraw(now time.Duration) bool {
	b.expire(now)
	b.accrue(now)
	if b.slack+b.deposits() < 1 {
		return false
	}
	due := 1.0
	for age := int64(budgetSlots - 1); age >= 0; age-- {
		if b.newestSlot < age {
			continue // before the clock's zero
		}
		slot := &b.slots[(b.newestSlot-age)%budgetSlots]
		taken := min(*slot, due)
		*slot -= taken
		due -= taken
	}
	b.slack = max(b.slack-due, 0)
	return true
}

// deposits is what requests have deposited and is left.
func (b *Budget) deposits() (sum float64) {
	for _, deposit := range b.slots {
		sum += deposit
	}
	return sum
}

// expire empties the slots that are older than a window. A clock that seems to go back expires nothing.
func (b *Budget) expire(now time.Duration) {
	slot := int64(now / (b.window / budgetSlots))
	for passed := min(slot-b.newestSlot, budgetSlots); passed > 0; passed-- {
		b.slots[(slot-passed+1)%budgetSlots] = 0
	}
	b.newestSlot = max(b.newestSlot, slot)
}

// accrue adds what has come in of the slack.
func (b *Budget) accrue(now time.Duration) {
	if passed := now - b.accruedAt; passed > 0 {
		b.accruedAt = now
		b.slack = min(b.slack+b.slackShare/2*passed.Seconds()/b.window.Seconds(), b.maxSlack())
	}
}
