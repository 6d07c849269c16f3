package granter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
)

const (
	worldTick  = 50 * time.Millisecond
	worldTicks = 1600

	worldRecoveryTicks = 500
)

// world runs two members with Granters against replicas, with random delays, losses, crashes and view changes, and clocks of different rates.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Duration
	view     uint64
	heads    map[uint64]int // by view
	members  [2]*worldMember
	table    ownership.Table // committed
	revision int
	replicas map[string]*worldReplica
	events   []worldEvent
	services []string
	grants   int // accepted
	moves    int // accepted grants of keys that another replica held last
	quiet    bool
}

type worldMember struct {
	granter         *Granter
	rate            float64 // of its clock
	started         int     // counts restarts
	view            uint64  // installed
	authorizedUntil time.Duration
	table           ownership.Table
	revision        int
	pending         bool
}

// worldReplica is a replica with the lease and the greatest token of each key.
type worldReplica struct {
	instance    fleet.Instance
	silentUntil time.Duration
	leaseUntil  [ownership.MaxKey + 1]time.Duration
	token       [ownership.MaxKey + 1]uint64
}

type worldEvent struct {
	at  time.Duration
	run func()
}

// TestNoTwoHoldersInRandomFaults guards against leases of two replicas on the same keys, and against keys that nobody holds after the faults.
func TestNoTwoHoldersInRandomFaults(t *testing.T) {
	seeds := uint64(12)
	if os.Getenv("ZINCLOFT_LONG") != "" {
		seeds = 600
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, seed)
			for range worldTicks {
				w.tick()
			}
			t.Logf("view %d, token %d, %d grants, %d to another replica than before", w.view, w.table.LastToken, w.grants, w.moves)
			if w.moves == 0 {
				t.Error("no keys were moved")
			}
			w.recover()
			w.checkHolders()
		})
	}
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, view: 1, heads: map[uint64]int{1: 0}, services: []string{service}}
	for i := range w.members {
		w.members[i] = &worldMember{granter: New(Options{}), rate: 1 + 0.01*w.random.Float64(), view: 1}
	}
	w.replicas = map[string]*worldReplica{}
	for i := range 3 {
		w.addReplica(fmt.Sprint("r", i))
	}
	return w
}

func (w *world) addReplica(id string) {
	w.replicas[id] = &worldReplica{instance: fleet.Instance{ID: id, Service: service, Addr: id, Slots: 4}}
}

// chance reports true once in n times on average.
func (w *world) chance(n int) bool { return w.random.IntN(n) == 0 }

