package gatewayconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/testbeds/sizes"
)

var capacityRoutes = []int{8, 500, 5000, 51000}

func fleetWithRoutes(routes int) sizes.Fleet {
	fleet := sizes.ProductionFleet()
	fleet.Routes, fleet.Services = routes, max(routes*fleet.Services/fleet.Routes, 3)
	return fleet
}

// layouts distribute routes over hosts: eight routes per host, or all routes under one host.
var layouts = []struct {
	name          string
	routesPerHost func(routes int) int
}{
	{"hosts", func(int) int { return 8 }},
	{"onehost", func(routes int) int { return routes }},
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCapacityParse measures Parse; heap-B is the heap size of the parsed configuration.
func BenchmarkCapacityParse(b *testing.B) {
	for _, layout := range layouts {
		for _, n := range capacityRoutes {
			b.Run(fmt.Sprintf("%s/n=%d", layout.name, n), func(b *testing.B) {
				raw := fleetWithRoutes(n).Configuration(1, layout.routesPerHost(n))
				before := heapBytes()
				config, err := gatewayconfig.Parse(raw)
				if err != nil {
					b.Fatal(err)
				}
				allocated := float64(heapBytes()) - float64(before)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := gatewayconfig.Parse(raw); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(max(allocated, 0), "heap-B")
				b.ReportMetric(float64(len(raw)), "wire-B")
				runtime.KeepAlive(config)
			})
		}
	}
}

// BenchmarkCapacityFind measures FindRoute.
func BenchmarkCapacityFind(b *testing.B) {
	for _, layout := range layouts {
		for _, n := range capacityRoutes {
			b.Run(fmt.Sprintf("%s/n=%d", layout.name, n), func(b *testing.B) {
				config, err := gatewayconfig.Parse(fleetWithRoutes(n).Configuration(1, layout.routesPerHost(n)))
				if err != nil {
					b.Fatal(err)
				}
				hosts, paths := make([]string, 997), make([]string, 997)
				for i := range hosts {
					route := i * 7919 % n
					hosts[i], paths[i] = sizes.Hostname(route/layout.routesPerHost(n)), sizes.PathPrefix(route)+"item"
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, ok := config.FindRoute(hosts[i%997], paths[i%997]); !ok {
						b.Fatal("no route was found")
					}
				}
			})
		}
	}
}

// BenchmarkCapacityRoutesTo measures RoutesToService, which control-plane members call for each service of a new configuration.
func BenchmarkCapacityRoutesTo(b *testing.B) {
	for _, n := range capacityRoutes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			config, err := gatewayconfig.Parse(fleetWithRoutes(n).Configuration(1, 8))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				config.RoutesToService(sizes.ServiceName(0))
			}
		})
	}
}
