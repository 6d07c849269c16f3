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
	Foragers, Replicas, Services, Routes, Zones int
}

// Part is a fleet so many times as large, with one of each thing and three zones at the least.
func (f Fleet) Part(x float64) Fleet {
	n := func(all, least int) int { return max(int(float64(all)*x+0.5), least) }
	return Fleet{n(f.Foragers, 1), n(f.Replicas, 3), n(f.Services, 1), n(f.Routes, 1), min(f.Zones, 3)}
}

// Users is the size that the users plan for.
func Users() Fleet {
	return Fleet{Foragers: 3300, Replicas: 47000, Services: 1300, Routes: 51000, Zones: 27}
}

// Service names the i-th of so many services; Zone the i-th zone.
func Service(i int) string { return fmt.Sprintf("service-%04d", i) }
func Zone(i int) string    { return "zone-" + string(rune('a'+i%26)) + strconv.Itoa(i/26) }

// Lives are the replicas of a fleet, dealt over services and zones by turns. All are warm and known by one beat.
func (f Fleet) Lives() []registry.Instance {
	lives := make([]registry.Instance, f.Replicas)
	for i := range lives {
		lives[i] = registry.Instance{ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: Service(i % f.Services),
			Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: Zone(i / f.Services % f.Zones), Slots: 6, Sequence: 1}
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
		fmt.Fprintf(&b, `{"name":"%s","health_check_path":"/health","max_connections":120,"cold_start":"8s","cold_per_s":4.1}`, Service(i))
	}
	b.WriteString(`],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},"virtual_hosts":[`)
	for i := range f.Routes {
		if i%routesOfHost == 0 {
			if i > 0 {
				b.WriteString(`]},`)
			}
			fmt.Fprintf(&b, `{"hostname":"%s","path_routes":[`, Host(i/routesOfHost))
		} else {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%05d","path_prefix":"%s","kind":"safe","timeout":"5s","target_latency":"800ms","priority":1,"max_attempts":2,"service":"%s"}`,
			i, Prefix(i), Service(i%f.Services))
	}
	b.WriteString(`]}]}`)
	return []byte(b.String())
}

// Host names the i-th host; Prefix the i-th route's prefix.
func Host(i int) string   { return fmt.Sprintf("tenant-%05d.example", i) }
func Prefix(i int) string { return fmt.Sprintf("/path-%05d/", i) }
