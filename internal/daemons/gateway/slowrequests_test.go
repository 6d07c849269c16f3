package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/internal/daemons/replica"
)

// TestLateAnswerIsRecorded guards against requests that were answered after their latency target and left no trace of their attempts.
func TestLateAnswerIsRecorded(t *testing.T) {
	Convey("A request answered after its latency target is recorded and logged with its attempt", t, func() {
		f := newShardFixture("unsafe", 1)
		lines := f.captureLog()
		f.holders[0].holds.Store(true)
		f.publish(0, false)
		So(f.send(context.Background(), "POST", "7").Code, ShouldEqual, http.StatusOK)
		So(f.gateway.slowRequests.newest(), ShouldBeEmpty)
		f.holders[0].latency = 1050 * time.Millisecond
		So(f.send(context.Background(), "POST", "7").Code, ShouldEqual, http.StatusOK)
		slow := f.gateway.slowRequests.newest()
		So(slow, ShouldHaveLength, 1)
		So([]any{slow[0].Reason, slow[0].Status, slow[0].Target, *slow[0].ShardKey}, ShouldResemble, []any{reasonSlow, 200, time.Second, uint16(7)})
		So(slow[0].Overhead, ShouldBeBetween, 0, 500*time.Millisecond)
		So(slow[0].Attempts, ShouldHaveLength, 1)
		So(slow[0].Attempts[0].Execution, ShouldEqual, "answered")
		So(slow[0].Attempts[0].Duration, ShouldBeGreaterThan, time.Second)
		So(lines.String(), ShouldContainSubstring, "event=request_slow attempt=s2 route=r service=svc status=200")
		So(f.gateway.failures.newest(), ShouldBeEmpty)
	})
	Convey("The other attempt of a hedged request is completed in the record once it has ended", t, func() {
		f := newFixture("safe", 2)
		var attemptsArrived sync.WaitGroup
		attemptsArrived.Add(2)
		var arrivals atomic.Int64
		awaitBoth := func() {
			isSecond := arrivals.Add(1) == 2
			attemptsArrived.Done()
			attemptsArrived.Wait()
			if isSecond {
				time.Sleep(time.Second) // answers after the first one, which cancels it
			}
		}
		for _, replica := range f.replicas {
			holder := &keyHolder{Replica: replica, executed: map[string]int{}, latency: 600 * time.Millisecond, onRequest: awaitBoth}
			holder.holds.Store(true)
			replica.SetConnectionHandler(holder.serve)
		}
		So(f.do("GET", "/x/1", "").Code, ShouldEqual, http.StatusOK)
		attempts := func() []AttemptRecord { return f.gateway.slowRequests.newest()[0].Attempts }
		So(attempts(), ShouldHaveLength, 2)
		So(waitUntil(func() bool { return attempts()[1].Cause == replica.CauseCanceled }), ShouldBeTrue)
		So(attempts()[1].SentAfter, ShouldBeGreaterThan, 0)
	})
}
