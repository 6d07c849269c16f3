package shardreplica

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	serviceTime = 40 * time.Millisecond
	warmUpDelay = 300 * time.Millisecond
)

var options = Options{Service: "svc", ServiceTime: serviceTime, WarmUp: time.Minute, WarmUpDelay: warmUpDelay, ClockRate: 0.98}

type response struct {
	status  int
	headers http.Header
	took    time.Duration
}

// send sends a request to a replica; headers are pairs of name and value. The status is 0 if there is no complete response.
func send(replica *Replica, method, path, body string, headers ...string) response {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+replica.Addr()+path, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	start := time.Now()
	received, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}
	}
	defer func() { _ = received.Body.Close() }() // the body has been read
	if _, err = io.Copy(io.Discard, received.Body); err != nil {
		return response{}
	}
	return response{received.StatusCode, received.Header, time.Since(start)}
}

func grant(replica *Replica, from, to, fence int, hold, handover string) int {
	body := fmt.Sprintf(`{"from_version":%d,"target_version":%d,"fence":%d,"hold":%q,"handover":%q}`, from, to, fence, hold, handover)
	return send(replica, http.MethodPost, grantPath, body).status
}

func release(replica *Replica, from, to, fence int) response {
	return send(replica, http.MethodPost, releasePath, fmt.Sprintf(`{"from_version":%d,"target_version":%d,"fence":%d}`, from, to, fence))
}

func read(replica *Replica, key string) response {
	return send(replica, http.MethodGet, "/x/", "", attemptHeader, "a"+key, shardKeyHeader, key)
}

func TestReplica(t *testing.T) {
	Convey("Given two replicas without keys", t, func() {
		record := NewRecord()
		first, err := Start("i1", record, options)
		So(err, ShouldBeNil)
		second, err := Start("i2", record, options)
		So(err, ShouldBeNil)
		Reset(func() {
			first.Close()
			second.Close()
		})
		Convey("a request on a key that is not held is rejected with the proof that it was not executed", func() {
			rejected := read(first, "7")
			So(rejected.status, ShouldEqual, 421)
			So(rejected.headers.Get(notExecuted), ShouldEqual, "1")
			So(rejected.headers.Get(instanceHeader), ShouldEqual, "i1")
			So(first.Rejections(RejectedKeyNotHeld), ShouldEqual, 1)
			So(record.Executions(), ShouldBeEmpty)
		})
		Convey("a request for another instance is rejected with the replica's ID", func() {
			rejected := send(first, http.MethodGet, "/x/", "", attemptHeader, "a", shardKeyHeader, "7", targetHeader, "i2")
			So(rejected.status, ShouldEqual, 421)
			So(rejected.headers.Get(instanceHeader), ShouldEqual, "i1")
			So(rejected.headers.Get(notExecuted), ShouldEqual, "1")
		})
		Convey("requests without a valid key and invalid grants are rejected", func() {
			So(read(first, "65536").status, ShouldEqual, 400)
			So(grant(first, 0, 65536, 1, "1s", ""), ShouldEqual, 400)
			So(grant(first, 9, 8, 1, "1s", ""), ShouldEqual, 400)
			So(grant(first, 0, 9, 1, "10001ms", ""), ShouldEqual, 400)
		})
		Convey("a granted key is served, slowly without a handover, until the lease expires", func() {
			So(grant(first, 0, 9, 1, "600ms", ""), ShouldEqual, 200)
			served := read(first, "7")
			So(served.status, ShouldEqual, 200)
			So(served.headers.Get(responseSeal), ShouldNotBeEmpty)
			So(served.took, ShouldBeGreaterThan, warmUpDelay)
			So(read(first, "10").status, ShouldEqual, 421)
			So(read(first, "9").status, ShouldEqual, 500)
			So(read(first, "7").status, ShouldEqual, 421)
			holds := record.Holds()["svc"]
			So(holds, ShouldHaveLength, 1)
			So(holds[0].End-holds[0].Begin, ShouldAlmostEqual, 600*time.Millisecond*100/98, time.Microsecond)
		})
		Convey("a renewal extends one hold, and a lower fence is refused", func() {
			So(grant(first, 0, 9, 2, "200ms", ""), ShouldEqual, 200)
			So(grant(first, 0, 9, 2, "5s", ""), ShouldEqual, 200)
			So(grant(first, 9, 20, 1, "5s", ""), ShouldEqual, 409)
			So(record.Holds()["svc"], ShouldHaveLength, 1)
			So(first.Holds(10), ShouldBeFalse)
		})
		Convey("the answer to a release of a part waits for the work on it, and its handover makes the keys fast elsewhere", func() {
			So(grant(first, 0, 99, 1, "5s", ""), ShouldEqual, 200)
			done := make(chan response)
			go func() { done <- read(first, "7") }()
			for len(record.Executions()) == 0 {
				time.Sleep(time.Millisecond)
			}
			released := release(first, 0, 49, 2)
			So(released.status, ShouldEqual, 200)
			So(record.Executions()[0].Status, ShouldEqual, 200)
			So((<-done).status, ShouldEqual, 200)
			So(read(first, "7").status, ShouldEqual, 421)
			So(grant(first, 0, 99, 1, "5s", ""), ShouldEqual, 409)
			So(first.Holds(50), ShouldBeTrue)
			So(grant(second, 0, 49, 3, "5s", released.headers.Get(handoverHeader)), ShouldEqual, 200)
			served := read(second, "7")
			So(served.status, ShouldEqual, 200)
			So(served.took, ShouldBeLessThan, warmUpDelay)
			So(record.Overlaps(), ShouldBeEmpty)
		})
		Convey("two holders of a key that both begin requests are found", func() {
			So(grant(first, 0, 99, 1, "5s", ""), ShouldEqual, 200)
			So(grant(second, 50, 60, 2, "5s", ""), ShouldEqual, 200)
			So(read(first, "49").status, ShouldEqual, 200)
			So(read(second, "55").status, ShouldEqual, 200)
			So(record.Overlaps(), ShouldBeEmpty)
			So(read(first, "50").status, ShouldEqual, 200)
			So(record.Overlaps(), ShouldHaveLength, 1)
		})
		Convey("a paused replica processes nothing, and the hold of a grant counts from its arrival", func() {
			resume := first.Pause()
			granted := make(chan int)
			go func() { granted <- grant(first, 0, 9, 1, "50ms", "") }()
			time.Sleep(500 * time.Millisecond)
			So(record.Calls(), ShouldBeEmpty)
			resume()
			So(<-granted, ShouldEqual, 200)
			So(first.Holds(9), ShouldBeFalse)
		})
		Convey("a call whose answer is suppressed takes effect", func() {
			first.SetCallHook(func(string) bool { return false })
			So(grant(first, 0, 9, 1, "5s", ""), ShouldEqual, 0)
			So(first.Holds(9), ShouldBeTrue)
			So(record.Calls(), ShouldHaveLength, 1)
		})
	})
}
