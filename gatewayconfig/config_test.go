package gatewayconfig

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const validConfiguration = `{"version":"0000000c","services":[{"name":"a","health_check_path":"/health","max_connections":100,"cold_start":"3s","cold_per_s":4.1},{"name":"b"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout":"3000ms","idle_timeout":"15s"},
"virtual_hosts":[{"hostname":"One.example","path_routes":[
 {"name":"r1","path_prefix":"/x/","kind":"safe","timeout":"5s","target_latency":"800ms","priority":2,"max_attempts":2,"traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}]},
 {"name":"r2","path_prefix":"/x/y/","kind":"unsafe","timeout":"6s","target_latency":"1s","service":"b"}]}]}`

func TestConfiguration(t *testing.T) {
	Convey("A configuration is read whole", t, func() {
		c, err := Parse([]byte(validConfiguration))
		So(err, ShouldBeNil)
		So(c.Version, ShouldEqual, 12)
		So(c.Services["a"].WarmupRate, ShouldEqual, 4.1)
		Convey("a request goes to the longest prefix of its host", func() {
			for _, x := range []struct{ host, path, name string }{
				{"one.example", "/x/1", "r1"}, {"ONE.example:80", "/x/y/1", "r2"}, {"one.example", "/x/y", "r1"},
				{"one.example", "/x", ""}, {"two.example", "/x/1", ""}} {
				r, ok := c.FindRoute(x.host, x.path)
				So(ok, ShouldEqual, x.name != "")
				So(r.Name, ShouldEqual, x.name)
			}
		})
		Convey("shares are kept, also at their ends", func() {
			r, _ := c.FindRoute("one.example", "/x/1")
			n := map[string]int{}
			for i := range 1000 {
				n[r.PickService(float64(i)/1000)]++
			}
			So(n["a"], ShouldEqual, 900)
			So(r.PickService(0.9999999999), ShouldEqual, "b")
			r.TrafficSplit[1].Weight = 0
			So(r.PickService(1), ShouldEqual, "a")
		})
	})
	Convey("What is invalid is refused, with the path at fault", t, func() {
		for _, x := range []struct{ old, new, path string }{
			{`"hostname":"One.example"`, `"hostname":""`, "virtual_hosts.0.hostname"},
			{`"path_prefix":"/x/y/"`, `"path_prefix":"x/y/"`, "virtual_hosts.0.path_routes.1.path_prefix"},
			{`"target_latency":"800ms"`, `"target_latency":"65s"`, "virtual_hosts.0.path_routes.0.target_latency"},
			{`"service":"b"}]}]`, `"service":"c"}]}]`, "virtual_hosts.0.path_routes.1.service"},
			{`{"service":"a","weight":90}`, `{"service":"z","weight":90}`, "traffic_split.0.service"},
			{`"kind":"unsafe"`, `"kind":"sometimes"`, "virtual_hosts.0.path_routes.1.kind"},
			{`"version":"0000000c"`, `"version":"c"`, "version"},
			{`"version":"0000000c"`, `"version":12`, "version"},
			{`"timeout":"6s"`, `"timeout":"soon"`, "virtual_hosts.0.path_routes.1.timeout"},
			{`"weight":90`, `"weight":-1`, "traffic_split.0.weight"},
			{`"path_prefix":"/x/y/"`, `"path_prefix":"/x/"`, "stands twice"},
			{`"virtual_hosts":[`, `"virtual_host":[`, "virtual_hosts"},
		} {
			So(strings.Contains(validConfiguration, x.old), ShouldBeTrue)
			_, err := Parse([]byte(strings.Replace(validConfiguration, x.old, x.new, 1)))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, x.path)
		}
		for n := range len(validConfiguration) { // cut short anywhere
			_, err := Parse([]byte(validConfiguration[:n]))
			So(err, ShouldNotBeNil)
		}
	})
	Convey("A target a little above its timeout is allowed", t, func() {
		_, err := Parse([]byte(strings.Replace(validConfiguration, `"target_latency":"800ms"`, `"target_latency":"64s"`, 1)))
		So(err, ShouldBeNil)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfiguration))
	f.Add([]byte(`{"version":"00000001","services":[{}],"virtual_hosts":[{"hostname":"a","path_routes":[{}]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse(raw)
		if err != nil {
			return
		}
		for host, routes := range c.routesByHost {
			for _, r := range routes {
				if got, ok := c.FindRoute(host, r.PathPrefix); !ok || got.PathPrefix != r.PathPrefix {
					t.Fatalf("host %q: prefix %q is not found", host, r.PathPrefix)
				}
				if c.Services[r.PickService(0.5)].Name != r.PickService(0.5) {
					t.Fatalf("route %q leads nowhere", r.Name)
				}
			}
		}
	})
}
