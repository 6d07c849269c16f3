package controller

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/messages"
)

// warmupQuotaShare is the part of what a cold replica bears that is dealt out.
const warmupQuotaShare = 0.9

// warmupQuotaDelay is for how long a comb that is newly in touch deals nothing.
const warmupQuotaDelay = router.WarmupRateLifetime + 100*time.Millisecond

// gatewayStream is a forager that holds to this comb, with what it has been told.
type gatewayStream struct {
	id                uint64
	gateway           string
	zone              string
	snapshotSent      bool
	registerSequence  uint64
	registerSent      bool
	configVersion     uint64
	instancesRevision uint64
	membersSent       bool
	gatewayCount      int
	warmupQuotas      map[string]float32
	lastSentAt        time.Duration
	status            *messages.GatewayStatus // where windows are used
	statusAt          time.Duration
}

func (c *Controller) findStream(id uint64) *gatewayStream {
	for _, s := range c.streams {
		if s.id == id {
			return s
		}
	}
	return nil
}

// handleGatewayJoined has a forager wait until a majority has said, after it came, that what is committed here is the newest: else one
// that begins a new life could be handed what this comb knew before it was cut off or stood still. Those that come while
// the others are being asked wait for the next question.
func (c *Controller) handleGatewayJoined(now time.Duration, joined GatewayJoined) {
	if c.shuttingDown {
		c.actions.CloseStreams = append(c.actions.CloseStreams, joined.Stream)
		return
	}
	c.pendingJoins = append(c.pendingJoins, joined)
	c.confirmJoins(now)
}

func (c *Controller) confirmJoins(now time.Duration) {
	if c.confirmToken != 0 || len(c.pendingJoins) == 0 {
		return
	}
	c.confirmingJoins, c.pendingJoins = c.pendingJoins, nil
	token, a := c.coordinator.Read(now)
	c.confirmToken = token
	c.applyCoordinatorActions(now, a)
}

// completeJoins takes in the foragers for which the others were asked, or has them go elsewhere.
func (c *Controller) completeJoins(now time.Duration, status int) {
	joins := c.confirmingJoins
	c.confirmingJoins, c.confirmToken = nil, 0
	for _, join := range joins {
		if status != http.StatusOK && status != http.StatusNotFound {
			c.actions.CloseStreams = append(c.actions.CloseStreams, join.Stream)
			continue
		}
		c.streams = append(c.streams, &gatewayStream{id: join.Stream, gateway: join.Gateway, zone: join.Zone})
		c.weights.AddGateway(now, join.Gateway, join.Zone)
	}
	c.updateConnectivity(now)
	c.publish(now, true)
	c.confirmJoins(now)
}

func (c *Controller) handleGatewayLeft(now time.Duration, streamID uint64) {
	isStream := func(j GatewayJoined) bool { return j.Stream == streamID }
	c.pendingJoins, c.confirmingJoins = slices.DeleteFunc(c.pendingJoins, isStream), slices.DeleteFunc(c.confirmingJoins, isStream)
	stream := c.findStream(streamID)
	if stream == nil {
		return
	}
	c.streams = slices.DeleteFunc(c.streams, func(o *gatewayStream) bool { return o == stream })
	if slices.ContainsFunc(c.streams, func(o *gatewayStream) bool { return o.gateway == stream.gateway }) {
		return // it has come again meanwhile
	}
	c.weights.RemoveGateway(now, stream.gateway)
	c.logInfo("forager_left", "name", stream.gateway)
}

// handleReport takes what a forager met. What it was told by a comb before us is taken like another comb's word.
func (c *Controller) handleReport(now time.Duration, stream *gatewayStream, report *messages.LoadReport) {
	c.weights.RecordReport(now, stream.gateway, report)
	if report.Status != nil {
		stream.status, stream.statusAt = report.Status, now
	}
	for _, observation := range report.Observations {
		if ejection, ok := c.outliers.Observe(now, stream.gateway, observation, c.activeReplicas(now, observation.Replica)); ok {
			c.logInfo("fell", "id", ejection.Replica, "out_ms", ejection.Milliseconds, "by", stream.gateway)
			c.publishEjection(ejection)
			for _, peer := range c.coordinator.Peers(now) {
				c.send(peer.Addr, Message{Ejections: []outlier.Ejection{ejection}})
			}
		}
	}
	for _, id := range report.Deregistered {
		c.deregister(now, id, stream.gateway)
	}
	if len(report.Instances) > 0 {
		if change := c.registry.Merge(now, report.Instances); change.Changed {
			c.publish(now, change.Urgent)
		}
	}
}

// activeReplicas lists the replicas in use of the service that one is of.
func (c *Controller) activeReplicas(now time.Duration, id string) (peers []string) {
	instance, ok := c.registry.Get(now, id)
	if !ok {
		return nil
	}
	c.registry.Each(now, func(other registry.Instance) {
		if other.Service == instance.Service && !other.Draining && !other.HeartbeatTimedOut {
			peers = append(peers, other.ID)
		}
	})
	return peers
}

// publishEjection tells the foragers of a replica that broke.
func (c *Controller) publishEjection(ejection outlier.Ejection) {
	publication := Publication{Update: messages.StateUpdate{Ejections: []outlier.Ejection{ejection}}}
	for _, s := range c.streams {
		if s.snapshotSent {
			publication.Streams = append(publication.Streams, s.id)
		}
	}
	if len(publication.Streams) > 0 {
		c.actions.Publish = append(c.actions.Publish, publication)
	}
}

