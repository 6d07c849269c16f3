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
	heartbeatInterval    = 1500 * time.Millisecond
	drainDeadline        = 2 * time.Second // as in settingsTemplate
	departureServingTime = 6 * time.Second // longer than the drain deadline, to detect late requests
	serviceTime          = 20 * time.Millisecond
	replicaSlots         = 8
	departureAttempts    = 12 // then the replica stops without an acknowledgement
	ackRetryPause        = 200 * time.Millisecond
)

// fleetLayout lists the service and the zone of each replica. A replica that stops is replaced at its position.
var fleetLayout = []struct{ service, zone string }{
	{"reads", "a"}, {"reads", "b"}, {"reads", "c"}, {"reads", "a"},
	{"orders", "a"}, {"orders", "b"}, {"orders", "c"},
}

// misbehaviours are the behaviours that setMisbehaviours picks from.
var misbehaviours = []upstream.Behaviour{
	upstream.AnswersCorrectly, upstream.RejectsNotExecuted, upstream.TruncatesResponse, upstream.SendsGarbage, upstream.OmitsSeal,
	upstream.ClosesWithoutResponse, upstream.NeverResponds, upstream.SendsExtraResponse, upstream.SendsStaleResponseFirst,
	upstream.RespondsInternalError, upstream.ClosesAfterResponse, upstream.OmitsNotExecuted, upstream.OmitsAttemptID,
}

// fleet manages the running replicas and those that are leaving.
type fleet struct {
	cluster *cluster
	random  *rand.Rand

	mu       sync.Mutex
	replicas []*replica // by position in fleetLayout
	started  int
	leaving  sync.WaitGroup
}

// replica is a fake replica from its start to its end.
type replica struct {
	server   *upstream.Replica
	link     *relay // from the gateways
	instance *Instance
	target   string // member that receives the next heartbeat
	sequence uint64
	stop     context.CancelFunc // stops the heartbeats
}

func newFleet(c *cluster, random *rand.Rand) *fleet {
	return &fleet{cluster: c, random: random, replicas: make([]*replica, len(fleetLayout))}
}

