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
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/internal/daemons/statestore"
	"zincloft.example/zincloft/internal/testbeds/sizes"
)

// countingDisk is an in-memory FileSystem that counts the bytes written.
type countingDisk struct {
	files   map[string][]byte
	written int
}

func (d *countingDisk) ReadFile(name string) ([]byte, error) {
	if content, ok := d.files[name]; ok {
		return content, nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
}

func (d *countingDisk) OpenForWrite(name string) (statestore.File, error) {
	return &countingFile{d, name}, nil
}

func (d *countingDisk) Rename(string, string) error { return nil }
func (d *countingDisk) SyncDirectory() error        { return nil }

type countingFile struct {
	disk *countingDisk
	name string
}

func (f *countingFile) WriteAt(p []byte, offset int64) (int, error) {
	content := f.disk.files[f.name]
	if size := int(offset) + len(p); size > len(content) {
		content = append(content, make([]byte, size-len(content))...)
	}
	copy(content[offset:], p)
	f.disk.files[f.name] = content
	f.disk.written += len(p)
	return len(p), nil
}

func (f *countingFile) Sync() error  { return nil }
func (f *countingFile) Close() error { return nil }

type hints struct {
	revision  uint64
	instances []fleet.Instance
}

func (h *hints) Revision() uint64            { return h.revision }
func (h *hints) Instances() []fleet.Instance { return h.instances }

type clusterMember struct {
	coordinator *coordinator.Coordinator
	self        fleet.Member
	disk        *countingDisk
	store       *statestore.Store
	down        bool
}

// cluster runs members with real stores, delivers their frames without delay, and counts transferred and written bytes.
type cluster struct {
	b                *testing.B
	now              time.Duration
	members          []*clusterMember
	transferredBytes int            // between members, excluding heartbeats
	largestFrame     int            // in bytes
	oversizedFrames  int            // frames that internal/daemons/peertransport rejects
	statuses         map[uint64]int // of responses, by request ID
	hints            *hints
}

func newCluster(b *testing.B, size int) *cluster {
	c := &cluster{b: b, statuses: map[uint64]int{}, hints: &hints{}}
	var seeds []string
	for i := range size {
		seeds = append(seeds, fmt.Sprintf("10.0.0.%d:7540", i+1))
	}
	for i, addr := range seeds {
		member := &clusterMember{
			disk: &countingDisk{files: map[string][]byte{}},
			self: fleet.Member{ID: addr + "/0", Addr: addr, Zone: sizes.ZoneName(i), APIAddr: addr},
		}
		var err error
		if member.store, err = statestore.Open(member.disk); err != nil {
			b.Fatal(err)
		}
		state := coordinator.PersistentState{}
		state.Initialize(addr, seeds, true, "")
		random := rand.New(rand.NewPCG(uint64(i), 1))
		member.coordinator = coordinator.New(member.self, state, seeds, random.Float64, c.hints)
		c.members = append(c.members, member)
	}
	for _, member := range c.members {
		c.perform(member, member.coordinator.Start(c.now))
	}
	c.until(func() bool {
		for _, member := range c.members {
			if !member.coordinator.HasQuorumContact(c.now) {
				return false
			}
		}
		return true
	})
	return c
}

// perform executes a member's actions and, recursively, the actions that result from them.
func (c *cluster) perform(member *clusterMember, actions coordinator.Actions) {
	for _, response := range actions.Responses {
		c.statuses[response.RequestID] = response.Status()
	}
	if actions.StateToPersist != nil {
		if err := member.store.Put(map[string][]byte{"state": actions.StateToPersist}); err != nil {
			c.b.Fatal(err)
		}
		c.perform(member, member.coordinator.StatePersisted(c.now, ""))
	}
	for _, outbound := range actions.Messages {
		frame, err := peertransport.EncodeFrame(&peertransport.Frame{Coordinator: &outbound.Message})
		if err != nil {
			c.b.Fatal(err)
		}
		if outbound.Message.View == nil {
			c.transferredBytes += len(frame)
			c.largestFrame = max(c.largestFrame, len(frame))
		}
		for _, receiver := range c.members {
			if receiver.self.Addr == outbound.To && !receiver.down {
				c.perform(receiver, receiver.coordinator.Step(c.now, member.self, *c.decode(frame).Coordinator))
			}
		}
	}
}

// decode decodes a frame. An oversized frame, for which a real peer would close the connection, is counted and decoded as well.
func (c *cluster) decode(raw []byte) *peertransport.Frame {
	frame, err := peertransport.ReadFrame(bytes.NewReader(raw))
	if err == nil {
		return frame
	}
	c.oversizedFrames++
	frame = &peertransport.Frame{}
	if err := cbor.Unmarshal(raw[4:], frame); err != nil {
		c.b.Fatal(err)
	}
	return frame
}

// until advances simulated time until done returns true.
func (c *cluster) until(done func() bool) {
	for end := c.now + time.Minute; !done(); c.now += 50 * time.Millisecond {
		for _, member := range c.members {
			if !member.down {
				c.perform(member, member.coordinator.Tick(c.now))
			}
		}
		if c.now > end {
			c.b.Skipf("the cluster did not reach the expected state within one minute of simulated time")
		}
	}
}

func (c *cluster) propose(member *clusterMember, command chainreplication.Command) {
	id, actions := member.coordinator.Propose(c.now, command)
	c.perform(member, actions)
	c.until(func() bool { return c.statuses[id] != 0 })
	if c.statuses[id] != http.StatusOK {
		c.b.Skipf("a command of %d bytes was answered with status %d", len(command.Body), c.statuses[id])
	}
}

func (c *cluster) writtenBytes() int {
	total := 0
	for _, member := range c.members {
		total += member.disk.written
	}
	return total
}

func configurationBody(routes int, version uint64) []byte {
	fleet := sizes.ProductionFleet()
	fleet.Routes, fleet.Services = routes, max(routes*fleet.Services/fleet.Routes, 3)
	return fleet.Configuration(version, 8)
}

var capacityRoutes = []int{8, 500, 5000, 51000}

// BenchmarkCapacityPropose replaces the configuration ("config") or evacuates a zone ("zone") by a command proposed at the tail of a
// chain of three members. CPU time and memory are totals over the three, including frames and files.
func BenchmarkCapacityPropose(b *testing.B) {
	for _, kind := range []string{"config", "zone"} {
		for _, routes := range capacityRoutes {
			b.Run(fmt.Sprintf("%s/n=%d", kind, routes), func(b *testing.B) { benchmarkPropose(b, kind, routes) })
		}
	}
}

func benchmarkPropose(b *testing.B, kind string, routes int) {
	c := newCluster(b, 3)
	version := uint64(1)
	body := configurationBody(routes, version)
	c.propose(c.members[2], chainreplication.Command{Version: version, Body: body})
	c.transferredBytes, c.largestFrame, c.oversizedFrames = 0, 0, 0
	writtenBefore := c.writtenBytes()
	b.ReportAllocs()
	i := 0
	for ; b.Loop(); i++ {
		command := chainreplication.Command{Zone: sizes.ZoneName(0), Evacuated: i%2 == 0}
		if kind == "config" {
			version++
			command = chainreplication.Command{Version: version, Body: body}
		}
		c.propose(c.members[2], command)
	}
	b.ReportMetric(float64(c.transferredBytes)/float64(i), "passed-B")
	b.ReportMetric(float64(c.largestFrame), "frame-B")
	b.ReportMetric(float64(c.oversizedFrames)/float64(i), "refused")
	b.ReportMetric(float64(c.writtenBytes()-writtenBefore)/float64(i), "disk-B")
}

// BenchmarkCapacityCatchUp restarts a member, with its disk, that missed ten changes.
func BenchmarkCapacityCatchUp(b *testing.B) {
	for _, routes := range capacityRoutes {
		b.Run(fmt.Sprintf("n=%d", routes), func(b *testing.B) { benchmarkCatchUp(b, routes) })
	}
}

func benchmarkCatchUp(b *testing.B, routes int) {
	c := newCluster(b, 3)
	head, returning := c.members[0], c.members[2]
	version := uint64(1)
	body := configurationBody(routes, version)
	c.propose(head, chainreplication.Command{Version: version, Body: body})
	transferred, written, took, rounds := 0, 0, time.Duration(0), 0
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		returning.down = true
		c.until(func() bool { return head.coordinator.View().Position(returning.self.ID) < 0 })
		for range 10 {
			version++
			c.propose(head, chainreplication.Command{Version: version, Body: body})
		}
		c.transferredBytes = 0
		writtenBefore, startedAt := c.writtenBytes(), c.now
		b.StartTimer()
		returning.down = false
		c.until(func() bool {
			register, _ := returning.coordinator.Register()
			isInChain := head.coordinator.View().Position(returning.self.ID) >= 0
			return register.Version == version && isInChain && returning.coordinator.HasQuorumContact(c.now)
		})
		transferred, written = transferred+c.transferredBytes, written+c.writtenBytes()-writtenBefore
		took, rounds = took+c.now-startedAt, rounds+1
	}
	b.ReportMetric(float64(transferred)/float64(rounds), "passed-B")
	b.ReportMetric(float64(written)/float64(rounds), "disk-B")
	b.ReportMetric(float64(took.Milliseconds())/float64(rounds), "simulated-ms")
}

// BenchmarkCapacityHints encodes and writes the persistent state of a member, as it does once per second while instances change.
func BenchmarkCapacityHints(b *testing.B) {
	for _, replicas := range []int{1740, 5220, 15700, 47000} {
		b.Run(fmt.Sprintf("n=%d", replicas), func(b *testing.B) {
			c := newCluster(b, 1)
			fleet := sizes.ProductionFleet()
			fleet.Replicas = replicas
			c.hints.instances = fleet.Instances()
			member := c.members[0]
			writtenBefore, i := member.disk.written, 0
			b.ReportAllocs()
			for ; b.Loop(); i++ {
				c.hints.revision++
				c.now += 1100 * time.Millisecond
				c.perform(member, member.coordinator.Tick(c.now))
			}
			b.ReportMetric(float64(member.disk.written-writtenBefore)/float64(i), "disk-B")
		})
	}
}
