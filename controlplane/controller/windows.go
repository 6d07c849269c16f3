package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/messages"
)

const (
	maintenanceNote      = "windows"
	maintenanceInterval  = time.Second
	fleetReportTTL       = 2500 * time.Millisecond // what a forager or another comb told of nodes counts for so long
	fleetDiscoveryPeriod = 3 * time.Second         // a comb that has just started does not know all nodes
	maxProposalAttempts  = 4                       // of a command, where others change the windows at the same moment
)

// maintenanceTracker is what the head has begun and waits for, and what it knows of nodes elsewhere.
type maintenanceTracker struct {
	revision      uint64
	state         maintenance.State
	nextAdvanceAt time.Duration
	proposals     map[uint64]proposal      // by the core's token
	peerFleets    map[string]peerFleet     // by a comb's identity
	drainedSince  map[string]time.Duration // since when a node is known to be drained, by this comb's clock
	proposalCount uint64
}

type peerFleet struct {
	receivedAt time.Duration
	fleet      messages.GatewaySummary
}

// proposal is a proposal for a note that waits for its commit.
type proposal struct {
	id       string
	command  *maintenance.Command // an operator's, that must be answered; nil: our own
	token    uint64
	attempts int
}

// maintenanceState is the state that is committed.
func (c *Controller) maintenanceState() maintenance.State {
	register, known := c.coordinator.Register()
	note, ok := register.Records[maintenanceNote]
	if !known || !ok {
		return maintenance.State{}
	}
	if note.Revision != c.maintenance.revision {
		var state maintenance.State
		if err := cbor.Unmarshal(note.Value, &state); err != nil {
			c.logWarning("windows_unreadable", "error", err.Error())
		}
		c.maintenance.revision, c.maintenance.state = note.Revision, state
	}
	return c.maintenance.state
}

// proposeMaintenance has the chain take another state of the windows, if nobody was faster.
func (c *Controller) proposeMaintenance(now time.Duration, state maintenance.State, proposal proposal) {
	value, err := cbor.Marshal(state)
	if err != nil {
		c.logWarning("windows_unwritable", "error", err.Error())
		return
	}
	register, _ := c.coordinator.Register()
	c.maintenance.proposalCount++
	proposal.id = fmt.Sprintf("%s %d %d", c.coordinator.Self().ID, c.options.RandomSeed, c.maintenance.proposalCount)
	token, a := c.coordinator.Propose(now, chainreplication.Command{Record: maintenanceNote, ExpectedRevision: register.Records[maintenanceNote].Revision, ChangeID: proposal.id, Value: value})
	c.maintenance.proposals[token] = proposal
	c.applyCoordinatorActions(now, a)
}

// handleProposalResult takes the core's answer to a proposal.
func (c *Controller) handleProposalResult(now time.Duration, proposal proposal, status int) {
	register, _ := c.coordinator.Register()
	switch {
	case proposal.command == nil:
	case status != http.StatusOK:
		c.respond(Response{Token: proposal.token, Status: status})
	case register.Records[maintenanceNote].HasChange(proposal.id):
		c.respond(Response{Token: proposal.token, Status: http.StatusOK})
	case proposal.attempts < maxProposalAttempts:
		c.handleMaintenanceCommand(now, proposal.token, proposal.command, proposal.attempts+1)
	default:
		c.respond(Response{Token: proposal.token, Status: http.StatusServiceUnavailable})
	}
}

// handleMaintenanceCommand takes an operator's.
func (c *Controller) handleMaintenanceCommand(now time.Duration, token uint64, command *maintenance.Command, attempts int) {
	if _, known := c.coordinator.Register(); !known || !c.coordinator.HasQuorumContact(now) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable})
		return
	}
	next, err := c.maintenanceState().Apply(*command)
	if err != nil {
		c.respond(Response{Token: token, Status: http.StatusConflict, Body: []byte(err.Error())})
		return
	}
	c.proposeMaintenance(now, next, proposal{command: command, token: token, attempts: attempts})
}

// advanceMaintenance has the head grant, take back and note what nodes have said.
func (c *Controller) advanceMaintenance(now time.Duration) {
	if now < c.maintenance.nextAdvanceAt || len(c.maintenance.proposals) > 0 {
		return
	}
	c.maintenance.nextAdvanceAt = now + maintenanceInterval
	state := c.maintenanceState()
	if !state.Enabled() || c.coordinator.View().Position(c.coordinator.Self().ID) != 0 || !c.coordinator.HasQuorumContact(now) {
		clear(c.maintenance.drainedSince)
		return
	}
	next, changed := state.Reconcile(c.knownFleet(now))
	for _, window := range state.Windows { // a window that was drained for as long as it was to take is over
		if changed || window.Phase != maintenance.Drained || window.DurationSeconds <= 0 {
			continue
		}
		if _, ok := c.maintenance.drainedSince[window.Node]; !ok {
			c.maintenance.drainedSince[window.Node] = now
		}
		if now-c.maintenance.drainedSince[window.Node] >= time.Duration(window.DurationSeconds)*time.Second {
			delete(c.maintenance.drainedSince, window.Node)
			next, changed = state.Expire(window.Node)
		}
	}
	if changed {
		if n := len(next.AuditLog); n > 0 && (len(state.AuditLog) == 0 || next.AuditLog[n-1] != state.AuditLog[len(state.AuditLog)-1]) {
			c.logInfo("window", "what", next.AuditLog[n-1])
		}
		c.proposeMaintenance(now, next, proposal{})
	}
}

