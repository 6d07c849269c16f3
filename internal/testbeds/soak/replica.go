package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	drainDeadline     = 2 * time.Second // of the settings
	servesOnFor       = 6 * time.Second // a replica that leaves serves on longer than it has to
	serviceTime       = 20 * time.Millisecond
	replicaSlots      = 8
	ackAttempts       = 12 // calls until a replica ends without an acknowledgement
	ackRetryPause     = 200 * time.Millisecond
)

// fleetShape lists the service and the zone of each replica that there is at any time.
var fleetShape = []struct{ service, zone string }{
	{"reads", "a"}, {"reads", "b"}, {"reads", "c"}, {"reads", "a"},
	{"orders", "a"}, {"orders", "b"}, {"orders", "c"},
}

// misbehaviours are drawn from while replicas misbehave.
var misbehaviours = []upstream.Behaviour{
	upstream.AnswersCorrectly, upstream.RejectsNotExecuted, upstream.TruncatesResponse, upstream.SendsGarbage, upstream.OmitsSeal,
	upstream.ClosesWithoutResponse, upstream.NeverResponds, upstream.SendsExtraResponse, upstream.SendsStaleResponseFirst,
	upstream.RespondsInternalError, upstream.ClosesAfterResponse, upstream.OmitsNotExecuted, upstream.OmitsAttemptID,
}

// fleet is the replicas: in each place one that lives, beside those that are leaving.
type fleet struct {
	cluster *cluster
	random  *rand.Rand

	mu      sync.Mutex
	places  []*replica
	started int
	leaving sync.WaitGroup
}

// replica is one life of a replica.
type replica struct {
	server   *upstream.Replica
	link     *relay // between the gateways and it
	instance *Instance
	target   string // member that takes its next heartbeat
	sequence uint64
	stop     context.CancelFunc // of its heartbeats
}

func newFleet(c *cluster, random *rand.Rand) *fleet {
	return &fleet{cluster: c, random: random, places: make([]*replica, len(fleetShape))}
}

