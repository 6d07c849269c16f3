// Package controller is what a control-plane governor decides: it joins the lasting state (controlplane/coordinator), the replicas' lives
// (controlplane/registry), the tables (controlplane/weighting) and the streams of its proxy governors, called foragers. It is free of
// I/O: events in, actions out, clock and chance handed in. The daemon and the apiary drive the same code, and the
// same events always give the same actions.
package controller

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/controlplane/weighting"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/messages"
)

const (
	stallThreshold            = time.Second            // between two ticks
	lateTickThreshold         = 500 * time.Millisecond // between two ticks: what comes now may have lain in a socket
	callRejectionPeriod       = 300 * time.Millisecond // after that, calls are refused for so long
	outlierForgetInterval     = 2 * time.Second
	gossipInterval            = time.Second
	gossipRepeatPeriod        = 3 * time.Second        // changes are told to other combs for so long, as links lose some
	keepaliveInterval         = 400 * time.Millisecond // foragers hear at least this often
	publishInterval           = 200 * time.Millisecond // changes that may wait are told this often
	heartbeatTimeoutIntervals = 3.6                    // a replica silent for so many beats counts as gone
	bootstrapIntervals        = 2.2                    // beats after which a comb that started knows all replicas
)

// TickInterval is how often a Tick event is due.
const TickInterval = 100 * time.Millisecond

// Options are what a comb is told at its start.
type Options struct {
	Zone              string        `cbor:"1,keyasint"`
	ControlAddr       string        `cbor:"2,keyasint"` // where replicas and operators call it
	Zones             []string      `cbor:"3,keyasint"` // in order
	Seeds             []string      `cbor:"4,keyasint"` // where governors of the first start are called
	LinkMbps          float64       `cbor:"5,keyasint"`
	DrainDeadline     time.Duration `cbor:"6,keyasint"`
	HeartbeatInterval time.Duration `cbor:"7,keyasint"`
	RandomSeed        uint64        `cbor:"8,keyasint"` // of its chance

	RegionByZone map[string]string `cbor:"9,keyasint,omitempty"` // by zone
}

// Message is what combs say to one another.
type Message struct {
	Coordinator *coordinator.Message     `cbor:"1,keyasint,omitempty"`
	Instances   []registry.Instance      `cbor:"2,keyasint,omitempty"`
	Fleet       *messages.GatewaySummary `cbor:"3,keyasint,omitempty"`
	Ejections   []outlier.Ejection       `cbor:"4,keyasint,omitempty"`
}

// Event is something that happened. One of its fields is set; an event with none lets time pass.
type Event struct {
	Start             bool                      `cbor:"1,keyasint,omitempty"`
	Heartbeat         *registry.Instance        `cbor:"2,keyasint,omitempty"` // a replica's own word
	Deregister        string                    `cbor:"3,keyasint,omitempty"` // a replica's word that it ends
	Command           *chainreplication.Command `cbor:"4,keyasint,omitempty"`
	ReadConfiguration bool                      `cbor:"5,keyasint,omitempty"`
	GatewayJoined     *GatewayJoined            `cbor:"6,keyasint,omitempty"`
	GatewayLeft       uint64                    `cbor:"7,keyasint,omitempty"` // a stream has ended
	Report            *messages.LoadReport      `cbor:"8,keyasint,omitempty"`
	Message           *Message                  `cbor:"9,keyasint,omitempty"`
	WriteResult       *WriteResult              `cbor:"10,keyasint,omitempty"`
	DiscoveredAddrs   []string                  `cbor:"11,keyasint,omitempty"` // addresses where other combs may be
	Token             uint64                    `cbor:"12,keyasint,omitempty"` // with Beat, Leave, Order, Read: the answer carries it
	Stream            uint64                    `cbor:"13,keyasint,omitempty"` // with Report
	From              *membership.Member        `cbor:"14,keyasint,omitempty"` // with Message

	MaintenanceCommand *maintenance.Command `cbor:"15,keyasint,omitempty"` // with Token

	Shutdown  bool          `cbor:"16,keyasint,omitempty"` // it has been told to end
	WallClock time.Duration `cbor:"17,keyasint,omitempty"` // the time of day, beside any event; 0: not told
}

