package weighting

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/messages"
)

const second = time.Second

func testConfig() *gatewayconfig.Config {
	c, err := gatewayconfig.Parse([]byte(`{"version":"00000001","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":4}],
"virtual_hosts":[{"hostname":"h","path_routes":[{"path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"800ms","service":"svc"}]}]}`))
	if err != nil {
		panic(err)
	}
	return c
}

// testMember is a manager with simulated gateways that report to it and apply its updates.
type testMember struct {
	*Manager
	now             time.Duration
	gateways        []string
	receivedWeights map[string]map[string]float64 // by gateway and replica
	receivedCount   int                           // number of weights published
	load            map[string]int                // by replica: running requests of 4 slots; replicas without an entry report no load
	failingReplica  map[string]string             // by gateway: the replica that fails for this gateway only
	ejected         map[string]map[string]bool    // by gateway and replica
}

// newTestMember creates a member whose gateways are in one zone; the replicas alternate between two zones.
func newTestMember(replicas, gateways int) *testMember {
	member := &testMember{
		Manager:         New(Options{RandomSeed: 1, Zone: "a", Zones: []string{"a", "b"}, Members: 1, LinkMbps: 1000, DrainGrace: 2 * second}),
		now:             second,
		receivedWeights: map[string]map[string]float64{},
		load:            map[string]int{},
		failingReplica:  map[string]string{},
		ejected:         map[string]map[string]bool{},
	}
	member.Configure(member.now, testConfig(), gateways)
	var instances []fleet.Instance
	for i := range replicas {
		instances = append(instances, fleet.Instance{ID: fmt.Sprintf("i%03d", i), Service: "svc", Addr: "x", Zone: string(rune('a' + i%2)), Slots: 4})
	}
	member.UpdateInstances(member.now, instances)
	for i := range gateways {
		member.join(fmt.Sprintf("f%03d", i))
	}
	return member
}

func (m *testMember) join(gateway string) {
	m.gateways = append(m.gateways, gateway)
	m.receivedWeights[gateway] = map[string]float64{}
	m.AddGateway(m.now, gateway, "a")
}

// run advances the time; every gateway reports once per second on each replica for which it has a weight.
func (m *testMember) run(seconds int) {
	for range seconds * 4 {
		m.now += second / 4
		if m.now%second == 0 {
			for _, gateway := range m.gateways {
				m.RecordReport(m.now, gateway, m.report(gateway))
			}
		}
		m.Tick(m.now)
		for _, gateway := range m.gateways {
			m.receive(gateway)
		}
	}
}

// report returns a gateway's load report for one second.
func (m *testMember) report(gateway string) *messages.LoadReport {
	report := &messages.LoadReport{PeriodMillis: 1000, Requests: map[string]int{"svc": 100}}
	for id := range m.Weights("svc", gateway) {
		stats := messages.EndpointStats{Replica: id, Attempts: 10, MeanLatencyMicros: 200000}
		if running, ok := m.load[id]; ok {
			stats.Running, stats.Slots = running, 4
		}
		if m.failingReplica[gateway] == id {
			if m.ejected[gateway][id] {
				continue // an ejected replica receives no requests
			}
			stats.Dropped, stats.MeanLatencyMicros = stats.Attempts, 0
		}
		report.Endpoints = append(report.Endpoints, stats)
	}
	return report
}

// receive applies the published changes at a gateway.
func (m *testMember) receive(gateway string) {
	for _, change := range m.TakeWeightChanges(gateway) {
		m.receivedCount++
		m.receivedWeights[gateway][change.Replica] = float64(change.Weight)
	}
	for _, ejection := range m.TakePairEjections(gateway) {
		if m.ejected[gateway] == nil {
			m.ejected[gateway] = map[string]bool{}
		}
		m.ejected[gateway][ejection.Replica] = ejection.Ejected
	}
}

func (m *testMember) totalWeight(gateway string) (sum float64) {
	for _, weight := range m.receivedWeights[gateway] {
		sum += weight
	}
	return sum
}

