package controller

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// Metrics is a snapshot of a member's state for monitoring.
type Metrics struct {
	HasQuorumContact  bool
	DiskHealthy       bool
	ViewNumber        uint64
	ChainPosition     int // 0 is the head; -1 if not in the chain
	Voters            int
	CommittedSequence uint64
	ConfigVersion     uint64
	EvacuatedZones    int
	GatewayStreams    int
	Instances         int // registered, including draining and timed-out ones
	DrainingInstances int
	TimedOutInstances int

	Ownership       OwnershipMetrics
	Deregistrations []EvidenceCount

	TrackedInstances      int // including recently deregistered ones
	TrackedInstancesLimit int // 0 means unlimited
}

// OwnershipMetrics describes the ownership of sharded services as seen by one member.
type OwnershipMetrics struct {
	Granting      bool // this member makes the calls to replicas
	Ranges        int
	ReleasingKeys int // keys without a replica that serves them
	LastToken     uint64
	CallsInFlight int
}

// Metrics returns the member's current metrics.
func (c *Controller) Metrics(now time.Duration) Metrics {
	view := c.coordinator.View()
	register, _ := c.coordinator.Register()
	metrics := Metrics{
		HasQuorumContact:  c.coordinator.HasQuorumContact(now),
		DiskHealthy:       !c.coordinator.DiskUnhealthy(),
		ViewNumber:        view.Number,
		ChainPosition:     view.Position(c.coordinator.Self().ID),
		Voters:            len(view.Voters),
		CommittedSequence: register.Sequence,
		ConfigVersion:     register.Version,
		EvacuatedZones:    len(register.EvacuatedZones),
		GatewayStreams:    len(c.streams),

		Deregistrations: c.deregistrationCounts(),

		TrackedInstances:      c.registry.Len(),
		TrackedInstancesLimit: c.options.MaxInstances,
	}
	metrics.Ownership = c.ownershipMetrics(now)
	c.registry.Each(now, func(instance fleet.Instance) {
		metrics.Instances++
		if instance.Draining {
			metrics.DrainingInstances++
		}
		if instance.HeartbeatTimedOut {
			metrics.TimedOutInstances++
		}
	})
	return metrics
}
