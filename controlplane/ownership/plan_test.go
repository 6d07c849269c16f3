package ownership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clusteredLoad returns a load with the given total whose popularity falls by a power of the distance from a centre.
func clusteredLoad(total float64, centre int, exponent float64) Load {
	load, sum := make(Load, MaxKey+1), 0.0
	for i := range load {
		sum += math.Pow(float64(i+1), -exponent)
	}
	for i := range load {
		offset := (i + 1) / 2
		if i%2 == 1 {
			offset = -offset
		}
		load[(centre+offset+MaxKey+1)%(MaxKey+1)] = float32(total / sum * math.Pow(float64(i+1), -exponent))
	}
	return load
}

// withHotKeys returns a load of the same total in which neighbouring keys have the share.
func withHotKeys(load Load, first, count int, share float64) Load {
	hot, total := slices.Clone(load), sumOf(load)
	for i := range hot {
		hot[i] *= float32(1 - share)
	}
	for key := first; key < first+count; key++ {
		hot[key] += float32(total * share / float64(count))
	}
	return hot
}

func sumOf(load Load) float64 {
	total := 0.0
	for _, l := range load {
		total += float64(l)
	}
	return total
}

// cluster applies plans at once, as if every release were acknowledged immediately.
type cluster struct {
	table    Table
	replicas []Replica
}

func newCluster(replicas []Replica, rangesPerReplica int) *cluster {
	return &cluster{table: Divide(Table{}, testService, replicas, rangesPerReplica), replicas: replicas}
}

func (c *cluster) ranges() []Range { return c.table.Services[testService] }

func (c *cluster) plan(load Load, maxMoves int) []Move {
	return PlanMoves(PlanInput{Ranges: c.ranges(), Replicas: c.replicas, Load: load, MaxMoves: maxMoves})
}

func (c *cluster) apply(moves []Move) {
	c.table = Release(c.table, testService, moves)
	for _, move := range moves {
		c.table = Grant(c.table, testService, move.From, move.To, move.Target, "")
	}
}

// settle plans and applies until nothing moves, and returns the number of rounds and of moved keys.
func (c *cluster) settle(load Load, maxMoves, maxRounds int) (rounds, keys int) {
	for ; rounds < maxRounds; rounds++ {
		moves := c.plan(load, maxMoves)
		if len(moves) == 0 {
			return rounds, keys
		}
		c.apply(moves)
		keys += keysOf(moves)
	}
	return rounds, keys
}

func keysOf(moves []Move) int {
	keys := 0
	for _, move := range moves {
		keys += int(move.To) - int(move.From) + 1
	}
	return keys
}

// maxRatio returns the highest load per slot, as a multiple of the mean and in requests per second. Replicas that have nearly all of their load from
// one key are left out.
func (c *cluster) maxRatio(load Load) (ratio, level float64) {
	loads, busiest := map[string]float64{}, map[string]float64{}
	for _, r := range c.ranges() {
		for key := int(r.From); key <= int(r.To); key++ {
			loads[r.Owner] += float64(load[key])
			busiest[r.Owner] = max(busiest[r.Owner], float64(load[key]))
		}
	}
	slots := 0
	for _, replica := range c.replicas {
		slots += replica.Slots
	}
	mean, highest := sumOf(load)/float64(slots), 0.0
	for _, replica := range c.replicas {
		single := busiest[replica.ID] > mean*float64(replica.Slots) && busiest[replica.ID] > 0.9*loads[replica.ID]
		if !single {
			highest = max(highest, loads[replica.ID]/float64(replica.Slots)/mean)
		}
	}
	return highest, highest * mean
}

func drawLoad(t *rapid.T) Load {
	load := clusteredLoad(rapid.Float64Range(200, 3000).Draw(t, "total"), int(rapid.Uint16().Draw(t, "centre")), rapid.Float64Range(0, 0.7).Draw(t, "exponent"))
	if rapid.Bool().Draw(t, "hot") {
		count := rapid.IntRange(1, 300).Draw(t, "hotKeys")
		load = withHotKeys(load, rapid.IntRange(0, MaxKey-count).Draw(t, "hotKey"), count, rapid.Float64Range(0.05, 0.5).Draw(t, "hotShare"))
	}
	return load
}