// bootstrapping tells whether this comb may not know all replicas: it has just started, or was cut off.
func (c *Controller) bootstrapping(now time.Duration) bool {
	return c.isolated || now-c.reconnectedAt < time.Duration(bootstrapIntervals*float64(c.options.HeartbeatInterval))
}

// publish brings the foragers up to date: at once where it must not wait, else now and then.
func (c *Controller) publish(now time.Duration, urgent bool) {
	r, known := c.coordinator.Register()
	if !known || c.isolated || !c.coordinator.HasQuorumContact(now) || c.config == nil {
		return
	}
	news := urgent || now-c.lastPublishAt >= publishInterval
	for _, s := range c.streams {
		news = news || !s.snapshotSent // a whole state without the replicas would say that there are none
	}
	if news {
		c.lastPublishAt = now
	}
	total := c.gatewayCount()
	if rev := c.registry.Revision(); rev > c.weightsRevision {
		c.weights.UpdateInstances(now, c.registry.ChangesSince(now, c.weightsRevision))
		c.weightsRevision = rev
	}
	var grants map[*gatewayStream]map[string]float32
	if news {
		grants = c.allocateWarmupQuotas(now)
	}
	for _, s := range c.streams {
		st := messages.StateUpdate{}
		say := now-s.lastSentAt >= keepaliveInterval
		if !s.snapshotSent {
			st.Full, st.Bootstrapping, st.WarmupRatesComplete, s.snapshotSent, say = true, c.bootstrapping(now), true, true, true
		}
		if !s.registerSent || r.Sequence > s.registerSequence {
			st.Sequence, st.ConfigVersion, st.EvacuatedZones, say = r.Sequence, r.Version, sortedKeys(r.EvacuatedZones), true
			if r.Version != s.configVersion {
				st.Config = r.Body
			}
			s.registerSent, s.registerSequence, s.configVersion = true, r.Sequence, r.Version
			if wins := c.maintenanceState(); wins.Enabled() {
				w := wins.Instructions()[s.gateway]
				st.MaintenanceEnabled, st.Maintenance = true, messages.MaintenanceWindow{Phase: w.Phase, FencingToken: w.FencingToken}
			}
		}
		if news {
			if rev := c.registry.Revision(); rev > s.instancesRevision || st.Full {
				st.Instances, say = c.registry.ChangesSince(now, s.instancesRevision), true
				s.instancesRevision = rev
			}
			if lines := c.weights.TakeWeightChanges(s.gateway); len(lines) > 0 {
				st.Weights, say = lines, true
			}
			if shuns := c.weights.TakePairEjections(s.gateway); len(shuns) > 0 {
				st.PairEjections, say = shuns, true
			}
			if !s.membersSent {
				st.Members, s.membersSent, say = c.controlPlaneMembers(now), true, true
			}
			if total != s.gatewayCount {
				st.GatewayCount, s.gatewayCount, say = total, total, true
			}
			if g := grants[s]; st.Full || !maps.Equal(g, s.warmupQuotas) {
				st.WarmupRatesComplete, s.warmupQuotas, say = true, g, true
				for _, id := range sortedKeys(g) {
					st.WarmupRates = append(st.WarmupRates, messages.EndpointWeight{Replica: id, WarmupRate: g[id]})
				}
			}
		}
		if say {
			s.lastSentAt = now
			c.actions.Publish = append(c.actions.Publish, Publication{[]uint64{s.id}, st})
		}
	}
}

// gatewayCount is how many there are, over all combs.
func (c *Controller) gatewayCount() int {
	total := len(c.streams)
	for _, n := range c.peerGatewayCounts {
		total += n
	}
	return total
}

func (c *Controller) controlPlaneMembers(now time.Duration) []membership.Member {
	members := []membership.Member{c.coordinator.Self()}
	for _, peer := range c.coordinator.Peers(now) {
		if peer.ID != "" && peer.Zone != "" {
			members = append(members, peer)
		}
	}
	return members
}

// allocateWarmupQuotas gives the right to call a cold replica to one of this comb's foragers, in its zone where there is one. Each
// comb of the view deals an equal part of what the replica bears, whether or not the others live, so that the sum holds
// while combs die and foragers change sides. One that has just started or was cut off first waits until what it dealt
// before has run out (forage.GrantsHold).
func (c *Controller) allocateWarmupQuotas(now time.Duration) map[*gatewayStream]map[string]float32 {
	quotas := map[*gatewayStream]map[string]float32{}
	view := c.coordinator.View()
	if c.config == nil || len(c.streams) == 0 || !view.HasVoter(c.coordinator.Self().ID) || c.isolated || now-c.reconnectedAt < warmupQuotaDelay {
		return quotas
	}
	share := warmupQuotaShare / float64(len(view.Voters))
	c.registry.Each(now, func(instance registry.Instance) {
		if instance.WarmupMillis == 0 && !instance.WarmthUnknown && !instance.Stale || instance.Draining {
			return
		}
		var best *gatewayStream
		var bestScore uint64
		for _, stream := range c.streams {
			score := xxhash.Sum64String(instance.ID+" "+stream.gateway) >> 1
			if stream.zone == instance.Zone {
				score |= 1 << 63
			}
			if best == nil || score > bestScore {
				best, bestScore = stream, score
			}
		}
		if quotas[best] == nil {
			quotas[best] = map[string]float32{}
		}
		quotas[best][instance.ID] = float32(c.config.Services[instance.Service].WarmupRate * share)
	})
	return quotas
}
