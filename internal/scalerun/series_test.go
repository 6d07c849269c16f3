package scalerun

import (
	"strings"
	"testing"
)

func TestReadBenchmarks(t *testing.T) {
	all, err := ReadBenchmarks(strings.NewReader(`goos: linux
BenchmarkCapacityState/whole/frame/n=1740-2         	      98	   2140093 ns/op	    131487 wire-B	  285564 B/op
BenchmarkCapacityState/whole/frame/n=5220-2         	      37	  11020302 ns/op	    397087 wire-B	  802880 B/op
BenchmarkCapacityBeat/n=580         	  992128	       137.3 ns/op
BenchmarkOther-2  	 10	 5 ns/op
PASS
`))
	if err != nil || len(all) != 4 {
		t.Fatalf("%v, %+v", err, all)
	}
	if s := all[0]; s.Name != "CapacityBeat" || s.Unit != "ns/op" || s.X[0] != 580 || s.Y[0] != 137.3 {
		t.Fatalf("%+v", s)
	}
	if s := all[2]; s.Name != "CapacityState/whole/frame" || s.Unit != "wire-B" || len(s.X) != 2 || s.Y[1] != 397087 {
		t.Fatalf("%+v", s)
	}
}
