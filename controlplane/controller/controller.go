// Package controller implements the state machine of one control-plane member. It combines the replicated state (package coordinator), the
// registered instances (package registry), the endpoint weights (package weighting) and the streams to the gateways connected to this member.
//
// The package performs no I/O: it consumes events and returns actions, and the caller supplies the time and the random seed. The server process
// and the simulation run the same code, and the same sequence of events always yields the same actions.
package controller

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/outlier"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/controlplane/weighting"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
)

// heartbeatTimeoutIntervals is the heartbeat timeout of an instance, in heartbeat intervals.
const heartbeatTimeoutIntervals = 3.6

// Options are the settings of a member. They do not change while it runs.
type Options struct {
	Zone              string        `cbor:"1,keyasint"`
	ControlAddr       string        `cbor:"2,keyasint"` // API address for replicas and operators
	Zones             []string      `cbor:"3,keyasint"` // in the same order at all members
	Seeds             []string      `cbor:"4,keyasint"` // addresses of the initial members
	LinkMbps          float64       `cbor:"5,keyasint"`
	DrainDeadline     time.Duration `cbor:"6,keyasint"`
	HeartbeatInterval time.Duration `cbor:"7,keyasint"` // interval at which replicas send heartbeats
	RandomSeed        uint64        `cbor:"8,keyasint"`

	RegionByZone map[string]string `cbor:"9,keyasint,omitempty"`

	// MaxInstances limits the number of tracked instances, including recently deregistered ones; 0 means unlimited. Calls that would exceed it are
	// rejected; instances reported by other members are always accepted.
	MaxInstances int `cbor:"10,keyasint,omitempty"`

	MaxLease time.Duration `cbor:"11,keyasint,omitempty"` // longest lease of shard keys that replicas accept; 0 means no limit

	FaultTolerance membership.FaultTolerance `cbor:"12,keyasint,omitempty"` // what the deployment may lose at the same time
}

// Controller is the state machine of one control-plane member. Its methods must not be called concurrently.
type Controller struct {
	options     Options
	random      rand.PCG
	coordinator *coordinator.Coordinator
	registry    *registry.Registry
	outliers    *outlier.Detector

	deregistrations map[registry.Evidence]uint64 // number of instances deregistered here

	maintenance maintenanceTracker
	owners      ownershipTracker

	weights         *weighting.Manager
	weightsRevision uint64 // registry revision last passed to weights

	config         *gatewayconfig.Config // committed; nil if there is none yet
	evacuatedZones []string              // committed, sorted

	callTokens map[uint64]uint64 // tokens of pending calls, by coordinator request ID

	// Removals requested by replicas: pending calls by coordinator request ID, and removals persisted by a quorum.
	removalCalls       map[uint64]*removalCall
	replicatedRemovals map[removal]bool

	// Streams to gateways, in join order. A joining gateway is in pendingJoins until a linearizable read starts, then in confirmingJoins until the
	// read with request ID confirmRequest completes (0 if no read is in progress).
	streams         []*gatewayStream
	pendingJoins    []GatewayJoined
	confirmingJoins []GatewayJoined
	confirmRequest  uint64
	lastPublishAt   time.Duration

	// Gossip with the other members.
	nextGossipAt      time.Duration
	gossipRevisions   []revisionSample // registry revisions over the last gossipRepeatPeriod
	connectedPeers    map[string]bool  // by member ID, as of the last gossip round
	peerGatewayCounts map[string]int   // by member ID

	isolated      bool          // no contact with a quorum
	reconnectedAt time.Duration // when contact with a quorum was last regained
	shuttingDown  bool

	// Stall detection.
	lastTickAt         time.Duration
	resumedAt          time.Duration // when this member last resumed after a stall
	wallClock          time.Duration // time of day observed at wallClockAt
	wallClockAt        time.Duration
	lastOutlierSweepAt time.Duration

	actions Actions // collected for the current event
}

// New creates a controller from a member's persistent state.
func New(now time.Duration, options Options, self fleet.Member, persisted coordinator.PersistentState) *Controller {
	c := &Controller{
		options:            options,
		random:             *rand.NewPCG(options.RandomSeed, 1),
		registry:           registry.New(time.Duration(heartbeatTimeoutIntervals * float64(options.HeartbeatInterval))),
		outliers:           outlier.New(),
		deregistrations:    map[registry.Evidence]uint64{},
		maintenance:        newMaintenanceTracker(),
		owners:             newOwnershipTracker(options),
		callTokens:         map[uint64]uint64{},
		removalCalls:       map[uint64]*removalCall{},
		replicatedRemovals: map[removal]bool{},
		connectedPeers:     map[string]bool{},
		peerGatewayCounts:  map[string]int{},
		isolated:           true,
		lastTickAt:         now,
		resumedAt:          now - callRejectionPeriod,
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
		persisted.Instances[i].HeartbeatAgeMillis = 0 // assume that the instance is alive; it times out otherwise
	}
	c.registry.Merge(now, persisted.Instances)
	// If an evacuation ended while this member was down, updateEvacuations detects that from the next commit.
	c.evacuatedZones = sortedKeys(persisted.Register.EvacuatedZones)
	c.coordinator = coordinator.New(self, persisted, options.Seeds, rand.New(&c.random).Float64, instanceHints{c})
	c.coordinator.SetFaultTolerance(options.FaultTolerance)
	return c
}

// PersistentState encodes the current persistent state. It must be on disk before the process accepts connections.
func (c *Controller) PersistentState() ([]byte, error) { return c.coordinator.EncodeState() }

// Describe returns the status of the control plane as seen by this member.
func (c *Controller) Describe(now time.Duration) coordinator.Status { return c.coordinator.Status(now) }

// Coordinator returns the coordinator, for inspection only.
func (c *Controller) Coordinator() *coordinator.Coordinator { return c.coordinator }

// Config returns the committed configuration, or nil if there is none yet.
func (c *Controller) Config() *gatewayconfig.Config { return c.config }

// Step processes an event that occurred at the monotonic time now and returns the resulting actions.
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
	case event.CallResult != nil:
		c.handleCallResult(now, *event.CallResult)
	case event.DiscoveredAddrs != nil:
		c.coordinator.SetSeeds(event.DiscoveredAddrs)
	case event.Shutdown:
		c.beginShutdown()
	default:
		c.tick(now)
	}
	c.reportDeregistrations()
	return c.takeActions()
}

func (c *Controller) beginShutdown() {
	c.shuttingDown = true
	c.coordinator.BeginLeave()
	c.logInfo("shutdown_started")
}

// sortedKeyCounts returns the keys of a map of counts in sorted order.
func sortedKeyCounts(m map[uint16]uint32) []uint16 { return slices.Sorted(maps.Keys(m)) }

// sortedKeys returns the keys of a map in sorted order, which keeps decisions deterministic.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