func drawReplicas(t *rapid.T) []Replica {
	replicas := testReplicas(rapid.IntRange(2, 127).Draw(t, "replicas"), 6)
	if rapid.Bool().Draw(t, "differentSlots") {
		for i := range replicas {
			replicas[i].Slots = 3 + i%3*3
		}
	}
	return replicas
}

func TestPlansOnStaticLoadConvergeAndStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawReplicas(t)
		c := newCluster(all[:rapid.IntRange(1, len(all)).Draw(t, "first")], rapid.IntRange(1, 8).Draw(t, "ranges"))
		maxMoves := rapid.IntRange(8, 128).Draw(t, "maxMoves")
		c.settle(drawLoad(t), maxMoves, rapid.IntRange(0, 3).Draw(t, "roundsBefore"))
		c.replicas = all[rapid.IntRange(0, len(all)/2).Draw(t, "gone"):]
		load := drawLoad(t)
		rounds, _ := c.settle(load, maxMoves, 200)
		if rounds == 200 {
			t.Fatal("moves do not end on a static load")
		}
		for _, r := range c.ranges() {
			if !slices.ContainsFunc(c.replicas, func(replica Replica) bool { return replica.ID == r.Owner }) {
				t.Fatalf("%+v is left with an ineligible replica", r)
			}
		}
		if ratio, level := c.maxRatio(load); ratio > 1.35 && level > 1.01*DefaultTuning().OverloadFloor {
			t.Fatalf("a replica has %.2f times the mean load after %d rounds", ratio, rounds)
		}
	})
}

func TestMakingRoomForBusyKeyDoesNotAlternateWithFilling(t *testing.T) {
	all := testReplicas(5, 6)
	for i := range all {
		all[i].Slots = 3 + i%3*3
	}
	c := newCluster(all[:3], 8)
	c.settle(clusteredLoad(788, 1, 0), 26, 3)
	c.replicas = all[1:]
	if rounds, _ := c.settle(withHotKeys(clusteredLoad(320, 10, 0.7), 18, 2, 0.5), 26, 50); rounds == 50 {
		t.Error("moves do not end on a static load")
	}
}

func TestPlansKeepPartitionAndMoveOnlyGrantedKeysToEligibleReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := testReplicas(rapid.IntRange(2, 60).Draw(t, "replicas"), 6)
		c := newCluster(all, rapid.IntRange(1, 8).Draw(t, "ranges"))
		var load Load
		if rapid.Bool().Draw(t, "loadKnown") {
			load = drawLoad(t)
		}
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			if rapid.Bool().Draw(t, "releasing") {
				c.table = Release(c.table, testService, []Move{drawMove(t)})
			}
			c.replicas = rapid.Permutation(all).Draw(t, "eligible")[:rapid.IntRange(1, len(all)).Draw(t, "count")]
			maxMoves := rapid.IntRange(1, 64).Draw(t, "maxMoves")
			moves := c.plan(load, maxMoves)
			checkMoves(t, c, moves, maxMoves)
			if again := c.plan(load, maxMoves); !reflect.DeepEqual(again, moves) {
				t.Fatal("the same input gives another plan")
			}
			c.table = Release(c.table, testService, moves)
			if rapid.Bool().Draw(t, "granted") {
				for _, move := range moves {
					c.table = Grant(c.table, testService, move.From, move.To, move.Target, "")
				}
			}
			if err := CheckPartition(c.ranges()); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func checkMoves(t *rapid.T, c *cluster, moves []Move, maxMoves int) {
	if len(moves) > maxMoves {
		t.Fatalf("%d moves, at most %d were asked for", len(moves), maxMoves)
	}
	taken := make([]bool, MaxKey+1)
	for _, move := range moves {
		if !slices.ContainsFunc(c.replicas, func(r Replica) bool { return r.ID == move.Target }) {
			t.Fatalf("%+v has an ineligible target", move)
		}
		r := c.ranges()[Find(c.ranges(), move.From)]
		if r.Phase != PhaseGranted || !r.Contains(move.To) || r.Owner == move.Target || move.From > move.To {
			t.Fatalf("%+v moves keys of %+v", move, r)
		}
		for key := int(move.From); key <= int(move.To); key++ {
			if taken[key] {
				t.Fatalf("key %d moves twice", key)
			}
			taken[key] = true
		}
	}
}

