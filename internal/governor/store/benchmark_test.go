package store

import (
	"fmt"
	"testing"
	"time"

	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// BenchmarkWrite measures a write of 10,000 replicas of which one or all have changed.
func BenchmarkWrite(b *testing.B) {
	for _, changed := range []int{1, 10_000} {
		b.Run(fmt.Sprint(changed), func(b *testing.B) {
			s, _, _, err := Open(b.TempDir(), time.Now())
			if err != nil {
				b.Fatal(err)
			}
			defer testkit.Close(b, s)
			k := stateOf(10_000)
			bytes := 0
			for n := 0; b.Loop(); n++ {
				for i := range changed {
					k.Replicas[i].Learned.Speed = 1 + float64(n)
				}
				if bytes, err = s.Write(k); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/write")
		})
	}
}

// BenchmarkOpen measures opening a file of 10,000 replicas.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	s, _, _, err := Open(dir, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	if _, err := s.Write(stateOf(10_000)); err != nil {
		b.Fatal(err)
	}
	testkit.Close(b, s)
	for b.Loop() {
		s, k, _, err := Open(dir, time.Now())
		if err != nil || len(k.Replicas) != 10_000 {
			b.Fatal(err)
		}
		testkit.Close(b, s)
	}
}

// stateOf returns a state of n replicas.
func stateOf(n int) (k recovery.State) {
	k.Governor, k.Discovery, k.ConfirmedAt, k.WrittenAt = "n1", "d", 1, 1
	for i := range n {
		k.Replicas = append(k.Replicas, recovery.Replica{Name: fmt.Sprintf("s-%08x", i), Entry: rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1},
			Learned: rules.PriorMeasurement{Replica: rules.ReplicaID(i), Speed: 1.25, Throughput: 7.5}})
	}
	return k
}
