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

func sized(n int) sizes.Fleet {
	f := sizes.Users()
	f.Replicas, f.Services = n, n/36
	return f
}

// BenchmarkCapacityState frames and reads a state of each kind: whole (lives and a line each, without a configuration),
// lives alone, lines alone, and one life and one line.
func BenchmarkCapacityState(b *testing.B) {
	for _, what := range []string{"whole", "lives", "lines", "one"} {
		for _, n := range capacitySizes {
			lives := sized(n).Lives()
			lines := make([]messages.Line, n)
			for i, l := range lives {
				lines[i] = messages.Line{Replica: l.ID, Weight: 100.0 / 36}
			}
			st := &messages.State{}
			switch what {
			case "whole":
				st.Whole, st.Lives, st.Lines = true, lives, lines
			case "lives":
				st.Lives = lives
			case "lines":
				st.Lines = lines
			case "one":
				st.Lives, st.Lines = lives[:1], lines[:1]
			}
			m := &peertransport.Msg{State: st}
			frame, err := peertransport.Frame(m)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%s/frame/n=%d", what, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					peertransport.Frame(m)
				}
				b.ReportMetric(float64(len(frame)), "wire-B")
			})
			b.Run(fmt.Sprintf("%s/read/n=%d", what, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := peertransport.Read(bytes.NewReader(frame)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkCapacityReport frames a forager's report of so many replicas met in a second.
func BenchmarkCapacityReport(b *testing.B) {
	for _, n := range []int{8, 24, 70, 210} {
		r := &messages.Report{Over: 1000, Requests: map[string]int{}}
		for i, l := range sized(1740).Lives()[:n] {
			r.Requests[sizes.Service(i)]++
			r.Sums = append(r.Sums, messages.Sum{Replica: l.ID, Tries: 1, Took: 200000, Running: 2, Slots: 6})
		}
		m := &peertransport.Msg{Report: r}
		frame, err := peertransport.Frame(m)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				peertransport.Frame(m)
			}
			b.ReportMetric(float64(len(frame)), "wire-B")
		})
	}
}

// The page's figures a life and a line rest on these frames; one that grows by a tenth changes the page.
func TestBytesOfAnItem(t *testing.T) {
	f := sized(1740)
	of := func(st messages.State) int {
		b, err := peertransport.Frame(&peertransport.Msg{State: &st})
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	empty := of(messages.State{})
	var lines []messages.Line
	for _, l := range f.Lives() {
		lines = append(lines, messages.Line{Replica: l.ID, Weight: 1})
	}
	for _, x := range []struct {
		what      string
		bytes, at int
	}{{"a life", of(messages.State{Lives: f.Lives()}) - empty, 57}, {"a line", of(messages.State{Lines: lines}) - empty, 20}} {
		if got := float64(x.bytes) / float64(f.Replicas); got < 0.9*float64(x.at) || got > 1.1*float64(x.at) {
			t.Errorf("%s is %.1f bytes, docs/CAPACITY.md reckons with %d", x.what, got, x.at)
		}
	}
}
