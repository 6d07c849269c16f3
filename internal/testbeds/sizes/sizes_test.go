package sizes

import (
	"testing"

	"zincloft.example/zincloft/gatewayconfig"
)

// TestGeneratedSizes verifies that generated fleets and configurations are valid and have the requested size.
func TestGeneratedSizes(t *testing.T) {
	f := ProductionFleet().Scale(0.01)
	if f != (Fleet{33, 470, 13, 510, 3}) {
		t.Fatalf("ProductionFleet().Scale(0.01) = %+v", f)
	}
	for _, routesPerHost := range []int{8, f.Routes} {
		c, err := gatewayconfig.Parse(f.Configuration(7, routesPerHost))
		if err != nil {
			t.Fatal(err)
		}
		if c.Version != 7 || c.RouteCount != f.Routes || len(c.Services) != f.Services {
			t.Fatalf("version %d, %d routes, %d services, want 7, %d, %d", c.Version, c.RouteCount, len(c.Services), f.Routes, f.Services)
		}
		if r, ok := c.FindRoute(Hostname(508/routesPerHost), PathPrefix(508)+"x"); !ok || r.Name != "route-00508" {
			t.Fatalf("route 508: found %+v, %v", r, ok)
		}
	}
	ids, zones := map[string]bool{}, map[string]int{}
	for _, instance := range f.Instances() {
		ids[instance.ID] = true
		zones[instance.Zone]++
	}
	if len(ids) != f.Replicas || len(zones) != f.Zones {
		t.Fatalf("%d distinct IDs, want %d; zones %v, want %d", len(ids), f.Replicas, zones, f.Zones)
	}
}