// startAll starts a replica at each position.
func (f *fleet) startAll(ctx context.Context) error {
	for position := range fleetLayout {
		if err := f.replace(ctx, position); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a new replica at a position. It does not stop the previous one.
func (f *fleet) replace(ctx context.Context, position int) error {
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
	layout := fleetLayout[position]
	started := &replica{server: server, link: link, instance: &Instance{ID: id, Service: layout.service, Zone: layout.zone}}
	started.target = f.cluster.members[f.random.IntN(len(f.cluster.members))].name
	server.SetExecutionHook(func(attempt string) { f.cluster.recordExecution(attempt, id) })
	f.cluster.record.update(func(r *Record) { r.Instances = append(r.Instances, started.instance) })
	heartbeatContext, stop := context.WithCancel(ctx)
	started.stop = stop
	f.replicas[position] = started
	go f.sendHeartbeats(heartbeatContext, started)
	return nil
}

func (c *cluster) recordExecution(attempt, instance string) {
	at := c.now()
	c.record.update(func(r *Record) {
		r.Executions = append(r.Executions, Execution{RequestID: attempt, Instance: instance, At: at})
	})
}

// sendHeartbeats sends heartbeats until ctx ends.
func (f *fleet) sendHeartbeats(ctx context.Context, r *replica) {
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

// heartbeat sends one heartbeat and reports whether it was acknowledged. If not, the next one goes to another member.
func (f *fleet) heartbeat(r *replica, state string) bool {
	r.sequence++
	body := upstream.NewHeartbeat(r.instance.Service, r.link.address(), r.instance.Zone, replicaSlots, r.sequence)
	body.State = state
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	status, response := f.cluster.callMember(r.target, "call=instances.heartbeat&of="+r.instance.ID, encoded)
	if status != http.StatusOK {
		f.advanceTarget(r)
		return false
	}
	var decoded struct {
		HeartbeatTarget string `json:"heartbeat_target"`
	}
	if json.Unmarshal(response, &decoded) == nil && state == "ready" {
		for _, member := range f.cluster.members {
			if member.controlAddress() == decoded.HeartbeatTarget {
				r.target = member.name
			}
		}
	}
	return true
}

func (f *fleet) advanceTarget(r *replica) {
	members := f.cluster.members
	for i, member := range members {
		if member.name == r.target {
			r.target = members[(i+1)%len(members)].name
			return
		}
	}
}

// detach stops the heartbeats of the replica at a position, replaces it and returns it.
func (f *fleet) detach(ctx context.Context, position int) *replica {
	f.mu.Lock()
	detached := f.replicas[position%len(f.replicas)]
	f.mu.Unlock()
	detached.stop()
	if err := f.replace(ctx, position%len(fleetLayout)); err != nil {
		f.cluster.progressf("starting a replica failed: %v", err)
	}
	return detached
}

// crash stops a replica without notice.
func (f *fleet) crash(ctx context.Context, position int) {
	crashed := f.detach(ctx, position)
	f.stopReplica(crashed)
}

func (f *fleet) stopReplica(r *replica) {
	at := f.cluster.now()
	f.cluster.record.update(func(*Record) { r.instance.EndedAt = at })
	r.server.Close()
	r.link.close()
}

// leave makes a replica leave as planned: it announces a drain or deregisters, continues to serve for departureServingTime and then stops.
// member receives the first announcement; if it is empty, the target of the heartbeats does.
func (f *fleet) leave(ctx context.Context, position int, departure, member string) {
	leaving := f.detach(ctx, position)
	if member != "" {
		leaving.target = member
	}
	f.leaving.Go(func() {
		for range departureAttempts {
			if f.announceDeparture(leaving, departure) {
				break
			}
			time.Sleep(ackRetryPause)
		}
		if departure == departureDrain { // a draining replica continues to send heartbeats
			for range int(departureServingTime / heartbeatInterval) {
				time.Sleep(heartbeatInterval)
				f.heartbeat(leaving, "draining")
			}
		} else {
			time.Sleep(departureServingTime)
		}
		f.stopReplica(leaving)
	})
}

// Values of Instance.Departure.
const (
	departureDrain          = "drain"
	departureDeregistration = "deregistration"
)

// announceDeparture announces a departure to the target member and reports whether it was acknowledged.
func (f *fleet) announceDeparture(r *replica, departure string) bool {
	member, acknowledged := r.target, false
	if departure == departureDrain {
		acknowledged = f.heartbeat(r, "draining")
	} else {
		status, _ := f.cluster.callMember(r.target, "call=instances.deregister&of="+r.instance.ID, nil)
		if acknowledged = status == http.StatusOK; !acknowledged {
			f.advanceTarget(r)
		}
	}
	if acknowledged {
		now := f.cluster.now()
		f.cluster.record.update(func(*Record) {
			r.instance.AcknowledgedAt, r.instance.AcknowledgedBy, r.instance.Departure = now, member, departure
		})
	}
	return acknowledged
}

// setMisbehaviours makes all replicas answer their next requests with random misbehaviours.
func (f *fleet) setMisbehaviours(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		behaviours := make([]upstream.Behaviour, requests)
		for i := range behaviours {
			behaviours[i] = misbehaviours[f.random.IntN(len(misbehaviours))]
		}
		r.server.SetBehaviours(behaviours...)
	}
}

// clearMisbehaviours makes all replicas answer correctly again.
func (f *fleet) clearMisbehaviours() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		r.server.SetBehaviours()
	}
}

func (f *fleet) linkAt(position int) *relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[position%len(f.replicas)].link
}

// close waits for leaving replicas, then stops all others.
func (f *fleet) close() {
	f.leaving.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		if r != nil {
			r.stop()
			r.server.Close()
			r.link.close()
		}
	}
}