// GatewayJoined tells of a forager's new stream.
type GatewayJoined struct {
	Stream  uint64 `cbor:"1,keyasint"` // not used before
	Gateway string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
}

// WriteResult tells what became of the last Write.
type WriteResult struct {
	Error string `cbor:"1,keyasint,omitempty"`
}

// Send is a message for the comb at an address.
type Send struct {
	To      string  `cbor:"1,keyasint"`
	Message Message `cbor:"2,keyasint"`
}

// Publication is a message for some foragers.
type Publication struct {
	Streams []uint64             `cbor:"1,keyasint"`
	Update  messages.StateUpdate `cbor:"2,keyasint"`
}

// Response ends a call.
type Response struct {
	Token   uint64 `cbor:"1,keyasint"`
	Status  int    `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint,omitempty"`
	Address string `cbor:"4,keyasint,omitempty"` // a redirect's address, or a replica's address for later beats
}

// LogEvent is an event worth a line in the log.
type LogEvent struct {
	Warning bool       `cbor:"1,keyasint,omitempty"`
	Name    string     `cbor:"2,keyasint"`
	Fields  []LogField `cbor:"3,keyasint,omitempty"`
}

// LogField is one key=value of a Note.
type LogField struct {
	Key   string `cbor:"1,keyasint"`
	Value any    `cbor:"2,keyasint"`
}

// Actions are what is to be done, in the order of their kinds.
type Actions struct {
	Send             []Send        `cbor:"1,keyasint,omitempty"`
	Write            []byte        `cbor:"2,keyasint,omitempty"` // to be brought on stable storage, then told by Written
	Publish          []Publication `cbor:"3,keyasint,omitempty"`
	Responses        []Response    `cbor:"4,keyasint,omitempty"`
	CloseStreams     []uint64      `cbor:"5,keyasint,omitempty"` // streams
	LogEvents        []LogEvent    `cbor:"6,keyasint,omitempty"`
	ShutdownComplete bool          `cbor:"7,keyasint,omitempty"` // after Leaving: nothing rests on this comb any more
}

// Controller is one control-plane governor. Its calls are not made side by side.
type Controller struct {
	options        Options
	random         rand.PCG
	coordinator    *coordinator.Coordinator
	registry       *registry.Registry
	config         *gatewayconfig.Config // committed
	evacuatedZones []string

	callTokens map[uint64]uint64 // the core's tokens, to the callers'

	weights         *weighting.Manager
	weightsRevision uint64

	streams           []*gatewayStream // by number
	peerGatewayCounts map[string]int   // foragers of other combs, by identity
	nextGossipAt      time.Duration
	lastPublishAt     time.Duration
	lastForgetAt      time.Duration
	gossipRevisions   []revisionAt
	connectedPeers    map[string]bool // peers in touch at the last gossip
	isolated          bool
	shuttingDown      bool
	reconnectedAt     time.Duration // in touch since
	lastTickAt        time.Duration
	resumedAt         time.Duration // when it last came round after it was held up
	wallClock         time.Duration // the time of day, and when it was told
	wallClockAt       time.Duration
	pendingJoins      []GatewayJoined // foragers that wait for a question to the others to begin, and those that wait for the one at hand
	confirmingJoins   []GatewayJoined
	confirmToken      uint64 // the core's token; 0: none
	outliers          *outlier.Detector
	maintenance       maintenanceTracker
	actions           Actions
}

type revisionAt struct {
	at       time.Duration
	revision uint64
}

