package statestore_test

import (
	"bytes"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/peertransport"
	"zincloft.example/zincloft/internal/sizes"
	"zincloft.example/zincloft/internal/statestore"
)

// countingDisk is a disk that counts what is written to it.
type countingDisk struct {
	files   map[string][]byte
	written int
}

func (d *countingDisk) ReadFile(name string) ([]byte, error) {
	if b, ok := d.files[name]; ok {
		return b, nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
}
func (d *countingDisk) OpenForWrite(name string) (statestore.File, error) {
	return &countingFile{d, name}, nil
}
func (d *countingDisk) Rename(from, to string) error { return nil }
func (d *countingDisk) SyncDirectory() error         { return nil }

type countingFile struct {
	d    *countingDisk
	name string
}

func (f *countingFile) WriteAt(p []byte, off int64) (int, error) {
	b := f.d.files[f.name]
	if need := int(off) + len(p); need > len(b) {
		b = append(b, make([]byte, need-len(b))...)
	}
	copy(b[off:], p)
	f.d.files[f.name] = b
	f.d.written += len(p)
	return len(p), nil
}
func (f *countingFile) Sync() error  { return nil }
func (f *countingFile) Close() error { return nil }

type hints struct {
	revision  uint64
	instances []registry.Instance
}

func (h *hints) Revision() uint64               { return h.revision }
func (h *hints) Instances() []registry.Instance { return h.instances }

type clusterMember struct {
	coordinator *coordinator.Coordinator
	self        membership.Member
	disk        *countingDisk
	store       *statestore.Store
	down        bool
}

// cluster are core machines joined by frames that come at once, each with the real store; an order's bytes are counted.
type cluster struct {
	b                *testing.B
	now              time.Duration
	all              []*clusterMember
	transferredBytes int // bytes from machine to machine, beside beats
	largestFrame     int // bytes of the largest frame
	oversizedFrames  int // frames that internal/peertransport does not take
	responses        map[uint64]int
	hints            *hints
}

func newCluster(b *testing.B, n int) *cluster {
	m := &cluster{b: b, responses: map[uint64]int{}, hints: &hints{}}
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:7540", i+1))
	}
	for i, addr := range seeds {
		x := &clusterMember{disk: &countingDisk{files: map[string][]byte{}}, self: membership.Member{ID: addr + "/0", Addr: addr, Zone: sizes.ZoneName(i), APIAddr: addr}}
		var err error
		if x.store, err = statestore.Open(x.disk); err != nil {
			b.Fatal(err)
		}
		k := coordinator.PersistentState{}
		k.Initialize(addr, seeds, true, "")
		x.coordinator = coordinator.New(x.self, k, seeds, rand.New(rand.NewPCG(uint64(i), 1)).Float64, m.hints)
		m.all = append(m.all, x)
	}
	for _, x := range m.all {
		m.perform(x, x.coordinator.Start(m.now))
	}
	m.until(func() bool {
		for _, x := range m.all {
			if !x.coordinator.HasQuorumContact(m.now) {
				return false
			}
		}
		return true
	})
	return m
}

func (m *cluster) perform(x *clusterMember, a coordinator.Actions) {
	for _, s := range a.Responses {
		m.responses[s.RequestID] = s.Status
	}
	if a.StateToPersist != nil {
		if err := x.store.Put(map[string][]byte{"state": a.StateToPersist}); err != nil {
			m.b.Fatal(err)
		}
		m.perform(x, x.coordinator.StatePersisted(m.now, ""))
	}
	for _, s := range a.Messages {
		frame, err := peertransport.EncodeFrame(&peertransport.Frame{Coordinator: &s.Message})
		if err != nil {
			m.b.Fatal(err)
		}
		if s.Message.View == nil {
			m.transferredBytes += len(frame)
			m.largestFrame = max(m.largestFrame, len(frame))
		}
		for _, to := range m.all {
			if to.self.Addr == s.To && !to.down {
				got, err := peertransport.ReadFrame(bytes.NewReader(frame))
				if err != nil { // too long: a real peer ends the connection. Here it goes on, to measure what it would cost
					m.oversizedFrames++
					got = &peertransport.Frame{}
					if err := cbor.Unmarshal(frame[4:], got); err != nil {
						m.b.Fatal(err)
					}
				}
				m.perform(to, to.coordinator.Step(m.now, x.self, *got.Coordinator))
			}
		}
	}
}

func (m *cluster) until(done func() bool) {
	for end := m.now + time.Minute; !done(); m.now += 50 * time.Millisecond {
		for _, x := range m.all {
			if !x.down {
				m.perform(x, x.coordinator.Tick(m.now))
			}
		}
		if m.now > end {
			m.b.Skipf("not within a minute of simulated time")
		}
	}
}

