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

const s = time.Second

func configuration() *gatewayconfig.Config {
	c, err := gatewayconfig.Parse([]byte(`{"version":"00000001","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":4}],
"virtual_hosts":[{"hostname":"h","path_routes":[{"path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"800ms","service":"svc"}]}]}`))
	if err != nil {
		panic(err)
	}
	return c
}

type comb struct {
	*Steer
	now      time.Duration
	foragers []string
	held     map[string]map[string]float64 // by forager: weights as told
	told     int                           // lines
	load     map[string]int                // running, of 4 slots
	bad      map[string]string             // by forager: the replica that fails it alone
	shut     map[string]map[string]bool    // by forager: replicas shut out there
}

func newComb(replicas, foragers int) *comb {
	c := &comb{Steer: New(Site{Seed: 1, Zone: "a", Zones: []string{"a", "b"}, Combs: 1, LinkMbps: 1000, DrainGrace: 2 * s}), now: s,
		held: map[string]map[string]float64{}, load: map[string]int{}, bad: map[string]string{}, shut: map[string]map[string]bool{}}
	c.Configure(c.now, configuration(), foragers)
	var lives []registry.Life
	for i := range replicas {
		lives = append(lives, registry.Life{ID: fmt.Sprintf("i%03d", i), Service: "svc", Addr: "x", Zone: string(rune('a' + i%2)), Slots: 4})
	}
	c.Lives(c.now, lives)
	for i := range foragers {
		c.join(fmt.Sprintf("f%03d", i))
	}
	return c
}

func (c *comb) join(f string) {
	c.foragers = append(c.foragers, f)
	c.held[f] = map[string]float64{}
	c.Join(c.now, f, "a")
}

// run lets time pass: every forager reports once a second what it met at each replica.
func (c *comb) run(seconds int) {
	for range seconds * 4 {
		c.now += s / 4
		if c.now%s == 0 {
			for _, f := range c.foragers {
				r := &messages.LoadReport{PeriodMillis: 1000, Requests: map[string]int{"svc": 100}}
				for id := range c.Weights("svc", f) {
					x := messages.EndpointStats{Replica: id, Attempts: 10, MeanLatencyMicros: 200000}
					if n, ok := c.load[id]; ok {
						x.Running, x.Slots = n, 4
					}
					if c.bad[f] == id {
						x.Dropped, x.MeanLatencyMicros = x.Attempts, 0
						if c.shut[f][id] {
							continue // it is the last choice there
						}
					}
					r.Endpoints = append(r.Endpoints, x)
				}
				c.Report(c.now, f, r)
			}
		}
		c.Tick(c.now)
		for _, f := range c.foragers {
			for _, l := range c.Lines(f) {
				c.told++
				c.held[f][l.Replica] = float64(l.Weight)
			}
			for _, x := range c.Shuns(f) {
				if c.shut[f] == nil {
					c.shut[f] = map[string]bool{}
				}
				c.shut[f][x.Replica] = x.Ejected
			}
		}
	}
}

func (c *comb) sum(f string) (sum float64) {
	for _, w := range c.held[f] {
		sum += w
	}
	return sum
}

