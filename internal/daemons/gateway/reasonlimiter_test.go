package gateway

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestFloodOfOneReasonDoesNotHideOthers guards against failures that leave no line because those of another reason used up the limit.
func TestFloodOfOneReasonDoesNotHideOthers(t *testing.T) {
	Convey("After a flood of requests without a route, the first failure of another reason is logged", t, func() {
		f := newFixture("safe", 0)
		lines := f.captureLog()
		for range logBurst + reasonLogBurst {
			f.gateway.logLimiter.Allow()
			f.do("GET", "/elsewhere", "")
		}
		So(strings.Count(lines.String(), "reason=no_route"), ShouldBeBetweenOrEqual, reasonLogBurst, 2*reasonLogBurst)
		f.do("GET", "/x/", "")
		So(lines.String(), ShouldContainSubstring, "reason=no_endpoint_known")
	})
	Convey("The number of reasons with a limit of their own is bounded", t, func() {
		var limiter reasonLimiter
		for i := range 3 * maxLoggedReasons {
			limiter.allow(fmt.Sprint(i))
		}
		So(len(limiter.limiters), ShouldEqual, maxLoggedReasons+1)
	})
}

// TestUnroutedRequestNamesItsTarget guards against a 404 whose log line does not tell which route is missing, or is forged by its path.
func TestUnroutedRequestNamesItsTarget(t *testing.T) {
	Convey("A 404 is logged with its host and the start of its path", t, func() {
		f := newFixture("safe", 0)
		lines := f.captureLog()
		f.do("GET", "/added/1?secret=2", "")
		So(lines.String(), ShouldContainSubstring, "host=h.example path=/added/1 ")
		f.do("GET", "/"+strings.Repeat("x", 1000)+"%0a", "")
		So(f.gateway.failures.newest()[0].Path, ShouldHaveLength, maxLoggedPathBytes)
		So(loggedText("a\r\x1b\u00e9", maxLoggedPathBytes), ShouldEqual, "a???")
	})
}