func TestNoMovesOnBalancedLoad(t *testing.T) {
	for _, load := range []Load{nil, make(Load, MaxKey+1), clusteredLoad(1115, 30000, 0), clusteredLoad(1115, 30000, 0.44)} {
		c := newCluster(testReplicas(112, 6), 8)
		if load != nil && sumOf(load) > 0 {
			c.settle(load, 64, 20)
		}
		if moves := c.plan(load, 64); len(moves) > 0 {
			t.Errorf("%d moves on a balanced load, first %+v", len(moves), moves[0])
		}
	}
}

// countedLoad returns the load that a count of random requests during a window shows.
func countedLoad(expected Load, window time.Duration, random *rand.Rand) Load {
	counted, sums := make(Load, len(expected)), make([]float64, len(expected))
	total := 0.0
	for key, load := range expected {
		total += float64(load)
		sums[key] = total
	}
	for range int(total * window.Seconds()) {
		key, _ := slices.BinarySearch(sums, random.Float64()*total)
		counted[key] += float32(1 / window.Seconds())
	}
	return counted
}

func TestNoiseOfCountsMovesFewKeys(t *testing.T) {
	const maxKeysPerPlan = (MaxKey + 1) / 1000
	for _, test := range []struct {
		total   float64
		window  time.Duration
		maxKeys int
	}{{100, 5 * time.Second, 0}, {1115, 2 * time.Second, maxKeysPerPlan}, {1115, 5 * time.Second, maxKeysPerPlan}} {
		random := rand.New(rand.NewPCG(1, 2))
		c, expected := newCluster(testReplicas(112, 6), 8), clusteredLoad(test.total, 20000, 0.44)
		c.settle(expected, 64, 20)
		const plans = 60
		count, keys := 0, 0
		for range plans {
			load := countedLoad(expected, test.window, random)
			moves := PlanMoves(PlanInput{Ranges: c.ranges(), Replicas: c.replicas, Load: load, LoadWindow: test.window, MaxMoves: 64})
			c.apply(moves)
			count += len(moves)
			keys += keysOf(moves)
		}
		t.Logf("%g requests per second counted over %v: %d moves of %d keys in %d plans", test.total, test.window, count, keys, plans)
		if keys > plans*test.maxKeys {
			t.Errorf("%d keys moved, want at most %d", keys, plans*test.maxKeys)
		}
	}
}

func TestAllKeysLeaveIneligibleReplicasForManyHeirs(t *testing.T) {
	for _, load := range []Load{nil, clusteredLoad(1115, 20000, 0.44)} {
		c := newCluster(testReplicas(112, 6), 8)
		gone := c.replicas[40].ID
		c.replicas = slices.Delete(c.replicas, 40, 41)
		heirs, keys := map[string]bool{}, 0
		for _, move := range c.plan(load, 128) {
			if c.ranges()[Find(c.ranges(), move.From)].Owner == gone {
				heirs[move.Target] = true
				keys += int(move.To) - int(move.From) + 1
			}
		}
		want := 0
		for _, r := range c.ranges() {
			if r.Owner == gone {
				want += r.Size()
			}
		}
		if keys != want || len(heirs) < 5 {
			t.Errorf("%d of %d keys leave, to %d heirs", keys, want, len(heirs))
		}
	}
}

func TestLossOfZoneIsSpreadWithinFewPlans(t *testing.T) {
	c, load := newCluster(testReplicas(112, 6), 8), clusteredLoad(1115, 20000, 0.44)
	c.replicas = slices.DeleteFunc(c.replicas, func(r Replica) bool { return r.Zone == "zone1" })
	rounds, _ := c.settle(load, 128, 20)
	if ratio, _ := c.maxRatio(load); rounds > 4 || ratio > 1.35 {
		t.Errorf("%d rounds, a replica has %.2f times the mean load", rounds, ratio)
	}
}

