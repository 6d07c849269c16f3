package peertransport_test

import (
	"bytes"
	"fmt"
	"testing"

	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/internal/sizes"
	"zincloft.example/zincloft/messages"
)

var capacitySizes = []int{1740, 5220, 15700, 47000}

func fleetOf(n int) sizes.Fleet {
	f := sizes.ProductionFleet()
	f.Replicas, f.Services = n, n/36
	return f
}

// BenchmarkCapacityStateUpdate frames and reads a state of each kind: whole (lives and a line each, without a configuration),
// lives alone, lines alone, and one life and one line.
func BenchmarkCapacityStateUpdate(b *testing.B) {
	for _, what := range []string{"whole", "lives", "lines", "one"} {
		for _, n := range capacitySizes {
			lives := fleetOf(n).Instances()
			lines := make([]messages.EndpointWeight, n)
			for i, l := range lives {
				lines[i] = messages.EndpointWeight{Replica: l.ID, Weight: 100.0 / 36}
			}
			st := &messages.StateUpdate{}
			switch what {
			case "whole":
				st.Full, st.Instances, st.Weights = true, lives, lines
			case "lives":
				st.Instances = lives
			case "lines":
				st.Weights = lines
			case "one":
				st.Instances, st.Weights = lives[:1], lines[:1]
			}
			m := &peertransport.Frame{StateUpdate: st}
			frame, err := peertransport.EncodeFrame(m)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%s/frame/n=%d", what, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					peertransport.EncodeFrame(m)
				}
				b.ReportMetric(float64(len(frame)), "wire-B")
			})
			b.Run(fmt.Sprintf("%s/read/n=%d", what, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := peertransport.ReadFrame(bytes.NewReader(frame)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkCapacityLoadReport frames a forager's report of so many replicas met in a second.
func BenchmarkCapacityLoadReport(b *testing.B) {
	for _, n := range []int{8, 24, 70, 210} {
		r := &messages.LoadReport{PeriodMillis: 1000, Requests: map[string]int{}}
		for i, l := range fleetOf(1740).Instances()[:n] {
			r.Requests[sizes.ServiceName(i)]++
			r.Endpoints = append(r.Endpoints, messages.EndpointStats{Replica: l.ID, Attempts: 1, MeanLatencyMicros: 200000, Running: 2, Slots: 6})
		}
		m := &peertransport.Frame{LoadReport: r}
		frame, err := peertransport.EncodeFrame(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				peertransport.EncodeFrame(m)
			}
			b.ReportMetric(float64(len(frame)), "wire-B")
		})
	}
}

// The page's figures a life and a line rest on these frames; one that grows by a tenth changes the page.
func TestEncodedItemSize(t *testing.T) {
	f := fleetOf(1740)
	of := func(st messages.StateUpdate) int {
		b, err := peertransport.EncodeFrame(&peertransport.Frame{StateUpdate: &st})
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	empty := of(messages.StateUpdate{})
	var lines []messages.EndpointWeight
	for _, l := range f.Instances() {
		lines = append(lines, messages.EndpointWeight{Replica: l.ID, Weight: 1})
	}
	for _, x := range []struct {
		what      string
		bytes, at int
	}{{"a life", of(messages.StateUpdate{Instances: f.Instances()}) - empty, 57}, {"a line", of(messages.StateUpdate{Weights: lines}) - empty, 20}} {
		if got := float64(x.bytes) / float64(f.Replicas); got < 0.9*float64(x.at) || got > 1.1*float64(x.at) {
			t.Errorf("%s is %.1f bytes, docs/CAPACITY.md reckons with %d", x.what, got, x.at)
		}
	}
}