func TestTables(t *testing.T) {
	Convey("Given a comb with four replicas and three foragers", t, func() {
		c := newComb(4, 3)
		for i := range 4 {
			c.load[fmt.Sprintf("i%03d", i)] = 1
		}
		c.run(5)
		Convey("all foragers hold one table, whose weights are normalised", func() {
			for _, f := range c.foragers {
				So(c.held[f], ShouldResemble, c.held["f000"])
				So(c.sum(f), ShouldAlmostEqual, 100, 1)
			}
		})
		Convey("spare capacity from reported load makes the weight", func() {
			c.load["i000"] = 3
			c.run(40)
			// It is 0.75 busy where others that answer as much are 0.25 busy: a third of their size, and less of it spare.
			So(c.held["f000"]["i000"]/c.held["f000"]["i001"], ShouldBeBetween, 0.08, 0.34)
			So(c.sum("f000"), ShouldAlmostEqual, 100, 10)
		})
		Convey("small changes are not told", func() {
			c.run(20)
			c.told = 0
			c.load["i000"] = 1
			c.run(10)
			So(c.told, ShouldEqual, 0)
		})
		Convey("one that joins later is told the whole table", func() {
			c.join("late")
			c.run(2)
			So(len(c.held["late"]), ShouldEqual, 4)
			So(c.held["late"], ShouldResemble, c.held["f000"])
		})
		// Guards a forager that comes from another comb: a weight of that one's table held on for what ours has taken out.
		Convey("one that joins later is told what is out of the table too", func() {
			c.Lives(c.now, []registry.Life{{ID: "i000", Service: "svc", Zone: "a", Slots: 4, Silent: true}})
			c.run(1)
			So(c.held["f000"]["i000"], ShouldEqual, 0)
			c.join("late")
			c.held["late"]["i000"] = 30
			c.run(2)
			So(c.held["late"]["i000"], ShouldEqual, 0)
		})
		Convey("one that drains leaves the table at once, one that is new climbs", func() {
			c.Lives(c.now, []registry.Life{{ID: "i000", Service: "svc", Zone: "a", Slots: 4, Draining: true}})
			c.run(1)
			So(c.held["f000"]["i000"], ShouldEqual, 0)
			c.Lives(c.now, []registry.Life{{ID: "new", Service: "svc", Zone: "a", Slots: 4, Cold: 3000}})
			c.load["new"] = 1
			c.run(1)
			early := c.held["f000"]["new"]
			c.run(15)
			So(c.held["f000"]["new"], ShouldBeGreaterThan, early)
		})
		Convey("replicas that tell no load weigh as much as the mean", func() {
			delete(c.load, "i003")
			c.run(30)
			So(math.Abs(c.held["f000"]["i003"]-c.held["f000"]["i001"]), ShouldBeLessThan, 5)
		})
	})
}

// TestPairs guards foragers for which a replica fails alone: the sums of all hide it.
func TestPairs(t *testing.T) {
	Convey("Given twelve replicas and ten foragers, of which one finds a replica failing that serves the others", t, func() {
		c := newComb(12, 10)
		for i := range 12 {
			c.load[fmt.Sprintf("i%03d", i)] = 1
		}
		c.run(5)
		c.bad["f003"] = "i002"
		c.run(6)
		Convey("it is shut out there, and nowhere else, and keeps its weight in the table", func() {
			So(c.shut["f003"], ShouldResemble, map[string]bool{"i002": true})
			So(len(c.shut), ShouldEqual, 1)
			So(c.held["f000"]["i002"], ShouldBeGreaterThan, 4)
		})
		Convey("it is let in again after a while, and for good once it serves", func() {
			c.bad = map[string]string{}
			c.run(15)
			So(c.shut["f003"]["i002"], ShouldBeFalse)
			c.run(10)
			So(c.shut["f003"]["i002"], ShouldBeFalse)
		})
		Convey("where it fails on, it is left for longer each time", func() {
			trials := 0
			for range 60 {
				was := c.shut["f003"]["i002"]
				c.run(1)
				if was && !c.shut["f003"]["i002"] {
					trials++
				}
			}
			So(trials, ShouldBeBetweenOrEqual, 1, 3)
		})
		Convey("a replica that fails for all is no pair's fault", func() {
			for _, f := range c.foragers {
				c.bad[f] = "i005"
			}
			c.run(8)
			So(c.shut["f000"]["i005"], ShouldBeFalse)
			So(c.held["f000"]["i005"], ShouldBeLessThan, 4)
		})
		Convey("a forager that joins anew has nothing shut out", func() {
			c.Leave(c.now, "f003")
			c.join("f003")
			So(c.Shuns("f003"), ShouldBeEmpty)
		})
	})
}

// BenchmarkPeriod is a report period of one comb at three sizes; of three or five combs each has its part of the foragers.
func BenchmarkPeriod(b *testing.B) {
	for _, size := range []struct{ replicas, foragers int }{{260, 30}, {1000, 100}, {2000, 333}} {
		b.Run(fmt.Sprintf("%d_replicas_%d_foragers", size.replicas, size.foragers), func(b *testing.B) {
			c := newComb(size.replicas, size.foragers)
			for i := range size.replicas {
				c.load[fmt.Sprintf("i%03d", i)] = i % 4
			}
			c.run(10)
			told := c.told
			b.ResetTimer()
			for range b.N {
				c.run(1)
			}
			b.ReportMetric(float64(c.told-told)/float64(b.N)/float64(size.foragers), "lines/forager")
		})
	}
}
