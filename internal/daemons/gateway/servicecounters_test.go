package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/messages"
)

func (f *fixture) exposition() string {
	var text strings.Builder
	f.gateway.metrics.set.WritePrometheus(&text)
	return text.String()
}

// TestRequestsAreCountedByService guards against a service without any success that hides behind the requests to others.
func TestRequestsAreCountedByService(t *testing.T) {
	Convey("Requests count by service and outcome", t, func() {
		f := newFixture("safe", 1)
		So(f.do("GET", "/x/", "").Code, ShouldEqual, http.StatusOK)
		So(f.exposition(), ShouldContainSubstring, `zincloft_gateway_service_requests_total{service="svc",outcome="answered"} 1`)
		renamed := strings.ReplaceAll(string(testConfig(2, "safe")), `"svc"`, `"next"`)
		f.gateway.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 2, Config: []byte(renamed)})
		So(f.do("GET", "/x/", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		So(f.exposition(), ShouldContainSubstring, `zincloft_gateway_service_requests_total{service="next",outcome="rejected"} 1`)
		So(f.exposition(), ShouldNotContainSubstring, `service="svc"`)
	})
	Convey("The number of counters is bounded, and the further services share theirs", t, func() {
		f := newFixture("safe", 0)
		services := map[string]gatewayconfig.Service{}
		for i := range 2 * maxCountedServices {
			services[fmt.Sprintf("s%03d", i)] = gatewayconfig.Service{}
		}
		f.gateway.metrics.services.update(services)
		So(strings.Count(f.exposition(), "zincloft_gateway_service_requests_total{"), ShouldEqual, (maxCountedServices+1)*len(outcomes))
		f.gateway.metrics.services.of("s255").failed.Inc()
		So(f.exposition(), ShouldContainSubstring, `zincloft_gateway_service_requests_total{service="",outcome="failed"} 1`)
		So(testing.AllocsPerRun(100, func() { f.gateway.metrics.services.of("s001").answered.Inc() }), ShouldEqual, 0)
	})
}
