package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"zincloft.example/zincloft/internal/testbeds/standin/shardreplica"
)

const (
	shardWarmUp      = time.Second // as in configurationTemplate
	shardWarmUpDelay = 100 * time.Millisecond

	// slowClockRate is the rate of the slowest clock that may measure a lease.
	slowClockRate = 0.98

	// Busy keys are neighbours. They move to another place after busyPlaceTime.
	busyShare     = 0.6
	busyKeys      = 48
	busyPlaceTime = 20 * time.Second
	busyPlaceStep = 20011

	sampledKeys      = 96 // must all be served again after the last fault
	sampleSenders    = 8
	shardServeLimit  = requestDeadline + responseSlack
	firstSampledKey  = 341
	sampledKeyStride = 65536 / sampledKeys
)

// errNoFreeAddress is returned if all addresses of sharded replicas are in use.
var errNoFreeAddress = errors.New("no free address for a sharded replica")

// shardAddress is an address that sharded replicas advertise, one after the other, and the links to it.
type shardAddress struct {
	gateways *relay            // from all gateways; listens on the advertised address
	members  map[string]*relay // from each member
	inUse    bool              // guarded by fleet.mu
}

func (a *shardAddress) advertised() string { return a.gateways.address() }

func (a *shardAddress) setTarget(target string) {
	a.gateways.setTarget(target)
	for _, linkRelay := range a.members {
		linkRelay.setTarget(target)
	}
}

func (a *shardAddress) close() {
	a.gateways.close()
	for _, linkRelay := range a.members {
		linkRelay.close()
	}
}

// startSharded starts the server of a sharded replica at the address that has been free for longest.
func (f *fleet) startSharded(r *replica) error {
	addresses := f.cluster.shardAddresses
	for range addresses {
		f.nextAddress = (f.nextAddress + 1) % len(addresses)
		if !addresses[f.nextAddress].inUse {
			r.address = addresses[f.nextAddress]
			break
		}
	}
	if r.address == nil {
		return errNoFreeAddress
	}
	shard, err := shardreplica.Start(r.instance.ID, f.cluster.shards, shardreplica.Options{
		Service:     shardedService,
		Zone:        r.instance.Zone,
		Slots:       replicaSlots,
		ServiceTime: serviceTime,
		WarmUp:      shardWarmUp,
		WarmUpDelay: shardWarmUpDelay,
		ClockRate:   slowClockRate,
	})
	if err != nil {
		return err
	}
	r.address.inUse = true
	r.address.setTarget(shard.Addr())
	r.server, r.shard, r.link = shard, shard, r.address.gateways
	return nil
}

// randomKey returns the shard key of a request at a time of the run.
func randomKey(random *rand.Rand, at time.Duration) uint16 {
	if random.Float64() >= busyShare {
		return uint16(random.IntN(1 << 16))
	}
	place := uint16((int(at/busyPlaceTime) + 1) * busyPlaceStep)
	return place + uint16(random.IntN(busyKeys)*random.IntN(busyKeys)/busyKeys)
}

// awaitKeys requests a sample of all keys through all gateways until each was served or a time of the run is reached. It returns those that were
// not served.
func (c *cluster) awaitKeys(ctx context.Context, until time.Duration) (keys []uint16) {
	for i := range sampledKeys {
		keys = append(keys, uint16(firstSampledKey+i*sampledKeyStride))
	}
	for c.now() < until && ctx.Err() == nil {
		if keys = c.unservedKeys(ctx, keys); len(keys) == 0 {
			break
		}
		time.Sleep(ackRetryPause)
	}
	return keys
}

// unservedKeys requests each key once and returns those that were not served.
func (c *cluster) unservedKeys(ctx context.Context, keys []uint16) (unserved []uint16) {
	var (
		mu      sync.Mutex
		senders sync.WaitGroup
	)
	for sender := range sampleSenders {
		senders.Go(func() {
			for i := sender; i < len(keys); i += sampleSenders {
				if !c.servesKey(ctx, c.gateways[i%len(c.gateways)], keys[i]) {
					mu.Lock()
					unserved = append(unserved, keys[i])
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	return unserved
}

func (c *cluster) servesKey(ctx context.Context, gateway *daemon, key uint16) bool {
	ctx, cancel := context.WithTimeout(ctx, shardServeLimit)
	defer cancel()
	sent := Request{Gateway: gateway.name, Kind: ShardSafeRequest, Key: key, SentAt: c.now()}
	sent.ID = fmt.Sprintf("key-%d-%s-%d", key, gateway.name, sent.SentAt)
	return c.sendOnce(ctx, gateway, sent, shardSafePath).Status == 200
}

// recordShards copies what the sharded replicas recorded.
func (c *cluster) recordShards() {
	calls, executions := c.shards.Calls(), c.shards.Executions()
	for i := range calls {
		calls[i].Sender = c.memberNameAt(calls[i].Sender)
	}
	c.record.update(func(r *Record) {
		r.ShardCalls, r.ShardExecutions = calls, executions
		for _, execution := range executions {
			r.Executions = append(r.Executions, Execution{RequestID: execution.Attempt, Instance: execution.Replica, At: execution.Begin})
		}
	})
}

// memberNameAt returns the name of the member with an IP address, or the address if there is none.
func (c *cluster) memberNameAt(ip string) string {
	for _, member := range c.members {
		if net.ParseIP(member.ip).Equal(net.ParseIP(ip)) {
			return member.name
		}
	}
	return ip
}