// New makes a comb from what was on disk.
func New(now time.Duration, options Options, self membership.Member, kept coordinator.PersistentState) *Controller {
	weightingOptions := weighting.Options{RandomSeed: options.RandomSeed, Zone: options.Zone, Zones: options.Zones, Members: max(len(options.Seeds), 1), LinkMbps: options.LinkMbps, DrainGrace: options.DrainDeadline}
	c := &Controller{options: options, random: *rand.NewPCG(options.RandomSeed, 1), weights: weighting.New(weightingOptions), outliers: outlier.New(), callTokens: map[uint64]uint64{}, peerGatewayCounts: map[string]int{},
		connectedPeers: map[string]bool{}, isolated: true, registry: registry.New(time.Duration(heartbeatTimeoutIntervals * float64(options.HeartbeatInterval)))}
	for i := range kept.Instances {
		kept.Instances[i].HeartbeatAgeMillis = 0 // heard now, as far as anyone knows; those that do not beat go as any silent one
	}
	c.registry.Merge(now, kept.Instances)
	c.evacuatedZones = sortedKeys(kept.Register.EvacuatedZones) // a zone that was given back while this comb was away is doubted too
	c.lastTickAt, c.resumedAt = now, now-callRejectionPeriod
	c.maintenance = maintenanceTracker{proposals: map[uint64]proposal{}, peerFleets: map[string]peerFleet{}, drainedSince: map[string]time.Duration{}}
	c.coordinator = coordinator.New(self, kept, options.Seeds, rand.New(&c.random).Float64, instanceHints{c})
	return c
}

// instanceHints are the lives of replicas, as they are kept on disk.
type instanceHints struct{ controller *Controller }

func (h instanceHints) Revision() uint64 { return h.controller.registry.Revision() }

// Instances marks as old what turns cold, or may have, as its zone is given back: this very write may be the one that does so.
func (h instanceHints) Instances() []registry.Instance {
	lives := h.controller.registry.ChangesSince(h.controller.lastTickAt, registry.AllRevisions)
	for i, l := range lives {
		if l.WarmthUnknown || slices.Contains(h.controller.evacuatedZones, l.Zone) {
			lives[i].WarmthUnknown, lives[i].Stale = false, true
		}
	}
	return lives
}

// PersistentState encodes what must be on disk now. The first one must be there before anything is listened on.
func (c *Controller) PersistentState() ([]byte, error) { return c.coordinator.EncodeState() }

// Describe tells how the core stands, as this machine knows.
func (c *Controller) Describe(now time.Duration) coordinator.Status { return c.coordinator.Status(now) }

// Coordinator is the lasting state's part, to look at.
func (c *Controller) Coordinator() *coordinator.Coordinator { return c.coordinator }

// Config is what is committed; nil: nothing yet.
func (c *Controller) Config() *gatewayconfig.Config { return c.config }

func (c *Controller) logInfo(event string, kv ...any)    { c.logEvent(false, event, kv) }
func (c *Controller) logWarning(event string, kv ...any) { c.logEvent(true, event, kv) }

func (c *Controller) logEvent(warn bool, event string, kv []any) {
	n := LogEvent{Warning: warn, Name: event}
	for i := 0; i+1 < len(kv); i += 2 {
		n.Fields = append(n.Fields, LogField{kv[i].(string), kv[i+1]})
	}
	c.actions.LogEvents = append(c.actions.LogEvents, n)
}

