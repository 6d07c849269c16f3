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
	f := sizes.ProductionFleet()
	f.Routes, f.Services = routes, max(routes*f.Services/f.Routes, 3)
	return f
}

// layouts are the extremes of real platforms: eight routes a host, or all routes under one host.
var layouts = []struct {
	name string
	// routesPerHost of a configuration with so many routes
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

// BenchmarkCapacityParse reads a configuration; heap-B is what the parsed one holds.
func BenchmarkCapacityParse(b *testing.B) {
	for _, layout := range layouts {
		for _, n := range capacityRoutes {
			b.Run(fmt.Sprintf("%s/n=%d", layout.name, n), func(b *testing.B) {
				raw := fleetWithRoutes(n).Configuration(1, layout.routesPerHost(n))
				before := heapBytes()
				c, err := gatewayconfig.Parse(raw)
				if err != nil {
					b.Fatal(err)
				}
				held := float64(heapBytes()) - float64(before)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := gatewayconfig.Parse(raw); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(max(held, 0), "heap-B")
				b.ReportMetric(float64(len(raw)), "wire-B")
				runtime.KeepAlive(c)
			})
		}
	}
}

// BenchmarkCapacityFind looks a request's route up.
func BenchmarkCapacityFind(b *testing.B) {
	for _, layout := range layouts {
		for _, n := range capacityRoutes {
			b.Run(fmt.Sprintf("%s/n=%d", layout.name, n), func(b *testing.B) {
				c, err := gatewayconfig.Parse(fleetWithRoutes(n).Configuration(1, layout.routesPerHost(n)))
				if err != nil {
					b.Fatal(err)
				}
				hosts, paths := make([]string, 997), make([]string, 997)
				for i := range hosts {
					r := i * 7919 % n
					hosts[i], paths[i] = sizes.Hostname(r/layout.routesPerHost(n)), sizes.PathPrefix(r)+"item"
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if _, ok := c.FindRoute(hosts[i%997], paths[i%997]); !ok {
						b.Fatal("not found")
					}
				}
			})
		}
	}
}

// BenchmarkCapacityRoutesTo is called for each service when a control-plane member takes a configuration into force.
func BenchmarkCapacityRoutesTo(b *testing.B) {
	for _, n := range capacityRoutes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			c, err := gatewayconfig.Parse(fleetWithRoutes(n).Configuration(1, 8))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				c.RoutesToService(sizes.ServiceName(0))
			}
		})
	}
}