func (w *world) delay(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

func (w *world) after(delay time.Duration, run func()) {
	w.events = append(w.events, worldEvent{w.now + delay, run})
}

// tick lets the events that are due happen, injects faults and steps the members.
func (w *world) tick() {
	end := w.now + worldTick
	for {
		next := -1
		for i, event := range w.events {
			if event.at <= end && (next < 0 || event.at < w.events[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		event := w.events[next]
		w.events = slices.Delete(w.events, next, next+1)
		w.now = max(w.now, event.at)
		event.run()
	}
	w.now = end
	w.injectFaults()
	for i := range w.members {
		w.read(i)
		w.step(i)
	}
}

func (w *world) injectFaults() {
	switch {
	case w.quiet:
	case w.chance(100):
		w.view++
		w.heads[w.view] = w.random.IntN(2)
		for _, member := range w.members {
			view := w.view
			w.after(w.delay(1500*time.Millisecond), func() { member.view = max(member.view, view) })
		}
	case w.chance(200):
		member := w.members[w.random.IntN(2)]
		*member = worldMember{granter: New(Options{}), rate: member.rate, started: member.started + 1, view: member.view}
	case w.chance(120):
		w.replicas[fmt.Sprint("r", w.random.IntN(3))].silentUntil = w.now + w.delay(8*time.Second)
	case w.chance(100):
		replica := w.replicas[fmt.Sprint("r", w.random.IntN(3))]
		replica.instance.Draining = !replica.instance.Draining
	case w.chance(200) && len(w.services) > 0:
		w.services = nil
		w.after(w.delay(6*time.Second), func() { w.services = []string{service} })
	}
}

// recover ends all faults and gives the members time.
func (w *world) recover() {
	w.quiet = true
	w.services = []string{service}
	for _, replica := range w.replicas {
		replica.silentUntil, replica.instance.Draining = 0, false
	}
	for range worldRecoveryTicks {
		w.tick()
	}
}

// checkHolders checks that every replica owns keys, and that owners hold theirs.
func (w *world) checkHolders() {
	owned := map[string]int{}
	for _, r := range w.table.Services[service] {
		owned[r.Owner] += r.Size()
		for key := int(r.From); key <= int(r.To); key++ {
			if r.Phase != ownership.PhaseGranted || w.replicas[r.Owner].leaseUntil[key] <= w.now {
				w.t.Fatalf("key %d of %+v is not held after the faults", key, r)
			}
		}
	}
	if len(owned) != len(w.replicas) {
		w.t.Errorf("keys by owner: %v, want keys for each of %d replicas", owned, len(w.replicas))
	}
}

// read starts a linearizable read of a member, which a quorum confirms in the latest view only.
func (w *world) read(i int) {
	member, started := w.members[i], w.members[i].started
	if w.heads[member.view] != i || !w.chance(5) {
		return
	}
	view, until := member.view, w.clock(i)+AuthorityDuration
	w.after(w.delay(100*time.Millisecond), func() {
		if w.view != view {
			return
		}
		w.after(w.delay(200*time.Millisecond), func() {
			if member.view == view && member.started == started {
				member.authorizedUntil = until
				if w.view == view {
					member.table, member.revision = w.table, w.revision
				}
			}
		})
		if member.view == view && member.started == started {
			member.table, member.revision = w.table, w.revision
		}
	})
}

func (w *world) clock(i int) time.Duration { return time.Duration(float64(w.now) * w.members[i].rate) }

func (w *world) step(i int) {
	member := w.members[i]
	input := Input{
		View:            member.view,
		Head:            w.heads[member.view] == i,
		AuthorizedUntil: member.authorizedUntil,
		Table:           member.table,
		Services:        w.services,
		ProposalPending: member.pending,
	}
	for n := range len(w.replicas) {
		input.Instances = append(input.Instances, w.replicas[fmt.Sprint("r", n)].instance)
	}
	if member.granter.leading && member.granter.view != member.view {
		member.authorizedUntil, input.AuthorizedUntil = 0, 0
	}
	output := member.granter.Step(w.clock(i), input)
	for _, call := range output.Calls {
		w.start(i, call)
	}
	if output.Proposal != nil {
		w.propose(i, *output.Proposal)
	}
}

// propose commits a table on condition that the committed one has not changed, or loses it.
func (w *world) propose(i int, table ownership.Table) {
	member, started, expected := w.members[i], w.members[i].started, w.members[i].revision
	member.pending = true
	lost := w.chance(20)
	w.after(w.delay(150*time.Millisecond), func() {
		if expected == w.revision && !lost {
			w.checkTable(table)
			w.table, w.revision = table, w.revision+1
			for head, latest := range w.members {
				if latest.view == w.view && w.heads[w.view] == head {
					latest.table, latest.revision = w.table, w.revision
				}
			}
		}
		if member.started == started {
			member.pending = false
		}
	})
}

// checkTable checks that the ranges of a new table cover all keys and that changed ones have new tokens.
func (w *world) checkTable(table ownership.Table) {
	ranges, former := table.Services[service], w.table.Services[service]
	if len(ranges) == 0 {
		return
	}
	if err := ownership.CheckPartition(ranges); err != nil {
		w.t.Fatal(err)
	}
	for _, r := range ranges {
		if len(former) == 0 {
			continue
		}
		before := former[ownership.Find(former, r.From)]
		if changed := before.Owner != r.Owner || before.Phase != r.Phase; changed && r.Token <= w.table.LastToken {
			w.t.Fatalf("%+v became %+v without a new token", before, r)
		}
	}
}

// start sends a call unless it is too late. It arrives before it ends, or never; its answer may be lost.
func (w *world) start(i int, call ownership.Call) {
	member, started := w.members[i], w.members[i].started
	finish := func(outcome ownership.CallOutcome) {
		if member.started == started {
			member.granter.HandleResult(w.clock(i), ownership.CallResult{ID: call.ID, Outcome: outcome})
		}
	}
	w.after(w.delay(30*time.Millisecond), func() {
		switch replica := w.replicas[call.Replica]; {
		case member.started != started:
		case w.clock(i) > call.NotAfter:
			finish(ownership.CallNotSent)
		case replica.silentUntil > w.now && w.chance(2):
			w.after(call.Timeout, func() { finish(ownership.CallUnanswered) })
		case replica.silentUntil > w.now || w.chance(50):
			w.after(w.delay(call.Timeout), func() { w.arrive(replica, call) })
			w.after(call.Timeout, func() { finish(ownership.CallUnanswered) })
		default:
			w.after(w.delay(20*time.Millisecond), func() {
				outcome := w.arrive(replica, call)
				w.after(w.delay(20*time.Millisecond), func() { finish(outcome) })
			})
		}
	})
}

// arrive performs a call at a replica whose clock runs up to 2% slow, and checks that no other one holds the keys.
func (w *world) arrive(replica *worldReplica, call ownership.Call) ownership.CallOutcome {
	for key := int(call.From); key <= int(call.To); key++ {
		if call.Kind == ownership.CallGrant && replica.token[key] > call.Token {
			return ownership.CallFenced
		}
	}
	until := time.Duration(0)
	if call.Kind == ownership.CallGrant {
		until = w.now + call.Hold + w.delay(call.Hold/50)
		w.countGrant(replica, call)
	}
	for key := int(call.From); key <= int(call.To); key++ {
		replica.leaseUntil[key] = until
		replica.token[key] = max(replica.token[key], call.Token)
	}
	return ownership.CallAccepted
}

func (w *world) countGrant(replica *worldReplica, call ownership.Call) {
	w.grants++
	moved := false
	for _, other := range w.replicas {
		if other == replica {
			continue
		}
		for key := int(call.From); key <= int(call.To); key++ {
			moved = moved || other.token[key] > replica.token[key]
			if other.leaseUntil[key] > w.now {
				w.t.Fatalf("at %v %s is granted key %d with token %d, which %s holds with %d until %v",
					w.now, replica.instance.ID, key, call.Token, other.instance.ID, other.token[key], other.leaseUntil[key])
			}
		}
	}
	if moved {
		w.moves++
	}
}