// Step takes what happened at now and returns what is to be done.
func (c *Controller) Step(now time.Duration, event Event) Actions {
	c.detectStall(now, event.WallClock)
	if c.resumedAt+callRejectionPeriod > now && (event.Heartbeat != nil || event.Command != nil || event.MaintenanceCommand != nil) {
		// It may have been sent long ago; its caller has gone on since, and what it asks may have been undone.
		c.respond(Response{Token: event.Token, Status: http.StatusServiceUnavailable})
		actions := c.actions
		c.actions = Actions{}
		return actions
	}
	switch {
	case event.Start:
		c.lastTickAt = now
		c.applyCoordinatorActions(now, c.coordinator.Start(now))
	case event.Heartbeat != nil:
		c.handleHeartbeat(now, event.Token, *event.Heartbeat)
	case event.Deregister != "":
		if !c.coordinator.HasQuorumContact(now) {
			c.respond(Response{Token: event.Token, Status: http.StatusServiceUnavailable})
			break
		}
		c.deregister(now, event.Deregister, "itself")
		c.respond(Response{Token: event.Token, Status: http.StatusOK})
	case event.Command != nil:
		token, a := c.coordinator.Propose(now, *event.Command)
		c.callTokens[token] = event.Token
		c.applyCoordinatorActions(now, a)
	case event.ReadConfiguration:
		token, a := c.coordinator.Read(now)
		c.callTokens[token] = event.Token
		c.applyCoordinatorActions(now, a)
	case event.MaintenanceCommand != nil:
		c.handleMaintenanceCommand(now, event.Token, event.MaintenanceCommand, 0)
	case event.GatewayJoined != nil:
		c.handleGatewayJoined(now, *event.GatewayJoined)
	case event.GatewayLeft != 0:
		c.handleGatewayLeft(now, event.GatewayLeft)
	case event.Report != nil:
		if stream := c.findStream(event.Stream); stream != nil {
			c.handleReport(now, stream, event.Report)
		}
	case event.Message != nil:
		if event.From != nil {
			c.handlePeerMessage(now, *event.From, event.Message)
		}
	case event.WriteResult != nil:
		c.applyCoordinatorActions(now, c.coordinator.StatePersisted(now, event.WriteResult.Error))
	case event.DiscoveredAddrs != nil:
		c.coordinator.SetSeeds(event.DiscoveredAddrs)
	case event.Shutdown:
		c.shuttingDown = true
		c.coordinator.BeginLeave()
		c.logInfo("leaving")
	default:
		c.tick(now)
	}
	actions := c.actions
	c.actions = Actions{}
	return actions
}

// detectStall notices that this comb was held up: that it stood still, or, by the time of day, that its clock stood still with it.
// The time of day may also have been set; then contact is made anew without need, which takes a beat.
func (c *Controller) detectStall(now, wall time.Duration) {
	if now-c.lastTickAt > lateTickThreshold {
		c.resumedAt = now
	}
	if wall == 0 {
		return
	}
	if jump := (wall - c.wallClock) - (now - c.wallClockAt); c.wallClock != 0 && jump > lateTickThreshold {
		c.logWarning("clock_stood", "for", jump)
		c.resumedAt = now
		c.coordinator.ResetContact(now)
	}
	c.wallClock, c.wallClockAt = wall, now
}

func (c *Controller) respond(a Response) { c.actions.Responses = append(c.actions.Responses, a) }

func (c *Controller) send(to string, m Message) {
	if to != c.coordinator.Self().Addr && to != "" {
		c.actions.Send = append(c.actions.Send, Send{to, m})
	}
}

func (c *Controller) tick(now time.Duration) {
	if now-c.lastTickAt > stallThreshold { // frozen or starved: nobody could be heard meanwhile
		c.logWarning("held_up", "for", now-c.lastTickAt)
		c.registry.ExtendHeartbeats(now)
	}
	c.lastTickAt = now
	if now-c.lastForgetAt > outlierForgetInterval {
		c.lastForgetAt = now
		c.outliers.Expire(now)
	}
	c.applyCoordinatorActions(now, c.coordinator.Tick(now))
	c.updateConnectivity(now)
	if c.isolated && now-c.resumedAt > callRejectionPeriod {
		for _, s := range c.streams {
			c.actions.CloseStreams = append(c.actions.CloseStreams, s.id)
		}
	}
	if !c.isolated {
		for _, id := range c.registry.Expire(now) {
			c.logInfo("replica_silent", "id", id)
		}
	}
	c.gossip(now)
	c.advanceMaintenance(now)
	c.weights.Tick(now)
	c.publish(now, false)
	c.actions.ShutdownComplete = c.shuttingDown && c.coordinator.LeaveComplete(now)
}

// updateConnectivity notes that this comb has lost a majority of the others, or has it back: then it could hear nobody meanwhile.
func (c *Controller) updateConnectivity(now time.Duration) {
	alone := !c.coordinator.HasQuorumContact(now)
	if alone == c.isolated {
		return
	}
	c.isolated = alone
	c.logInfo("in_touch", "now", !alone, "view", c.coordinator.View().Number)
	if !alone {
		c.registry.ExtendHeartbeats(now)
		c.reconnectedAt = now
	}
}

