package sizes

import (
	"testing"

	"zincloft.example/zincloft/gatewayconfig"
)

// Benchmarks and the scale run lean on it: what is made is valid and as large as was asked for.
func TestMade(t *testing.T) {
	f := ProductionFleet().Scale(0.01)
	if f != (Fleet{33, 470, 13, 510, 3}) {
		t.Fatalf("a hundredth is %+v", f)
	}
	for _, routesOfHost := range []int{8, f.Routes} {
		c, err := gatewayconfig.Parse(f.Configuration(7, routesOfHost))
		if err != nil {
			t.Fatal(err)
		}
		if c.Version != 7 || c.RouteCount != f.Routes || len(c.Services) != f.Services {
			t.Fatalf("version %d, %d routes, %d services", c.Version, c.RouteCount, len(c.Services))
		}
		if r, ok := c.FindRoute(Hostname(508/routesOfHost), PathPrefix(508)+"x"); !ok || r.Name != "route-00508" {
			t.Fatalf("found %+v", r)
		}
	}
	ids, zones := map[string]bool{}, map[string]int{}
	for _, l := range f.Instances() {
		ids[l.ID] = true
		zones[l.Zone]++
	}
	if len(ids) != f.Replicas || len(zones) != f.Zones {
		t.Fatalf("%d ids, zones %v", len(ids), zones)
	}
}
