package retry

// Budget is one gateway's part of the retries that all gateways may make at a service: a token bucket filled by requests.
// Parts are assigned so that their sum holds: a share of the ratio for each request, and a part of the slack.
type Budget struct {
	ratio  float64 // tokens for each request
	burst  float64 // tokens at most
	tokens float64
}

// NewBudget makes a full budget. In any window, n gateways together make at most n x burst + ratio x requests retries.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// LimitBurst lowers the tokens that the budget may hold, as more gateways are known to share them. It never raises them: a count that
// falls may only mean that some are out of sight.
func (b *Budget) LimitBurst(burst float64) {
	b.burst = min(b.burst, burst)
	b.tokens = min(b.tokens, b.burst)
}

// Deposit counts a request of a client.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// TryWithdraw takes one retry, if there is one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
