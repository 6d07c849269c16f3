// Package sizes makes fleets and configurations of a wanted size, alike from run to run, for benchmarks and for the scale
// run (internal/scalerun). Names and addresses have the lengths of those that the users' sites have.
package sizes

import (
	"fmt"
	"strconv"
	"strings"

	"zincloft.example/zincloft/controlplane/registry"
)

// Fleet is how much there is of each thing.
type Fleet struct {
	Gateways, Replicas, Services, Routes, Zones int
}

// Scale is a fleet so many times as large, with one of each thing and three zones at the least.
func (f Fleet) Scale(x float64) Fleet {
	n := func(all, least int) int { return max(int(float64(all)*x+0.5), least) }
	return Fleet{n(f.Gateways, 1), n(f.Replicas, 3), n(f.Services, 1), n(f.Routes, 1), min(f.Zones, 3)}
}

// ProductionFleet is the size that the users plan for.
func ProductionFleet() Fleet {
	return Fleet{Gateways: 3300, Replicas: 47000, Services: 1300, Routes: 51000, Zones: 27}
}

// ServiceName names the i-th of so many services; Zone the i-th zone.
func ServiceName(i int) string { return fmt.Sprintf("service-%04d", i) }
func ZoneName(i int) string    { return "zone-" + string(rune('a'+i%26)) + strconv.Itoa(i/26) }

// Instances are the replicas of a fleet, dealt over services and zones by turns. All are warm and known by one beat.
func (f Fleet) Instances() []registry.Instance {
	lives := make([]registry.Instance, f.Replicas)
	for i := range lives {
		lives[i] = registry.Instance{ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: ServiceName(i % f.Services),
			Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: ZoneName(i / f.Services % f.Zones), Slots: 6, Sequence: 1}
	}
	return lives
}

// Configuration is one in which the routes are dealt over hosts of so many routes each, and each goes to one service. All
// under one host is what a platform with a single name has.
func (f Fleet) Configuration(version uint64, routesOfHost int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"%08x","services":[`, version)
	for i := range f.Services {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"%s","health_check_path":"/health","max_connections":120,"cold_start":"8s","cold_per_s":4.1}`, ServiceName(i))
	}
	b.WriteString(`],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},"virtual_hosts":[`)
	for i := range f.Routes {
		if i%routesOfHost == 0 {
			if i > 0 {
				b.WriteString(`]},`)
			}
			fmt.Fprintf(&b, `{"hostname":"%s","path_routes":[`, Hostname(i/routesOfHost))
		} else {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%05d","path_prefix":"%s","kind":"safe","timeout":"5s","target_latency":"800ms","priority":1,"max_attempts":2,"service":"%s"}`,
			i, PathPrefix(i), ServiceName(i%f.Services))
	}
	b.WriteString(`]}]}`)
	return []byte(b.String())
}

// Hostname names the i-th host; Prefix the i-th route's prefix.
func Hostname(i int) string   { return fmt.Sprintf("tenant-%05d.example", i) }
func PathPrefix(i int) string { return fmt.Sprintf("/path-%05d/", i) }