// fill starts a replica in each place.
func (f *fleet) fill(ctx context.Context) error {
	for place := range fleetShape {
		if err := f.replace(ctx, place); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a new replica in a place, whatever was there.
func (f *fleet) replace(ctx context.Context, place int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	id := fmt.Sprintf("i-%d", f.started)
	server, err := upstream.Start(id)
	if err != nil {
		return err
	}
	server.ServiceTime = serviceTime
	link, err := newRelay("127.0.0.1:0", server.Addr())
	if err != nil {
		return err
	}
	shape := fleetShape[place]
	started := &replica{server: server, link: link, instance: &Instance{ID: id, Service: shape.service, Zone: shape.zone}}
	started.target = f.cluster.members[f.random.IntN(len(f.cluster.members))].name
	server.SetExecutionHook(func(attempt string) { f.cluster.noteExecution(attempt, id) })
	f.cluster.record.change(func(r *Record) { r.Instances = append(r.Instances, started.instance) })
	beating, stop := context.WithCancel(ctx)
	started.stop = stop
	f.places[place] = started
	go f.beat(beating, started)
	return nil
}

func (c *cluster) noteExecution(attempt, instance string) {
	at := c.now()
	c.record.change(func(r *Record) {
		r.Executions = append(r.Executions, Execution{RequestID: attempt, Instance: instance, At: at})
	})
}

// beat sends heartbeats until ctx ends.
func (f *fleet) beat(ctx context.Context, r *replica) {
	for ctx.Err() == nil {
		pause := heartbeatInterval
		if !f.heartbeat(r, "ready") {
			pause = ackRetryPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// heartbeat sends one heartbeat, and tells whether it was acknowledged. Without, the next one goes to another member.
func (f *fleet) heartbeat(r *replica, state string) bool {
	r.sequence++
	body := upstream.NewHeartbeat(r.instance.Service, r.link.address(), r.instance.Zone, replicaSlots, r.sequence)
	body.State = state
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	status, answer := f.cluster.callMember(r.target, "call=instances.heartbeat&of="+r.instance.ID, encoded)
	if status != http.StatusOK {
		f.turnToNext(r)
		return false
	}
	var told struct {
		HeartbeatTarget string `json:"heartbeat_target"`
	}
	if json.Unmarshal(answer, &told) == nil && state == "ready" {
		for _, member := range f.cluster.members {
			if member.controlAddress() == told.HeartbeatTarget {
				r.target = member.name
			}
		}
	}
	return true
}

func (f *fleet) turnToNext(r *replica) {
	members := f.cluster.members
	for i, member := range members {
		if member.name == r.target {
			r.target = members[(i+1)%len(members)].name
			return
		}
	}
}

// take removes the replica of a place, and starts another there.
func (f *fleet) take(ctx context.Context, place int) *replica {
	f.mu.Lock()
	taken := f.places[place%len(f.places)]
	f.mu.Unlock()
	taken.stop()
	if err := f.replace(ctx, place%len(fleetShape)); err != nil {
		f.cluster.progressf("a replica cannot be started: %v", err)
	}
	return taken
}

// crash ends a replica without a word.
func (f *fleet) crash(ctx context.Context, place int) {
	crashed := f.take(ctx, place)
	f.end(crashed)
}

func (f *fleet) end(r *replica) {
	at := f.cluster.now()
	f.cluster.record.change(func(*Record) { r.instance.EndedAt = at })
	r.server.Close()
	r.link.close()
}

// leave has a replica leave as planned: it says that it drains, or deregisters at once, serves on and ends. at names the member that
// is told first; empty: that of its heartbeats.
func (f *fleet) leave(ctx context.Context, place int, by, at string) {
	leaving := f.take(ctx, place)
	if at != "" {
		leaving.target = at
	}
	f.leaving.Go(func() {
		for range ackAttempts {
			if f.tellLeaving(leaving, by) {
				break
			}
			time.Sleep(ackRetryPause)
		}
		if by == leavesByDraining { // it repeats what it said, as replicas do
			for range int(servesOnFor / heartbeatInterval) {
				time.Sleep(heartbeatInterval)
				f.heartbeat(leaving, "draining")
			}
		} else {
			time.Sleep(servesOnFor)
		}
		f.end(leaving)
	})
}

// Values of Instance.Departure.
const (
	leavesByDraining      = "drain"
	leavesByDeregistering = "deregistration"
)

// tellLeaving tells a member that the replica leaves, and tells whether that was acknowledged.
func (f *fleet) tellLeaving(r *replica, by string) bool {
	member, acknowledged := r.target, false
	if by == leavesByDraining {
		acknowledged = f.heartbeat(r, "draining")
	} else {
		status, _ := f.cluster.callMember(r.target, "call=instances.deregister&of="+r.instance.ID, nil)
		if acknowledged = status == http.StatusOK; !acknowledged {
			f.turnToNext(r)
		}
	}
	if acknowledged {
		now := f.cluster.now()
		f.cluster.record.change(func(*Record) {
			r.instance.AcknowledgedAt, r.instance.AcknowledgedBy, r.instance.Departure = now, member, by
		})
	}
	return acknowledged
}

// misbehave has all replicas meet a number of requests in ways drawn at random.
func (f *fleet) misbehave(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.places {
		behaviours := make([]upstream.Behaviour, requests)
		for i := range behaviours {
			behaviours[i] = misbehaviours[f.random.IntN(len(misbehaviours))]
		}
		r.server.SetBehaviours(behaviours...)
	}
}

// behave ends misbehave.
func (f *fleet) behave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.places {
		r.server.SetBehaviours()
	}
}

func (f *fleet) linkOf(place int) *relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.places[place%len(f.places)].link
}

// close ends all replicas, once those that leave have left.
func (f *fleet) close() {
	f.leaving.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.places {
		if r != nil {
			r.stop()
			r.server.Close()
			r.link.close()
		}
	}
}