// applyCoordinatorActions carries on what the core has decided.
func (c *Controller) applyCoordinatorActions(now time.Duration, a coordinator.Actions) {
	if a.StandstillDetected {
		c.logWarning("clock_stood")
		c.resumedAt = now
	}
	if a.DiskHealth != "" {
		c.logWarning("disk", "state", a.DiskHealth)
	}
	for _, s := range a.Messages {
		c.send(s.To, Message{Coordinator: &s.Message})
	}
	if a.StateToPersist != nil {
		c.actions.Write = a.StateToPersist
	}
	if a.ViewInstalled {
		view := c.coordinator.View()
		c.logInfo("view", "n", view.Number, "chain", view.Chain, "roster", len(view.Voters))
		for _, s := range c.streams {
			s.membersSent = false
		}
	}
	if a.RegisterCommitted {
		c.applyCommitted(now)
	}
	for _, answer := range a.Responses {
		if answer.RequestID == c.confirmToken {
			c.completeJoins(now, answer.Status())
		} else if token, ok := c.callTokens[answer.RequestID]; ok {
			delete(c.callTokens, answer.RequestID)
			c.respond(Response{token, answer.Status(), answer.Body, answer.RedirectTo()})
		} else if proposal, ok := c.maintenance.proposals[answer.RequestID]; ok {
			delete(c.maintenance.proposals, answer.RequestID)
			c.handleProposalResult(now, proposal, answer.Status())
		}
	}
}

// applyCommitted puts a register that nobody can lose any more in force.
func (c *Controller) applyCommitted(now time.Duration) {
	register, _ := c.coordinator.Register()
	if (c.config == nil || c.config.Version != register.Version) && len(register.Body) > 0 {
		config, err := gatewayconfig.Parse(register.Body)
		if err != nil {
			c.logWarning("config_unreadable", "version", register.Version, "error", err.Error())
		} else {
			c.config = config
			c.weights.Configure(now, config, c.gatewayCount())
			c.weightsRevision = registry.AllRevisions
			c.logInfo("config", "version", register.Version, "seq", register.Sequence, "routes", config.RouteCount)
		}
	}
	c.updateEvacuations(now, register)
	c.publish(now, true)
}

// updateEvacuations has the replicas of zones that were given back spared until they have said how they are.
func (c *Controller) updateEvacuations(now time.Duration, register chainreplication.Register) {
	for _, zone := range c.evacuatedZones {
		if !register.EvacuatedZones[zone] {
			c.registry.MarkWarmthUnknown(now, zone)
		}
	}
	if evacuated := sortedKeys(register.EvacuatedZones); !slices.Equal(evacuated, c.evacuatedZones) {
		c.logInfo("evacuations", "zones", evacuated, "seq", register.Sequence)
		c.evacuatedZones = evacuated
	}
}

// handleHeartbeat takes a replica's own word.
func (c *Controller) handleHeartbeat(now time.Duration, token uint64, heartbeat registry.Instance) {
	if !c.coordinator.HasQuorumContact(now) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable})
		return
	}
	if change := c.registry.Heartbeat(now, heartbeat); change.Changed {
		if change.Urgent {
			c.logInfo("draining", "id", heartbeat.ID)
		}
		if change.Urgent || heartbeat.WarmupMillis > 0 { // it may have been warm, or cold until sooner, for the others
			c.broadcastInstances(now, []registry.Instance{heartbeat})
		}
		c.publish(now, change.Urgent)
	}
	c.respond(Response{Token: token, Status: http.StatusOK, Address: c.heartbeatTarget(now, heartbeat.Zone)})
}

