package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAgain(t *testing.T) {
	Convey("Given a request with time, attempts and a doubt", t, func() {
		r := Request{MaxAttempts: 2, Sent: 1, Left: time.Second}
		Convey("an unsafe one goes on only with proof that it has not run", func() {
			So(Again(NotRun, r), ShouldBeTrue)
			So(Again(MayHaveRun, r), ShouldBeFalse)
			r.Failed = true
			So(Again(Answered, r), ShouldBeFalse)
		})
		Convey("a safe one goes on after any failure, not after an answer", func() {
			r.Safe = true
			So(Again(MayHaveRun, r), ShouldBeTrue)
			So(Again(Answered, r), ShouldBeFalse)
			r.Failed = true
			So(Again(Answered, r), ShouldBeTrue)
		})
		Convey("nothing goes on without attempts or time", func() {
			r.Safe = true
			r.Sent = 2
			So(Again(NotRun, r), ShouldBeFalse)
			r.Sent, r.Left = 1, time.Millisecond
			So(Again(NotRun, r), ShouldBeFalse)
		})
		Convey("calls that fail before anything is sent are bounded too", func() {
			r.Sent, r.Unsent = 0, UnsentMost+1
			So(Again(NotRun, r), ShouldBeFalse)
		})
	})
	Convey("Only what has not run is promised not to", t, func() {
		So(Final(NotRun, false), ShouldEqual, 503)
		So(Final(NotRun, true), ShouldEqual, 503)
		So(Final(MayHaveRun, false), ShouldEqual, 502)
		So(Final(MayHaveRun, true), ShouldEqual, 504)
	})
}

// TestBudgetOfAll has many governors spend all they can: together they stay within the bound of a window.
func TestBudgetOfAll(t *testing.T) {
	Convey("Given governors that deal half of the ratio and of the slack", t, func() {
		const n, ratio, slack, requests = 10, 0.2, 60.0, 100
		spent := 0
		for range n {
			b := NewBudget(ratio/2, slack/n/2)
			for range requests {
				b.Earn()
				for b.Spend() {
					spent++
				}
			}
		}
		So(float64(spent), ShouldBeLessThanOrEqualTo, ratio*n*requests+slack)
		So(spent, ShouldBeGreaterThan, 50)
	})
}

func TestHedge(t *testing.T) {
	Convey("A second replica is asked while it can still answer in time", t, func() {
		wait, ok := HedgeAfter(time.Second, 3*time.Second)
		So(ok, ShouldBeTrue)
		So(wait, ShouldBeBetween, 300*time.Millisecond, 700*time.Millisecond)
		_, ok = HedgeAfter(time.Second, 100*time.Millisecond)
		So(ok, ShouldBeFalse)
		_, ok = HedgeAfter(0, time.Second)
		So(ok, ShouldBeFalse)
	})
}

// Guards offers that are none: with under a tenth of the target left a replica cannot be said to have been offered the
// request, so it is refused with the proof that it has not run.
func TestOffers(t *testing.T) {
	Convey("A request is offered only with a tenth of its target left, and 20 ms", t, func() {
		So(Offers(79*time.Millisecond, 800*time.Millisecond), ShouldBeFalse)
		So(Offers(80*time.Millisecond, 800*time.Millisecond), ShouldBeTrue)
		So(Offers(19*time.Millisecond, 0), ShouldBeFalse)
		So(Offers(20*time.Millisecond, 0), ShouldBeTrue)
		r := Request{MaxAttempts: 2, Sent: 1, Left: 79 * time.Millisecond, Target: 800 * time.Millisecond}
		So(Again(NotRun, r), ShouldBeFalse)
		r.Left = 80 * time.Millisecond
		So(Again(NotRun, r), ShouldBeTrue)
		_, ok := HedgeAfter(800*time.Millisecond, 519*time.Millisecond)
		So(ok, ShouldBeFalse)
		_, ok = HedgeAfter(800*time.Millisecond, 520*time.Millisecond)
		So(ok, ShouldBeTrue)
	})
}
