// Package controller decides for one control-plane member. It joins the replicated state (package coordinator), the registered instances
// (package registry), the endpoint weights (package weighting) and the streams to the gateways that are connected to this member.
//
// It is free of I/O: events go in, actions come out, and the clock and the randomness are handed in. The server process and the simulation
// drive the same code, and the same events always give the same actions.
package controller

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/outlier"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/controlplane/weighting"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
)

// heartbeatTimeoutIntervals is how many heartbeat intervals an instance may stay silent before its heartbeat has timed out.
const heartbeatTimeoutIntervals = 3.6

// Options are a member's settings, fixed at its start.
type Options struct {
	Zone              string        `cbor:"1,keyasint"`
	ControlAddr       string        `cbor:"2,keyasint"` // where replicas and operators call it
	Zones             []string      `cbor:"3,keyasint"` // in an order that all members share
	Seeds             []string      `cbor:"4,keyasint"` // addresses of the members of the first start
	LinkMbps          float64       `cbor:"5,keyasint"`
	DrainDeadline     time.Duration `cbor:"6,keyasint"`
	HeartbeatInterval time.Duration `cbor:"7,keyasint"` // of replicas
	RandomSeed        uint64        `cbor:"8,keyasint"`

	RegionByZone map[string]string `cbor:"9,keyasint,omitempty"`

	// MaxInstances bounds the instances that are remembered, with those that were deregistered lately; 0: there is no bound. Calls that would add
	// one more are refused, what other members report is not.
	MaxInstances int `cbor:"10,keyasint,omitempty"`
}

// Controller is the state machine of one control-plane member. Its methods must not be called concurrently.
type Controller struct {
	options     Options
	random      rand.PCG
	coordinator *coordinator.Coordinator
	registry    *registry.Registry
	outliers    *outlier.Detector
	maintenance maintenanceTracker

	weights         *weighting.Manager
	weightsRevision uint64 // of the registry, as the weights know it

	config         *gatewayconfig.Config // committed; nil: none yet
	evacuatedZones []string              // committed, sorted

	callTokens map[uint64]uint64 // the tokens of calls, by the coordinator's request

	// Ends of instances that replicas have told: calls that wait for a quorum, by the coordinator's request, and what a quorum has on disk.
	endingCalls       map[uint64]*endingCall
	replicatedEndings map[ending]bool

	// Streams to gateways, in the order in which they joined. A gateway waits in pendingJoins for a read to begin, then in confirmingJoins
	// until the read that confirmRequest names has been answered (0: none is under way).
	streams         []*gatewayStream
	pendingJoins    []GatewayJoined
	confirmingJoins []GatewayJoined
	confirmRequest  uint64
	lastPublishAt   time.Duration

	// Gossip with the other members.
	nextGossipAt      time.Duration
	gossipRevisions   []revisionAt    // of the registry, over the last gossipRepeatPeriod
	connectedPeers    map[string]bool // by identity, at the last gossip
	peerGatewayCounts map[string]int  // by identity

	isolated      bool          // no contact with a quorum
	reconnectedAt time.Duration // when contact with a quorum was last regained
	shuttingDown  bool

	// Stall detection.
	lastTickAt         time.Duration
	resumedAt          time.Duration // when this member last ran again after a stall
	wallClock          time.Duration // the time of day, as known at wallClockAt
	wallClockAt        time.Duration
	lastOutlierSweepAt time.Duration

	actions Actions // collected for the event at hand
}

