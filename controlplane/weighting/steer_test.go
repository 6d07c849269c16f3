package weighting

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/registry"
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

type testMember struct {
	*Manager
	now             time.Duration
	gateways        []string
	receivedWeights map[string]map[string]float64 // by forager: weights as told
	receivedCount   int                           // lines
	load            map[string]int                // running, of 4 slots
	failingReplica  map[string]string             // by forager: the replica that fails it alone
	ejected         map[string]map[string]bool    // by forager: replicas shut out there
}

func newTestMember(replicas, gateways int) *testMember {
	c := &testMember{Manager: New(Options{RandomSeed: 1, Zone: "a", Zones: []string{"a", "b"}, Members: 1, LinkMbps: 1000, DrainGrace: 2 * second}), now: second,
		receivedWeights: map[string]map[string]float64{}, load: map[string]int{}, failingReplica: map[string]string{}, ejected: map[string]map[string]bool{}}
	c.Configure(c.now, configuration(), gateways)
	var instances []registry.Instance
	for i := range replicas {
		instances = append(instances, registry.Instance{ID: fmt.Sprintf("i%03d", i), Service: "svc", Addr: "x", Zone: string(rune('a' + i%2)), Slots: 4})
	}
	c.UpdateInstances(c.now, instances)
	for i := range gateways {
		c.join(fmt.Sprintf("f%03d", i))
	}
	return c
}

func (c *testMember) join(f string) {
	c.gateways = append(c.gateways, f)
	c.receivedWeights[f] = map[string]float64{}
	c.AddGateway(c.now, f, "a")
}

// run lets time pass: every forager reports once a second what it met at each replica.
func (c *testMember) run(seconds int) {
	for range seconds * 4 {
		c.now += second / 4
		if c.now%second == 0 {
			for _, gateway := range c.gateways {
				r := &messages.LoadReport{PeriodMillis: 1000, Requests: map[string]int{"svc": 100}}
				for id := range c.Weights("svc", gateway) {
					x := messages.EndpointStats{Replica: id, Attempts: 10, MeanLatencyMicros: 200000}
					if n, ok := c.load[id]; ok {
						x.Running, x.Slots = n, 4
					}
					if c.failingReplica[gateway] == id {
						x.Dropped, x.MeanLatencyMicros = x.Attempts, 0
						if c.ejected[gateway][id] {
							continue // it is the last choice there
						}
					}
					r.Endpoints = append(r.Endpoints, x)
				}
				c.RecordReport(c.now, gateway, r)
			}
		}
		c.Tick(c.now)
		for _, gateway := range c.gateways {
			for _, l := range c.TakeWeightChanges(gateway) {
				c.receivedCount++
				c.receivedWeights[gateway][l.Replica] = float64(l.Weight)
			}
			for _, x := range c.TakePairEjections(gateway) {
				if c.ejected[gateway] == nil {
					c.ejected[gateway] = map[string]bool{}
				}
				c.ejected[gateway][x.Replica] = x.Ejected
			}
		}
	}
}

func (c *testMember) totalWeight(f string) (sum float64) {
	for _, w := range c.receivedWeights[f] {
		sum += w
	}
	return sum
}