func TestNewReplicasGetKeysInFirstPlanAndTheirShareSoon(t *testing.T) {
	for _, test := range []struct {
		name     string
		load     Load
		maxMoves int
	}{{"no load", nil, 128}, {"clustered", clusteredLoad(782, 50000, 0.44), 32}} {
		c, load := newCluster(testReplicas(112, 4), 8), test.load
		c.replicas = testReplicas(127, 4)
		moves := c.plan(load, test.maxMoves)
		started := map[string]int{}
		for _, move := range moves {
			started[move.Target]++
		}
		_, keys := c.settle(load, test.maxMoves, 20)
		weights := load
		if load == nil {
			weights = clusteredLoad(1000, 0, 0)
		}
		got := sumOf(weights)
		for _, r := range c.ranges() {
			if r.Owner < "replica112" {
				got -= sumOf(weights[int(r.From) : int(r.To)+1])
			}
		}
		share := got / sumOf(weights) * 127 / 15
		if len(started) < 15 || share < 0.6 || share > 1 || keys > (MaxKey+1)/8 {
			t.Errorf("%s: %d of 15 start, they get %.2f of a fair share by %d moved keys", test.name, len(started), share, keys)
		}
	}
}

func TestHotKeysSpreadWithinTwoPlans(t *testing.T) {
	const capacity = 1 / 0.22 // requests per second and slot
	for _, test := range []struct {
		first, count, minOwners int
	}{{30000, 200, 15}, {4000, 40, 12}, {65000, 500, 15}} {
		t.Run(fmt.Sprint(test.count), func(t *testing.T) {
			c, calm := newCluster(testReplicas(112, 6), 8), clusteredLoad(1115, 20000, 0.44)
			c.settle(calm, 64, 20)
			load := withHotKeys(calm, test.first, test.count, 0.35)
			rounds, keys := 0, 0
			for ; rounds < 10; rounds++ {
				if _, level := c.maxRatio(load); level <= capacity {
					break
				}
				moves := c.plan(load, 64)
				keys += keysOf(moves)
				c.apply(moves)
			}
			owners := map[string]bool{}
			for key := test.first; key < test.first+test.count; key++ {
				owners[atKey(c.table, uint16(key)).Owner] = true
			}
			t.Logf("below capacity after %d plans and %d moved keys, %d owners", rounds, keys, len(owners))
			if rounds > 2 || len(owners) < test.minOwners || keys > (MaxKey+1)/20 {
				t.Errorf("%d plans, %d owners, %d moved keys", rounds, len(owners), keys)
			}
		})
	}
}

func TestReplicasWithFreeSlotsKeepTheirKeys(t *testing.T) {
	const serviceTime = 220 * time.Millisecond
	calm := clusteredLoad(1115, 20000, 0.44)
	for _, test := range []struct{ count, maxKeys int }{{20, (MaxKey + 1) / 4}, {40, (MaxKey + 1) / 50}, {200, (MaxKey + 1) / 50}} {
		c := newCluster(testReplicas(112, 6), 8)
		load := withHotKeys(calm, 30000, test.count, 0.35)
		rounds, keys := 0, 0
		for ; rounds < 20; rounds++ {
			moves := PlanMoves(PlanInput{Ranges: c.ranges(), Replicas: c.replicas, Load: load, ServiceTime: serviceTime, MaxMoves: 64})
			if len(moves) == 0 {
				break
			}
			c.apply(moves)
			keys += keysOf(moves)
		}
		_, level := c.maxRatio(load)
		utilization := level * serviceTime.Seconds()
		t.Logf("%d hot keys: %d plans, %d moved keys, utilization %.2f", test.count, rounds, keys, utilization)
		if rounds == 20 || keys > test.maxKeys || utilization > 0.65 {
			t.Errorf("%d hot keys: %d plans, %d moved keys, utilization %.2f", test.count, rounds, keys, utilization)
		}
	}
}

