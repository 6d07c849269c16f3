package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin/shardreplica"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	drainDeadline     = 2 * time.Second // as in settingsTemplate
	serviceTime       = 20 * time.Millisecond
	replicaSlots      = 8
	ackRetryPause     = 200 * time.Millisecond
)

// Services of the configuration.
const (
	readsService   = "reads"
	ordersService  = "orders"
	shardedService = "shards"
)

// position is a place in the fleet. A replica that stops is replaced at its position.
type position struct{ service, zone string }

// plainPositions are those of the services that are not sharded.
var plainPositions = []position{
	{readsService, "a"}, {readsService, "b"}, {readsService, "c"}, {readsService, "a"},
	{ordersService, "a"}, {ordersService, "b"}, {ordersService, "c"},
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
	layout   []position
	replicas []*replica // by position
	extras   []*replica // sharded ones without a position
	started  int
	leaving  sync.WaitGroup

	nextAddress int // index of the address that was used last by a sharded replica
}

// server is the stand-in of a replica.
type server interface {
	Addr() string
	Close()
}

// replica is a fake replica from its start to its end.
type replica struct {
	server   server
	plain    *upstream.Replica     // nil if it is sharded
	shard    *shardreplica.Replica // nil if it is not sharded
	address  *shardAddress         // nil if it is not sharded
	link     *relay                // from the gateways
	instance *Instance
	target   string // member that receives the next heartbeat
	sequence uint64
	stop     context.CancelFunc // stops the heartbeats
}

func newFleet(c *cluster, random *rand.Rand) *fleet {
	layout := slices.Clone(plainPositions)
	for i := range c.options.Size.ShardReplicas {
		layout = append(layout, position{shardedService, zoneAt(i)})
	}
	return &fleet{cluster: c, random: random, layout: layout, replicas: make([]*replica, len(layout))}
}

// startAll starts a replica at each position.
func (f *fleet) startAll(ctx context.Context) error {
	for position := range f.layout {
		if _, err := f.replace(ctx, position); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a new replica at a position and returns the previous one, which it does not stop.
func (f *fleet) replace(ctx context.Context, position int) (previous *replica, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	started, err := f.start(ctx, f.layout[position])
	if err != nil {
		return nil, err
	}
	previous, f.replicas[position] = f.replicas[position], started
	return previous, nil
}

// start starts a replica and its heartbeats. The caller must hold mu.
func (f *fleet) start(ctx context.Context, at position) (*replica, error) {
	f.started++
	id := fmt.Sprintf("i-%d", f.started)
	started := &replica{instance: &Instance{ID: id, Service: at.service, Zone: at.zone}}
	startServer := f.startPlain
	if at.service == shardedService {
		startServer = f.startSharded
	}
	if err := startServer(started); err != nil {
		return nil, err
	}
	started.target = f.cluster.members[f.random.IntN(len(f.cluster.members))].name
	f.cluster.record.update(func(r *Record) { r.Instances = append(r.Instances, started.instance) })
	heartbeatContext, stop := context.WithCancel(ctx)
	started.stop = stop
	go f.sendHeartbeats(heartbeatContext, started)
	return started, nil
}

func (f *fleet) startPlain(r *replica) error {
	plain, err := upstream.Start(r.instance.ID)
	if err != nil {
		return err
	}
	plain.ServiceTime = serviceTime
	plain.SetExecutionHook(func(attempt string) { f.cluster.recordExecution(attempt, r.instance.ID) })
	r.server, r.plain = plain, plain
	r.link, err = newRelay("127.0.0.1:0", plain.Addr())
	return err
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

// detach replaces the replica at a position, stops its heartbeats and returns it.
func (f *fleet) detach(ctx context.Context, position int) (*replica, error) {
	detached, err := f.replace(ctx, position%len(f.layout))
	if err != nil {
		return nil, err
	}
	detached.stop()
	return detached, nil
}

// crash stops a replica without notice.
func (f *fleet) crash(ctx context.Context, position int) error {
	crashed, err := f.detach(ctx, position)
	if err != nil {
		return err
	}
	f.stopReplica(crashed)
	return nil
}

func (f *fleet) stopReplica(r *replica) {
	at := f.cluster.now()
	f.cluster.record.update(func(*Record) { r.instance.EndedAt = at })
	r.close()
	if r.address != nil {
		f.mu.Lock()
		r.address.inUse = false
		f.mu.Unlock()
	}
}

// close ends the replica. The relays of a sharded one remain for the next replica at its address.
func (r *replica) close() {
	r.server.Close()
	if r.address == nil {
		r.link.close()
	}
}

// setMisbehaviours makes all replicas answer their next requests with random misbehaviours.
func (f *fleet) setMisbehaviours(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		if r.plain == nil {
			continue
		}
		behaviours := make([]upstream.Behaviour, requests)
		for i := range behaviours {
			behaviours[i] = misbehaviours[f.random.IntN(len(misbehaviours))]
		}
		r.plain.SetBehaviours(behaviours...)
	}
}

// clearMisbehaviours makes all replicas answer correctly again.
func (f *fleet) clearMisbehaviours() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		if r.plain != nil {
			r.plain.SetBehaviours()
		}
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
	for _, r := range append(f.extras, f.replicas...) {
		if r != nil {
			r.stop()
			r.close()
		}
	}
}
