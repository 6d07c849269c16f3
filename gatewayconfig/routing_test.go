package gatewayconfig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRouting(t *testing.T) {
	Convey("Given a configuration of one host", t, func() {
		config, err := Parse([]byte(validConfiguration))
		So(err, ShouldBeNil)
		Convey("a request matches the longest prefix of its host", func() {
			for _, request := range []struct{ host, path, route string }{
				{"one.example", "/x/1", "r1"},
				{"ONE.example:80", "/x/y/1", "r2"},
				{"one.example", "/x/y", "r1"},
				{"one.example", "/x", ""},
				{"two.example", "/x/1", ""},
			} {
				route, ok := config.FindRoute(request.host, request.path)
				So(ok, ShouldEqual, request.route != "")
				So(route.Name, ShouldEqual, request.route)
			}
		})
		Convey("services are picked in proportion to their weights, and never with weight 0", func() {
			route, _ := config.FindRoute("one.example", "/x/1")
			counts := map[string]int{}
			for i := range 1000 {
				counts[route.PickService(float64(i)/1000)]++
			}
			So(counts["a"], ShouldEqual, 900)
			So(route.PickService(0.9999999999), ShouldEqual, "b")
			route.TrafficSplit[1].Weight = 0
			So(route.PickService(1), ShouldEqual, "a")
		})
	})
}
