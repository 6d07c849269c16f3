package peertransport_test

import (
	"bytes"
	"fmt"
	"testing"

	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/internal/testbeds/sizes"
	"zincloft.example/zincloft/messages"
)

var capacityReplicas = []int{1740, 5220, 15700, 47000}

func fleetOf(replicas int) sizes.Fleet {
	fleet := sizes.ProductionFleet()
	fleet.Replicas, fleet.Services = replicas, replicas/36
	return fleet
}

// BenchmarkCapacityStateUpdate encodes and decodes state updates: full (all instances and weights, without a configuration),
// instances only, weights only, and one instance with its weight.
func BenchmarkCapacityStateUpdate(b *testing.B) {
	for _, kind := range []string{"full", "instances", "weights", "one"} {
		for _, replicas := range capacityReplicas {
			frame := &peertransport.Frame{StateUpdate: stateUpdateOf(kind, replicas)}
			raw, err := peertransport.EncodeFrame(frame)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%s/frame/n=%d", kind, replicas), func(b *testing.B) { benchmarkEncode(b, frame, len(raw)) })
			b.Run(fmt.Sprintf("%s/read/n=%d", kind, replicas), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := peertransport.ReadFrame(bytes.NewReader(raw)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func stateUpdateOf(kind string, replicas int) *messages.StateUpdate {
	instances := fleetOf(replicas).Instances()
	weights := make([]messages.EndpointWeight, replicas)
	for i, instance := range instances {
		weights[i] = messages.EndpointWeight{Replica: instance.ID, Weight: 100.0 / 36}
	}
	switch kind {
	case "full":
		return &messages.StateUpdate{Full: true, Instances: instances, Weights: weights}
	case "instances":
		return &messages.StateUpdate{Instances: instances}
	case "weights":
		return &messages.StateUpdate{Weights: weights}
	default:
		return &messages.StateUpdate{Instances: instances[:1], Weights: weights[:1]}
	}
}

func benchmarkEncode(b *testing.B, frame *peertransport.Frame, size int) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := peertransport.EncodeFrame(frame); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "wire-B")
}

// BenchmarkCapacityLoadReport encodes a gateway's load report for one second, by the number of replicas it called.
func BenchmarkCapacityLoadReport(b *testing.B) {
	for _, replicas := range []int{8, 24, 70, 210} {
		report := &messages.LoadReport{PeriodMillis: 1000, Requests: map[string]int{}}
		for i, instance := range fleetOf(1740).Instances()[:replicas] {
			report.Requests[sizes.ServiceName(i)]++
			stats := messages.EndpointStats{Replica: instance.ID, Attempts: 1, MeanLatencyMicros: 200000, Running: 2, Slots: 6}
			report.Endpoints = append(report.Endpoints, stats)
		}
		frame := &peertransport.Frame{LoadReport: report}
		raw, err := peertransport.EncodeFrame(frame)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("n=%d", replicas), func(b *testing.B) { benchmarkEncode(b, frame, len(raw)) })
	}
}

// TestEncodedItemSize checks that the encoded sizes of an instance and of a weight are within 10% of those in docs/CAPACITY.md.
func TestEncodedItemSize(t *testing.T) {
	fleet := fleetOf(1740)
	sizeOf := func(update messages.StateUpdate) int {
		raw, err := peertransport.EncodeFrame(&peertransport.Frame{StateUpdate: &update})
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	empty := sizeOf(messages.StateUpdate{})
	var weights []messages.EndpointWeight
	for _, instance := range fleet.Instances() {
		weights = append(weights, messages.EndpointWeight{Replica: instance.ID, Weight: 1})
	}
	for _, test := range []struct {
		name              string
		total, documented int
	}{
		{"instance", sizeOf(messages.StateUpdate{Instances: fleet.Instances()}) - empty, 57},
		{"weight", sizeOf(messages.StateUpdate{Weights: weights}) - empty, 20},
	} {
		got := float64(test.total) / float64(fleet.Replicas)
		if got < 0.9*float64(test.documented) || got > 1.1*float64(test.documented) {
			t.Errorf("%s: got %.1f bytes, docs/CAPACITY.md documents %d", test.name, got, test.documented)
		}
	}
}