func TestTables(t *testing.T) {
	Convey("Given a comb with four replicas and three foragers", t, func() {
		member := newTestMember(4, 3)
		for i := range 4 {
			member.load[fmt.Sprintf("i%03d", i)] = 1
		}
		member.run(5)
		Convey("all foragers hold one table, whose weights are normalised", func() {
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
		Convey("small changes are not told", func() {
			member.run(20)
			member.receivedCount = 0
			member.load["i000"] = 1
			member.run(10)
			So(member.receivedCount, ShouldEqual, 0)
		})
		Convey("one that joins later is told the whole table", func() {
			member.join("late")
			member.run(2)
			So(len(member.receivedWeights["late"]), ShouldEqual, 4)
			So(member.receivedWeights["late"], ShouldResemble, member.receivedWeights["f000"])
		})
		// Guards a forager that comes from another comb: a weight of that one's table held on for what ours has taken out.
		Convey("one that joins later is told what is out of the table too", func() {
			member.UpdateInstances(member.now, []registry.Instance{{ID: "i000", Service: "svc", Zone: "a", Slots: 4, HeartbeatTimedOut: true}})
			member.run(1)
			So(member.receivedWeights["f000"]["i000"], ShouldEqual, 0)
			member.join("late")
			member.receivedWeights["late"]["i000"] = 30
			member.run(2)
			So(member.receivedWeights["late"]["i000"], ShouldEqual, 0)
		})
		Convey("one that drains leaves the table at once, one that is new climbs", func() {
			member.UpdateInstances(member.now, []registry.Instance{{ID: "i000", Service: "svc", Zone: "a", Slots: 4, Draining: true}})
			member.run(1)
			So(member.receivedWeights["f000"]["i000"], ShouldEqual, 0)
			member.UpdateInstances(member.now, []registry.Instance{{ID: "new", Service: "svc", Zone: "a", Slots: 4, WarmupMillis: 3000}})
			member.load["new"] = 1
			member.run(1)
			early := member.receivedWeights["f000"]["new"]
			member.run(15)
			So(member.receivedWeights["f000"]["new"], ShouldBeGreaterThan, early)
		})
		Convey("replicas that tell no load weigh as much as the mean", func() {
			delete(member.load, "i003")
			member.run(30)
			So(math.Abs(member.receivedWeights["f000"]["i003"]-member.receivedWeights["f000"]["i001"]), ShouldBeLessThan, 5)
		})
	})
}

// TestPairEjections guards foragers for which a replica fails alone: the sums of all hide it.
func TestPairEjections(t *testing.T) {
	Convey("Given twelve replicas and ten foragers, of which one finds a replica failing that serves the others", t, func() {
		member := newTestMember(12, 10)
		for i := range 12 {
			member.load[fmt.Sprintf("i%03d", i)] = 1
		}
		member.run(5)
		member.failingReplica["f003"] = "i002"
		member.run(6)
		Convey("it is shut out there, and nowhere else, and keeps its weight in the table", func() {
			So(member.ejected["f003"], ShouldResemble, map[string]bool{"i002": true})
			So(len(member.ejected), ShouldEqual, 1)
			So(member.receivedWeights["f000"]["i002"], ShouldBeGreaterThan, 4)
		})
		Convey("it is let in again after a while, and for good once it serves", func() {
			member.failingReplica = map[string]string{}
			member.run(15)
			So(member.ejected["f003"]["i002"], ShouldBeFalse)
			member.run(10)
			So(member.ejected["f003"]["i002"], ShouldBeFalse)
		})
		Convey("where it fails on, it is left for longer each time", func() {
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
		Convey("a replica that fails for all is no pair's fault", func() {
			for _, f := range member.gateways {
				member.failingReplica[f] = "i005"
			}
			member.run(8)
			So(member.ejected["f000"]["i005"], ShouldBeFalse)
			So(member.receivedWeights["f000"]["i005"], ShouldBeLessThan, 4)
		})
		Convey("a forager that joins anew has nothing shut out", func() {
			member.RemoveGateway(member.now, "f003")
			member.join("f003")
			So(member.TakePairEjections("f003"), ShouldBeEmpty)
		})
	})
}

// BenchmarkPeriod is a report period of one comb at three sizes; of three or five combs each has its part of the foragers.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []struct{ replicas, foragers int }{{260, 30}, {1000, 100}, {2000, 333}} {
		b.Run(fmt.Sprintf("%d_replicas_%d_foragers", size.replicas, size.foragers), func(b *testing.B) {
			c := newTestMember(size.replicas, size.foragers)
			for i := range size.replicas {
				c.load[fmt.Sprintf("i%03d", i)] = i % 4
			}
			c.run(10)
			told := c.receivedCount
			b.ResetTimer()
			for range b.N {
				c.run(1)
			}
			b.ReportMetric(float64(c.receivedCount-told)/float64(b.N)/float64(size.foragers), "lines/forager")
		})
	}
}
