package controller

import (
	"maps"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

const (
	// publishInterval is how often non-urgent changes are published.
	publishInterval = 200 * time.Millisecond

	// keepaliveInterval is the maximum time between two updates on a stream; an empty update is sent if nothing has changed. It must stay
	// below messages.WarmupRateLifetime and the stream timeout of package gateway.
	keepaliveInterval = 400 * time.Millisecond

	// bootstrapIntervals is the number of heartbeat intervals after which a member that started or was isolated is assumed to know all instances.
	bootstrapIntervals = 2.2
)

// publicationRound holds the inputs shared by all streams in one publication round.
type publicationRound struct {
	now          time.Duration
	register     chainreplication.Register
	complete     bool // publish all changes; otherwise only the register
	gatewayCount int
	warmupRates  map[*gatewayStream]map[string]float32 // set if complete

	ownership map[uint64][]messages.ServiceOwnership // changes of the owners of shard keys since a revision, once they are needed
}

// publish sends pending updates to the gateways: first a snapshot, then deltas. Register changes are sent immediately. Other changes are batched
// for publishInterval, unless they are urgent or a gateway awaits its snapshot. An isolated member publishes nothing.
func (c *Controller) publish(now time.Duration, urgent bool) {
	register, known := c.coordinator.Register()
	if !known || c.isolated || !c.coordinator.HasQuorumContact(now) || c.config == nil {
		return
	}
	round := publicationRound{
		now:          now,
		register:     register,
		complete:     urgent || now-c.lastPublishAt >= publishInterval || c.snapshotsDue(),
		gatewayCount: c.gatewayCount(),
		ownership:    map[uint64][]messages.ServiceOwnership{},
	}
	c.updateWeights(now)
	if round.complete {
		c.lastPublishAt = now
		round.warmupRates = c.allocateWarmupRates(now)
	}
	for _, stream := range c.streams {
		if update, needed := c.nextUpdate(round, stream); needed {
			stream.lastSentAt = now
			c.actions.Publish = append(c.actions.Publish, Publication{[]uint64{stream.id}, update})
		}
	}
}

// snapshotsDue reports whether a gateway awaits its snapshot. The round that sends it must be complete, as a snapshot without instances would
// mean that none exist.
func (c *Controller) snapshotsDue() bool {
	for _, stream := range c.streams {
		if !stream.snapshotSent {
			return true
		}
	}
	return false
}

// updateWeights passes changed instances to the weighting manager.
func (c *Controller) updateWeights(now time.Duration) {
	revision := c.registry.Revision()
	if revision <= c.weightsRevision {
		return
	}
	c.weights.UpdateInstances(now, c.registry.ChangesSince(now, c.weightsRevision))
	c.weightsRevision = revision
}

// nextUpdate builds the update of a round for one gateway and reports whether it must be sent.
func (c *Controller) nextUpdate(round publicationRound, stream *gatewayStream) (update messages.StateUpdate, needed bool) {
	needed = round.now-stream.lastSentAt >= keepaliveInterval
	if !stream.snapshotSent {
		update.Full = true
		update.Bootstrapping = c.bootstrapping(round.now)
		update.WarmupRatesComplete = true
		stream.snapshotSent = true
		needed = true
	}
	needed = c.addRegister(&update, round, stream) || needed
	needed = c.addOwnership(&update, round, stream) || needed
	if !round.complete {
		return update, needed
	}
	needed = c.addInstances(&update, round, stream) || needed
	needed = c.addWeights(&update, stream) || needed
	needed = c.addMembers(&update, round, stream) || needed
	needed = addGatewayCount(&update, round, stream) || needed
	needed = addWarmupRates(&update, round, stream) || needed
	return update, needed
}

// addRegister adds the committed register and the gateway's maintenance window.
func (c *Controller) addRegister(update *messages.StateUpdate, round publicationRound, stream *gatewayStream) bool {
	register := round.register
	if stream.registerSent && register.Sequence <= stream.registerSequence {
		return false
	}
	update.Sequence = register.Sequence
	update.ConfigVersion = register.Version
	update.EvacuatedZones = sortedKeys(register.EvacuatedZones)
	if register.Version != stream.configVersion {
		update.Config = register.Body
	}
	stream.registerSent = true
	stream.registerSequence = register.Sequence
	stream.configVersion = register.Version
	if state := c.maintenanceState(); state.Enabled() {
		window := state.Instructions()[stream.gateway]
		update.MaintenanceEnabled = true
		update.Maintenance = messages.MaintenanceWindow{Phase: window.Phase, FencingToken: window.FencingToken}
	}
	return true
}

func (c *Controller) addInstances(update *messages.StateUpdate, round publicationRound, stream *gatewayStream) bool {
	revision := c.registry.Revision()
	if revision <= stream.instancesRevision && !update.Full {
		return false
	}
	update.Instances = c.registry.ChangesSince(round.now, stream.instancesRevision)
	stream.instancesRevision = revision
	return true
}

func (c *Controller) addWeights(update *messages.StateUpdate, stream *gatewayStream) bool {
	update.Weights = c.weights.TakeWeightChanges(stream.gateway)
	update.PairEjections = c.weights.TakePairEjections(stream.gateway)
	return len(update.Weights) > 0 || len(update.PairEjections) > 0
}

func (c *Controller) addMembers(update *messages.StateUpdate, round publicationRound, stream *gatewayStream) bool {
	if stream.membersSent {
		return false
	}
	update.Members = c.controlPlaneMembers(round.now)
	stream.membersSent = true
	return true
}

func addGatewayCount(update *messages.StateUpdate, round publicationRound, stream *gatewayStream) bool {
	if round.gatewayCount == stream.gatewayCount {
		return false
	}
	update.GatewayCount = round.gatewayCount
	stream.gatewayCount = round.gatewayCount
	return true
}

// addWarmupRates adds all warm-up rates of a gateway if any has changed. A snapshot always includes them, even if empty, as the gateway may
// hold rates from another member.
func addWarmupRates(update *messages.StateUpdate, round publicationRound, stream *gatewayStream) bool {
	rates := round.warmupRates[stream]
	if !update.Full && maps.Equal(rates, stream.warmupRates) {
		return false
	}
	update.WarmupRatesComplete = true
	stream.warmupRates = rates
	for _, id := range sortedKeys(rates) {
		update.WarmupRates = append(update.WarmupRates, messages.EndpointWeight{Replica: id, WarmupRate: rates[id]})
	}
	return true
}

// publishEjection notifies the gateways immediately of an ejected replica. Gateways that await their snapshot are skipped, as they do not know
// the replica yet.
func (c *Controller) publishEjection(ejection fleet.Ejection) {
	publication := Publication{Update: messages.StateUpdate{Ejections: []fleet.Ejection{ejection}}}
	for _, stream := range c.streams {
		if stream.snapshotSent {
			publication.Streams = append(publication.Streams, stream.id)
		}
	}
	if len(publication.Streams) > 0 {
		c.actions.Publish = append(c.actions.Publish, publication)
	}
}

// bootstrapping reports whether this member may not know all instances because it has just started or was isolated.
func (c *Controller) bootstrapping(now time.Duration) bool {
	return c.isolated || now-c.reconnectedAt < time.Duration(bootstrapIntervals*float64(c.options.HeartbeatInterval))
}

// controlPlaneMembers returns the members that a gateway may connect to, this one first.
func (c *Controller) controlPlaneMembers(now time.Duration) []fleet.Member {
	members := []fleet.Member{c.coordinator.Self()}
	for _, peer := range c.coordinator.Peers(now) {
		if peer.ID != "" && peer.Zone != "" {
			members = append(members, peer)
		}
	}
	return members
}
