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

func configuration() *gatewayconfig.Config {
	c, err := gatewayconfig.Parse([]byte(`{"version":"00000001","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":4}],
"virtual_hosts":[{"hostname":"h","path_routes":[{"path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"800ms","service":"svc"}]}]}`))
	if err != nil {
		panic(err)
	}
	return c
}

// testMember is a manager with gateways that report to it and apply what it publishes.
type testMember struct {
	*Manager
	now             time.Duration
	gateways        []string
	receivedWeights map[string]map[string]float64 // by gateway and replica
	receivedCount   int                           // weights published
	load            map[string]int                // by replica: running requests, of 4 slots; absent: it tells no load
	failingReplica  map[string]string             // by gateway: the replica that fails for it alone
	ejected         map[string]map[string]bool    // by gateway: replicas ejected there
}

// newTestMember makes a member of one zone's gateways; the replicas alternate between two zones.
func newTestMember(replicas, gateways int) *testMember {
	member := &testMember{
		Manager:         New(Options{RandomSeed: 1, Zone: "a", Zones: []string{"a", "b"}, Members: 1, LinkMbps: 1000, DrainGrace: 2 * second}),
		now:             second,
		receivedWeights: map[string]map[string]float64{},
		load:            map[string]int{},
		failingReplica:  map[string]string{},
		ejected:         map[string]map[string]bool{},
	}
	member.Configure(member.now, configuration(), gateways)
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

// run lets time pass: every gateway reports once a second on each replica that it has a weight for.
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

// report is a gateway's load report of a second.
func (m *testMember) report(gateway string) *messages.LoadReport {
	report := &messages.LoadReport{PeriodMillis: 1000, Requests: map[string]int{"svc": 100}}
	for id := range m.Weights("svc", gateway) {
		stats := messages.EndpointStats{Replica: id, Attempts: 10, MeanLatencyMicros: 200000}
		if running, ok := m.load[id]; ok {
			stats.Running, stats.Slots = running, 4
		}
		if m.failingReplica[gateway] == id {
			if m.ejected[gateway][id] {
				continue // it is the last choice there
			}
			stats.Dropped, stats.MeanLatencyMicros = stats.Attempts, 0
		}
		report.Endpoints = append(report.Endpoints, stats)
	}
	return report
}

// receive applies at a gateway what is published to it.
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

func TestTables(t *testing.T) {
	Convey("Given a member with four replicas and three gateways", t, func() {
		member := newTestMember(4, 3)
		for i := range 4 {
			member.load[fmt.Sprintf("i%03d", i)] = 1
		}
		member.run(5)
		Convey("all gateways hold one table, whose weights are normalised", func() {
			for _, f := range member.gateways {
				So(member.receivedWeights[f], ShouldResemble, member.receivedWeights["f000"])
				So(member.totalWeight(f), ShouldAlmostEqual, 100, 1)
			}
		})
		Convey("spare capacity from reported load makes the weight", func() {
			member.load["i000"] = 3
			member.run(40)
			// It is 0.75 busy where others that answer as much are 0.25 busy: a third of their size, and less of it spare.
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
		// Regression: a gateway came from another member and kept that one's weight for a replica that ours had taken out.
		Convey("a gateway that joins later receives weights of 0 too", func() {
			member.UpdateInstances(member.now, []fleet.Instance{{ID: "i000", Service: "svc", Zone: "a", Slots: 4, HeartbeatTimedOut: true}})
			member.run(1)
			So(member.receivedWeights["f000"]["i000"], ShouldEqual, 0)
			member.join("late")
			member.receivedWeights["late"]["i000"] = 30
			member.run(2)
			So(member.receivedWeights["late"]["i000"], ShouldEqual, 0)
		})
		Convey("a draining replica leaves the table at once, and a new one ramps up", func() {
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
		Convey("replicas that tell no load have the mean weight", func() {
			delete(member.load, "i003")
			member.run(30)
			So(math.Abs(member.receivedWeights["f000"]["i003"]-member.receivedWeights["f000"]["i001"]), ShouldBeLessThan, 5)
		})
	})
}

// TestPairEjections guards a replica that fails for one gateway alone, which the totals over all gateways hide.
func TestPairEjections(t *testing.T) {
	Convey("Given twelve replicas and ten gateways, for one of which a replica fails that serves the others", t, func() {
		member := newTestMember(12, 10)
		for i := range 12 {
			member.load[fmt.Sprintf("i%03d", i)] = 1
		}
		member.run(5)
		member.failingReplica["f003"] = "i002"
		member.run(6)
		Convey("it is ejected there and nowhere else, and keeps its weight in the table", func() {
			So(member.ejected["f003"], ShouldResemble, map[string]bool{"i002": true})
			So(len(member.ejected), ShouldEqual, 1)
			So(member.receivedWeights["f000"]["i002"], ShouldBeGreaterThan, 4)
		})
		Convey("it is readmitted after a while, and for good once it serves", func() {
			member.failingReplica = map[string]string{}
			member.run(15)
			So(member.ejected["f003"]["i002"], ShouldBeFalse)
			member.run(10)
			So(member.ejected["f003"]["i002"], ShouldBeFalse)
		})
		Convey("while it goes on failing, it is ejected for longer each time", func() {
			trials := 0
			for range 60 {
				was := member.ejected["f003"]["i002"]
				member.run(1)
				if was && !member.ejected["f003"]["i002"] {
					trials++
				}
			}
			So(trials, ShouldBeBetweenOrEqual, 1, 3)
		})
		Convey("a replica that fails for all gateways is no pair ejection", func() {
			for _, f := range member.gateways {
				member.failingReplica[f] = "i005"
			}
			member.run(8)
			So(member.ejected["f000"]["i005"], ShouldBeFalse)
			So(member.receivedWeights["f000"]["i005"], ShouldBeLessThan, 4)
		})
		Convey("a gateway that joins anew has no ejections", func() {
			member.RemoveGateway(member.now, "f003")
			member.join("f003")
			So(member.TakePairEjections("f003"), ShouldBeEmpty)
		})
	})
}

// BenchmarkPeriod is a report period of one member at three sizes; of three or five members each has its part of the gateways.
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