func TestWeightTables(t *testing.T) {
	Convey("Given a member with four replicas and three gateways", t, func() {
		member := newTestMember(4, 3)
		for i := range 4 {
			member.load[fmt.Sprintf("i%03d", i)] = 1
		}
		member.run(5)
		Convey("all gateways receive the same normalised weights", func() {
			for _, gateway := range member.gateways {
				So(member.receivedWeights[gateway], ShouldResemble, member.receivedWeights["f000"])
				So(member.totalWeight(gateway), ShouldAlmostEqual, 100, 1)
			}
		})
		Convey("weights follow the spare capacity computed from reported load", func() {
			member.load["i000"] = 3
			member.run(40)
			// Utilization is 0.75 instead of 0.25 at the same throughput: a third of the others' capacity, less of which is spare.
			So(member.receivedWeights["f000"]["i000"]/member.receivedWeights["f000"]["i001"], ShouldBeBetween, 0.08, 0.34)
			So(member.totalWeight("f000"), ShouldAlmostEqual, 100, 10)
		})
		Convey("small changes are not published", func() {
			member.run(20)
			member.receivedCount = 0
			member.load["i000"] = 1
			member.run(10)
			So(member.receivedCount, ShouldEqual, 0)
		})
		Convey("a gateway that joins later receives the complete table", func() {
			member.join("late")
			member.run(2)
			So(len(member.receivedWeights["late"]), ShouldEqual, 4)
			So(member.receivedWeights["late"], ShouldResemble, member.receivedWeights["f000"])
		})
		// Regression: a gateway from another member kept that member's weight of a replica that this member had removed.
		Convey("a gateway that joins later also receives zero weights", func() {
			member.UpdateInstances(member.now, []fleet.Instance{{ID: "i000", Service: "svc", Zone: "a", Slots: 4, HeartbeatTimedOut: true}})
			member.run(1)
			So(member.receivedWeights["f000"]["i000"], ShouldEqual, 0)
			member.join("late")
			member.receivedWeights["late"]["i000"] = 30
			member.run(2)
			So(member.receivedWeights["late"]["i000"], ShouldEqual, 0)
		})
		Convey("a draining replica is removed immediately, and a new one ramps up", func() {
			member.UpdateInstances(member.now, []fleet.Instance{{ID: "i000", Service: "svc", Zone: "a", Slots: 4, Draining: true}})
			member.run(1)
			So(member.receivedWeights["f000"]["i000"], ShouldEqual, 0)
			member.UpdateInstances(member.now, []fleet.Instance{{ID: "new", Service: "svc", Zone: "a", Slots: 4, WarmupMillis: 3000}})
			member.load["new"] = 1
			member.run(1)
			early := member.receivedWeights["f000"]["new"]
			member.run(15)
			So(member.receivedWeights["f000"]["new"], ShouldBeGreaterThan, early)
		})
		Convey("replicas without reported load have the mean weight", func() {
			delete(member.load, "i003")
			member.run(30)
			So(math.Abs(member.receivedWeights["f000"]["i003"]-member.receivedWeights["f000"]["i001"]), ShouldBeLessThan, 5)
		})
	})
}

// TestPairEjections guards against an undetected failure between a single gateway and a replica, which the totals over all gateways hide.
func TestPairEjections(t *testing.T) {
	Convey("Given twelve replicas and ten gateways, and a replica that fails for one gateway only", t, func() {
		member := newTestMember(12, 10)
		for i := range 12 {
			member.load[fmt.Sprintf("i%03d", i)] = 1
		}
		member.run(5)
		member.failingReplica["f003"] = "i002"
		member.run(6)
		Convey("it is ejected at that gateway only and keeps its weight in the table", func() {
			So(member.ejected["f003"], ShouldResemble, map[string]bool{"i002": true})
			So(len(member.ejected), ShouldEqual, 1)
			So(member.receivedWeights["f000"]["i002"], ShouldBeGreaterThan, 4)
		})
		Convey("it is readmitted after it recovers and is not ejected again", func() {
			member.failingReplica = map[string]string{}
			member.run(15)
			So(member.ejected["f003"]["i002"], ShouldBeFalse)
			member.run(10)
			So(member.ejected["f003"]["i002"], ShouldBeFalse)
		})
		Convey("while it keeps failing, growing ejection times limit its readmissions", func() {
			readmissions := 0
			for range 60 {
				wasEjected := member.ejected["f003"]["i002"]
				member.run(1)
				if wasEjected && !member.ejected["f003"]["i002"] {
					readmissions++
				}
			}
			So(readmissions, ShouldBeBetweenOrEqual, 1, 3)
		})
		Convey("a replica that fails for all gateways causes no pair ejections", func() {
			for _, gateway := range member.gateways {
				member.failingReplica[gateway] = "i005"
			}
			member.run(8)
			So(member.ejected["f000"]["i005"], ShouldBeFalse)
			So(member.receivedWeights["f000"]["i005"], ShouldBeLessThan, 4)
		})
		Convey("a gateway that rejoins has no ejections", func() {
			member.RemoveGateway(member.now, "f003")
			member.join("f003")
			So(member.TakePairEjections("f003"), ShouldBeEmpty)
		})
	})
}

// BenchmarkPeriod simulates one report period of a member at three sizes.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []struct{ replicas, gateways int }{{260, 30}, {1000, 100}, {2000, 333}} {
		b.Run(fmt.Sprintf("%d_replicas_%d_gateways", size.replicas, size.gateways), func(b *testing.B) {
			member := newTestMember(size.replicas, size.gateways)
			for i := range size.replicas {
				member.load[fmt.Sprintf("i%03d", i)] = i % 4
			}
			member.run(10)
			before := member.receivedCount
			b.ResetTimer()
			for range b.N {
				member.run(1)
			}
			b.ReportMetric(float64(member.receivedCount-before)/float64(b.N)/float64(size.gateways), "weights/gateway")
		})
	}
}
