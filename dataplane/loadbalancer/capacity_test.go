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

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func sized(replicas, services int) sizes.Fleet {
	f := sizes.ProductionFleet()
	f.Replicas, f.Services = replicas, services
	return f
}

// BenchmarkCapacityPick picks an endpoint and begins and ends an attempt, 70 of them a second. "many" has 36 replicas a service, as the users
// have in the mean; "one" has all of them in one service, as a request's cost goes by those of its service.
func BenchmarkCapacityPick(b *testing.B) {
	for _, layout := range []string{"many", "one"} {
		for _, n := range capacitySizes {
			f := sized(n, n/36)
			if layout == "one" {
				n /= 48 // 36 to 979
				f = sized(n, 1)
			}
			b.Run(fmt.Sprintf("%s/n=%d", layout, n), func(b *testing.B) {
				before := heap()
				instances := f.Instances()
				s := loadbalancer.New(sizes.ZoneName(0))
				s.UpdateInstances(0, true, instances)
				held := float64(heap()) - float64(before)
				chance := rand.New(rand.NewPCG(1, 2)).Float64
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := time.Duration(i) * 14 * time.Millisecond
					r := s.Pick(now, sizes.ServiceName(i%f.Services), func(string) bool { return false }, 1e9, chance)
					if r == nil {
						b.Fatal("nobody")
					}
					s.StartAttempt(now, r)
					s.EndAttempt(now, r, loadbalancer.Success, time.Millisecond)
				}
				b.ReportMetric(max(held, 0), "heap-B")
			})
		}
	}
}

// BenchmarkCapacityInstances applies a full update at a new gateway, and again at one that holds it; "change" is one instance that
// changed; "report" goes over all for the report of a second.
func BenchmarkCapacityInstances(b *testing.B) {
	for _, what := range []string{"first", "again", "change", "report"} {
		for _, n := range capacitySizes {
			b.Run(fmt.Sprintf("%s/n=%d", what, n), func(b *testing.B) {
				instances := sized(n, n/36).Instances()
				s := loadbalancer.New(sizes.ZoneName(0))
				s.UpdateInstances(0, true, instances)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					switch what {
					case "first":
						loadbalancer.New(sizes.ZoneName(0)).UpdateInstances(0, true, instances)
					case "again":
						s.UpdateInstances(0, true, instances)
					case "change":
						s.UpdateInstances(0, false, instances[i%n:i%n+1])
					case "report":
						s.All()
					}
				}
			})
		}
	}
}
