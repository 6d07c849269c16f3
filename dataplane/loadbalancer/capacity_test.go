package loadbalancer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/internal/testbeds/sizes"
)

var capacitySizes = []int{1740, 5220, 15700, 47000}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func fleetOf(replicas, services int) sizes.Fleet {
	fleet := sizes.ProductionFleet()
	fleet.Replicas, fleet.Services = replicas, services
	return fleet
}

// BenchmarkCapacityPick measures one attempt, from Pick to EndAttempt. Layout "many" has 36 replicas per service; layout "one"
// has all replicas in one service.
func BenchmarkCapacityPick(b *testing.B) {
	for _, layout := range []string{"many", "one"} {
		for _, n := range capacitySizes {
			fleet := fleetOf(n, n/36)
			if layout == "one" {
				n /= 48 // 36 to 979 replicas
				fleet = fleetOf(n, 1)
			}
			b.Run(fmt.Sprintf("%s/n=%d", layout, n), func(b *testing.B) {
				before := heapBytes()
				instances := fleet.Instances()
				balancer := loadbalancer.New(sizes.ZoneName(0))
				balancer.UpdateInstances(0, true, instances)
				allocated := float64(heapBytes()) - float64(before)
				random := rand.New(rand.NewPCG(1, 2)).Float64
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := time.Duration(i) * 14 * time.Millisecond
					endpoint := balancer.Pick(now, sizes.ServiceName(i%fleet.Services), func(string) bool { return false }, 1e9, random)
					if endpoint == nil {
						b.Fatal("no endpoint was picked")
					}
					balancer.StartAttempt(now, endpoint)
					balancer.EndAttempt(now, endpoint, loadbalancer.Success, time.Millisecond)
				}
				b.ReportMetric(max(allocated, 0), "heap-B")
			})
		}
	}
}

// BenchmarkCapacityInstances measures a full update of a new balancer ("first") and of one that has all instances ("again"),
// an update of one instance ("change"), and the listing of all endpoints for a load report ("report").
func BenchmarkCapacityInstances(b *testing.B) {
	for _, operation := range []string{"first", "again", "change", "report"} {
		for _, n := range capacitySizes {
			b.Run(fmt.Sprintf("%s/n=%d", operation, n), func(b *testing.B) {
				instances := fleetOf(n, n/36).Instances()
				balancer := loadbalancer.New(sizes.ZoneName(0))
				balancer.UpdateInstances(0, true, instances)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					switch operation {
					case "first":
						loadbalancer.New(sizes.ZoneName(0)).UpdateInstances(0, true, instances)
					case "again":
						balancer.UpdateInstances(0, true, instances)
					case "change":
						balancer.UpdateInstances(0, false, instances[i%n:i%n+1])
					case "report":
						balancer.All()
					}
				}
			})
		}
	}
}
