package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShouldRetry(t *testing.T) {
	Convey("Given a request with time, attempts and a doubt", t, func() {
		r := State{MaxAttempts: 2, Attempts: 1, TimeLeft: time.Second}
		Convey("an unsafe one goes on only with proof that it has not run", func() {
			So(ShouldRetry(NotExecuted, r), ShouldBeTrue)
			So(ShouldRetry(MayHaveExecuted, r), ShouldBeFalse)
			r.ServerError = true
			So(ShouldRetry(Answered, r), ShouldBeFalse)
		})
		Convey("a safe one goes on after any failure, not after an answer", func() {
			r.Idempotent = true
			So(ShouldRetry(MayHaveExecuted, r), ShouldBeTrue)
			So(ShouldRetry(Answered, r), ShouldBeFalse)
			r.ServerError = true
			So(ShouldRetry(Answered, r), ShouldBeTrue)
		})
		Convey("nothing goes on without attempts or time", func() {
			r.Idempotent = true
			r.Attempts = 2
			So(ShouldRetry(NotExecuted, r), ShouldBeFalse)
			r.Attempts, r.TimeLeft = 1, time.Millisecond
			So(ShouldRetry(NotExecuted, r), ShouldBeFalse)
		})
		Convey("calls that fail before anything is sent are bounded too", func() {
			r.Attempts, r.ConnectFailures = 0, MaxConnectFailures+1
			So(ShouldRetry(NotExecuted, r), ShouldBeFalse)
		})
	})
	Convey("Only what has not run is promised not to", t, func() {
		So(FinalStatus(NotExecuted, false), ShouldEqual, 503)
		So(FinalStatus(NotExecuted, true), ShouldEqual, 503)
		So(FinalStatus(MayHaveExecuted, false), ShouldEqual, 502)
		So(FinalStatus(MayHaveExecuted, true), ShouldEqual, 504)
	})
}

// TestBudgetSumOverGateways has many governors spend all they can: together they stay within the bound of a window.
func TestBudgetSumOverGateways(t *testing.T) {
	Convey("Given governors that deal half of the ratio and of the slack", t, func() {
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

func TestHedgeDelay(t *testing.T) {
	Convey("A second replica is asked while it can still answer in time", t, func() {
		wait, ok := HedgeDelay(time.Second, 3*time.Second)
		So(ok, ShouldBeTrue)
		So(wait, ShouldBeBetween, 300*time.Millisecond, 700*time.Millisecond)
		_, ok = HedgeDelay(time.Second, 100*time.Millisecond)
		So(ok, ShouldBeFalse)
		_, ok = HedgeDelay(0, time.Second)
		So(ok, ShouldBeFalse)
	})
}

// Guards offers that are none: with under a tenth of the target left a replica cannot be said to have been offered the
// request, so it is refused with the proof that it has not run.
func TestEnoughTime(t *testing.T) {
	Convey("A request is offered only with a tenth of its target left, and 20 ms", t, func() {
		So(EnoughTime(79*time.Millisecond, 800*time.Millisecond), ShouldBeFalse)
		So(EnoughTime(80*time.Millisecond, 800*time.Millisecond), ShouldBeTrue)
		So(EnoughTime(19*time.Millisecond, 0), ShouldBeFalse)
		So(EnoughTime(20*time.Millisecond, 0), ShouldBeTrue)
		r := State{MaxAttempts: 2, Attempts: 1, TimeLeft: 79 * time.Millisecond, LatencyTarget: 800 * time.Millisecond}
		So(ShouldRetry(NotExecuted, r), ShouldBeFalse)
		r.TimeLeft = 80 * time.Millisecond
		So(ShouldRetry(NotExecuted, r), ShouldBeTrue)
		_, ok := HedgeDelay(800*time.Millisecond, 519*time.Millisecond)
		So(ok, ShouldBeFalse)
		_, ok = HedgeDelay(800*time.Millisecond, 520*time.Millisecond)
		So(ok, ShouldBeTrue)
	})
}
