package retry

import "time"

// budgetSlots is the number of slots into which deposits are grouped within a window.
const budgetSlots = 10

// Budget is one gateway's share of the retries that the fleet may make to a service. It starts empty, so that restarting
// gateways does not add retries. It is filled from two sources:
//
//   - Each client request deposits a fraction of a retry, which expires after one window. The retries of a window never exceed
//     the deposits of that window and the previous one.
//   - The gateway's share of the slack accrues at half a share per window, up to half a share. The retries of a window thus
//     never exceed one share, also in total over all incarnations of a gateway.
type Budget struct {
	ratio  float64 // deposit per request
	window time.Duration

	slots      [budgetSlots]float64 // unspent deposits, by the slot in which they were made
	newestSlot int64                // number of the newest slot, counted from the clock's zero

	slackShare float64 // share of the slack per window
	slack      float64 // accrued and unspent slack
	accruedAt  time.Duration
}

// NewBudget returns an empty budget. Its share of the slack is 0 until SetSlackShare is called.
func NewBudget(now time.Duration, ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, window: window, accruedAt: now}
}

// SetSlackShare sets this gateway's share of the slack per window.
func (b *Budget) SetSlackShare(now time.Duration, share float64) {
	b.accrue(now)
	b.slackShare = share
	b.slack = min(b.slack, b.maxSlack())
}

// maxSlack is the most slack that accumulates.
func (b *Budget) maxSlack() float64 { return b.slackShare / 2 }

// Deposit adds the deposit of one client request.
func (b *Budget) Deposit(now time.Duration) {
	b.expire(now)
	b.slots[b.newestSlot%budgetSlots] += b.ratio
}

// TryWithdraw withdraws one retry if the budget covers it. It uses the oldest deposits first, as they expire next, and takes
// the remainder from the slack.
func (b *Budget) TryWithdraw(now time.Duration) bool {
	b.expire(now)
	b.accrue(now)
	if b.slack+b.deposits() < 1 {
		return false
	}
	remaining := 1.0
	for age := int64(budgetSlots - 1); age >= 0; age-- {
		if b.newestSlot < age {
			continue // before the clock's zero
		}
		slot := &b.slots[(b.newestSlot-age)%budgetSlots]
		taken := min(*slot, remaining)
		*slot -= taken
		remaining -= taken
	}
	b.slack = max(b.slack-remaining, 0)
	return true
}

// deposits returns the sum of the unspent deposits.
func (b *Budget) deposits() (sum float64) {
	for _, deposit := range b.slots {
		sum += deposit
	}
	return sum
}

// expire clears the slots that are older than a window. It does nothing if the clock goes backwards.
func (b *Budget) expire(now time.Duration) {
	slot := int64(now / (b.window / budgetSlots))
	for elapsed := min(slot-b.newestSlot, budgetSlots); elapsed > 0; elapsed-- {
		b.slots[(slot-elapsed+1)%budgetSlots] = 0
	}
	b.newestSlot = max(b.newestSlot, slot)
}

// accrue adds the slack that has accrued since the last call.
func (b *Budget) accrue(now time.Duration) {
	if elapsed := now - b.accruedAt; elapsed > 0 {
		b.accruedAt = now
		b.slack = min(b.slack+b.slackShare/2*elapsed.Seconds()/b.window.Seconds(), b.maxSlack())
	}
}
