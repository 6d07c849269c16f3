package weighting_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/weighting"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/testbeds/sizes"
	"zincloft.example/zincloft/messages"
)

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// memberFleet returns the production fleet, scaled by x, as served by one of ten members: all replicas and services, a tenth of the gateways.
func memberFleet(x float64) sizes.Fleet {
	f := sizes.ProductionFleet().Scale(x)
	f.Gateways = max(f.Gateways/10, 1)
	return f
}

type benchmarkMember struct {
	*weighting.Manager
	instances []fleet.Instance
	fleet     sizes.Fleet
}

func newBenchmarkMember(b *testing.B, f sizes.Fleet) *benchmarkMember {
	c, err := gatewayconfig.Parse(f.Configuration(1, 8))
	if err != nil {
		b.Fatal(err)
	}
	zones := []string{sizes.ZoneName(0), sizes.ZoneName(1), sizes.ZoneName(2)}
	t := &benchmarkMember{weighting.New(weighting.Options{RandomSeed: 1, Zone: zones[0], Zones: zones, Members: 10, LinkMbps: 1000, DrainGrace: 2 * time.Second}), f.Instances(), f}
	t.Configure(time.Second, c, f.Gateways*10)
	t.UpdateInstances(time.Second, t.instances)
	for i := range f.Gateways {
		t.AddGateway(time.Second, fmt.Sprintf("f%04d", i), zones[i%3])
	}
	return t
}

// report returns a gateway's load report for one second: 70 requests, each to a different replica.
func (t *benchmarkMember) report(i int) *messages.LoadReport {
	r := &messages.LoadReport{PeriodMillis: 1000, Requests: map[string]int{}}
	for j := range min(70, len(t.instances)) {
		instance := t.instances[(i*70+j*7919)%len(t.instances)]
		r.Requests[instance.Service]++
		r.Endpoints = append(r.Endpoints, messages.EndpointStats{Replica: instance.ID, Attempts: 1, MeanLatencyMicros: 200000, Running: 2, Slots: 6})
	}
	return r
}

// fleetScales are fractions of the production fleet.
var fleetScales = []float64{1.0 / 81, 1.0 / 27, 1.0 / 9, 1.0 / 3}

// BenchmarkCapacitySecond simulates one second of a member: a report of each gateway, ten ticks, and publishing weights to each gateway.
func BenchmarkCapacitySecond(b *testing.B) {
	for _, x := range fleetScales {
		f := memberFleet(x)
		b.Run(fmt.Sprintf("n=%d", f.Replicas), func(b *testing.B) {
			before := heapBytes()
			t := newBenchmarkMember(b, f)
			now, lines, seconds := time.Second, 0, 0
			second := func() {
				for i := range f.Gateways {
					t.RecordReport(now, fmt.Sprintf("f%04d", i), t.report(i+seconds))
				}
				for range 10 {
					now += 100 * time.Millisecond
					t.Tick(now)
				}
				for i := range f.Gateways {
					lines += len(t.TakeWeightChanges(fmt.Sprintf("f%04d", i)))
				}
				seconds++
			}
			for range 3 { // publish the initial tables
				second()
			}
			heapGrowth := float64(heapBytes()) - float64(before)
			lines, seconds = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				second()
			}
			b.ReportMetric(heapGrowth, "heap-B")
			b.ReportMetric(float64(lines)/float64(seconds), "lines/s")
			b.ReportMetric(float64(f.Gateways), "gateways")
			runtime.KeepAlive(t)
		})
	}
}

// BenchmarkCapacityReport records one gateway's report.
func BenchmarkCapacityReport(b *testing.B) {
	for _, x := range fleetScales {
		f := memberFleet(x)
		b.Run(fmt.Sprintf("n=%d", f.Replicas), func(b *testing.B) {
			t := newBenchmarkMember(b, f)
			r := t.report(0)
			for i := 0; b.Loop(); i++ {
				t.RecordReport(time.Second, "f0000", r)
				if i%64 == 63 { // bound the number of pending events
					b.StopTimer()
					t.Tick(time.Second)
					b.StartTimer()
				}
			}
		})
	}
}

// BenchmarkCapacityConfigure starts the governors of all services.
func BenchmarkCapacityConfigure(b *testing.B) {
	for _, x := range fleetScales {
		f := memberFleet(x)
		b.Run(fmt.Sprintf("n=%d", f.Replicas), func(b *testing.B) {
			c, err := gatewayconfig.Parse(f.Configuration(1, 8))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				weighting.New(weighting.Options{RandomSeed: 1, Zone: sizes.ZoneName(0), Zones: []string{sizes.ZoneName(0)}, Members: 10, LinkMbps: 1000}).Configure(time.Second, c, f.Gateways*10)
			}
		})
	}
}
