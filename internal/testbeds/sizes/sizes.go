// Package sizes deterministically generates fleets and configurations of a given size for the capacity benchmarks. Names and addresses
// have the same lengths as in production.
package sizes

import (
	"fmt"
	"strconv"
	"strings"

	"zincloft.example/zincloft/fleet"
)

// Fleet holds the number of objects of each type.
type Fleet struct {
	Gateways, Replicas, Services, Routes, Zones int
}

// Limits of a scaled fleet.
const (
	minReplicas    = 3
	maxScaledZones = 3
)

// ProductionFleet returns the size of the largest planned deployment.
func ProductionFleet() Fleet {
	return Fleet{Gateways: 3300, Replicas: 47000, Services: 1300, Routes: 51000, Zones: 27}
}

// Scale returns the fleet scaled by a factor, with at least one object of each type, minReplicas replicas and at most maxScaledZones
// zones.
func (f Fleet) Scale(factor float64) Fleet {
	scaled := func(count, minimum int) int { return max(int(float64(count)*factor+0.5), minimum) }
	return Fleet{
		Gateways: scaled(f.Gateways, 1),
		Replicas: scaled(f.Replicas, minReplicas),
		Services: scaled(f.Services, 1),
		Routes:   scaled(f.Routes, 1),
		Zones:    min(f.Zones, maxScaledZones),
	}
}

// ServiceName returns the name of the i-th service.
func ServiceName(i int) string { return fmt.Sprintf("service-%04d", i) }

// ZoneName returns the name of the i-th zone.
func ZoneName(i int) string { return "zone-" + string(rune('a'+i%26)) + strconv.Itoa(i/26) }

// Hostname returns the hostname of the i-th virtual host.
func Hostname(i int) string { return fmt.Sprintf("tenant-%05d.example", i) }

// PathPrefix returns the path prefix of the i-th route.
func PathPrefix(i int) string { return fmt.Sprintf("/path-%05d/", i) }

// Instances returns the replicas of a fleet, distributed round-robin over services and zones. All are warm and have sent one
// heartbeat.
func (f Fleet) Instances() []fleet.Instance {
	instances := make([]fleet.Instance, f.Replicas)
	for i := range instances {
		instances[i] = fleet.Instance{
			ID:       fmt.Sprintf("i-%08x", uint32(i)*2654435761), // Knuth's multiplicative hash
			Service:  ServiceName(i % f.Services),
			Addr:     fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone:     ZoneName(i / f.Services % f.Zones),
			Slots:    6,
			Sequence: 1,
		}
	}
	return instances
}

// Configuration returns a JSON configuration with routesPerHost routes per virtual host. The services are assigned to the routes
// round-robin.
func (f Fleet) Configuration(version uint64, routesPerHost int) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, `{"version":"%08x","services":[`, version)
	for i := range f.Services {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name":"%s","health_check_path":"/health","max_connections":120,"cold_start":"8s","cold_per_s":4.1}`, ServiceName(i))
	}
	out.WriteString(`],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},"virtual_hosts":[`)
	f.writeHosts(&out, routesPerHost)
	out.WriteString(`]}`)
	return []byte(out.String())
}

func (f Fleet) writeHosts(out *strings.Builder, routesPerHost int) {
	for first := 0; first < f.Routes; first += routesPerHost {
		if first > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(out, `{"hostname":"%s","path_routes":[`, Hostname(first/routesPerHost))
		for i := first; i < min(first+routesPerHost, f.Routes); i++ {
			if i > first {
				out.WriteByte(',')
			}
			fmt.Fprintf(out, `{"name":"route-%05d","path_prefix":"%s","kind":"safe","timeout":"5s","target_latency":"800ms","priority":1,"max_attempts":2,"service":"%s"}`,
				i, PathPrefix(i), ServiceName(i%f.Services))
		}
		out.WriteString(`]}`)
	}
}
