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

var usersSize = flag.Bool("users", false, "run the capacity benchmarks at the users' size too; filling the registry takes ten minutes of a core")

// capacitySizes are numbers of instances, each three times the one before; the last one is the users'. docs/CAPACITY.md has the figures.
func capacitySizes() []int {
	if *usersSize {
		return []int{580, 1740, 5220, 15700, 47000}
	}
	return []int{580, 1740, 5220, 15700}
}

func instancesOf(n int) []fleet.Instance {
	f := sizes.ProductionFleet()
	f.Replicas, f.Services = n, max(n/36, 1)
	return f.Instances()
}

var filledRegistries = map[int]*registry.Registry{} // by size: filling one costs the square of its size, so benchmarks that leave it as it is share it

func filledRegistry(n int) (*registry.Registry, []fleet.Instance) {
	instances := instancesOf(n)
	if filledRegistries[n] == nil {
		filledRegistries[n] = registry.New(time.Hour)
		filledRegistries[n].Merge(0, instances)
	}
	return filledRegistries[n], instances
}

// BenchmarkCapacityFill merges all instances into an empty registry, as a member that starts does.
func BenchmarkCapacityFill(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			instances := instancesOf(n)
			b.ReportAllocs()
			for b.Loop() {
				filledRegistries[n] = registry.New(time.Hour)
				filledRegistries[n].Merge(0, instances)
			}
		})
	}
}

// BenchmarkCapacityHeartbeat is a heartbeat that tells nothing new.
func BenchmarkCapacityHeartbeat(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, instances := filledRegistry(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				heartbeat := instances[i%n]
				heartbeat.Sequence = uint64(i/n + 2) // in later runs an outdated one, at the same cost
				r.Heartbeat(time.Duration(i)*1500*time.Millisecond/time.Duration(n), heartbeat)
			}
		})
	}
}

// BenchmarkCapacityChangesSince lists the changes of one revision, as is done for each gateway whenever something is new.
func BenchmarkCapacityChangesSince(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, _ := filledRegistry(n)
			b.ReportAllocs()
			for b.Loop() {
				if len(r.ChangesSince(time.Second, r.Revision()-1)) != 1 {
					b.Fatal("want one change listed")
				}
			}
		})
	}
}

// BenchmarkCapacityDirectHeartbeats encodes what a member tells the others each second, where a third of the replicas send it their heartbeats.
func BenchmarkCapacityDirectHeartbeats(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, instances := filledRegistry(n)
			for _, l := range instances[:n/3] {
				r.Heartbeat(50*time.Minute, l)
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

// BenchmarkCapacityExpire is one sweep, ten times a second.
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

// BenchmarkCapacityNewInstance registers an instance at an address of its own, deregisters it and has a sweep forget it,
// so that the registry keeps its size.
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
				r.Deregister(now-2*time.Minute, instance.ID)
				r.Expire(now)
			}
		})
	}
}
