package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShouldRetry(t *testing.T) {
	Convey("Given a request with time and attempts left", t, func() {
		r := State{MaxAttempts: 2, Attempts: 1, TimeLeft: time.Second}
		Convey("one that is not idempotent is retried only with proof that it was not executed", func() {
			So(ShouldRetry(NotExecuted, r), ShouldBeTrue)
			So(ShouldRetry(MayHaveExecuted, r), ShouldBeFalse)
			r.ServerError = true
			So(ShouldRetry(Answered, r), ShouldBeFalse)
		})
		Convey("an idempotent one is retried after a failure or a server error, not after another response", func() {
			r.Idempotent = true
			So(ShouldRetry(MayHaveExecuted, r), ShouldBeTrue)
			So(ShouldRetry(Answered, r), ShouldBeFalse)
			r.ServerError = true
			So(ShouldRetry(Answered, r), ShouldBeTrue)
		})
		Convey("nothing is retried without attempts or time left", func() {
			r.Idempotent = true
			r.Attempts = 2
			So(ShouldRetry(NotExecuted, r), ShouldBeFalse)
			r.Attempts, r.TimeLeft = 1, time.Millisecond
			So(ShouldRetry(NotExecuted, r), ShouldBeFalse)
		})
		Convey("attempts that fail to connect are bounded", func() {
			r.Attempts, r.ConnectFailures = 0, MaxConnectFailures+1
			So(ShouldRetry(NotExecuted, r), ShouldBeFalse)
		})
	})
	Convey("503 is returned only if the request was not executed", t, func() {
		So(FinalStatus(NotExecuted, false), ShouldEqual, 503)
		So(FinalStatus(NotExecuted, true), ShouldEqual, 503)
		So(FinalStatus(MayHaveExecuted, false), ShouldEqual, 502)
		So(FinalStatus(MayHaveExecuted, true), ShouldEqual, 504)
	})
}

func TestHedgeDelay(t *testing.T) {
	Convey("A request is hedged only if enough time is left for the second attempt", t, func() {
		wait, ok := HedgeDelay(time.Second, 3*time.Second)
		So(ok, ShouldBeTrue)
		So(wait, ShouldBeBetween, 300*time.Millisecond, 700*time.Millisecond)
		_, ok = HedgeDelay(time.Second, 100*time.Millisecond)
		So(ok, ShouldBeFalse)
		_, ok = HedgeDelay(0, time.Second)
		So(ok, ShouldBeFalse)
	})
}

// Guards against attempts that leave a replica too little time to respond. Such requests are rejected as not executed.
func TestEnoughTime(t *testing.T) {
	Convey("An attempt needs a tenth of the latency target, and at least 20 ms", t, func() {
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
