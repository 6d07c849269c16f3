package simulation

// maxWarmupOvercommit is how much of what a cold replica bears may be out in rights at one moment: nine tenths are dealt, by the
// roster's size, which combs learn of one after the other when it changes.
const maxWarmupOvercommit = 1.25

// checkWarmupQuotas watches the rights to call cold replicas that are held at one moment, over all foragers that run, also while they
// change hands.
func (c *cluster) checkWarmupQuotas() {
	for _, r := range c.replicas {
		if c.now >= r.warmupUntil || !r.alive {
			continue
		}
		sum, held := 0.0, 0
		for _, g := range c.gateways {
			if g.up && !g.frozen {
				if right := g.router.WarmupRate(c.monotonicTime(&g.process), r.id); right > 0 {
					sum += right
					held++
				}
			}
		}
		if sum > warmupRate*maxWarmupOvercommit {
			c.violationf("%d foragers hold rights to send %.1f requests a second to %s, which is cold", held, sum, r.id)
		}
	}
}