// heartbeatTarget is a comb in the replica's zone, where there is another one in touch; bytes between zones cost.
func (c *Controller) heartbeatTarget(now time.Duration, zone string) string {
	if zone == c.options.Zone {
		return c.options.ControlAddr
	}
	for _, peer := range c.coordinator.Peers(now) {
		if peer.Zone == zone && peer.APIAddr != "" && c.coordinator.IsReachable(now, peer.ID) {
			return peer.APIAddr
		}
	}
	return ""
}

// deregister takes a replica's end, by its own word or a forager's proof, and tells everybody at once.
func (c *Controller) deregister(now time.Duration, id, by string) {
	if c.registry.Deregister(now, id) {
		c.logInfo("gone", "id", id, "by", by)
		c.broadcastInstances(now, []registry.Instance{{ID: id, Deregistered: true}})
		c.publish(now, true)
	}
}

// handlePeerMessage takes what another comb says.
func (c *Controller) handlePeerMessage(now time.Duration, from membership.Member, message *Message) {
	if message.Coordinator != nil {
		c.applyCoordinatorActions(now, c.coordinator.Step(now, from, *message.Coordinator))
	}
	if message.Fleet != nil {
		c.peerGatewayCounts[from.ID] = message.Fleet.GatewayCount
		if len(message.Fleet.Nodes) > 0 || c.maintenanceState().Enabled() {
			c.maintenance.peerFleets[from.ID] = peerFleet{now, *message.Fleet}
		}
	}
	for _, ejection := range message.Ejections {
		c.outliers.RecordRemote(now, ejection)
		c.publishEjection(ejection)
	}
	if len(message.Instances) > 0 {
		if change := c.registry.Merge(now, message.Instances); change.Changed {
			c.publish(now, change.Urgent)
		}
	}
}

// broadcastInstances tells the other combs at once.
func (c *Controller) broadcastInstances(now time.Duration, instances []registry.Instance) {
	for _, peer := range c.coordinator.Peers(now) {
		c.send(peer.Addr, Message{Instances: instances})
	}
}

// gossip tells the other combs which replicas beat here, what changed lately, and all that is known to those that
// were out of touch.
func (c *Controller) gossip(now time.Duration) {
	if now < c.nextGossipAt {
		return
	}
	heartbeats := c.registry.DirectHeartbeats(now, c.nextGossipAt-gossipInterval)
	c.nextGossipAt = now + gossipInterval
	c.gossipRevisions = append(c.gossipRevisions, revisionAt{now, c.registry.Revision()})
	for len(c.gossipRevisions) > 1 && now-c.gossipRevisions[0].at > gossipRepeatPeriod {
		c.gossipRevisions = c.gossipRevisions[1:]
	}
	changes := c.registry.ChangesSince(now, c.gossipRevisions[0].revision)
	fleet := messages.GatewaySummary{GatewayCount: len(c.streams)}
	if c.maintenanceState().Enabled() {
		fleet = c.localFleet(now)
	}
	for _, peer := range c.coordinator.Peers(now) {
		if peer.ID == "" {
			continue
		}
		connected := c.coordinator.IsReachable(now, peer.ID)
		message := Message{Instances: changes, Fleet: &fleet}
		if connected && !c.connectedPeers[peer.ID] {
			message.Instances = c.registry.ChangesSince(now, registry.AllRevisions)
		}
		c.connectedPeers[peer.ID] = connected
		message.Instances = mergeHeartbeats(message.Instances, heartbeats)
		c.send(peer.Addr, message)
	}
	for _, id := range sortedKeys(c.peerGatewayCounts) {
		if !c.coordinator.IsReachable(now, id) {
			delete(c.peerGatewayCounts, id)
			delete(c.maintenance.peerFleets, id)
		}
	}
}

// mergeHeartbeats adds the signs of life of replicas that are not told of anyway.
func mergeHeartbeats(instances, heartbeats []registry.Instance) []registry.Instance {
	included := map[string]bool{}
	for _, l := range instances {
		included[l.ID] = true
	}
	instances = slices.Clone(instances)
	for _, l := range heartbeats {
		if !included[l.ID] {
			instances = append(instances, l)
		}
	}
	slices.SortStableFunc(instances, func(a, b registry.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