// New makes a controller from what was on disk.
func New(now time.Duration, options Options, self fleet.Member, persisted coordinator.PersistentState) *Controller {
	c := &Controller{
		options:           options,
		random:            *rand.NewPCG(options.RandomSeed, 1),
		registry:          registry.New(time.Duration(heartbeatTimeoutIntervals * float64(options.HeartbeatInterval))),
		outliers:          outlier.New(),
		maintenance:       newMaintenanceTracker(),
		callTokens:        map[uint64]uint64{},
		endingCalls:       map[uint64]*endingCall{},
		replicatedEndings: map[ending]bool{},
		connectedPeers:    map[string]bool{},
		peerGatewayCounts: map[string]int{},
		isolated:          true,
		lastTickAt:        now,
		resumedAt:         now - callRejectionPeriod,
	}
	c.weights = weighting.New(weighting.Options{
		RandomSeed: options.RandomSeed,
		Zone:       options.Zone,
		Zones:      options.Zones,
		Members:    max(len(options.Seeds), 1),
		LinkMbps:   options.LinkMbps,
		DrainGrace: options.DrainDeadline,
	})
	for i := range persisted.Instances {
		persisted.Instances[i].HeartbeatAgeMillis = 0 // alive now, as far as is known; those that are not will time out
	}
	c.registry.Merge(now, persisted.Instances)
	// If an evacuation finished while this member was down, the commit that it learns of then must find the zone among the evacuated ones.
	c.evacuatedZones = sortedKeys(persisted.Register.EvacuatedZones)
	c.coordinator = coordinator.New(self, persisted, options.Seeds, rand.New(&c.random).Float64, instanceHints{c})
	return c
}

// PersistentState encodes what must be on disk now. It must be there before the process listens for anybody.
func (c *Controller) PersistentState() ([]byte, error) { return c.coordinator.EncodeState() }

// Describe returns the status of the control plane as this member knows it.
func (c *Controller) Describe(now time.Duration) coordinator.Status { return c.coordinator.Status(now) }

// Coordinator is the replicated state's part, for inspection only.
func (c *Controller) Coordinator() *coordinator.Coordinator { return c.coordinator }

// Config is the committed configuration, or nil if there is none yet.
func (c *Controller) Config() *gatewayconfig.Config { return c.config }

// Step takes an event that happened at now, by the monotonic clock, and returns what is to be done.
func (c *Controller) Step(now time.Duration, event Event) Actions {
	c.detectStall(now, event.WallClock)
	if c.rejectsCalls(now) && (event.Heartbeat != nil || event.Command != nil || event.MaintenanceCommand != nil) {
		c.respond(Response{Token: event.Token, Status: http.StatusServiceUnavailable, Reason: reasonStalled})
		return c.takeActions()
	}
	switch {
	case event.Start:
		c.lastTickAt = now
		c.applyCoordinatorActions(now, c.coordinator.Start(now))
	case event.Heartbeat != nil:
		c.handleHeartbeat(now, event.Token, *event.Heartbeat)
	case event.Deregister != "":
		c.handleDeregister(now, event.Token, event.Deregister)
	case event.Command != nil:
		request, actions := c.coordinator.Propose(now, *event.Command)
		c.callTokens[request] = event.Token
		c.applyCoordinatorActions(now, actions)
	case event.ReadConfiguration:
		request, actions := c.coordinator.Read(now)
		c.callTokens[request] = event.Token
		c.applyCoordinatorActions(now, actions)
	case event.MaintenanceCommand != nil:
		c.handleMaintenanceCommand(now, proposal{command: event.MaintenanceCommand, token: event.Token})
	case event.GatewayJoined != nil:
		c.handleGatewayJoined(now, *event.GatewayJoined)
	case event.GatewayLeft != 0:
		c.handleGatewayLeft(now, event.GatewayLeft)
	case event.Report != nil:
		c.handleReport(now, event.Stream, event.Report)
	case event.Message != nil:
		if event.From != nil {
			c.handlePeerMessage(now, *event.From, event.Message)
		}
	case event.WriteResult != nil:
		c.applyCoordinatorActions(now, c.coordinator.StatePersisted(now, event.WriteResult.Error))
	case event.DiscoveredAddrs != nil:
		c.coordinator.SetSeeds(event.DiscoveredAddrs)
	case event.Shutdown:
		c.beginShutdown()
	default:
		c.tick(now)
	}
	return c.takeActions()
}

func (c *Controller) beginShutdown() {
	c.shuttingDown = true
	c.coordinator.BeginLeave()
	c.logInfo("shutdown_started")
}

// sortedKeys lists a map's keys in order, so that no decision depends on the order of a map.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
