package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBudgetSumOverGateways has many gateways retry all they can: together they stay within the bound of a window.
func TestBudgetSumOverGateways(t *testing.T) {
	Convey("Given gateways that share half of the ratio and of the slack", t, func() {
		const n, ratio, slack, requests = 10, 0.2, 60.0, 100
		spent := 0
		for range n {
			b := NewBudget(ratio/2, slack/n/2)
			for range requests {
				b.Deposit()
				for b.TryWithdraw() {
					spent++
				}
			}
		}
		So(float64(spent), ShouldBeLessThanOrEqualTo, ratio*n*requests+slack)
		So(spent, ShouldBeGreaterThan, 50)
	})
}
