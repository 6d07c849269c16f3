package controller

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// Metrics are what a member tells of itself for monitoring.
type Metrics struct {
	HasQuorumContact  bool
	DiskHealthy       bool
	ViewNumber        uint64
	ChainPosition     int // from 0, the head; -1: not in the chain
	Voters            int
	CommittedSequence uint64
	ConfigVersion     uint64
	EvacuatedZones    int
	GatewayStreams    int
	Instances         int // registered, of which some drain and some are timed out
	DrainingInstances int
	TimedOutInstances int

	TrackedInstances      int // with those that were deregistered lately
	TrackedInstancesLimit int // that may be remembered; 0: there is no bound
}

// Metrics reads the member's figures.
func (c *Controller) Metrics(now time.Duration) Metrics {
	view := c.coordinator.View()
	register, _ := c.coordinator.Register()
	figures := Metrics{
		HasQuorumContact:  c.coordinator.HasQuorumContact(now),
		DiskHealthy:       !c.coordinator.DiskUnhealthy(),
		ViewNumber:        view.Number,
		ChainPosition:     view.Position(c.coordinator.Self().ID),
		Voters:            len(view.Voters),
		CommittedSequence: register.Sequence,
		ConfigVersion:     register.Version,
		EvacuatedZones:    len(register.EvacuatedZones),
		GatewayStreams:    len(c.streams),

		TrackedInstances:      c.registry.Len(),
		TrackedInstancesLimit: c.options.MaxInstances,
	}
	c.registry.Each(now, func(instance fleet.Instance) {
		figures.Instances++
		if instance.Draining {
			figures.DrainingInstances++
		}
		if instance.HeartbeatTimedOut {
			figures.TimedOutInstances++
		}
	})
	return figures
}
