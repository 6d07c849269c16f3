package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testWindow = 10 * time.Second

// withdrawAll withdraws until the budget is empty and returns the number of retries.
func withdrawAll(b *Budget, now time.Duration) (count int) {
	for b.TryWithdraw(now) {
		count++
	}
	return count
}

// Guards the fleet's retry limit: gateways that spend their whole budgets must together stay within it.
func TestBudgetSumOverGateways(t *testing.T) {
	Convey("Given gateways that share half the ratio and half the slack", t, func() {
		const n, ratio, slack, requests = 10, 0.2, 60.0, 100
		spent := 0
		for range n {
			b := NewBudget(0, ratio/2, testWindow)
			b.SetSlackShare(0, slack/n/2)
			now := time.Duration(0)
			for range requests {
				now += testWindow / requests
				b.Deposit(now)
				spent += withdrawAll(b, now)
			}
		}
		So(float64(spent), ShouldBeLessThanOrEqualTo, ratio*n*requests+slack)
		So(spent, ShouldBeGreaterThan, 50)
	})
}

func TestBudgetSources(t *testing.T) {
	Convey("A new budget is empty, whatever its share", t, func() {
		b := NewBudget(time.Hour, 0.1, testWindow)
		b.SetSlackShare(time.Hour, 100)
		So(withdrawAll(b, time.Hour), ShouldEqual, 0)
		Convey("its slack accrues at half a share per window, up to half a share", func() {
			So(withdrawAll(b, time.Hour+testWindow/2), ShouldEqual, 25)
			So(withdrawAll(b, 2*time.Hour), ShouldEqual, 50)
		})
		Convey("reducing the share discards the slack that exceeds it", func() {
			b.SetSlackShare(2*time.Hour, 10)
			So(withdrawAll(b, 2*time.Hour), ShouldEqual, 5)
		})
	})
	Convey("Deposits expire after one window", t, func() {
		b := NewBudget(0, 0.1, testWindow)
		for range 40 {
			b.Deposit(time.Second)
		}
		So(b.TryWithdraw(time.Second), ShouldBeTrue)
		So(b.TryWithdraw(time.Second+testWindow*8/10), ShouldBeTrue)
		So(b.TryWithdraw(time.Second+testWindow), ShouldBeFalse)
	})
	Convey("A retry may be covered by deposits and slack together", t, func() {
		b := NewBudget(0, 0.1, testWindow)
		b.SetSlackShare(0, 1)
		for range 6 {
			b.Deposit(testWindow)
		}
		So(withdrawAll(b, testWindow), ShouldEqual, 1)
	})
}