// localFleet lists the nodes of this comb's streams.
func (c *Controller) localFleet(now time.Duration) messages.GatewaySummary {
	fleet := messages.GatewaySummary{GatewayCount: len(c.streams)}
	load := map[[2]string]float64{}
	for _, stream := range c.streams {
		if stream.status == nil || now-stream.statusAt > fleetReportTTL {
			continue
		}
		node := maintenance.Node{Serving: stream.status.Ready && stream.status.Phase == maintenance.Serving, Phase: stream.status.Phase, FencingToken: stream.status.FencingToken}
		node.Name, node.Zone, node.Region, node.Capacity = stream.gateway, stream.zone, c.options.RegionByZone[stream.zone], stream.status.CapacityByGroup
		fleet.Nodes = append(fleet.Nodes, node)
		for group, rate := range stream.status.LoadByGroup {
			load[[2]string{node.Region, group}] += rate
		}
	}
	for _, agreed := range c.maintenanceState().AgreedFloors {
		if rate := load[[2]string{agreed.Region, agreed.Group}]; rate > 0 {
			fleet.Load = append(fleet.Load, messages.GroupLoad{Region: agreed.Region, Group: agreed.Group, RequestsPerSecond: rate})
		}
	}
	return fleet
}

// knownFleet is what is known of all nodes.
func (c *Controller) knownFleet(now time.Duration) maintenance.Fleet {
	fleet := maintenance.Fleet{Load: map[string]map[string]float64{}, Complete: now > fleetDiscoveryPeriod}
	seen := map[string]bool{}
	merge := func(reported messages.GatewaySummary) {
		for _, node := range reported.Nodes {
			if !seen[node.Name] { // it may just have changed sides
				seen[node.Name] = true
				fleet.Nodes = append(fleet.Nodes, node)
			}
		}
		for _, load := range reported.Load {
			if fleet.Load[load.Region] == nil {
				fleet.Load[load.Region] = map[string]float64{}
			}
			fleet.Load[load.Region][load.Group] += load.RequestsPerSecond
		}
	}
	merge(c.localFleet(now))
	for _, peer := range c.coordinator.Peers(now) {
		if peer.ID == "" || !c.coordinator.IsReachable(now, peer.ID) {
			continue // its foragers go elsewhere within a second
		}
		if reported, ok := c.maintenance.peerFleets[peer.ID]; ok && now-reported.receivedAt <= fleetReportTTL {
			merge(reported.fleet)
		} else {
			fleet.Complete = false
		}
	}
	return fleet
}

// MaintenanceStatus is what operators see of windows.
type MaintenanceStatus struct {
	maintenance.State
	Nodes         []NodeStatus                  `json:"fleet"`
	Load          map[string]map[string]float64 `json:"load"`
	UnmetFloors   []string                      `json:"missing"` // floors that are not kept now
	FleetComplete bool                          `json:"sure"`
}

// NodeStatus is one node.
type NodeStatus struct {
	Node         string             `json:"node"`
	Zone         string             `json:"zone"`
	Region       string             `json:"region"`
	Serving      bool               `json:"serving"`
	Phase        maintenance.Phase  `json:"phase"`
	RequestRates map[string]float64 `json:"carries"`
}

// DescribeMaintenance tells operators how windows stand, as this comb knows.
func (c *Controller) DescribeMaintenance(now time.Duration) ([]byte, error) {
	fleet := c.knownFleet(now)
	status := MaintenanceStatus{State: c.maintenanceState(), Load: fleet.Load, FleetComplete: fleet.Complete, Nodes: []NodeStatus{}, UnmetFloors: []string{}}
	for _, node := range fleet.Nodes {
		status.Nodes = append(status.Nodes, NodeStatus{node.Name, node.Zone, node.Region, node.Serving, node.Phase, node.Capacity})
	}
	for _, floor := range status.State.Shortfalls(fleet, status.State.IsOut) {
		status.UnmetFloors = append(status.UnmetFloors, floor.String())
	}
	return json.MarshalIndent(status, "", "  ")
}