func (m *cluster) propose(x *clusterMember, o chainreplication.Command) {
	token, a := x.coordinator.Propose(m.now, o)
	m.perform(x, a)
	m.until(func() bool { return m.responses[token] != 0 })
	if m.responses[token] != http.StatusOK {
		m.b.Skipf("an order of %d bytes got %d", len(o.Body), m.responses[token])
	}
}

func (m *cluster) written() (n int) {
	for _, x := range m.all {
		n += x.disk.written
	}
	return
}

func body(routes int, version uint64) []byte {
	f := sizes.ProductionFleet()
	f.Routes, f.Services = routes, max(routes*f.Services/f.Routes, 3)
	return f.Configuration(version, 8)
}

var capacityRoutes = []int{8, 500, 5000, 51000}

// BenchmarkCapacityPropose changes the configuration ("config") or evacuates a zone ("zone") at three combs, by an order to the
// last of the chain: processor time and memory are those of all three together, frames and files included.
func BenchmarkCapacityPropose(b *testing.B) {
	for _, what := range []string{"config", "zone"} {
		for _, n := range capacityRoutes {
			b.Run(fmt.Sprintf("%s/n=%d", what, n), func(b *testing.B) {
				m := newCluster(b, 3)
				version := uint64(1)
				raw := body(n, version)
				m.propose(m.all[2], chainreplication.Command{Version: version, Body: raw})
				m.transferredBytes, m.largestFrame, m.oversizedFrames = 0, 0, 0
				before := m.written()
				b.ReportAllocs()
				i := 0
				for ; b.Loop(); i++ {
					o := chainreplication.Command{Zone: sizes.ZoneName(0), Evacuated: i%2 == 0}
					if what == "config" {
						version++
						o = chainreplication.Command{Version: version, Body: raw}
					}
					m.propose(m.all[2], o)
				}
				b.ReportMetric(float64(m.transferredBytes)/float64(i), "passed-B")
				b.ReportMetric(float64(m.largestFrame), "frame-B")
				b.ReportMetric(float64(m.oversizedFrames)/float64(i), "refused")
				b.ReportMetric(float64(m.written()-before)/float64(i), "disk-B")
			})
		}
	}
}

// BenchmarkCapacityCatchUp has a member come back with its disk after ten changes that it missed.
func BenchmarkCapacityCatchUp(b *testing.B) {
	for _, n := range capacityRoutes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m := newCluster(b, 3)
			version := uint64(1)
			raw := body(n, version)
			m.propose(m.all[0], chainreplication.Command{Version: version, Body: raw})
			passed, disk, took, rounds := 0, 0, time.Duration(0), 0
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				m.all[2].down = true
				m.until(func() bool { return m.all[0].coordinator.View().Position(m.all[2].self.ID) < 0 })
				for range 10 {
					version++
					m.propose(m.all[0], chainreplication.Command{Version: version, Body: raw})
				}
				m.transferredBytes = 0
				before, from := m.written(), m.now
				b.StartTimer()
				m.all[2].down = false
				m.until(func() bool {
					r, _ := m.all[2].coordinator.Register()
					return r.Version == version && m.all[0].coordinator.View().Position(m.all[2].self.ID) >= 0 && m.all[2].coordinator.HasQuorumContact(m.now)
				})
				passed, disk, took, rounds = passed+m.transferredBytes, disk+m.written()-before, took+m.now-from, rounds+1
			}
			b.ReportMetric(float64(passed)/float64(rounds), "passed-B")
			b.ReportMetric(float64(disk)/float64(rounds), "disk-B")
			b.ReportMetric(float64(took.Milliseconds())/float64(rounds), "simulated-ms")
		})
	}
}

// BenchmarkCapacityHints encodes and writes what a comb keeps once a second while lives of replicas change, beside eight routes.
func BenchmarkCapacityHints(b *testing.B) {
	for _, n := range []int{1740, 5220, 15700, 47000} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			m := newCluster(b, 1)
			f := sizes.ProductionFleet()
			f.Replicas = n
			m.hints.instances = f.Instances()
			x := m.all[0]
			before, i := x.disk.written, 0
			b.ReportAllocs()
			for ; b.Loop(); i++ {
				m.hints.revision++
				m.now += 1100 * time.Millisecond
				m.perform(x, x.coordinator.Tick(m.now))
			}
			b.ReportMetric(float64(x.disk.written-before)/float64(i), "disk-B")
		})
	}
}
