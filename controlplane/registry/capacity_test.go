package registry_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/testbeds/sizes"
)

var productionSize = flag.Bool("users", false, "also run the capacity benchmarks at production size; filling the registry takes ten minutes of CPU time")

// capacitySizes returns the numbers of instances to benchmark. Results are in docs/CAPACITY.md.
func capacitySizes() []int {
	if *productionSize {
		return []int{580, 1740, 5220, 15700, 47000}
	}
	return []int{580, 1740, 5220, 15700}
}

func generateInstances(n int) []fleet.Instance {
	f := sizes.ProductionFleet()
	f.Replicas, f.Services = n, max(n/36, 1)
	return f.Instances()
}

var filledRegistries = map[int]*registry.Registry{} // by size; shared by benchmarks that keep the size unchanged, as filling takes quadratic time

func filledRegistry(n int) (*registry.Registry, []fleet.Instance) {
	instances := generateInstances(n)
	if filledRegistries[n] == nil {
		filledRegistries[n] = registry.New(time.Hour)
		filledRegistries[n].Merge(0, instances)
	}
	return filledRegistries[n], instances
}

// BenchmarkCapacityFill merges all instances into an empty registry, as at the start of a member.
func BenchmarkCapacityFill(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			instances := generateInstances(n)
			b.ReportAllocs()
			for b.Loop() {
				filledRegistries[n] = registry.New(time.Hour)
				filledRegistries[n].Merge(0, instances)
			}
		})
	}
}

// BenchmarkCapacityHeartbeat applies heartbeats with unchanged data.
func BenchmarkCapacityHeartbeat(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, instances := filledRegistry(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				heartbeat := instances[i%n]
				heartbeat.Sequence = uint64(i/n + 2) // outdated in later runs, at the same cost
				r.Heartbeat(time.Duration(i)*1500*time.Millisecond/time.Duration(n), heartbeat)
			}
		})
	}
}

// BenchmarkCapacityChangesSince collects the changes of one revision, as done for each gateway after every change.
func BenchmarkCapacityChangesSince(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, _ := filledRegistry(n)
			b.ReportAllocs()
			for b.Loop() {
				if len(r.ChangesSince(time.Second, r.Revision()-1)) != 1 {
					b.Fatal("ChangesSince did not return exactly one instance")
				}
			}
		})
	}
}

// BenchmarkCapacityDirectHeartbeats encodes the heartbeats of one gossip round for a member that receives those of a third of the replicas.
func BenchmarkCapacityDirectHeartbeats(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, instances := filledRegistry(n)
			for _, instance := range instances[:n/3] {
				r.Heartbeat(50*time.Minute, instance)
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				raw, err := cbor.Marshal(r.DirectHeartbeats(51*time.Minute, 50*time.Minute))
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(raw)
			}
			b.ReportMetric(float64(bytes), "wire-B")
		})
	}
}

// BenchmarkCapacityExpire runs one expiry sweep, which a member does ten times per second.
func BenchmarkCapacityExpire(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, _ := filledRegistry(n)
			for b.Loop() {
				r.Expire(time.Second)
			}
		})
	}
}

// BenchmarkCapacityNewInstance registers an instance at a new address, deregisters it and removes it in a sweep, so that the registry
// keeps its size.
func BenchmarkCapacityNewInstance(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, instances := filledRegistry(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Microsecond
				instance := instances[i%n]
				instance.ID, instance.Addr = fmt.Sprintf("%s-%d", instance.ID, i), fmt.Sprintf("10.200.%d.%d:80", i>>8&255, i&255)
				r.Heartbeat(now, instance)
				r.Deregister(now-2*time.Minute, instance.ID, registry.EvidenceOwnCall, "")
				r.Expire(now)
				r.TakeDeregistrations()
			}
		})
	}
}
