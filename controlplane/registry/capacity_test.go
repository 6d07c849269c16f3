package registry_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/sizes"
)

var users = flag.Bool("users", false, "benchmarks of capacity also at the users' size, whose filling takes ten minutes of a core")

// Each size is three times the one before; the one after them is the users'. docs/CAPACITY.md has the figures.
func capacitySizes() []int {
	if *users {
		return []int{580, 1740, 5220, 15700, 47000}
	}
	return []int{580, 1740, 5220, 15700}
}

func fleet(n int) []registry.Life {
	f := sizes.Users()
	f.Replicas, f.Services = n, max(n/36, 1)
	return f.Lives()
}

var filled = map[int]*registry.Registry{} // filling costs the square of the size, so it is done once for all that leave it as it is

func full(n int) (*registry.Registry, []registry.Life) {
	lives := fleet(n)
	if filled[n] == nil {
		filled[n] = registry.New(time.Hour)
		filled[n].Merge(0, lives)
	}
	return filled[n], lives
}

// BenchmarkCapacityFill has an empty registry hear of all replicas, as a comb that starts does.
func BenchmarkCapacityFill(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			lives := fleet(n)
			b.ReportAllocs()
			for b.Loop() {
				filled[n] = registry.New(time.Hour)
				filled[n].Merge(0, lives)
			}
		})
	}
}

// BenchmarkCapacityBeat is a beat that tells nothing new.
func BenchmarkCapacityBeat(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, lives := full(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l := lives[i%n]
				l.Seq = uint64(i/n + 2) // of later runs: late ones, at the same cost
				r.Beat(time.Duration(i)*1500*time.Millisecond/time.Duration(n), l)
			}
		})
	}
}

// BenchmarkCapacityChanges lists the changes of one revision, as each forager has it done whenever something is new;
// BenchmarkCapacitySigns what a comb tells the others each second where a third of the replicas beat at it.
func BenchmarkCapacityChanges(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, _ := full(n)
			b.ReportAllocs()
			for b.Loop() {
				if len(r.Changes(time.Second, r.Rev()-1)) != 1 {
					b.Fatal("one change was to be listed")
				}
			}
		})
	}
}

func BenchmarkCapacitySigns(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, lives := full(n)
			for _, l := range lives[:n/3] {
				r.Beat(50*time.Minute, l)
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				raw, err := cbor.Marshal(r.Signs(51*time.Minute, 50*time.Minute))
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
			r, _ := full(n)
			for b.Loop() {
				r.Expire(time.Second)
			}
		})
	}
}

// BenchmarkCapacityArrival is a first beat of a replica, at an address of its own; it ends again and is forgotten by a sweep,
// so that the registry keeps its size.
func BenchmarkCapacityArrival(b *testing.B) {
	for _, n := range capacitySizes() {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			r, lives := full(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Microsecond
				l := lives[i%n]
				l.ID, l.Addr = fmt.Sprintf("%s-%d", l.ID, i), fmt.Sprintf("10.200.%d.%d:80", i>>8&255, i&255)
				r.Beat(now, l)
				r.Leave(now-2*time.Minute, l.ID)
				r.Expire(now)
			}
		})
	}
}