func TestSingleHotKeyStaysAndOtherLoadLeaves(t *testing.T) {
	c, calm := newCluster(testReplicas(112, 6), 8), clusteredLoad(1115, 20000, 0.44)
	const hotKey = 20003
	owner := atKey(c.table, hotKey).Owner
	load := withHotKeys(calm, hotKey, 1, 0.2)
	c.settle(load, 64, 20)
	other := -float64(load[hotKey])
	for _, r := range c.ranges() {
		if r.Owner == owner {
			other += sumOf(load[int(r.From) : int(r.To)+1])
		}
	}
	if got := atKey(c.table, hotKey).Owner; got != owner || other > 0.2*sumOf(load)/112 {
		t.Errorf("the key is on %s, before on %s, with %.1f other requests per second", got, owner, other)
	}
}

func TestRebalancingMovesFewKeys(t *testing.T) {
	c, load := newCluster(testReplicas(112, 6), 8), clusteredLoad(1115, 20000, 0.44)
	rounds, keys := c.settle(load, 64, 20)
	t.Logf("%d rounds, %d moved keys", rounds, keys)
	if share := float64(keys) / (MaxKey + 1); share > 0.1 {
		t.Errorf("%.3f of all keys moved", share)
	}
}

func TestNumberOfRangesStaysBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	c, calm := newCluster(testReplicas(112, 6), 8), clusteredLoad(1115, 20000, 0.44)
	tuning := DefaultTuning()
	tuning.MaxRanges = 1100
	const maxMoves, margin = 64, 400
	load, most := calm, 0
	for round := range 300 {
		switch round % 20 {
		case 0:
			load = calm
		case 10:
			load = withHotKeys(calm, random.IntN(MaxKey-300), 1+random.IntN(300), 0.35)
		}
		input := PlanInput{Ranges: c.ranges(), Replicas: c.replicas, Load: load, LoadWindow: 5 * time.Second, MaxMoves: maxMoves, Tuning: tuning}
		c.apply(PlanMoves(input))
		c.table = Join(c.table, testService, tuning.MaxRanges, func(Range) bool { return true })
		most = max(most, len(c.ranges()))
	}
	t.Logf("at most %d ranges, %d at the end", most, len(c.ranges()))
	if most > tuning.MaxRanges+margin {
		t.Errorf("%d ranges, want about %d", most, tuning.MaxRanges)
	}
}

func TestChooseTargetSpreadsByLoad(t *testing.T) {
	c, load := newCluster(testReplicas(10, 6), 1), clusteredLoad(100, 0, 0)
	c.replicas = append(c.replicas, Replica{ID: "idle", Slots: 6})
	input := PlanInput{Ranges: c.ranges(), Replicas: c.replicas, Load: load}
	if got := ChooseTarget(input, 0, 99); got != "idle" {
		t.Errorf("target %q, want the idle replica", got)
	}
	input.Replicas = c.replicas[:2]
	if got := ChooseTargets(input, []Range{{From: 60000, To: 60999}, {From: 61000, To: 61999}}); got[0] == got[1] {
		t.Errorf("both ranges go to %q", got[0])
	}
	input.Replicas = nil
	if got := ChooseTarget(input, 0, 99); got != "" {
		t.Errorf("target %q although none is eligible", got)
	}
}

func BenchmarkPlanMoves(b *testing.B) {
	calm := clusteredLoad(1115, 20000, 0.44)
	hot, few := withHotKeys(calm, 30000, 200, 0.35), withHotKeys(calm, 30000, 20, 0.35)
	settled := newCluster(testReplicas(127, 6), 8)
	settled.settle(calm, 64, 20)
	joined := &cluster{table: settled.table, replicas: testReplicas(142, 6)}
	lost := &cluster{table: settled.table, replicas: settled.replicas[42:]}
	for _, bench := range []struct {
		name string
		c    *cluster
		load Load
	}{{"balanced", settled, calm}, {"hot", settled, hot}, {"fewHot", settled, few}, {"joined", joined, calm}, {"lost", lost, calm}} {
		b.Run(bench.name, func(b *testing.B) {
			for b.Loop() {
				bench.c.plan(bench.load, 128)
			}
		})
	}
}
