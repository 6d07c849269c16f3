package controller

import (
	"encoding/json"
	"time"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
)

const (
	// fleetReportTTL is how long a node status reported by a gateway or another member is valid.
	fleetReportTTL = 2500 * time.Millisecond

	// fleetDiscoveryPeriod is how long after its start a member treats its view of the fleet as incomplete.
	fleetDiscoveryPeriod = 3 * time.Second
)

// peerSummary is the latest gateway summary of another member.
type peerSummary struct {
	receivedAt time.Duration
	summary    peermessages.GatewaySummary
}

// localSummary returns the nodes whose gateways are connected to this member, and their load by region and group.
func (c *Controller) localSummary(now time.Duration) peermessages.GatewaySummary {
	type regionGroup struct{ region, group string }
	summary := peermessages.GatewaySummary{GatewayCount: len(c.streams)}
	load := map[regionGroup]float64{}
	for _, stream := range c.streams {
		if stream.status == nil || now-stream.statusAt > fleetReportTTL {
			continue
		}
		node := c.nodeFromStream(stream)
		summary.Nodes = append(summary.Nodes, node)
		for group, rate := range stream.status.LoadByGroup {
			load[regionGroup{node.Region, group}] += rate
		}
	}
	for _, floor := range c.maintenanceState().AgreedFloors {
		if rate := load[regionGroup{floor.Region, floor.Group}]; rate > 0 {
			summary.Load = append(summary.Load, peermessages.GroupLoad{Region: floor.Region, Group: floor.Group, RequestsPerSecond: rate})
		}
	}
	return summary
}

// nodeFromStream returns the node of a gateway that has reported its status.
func (c *Controller) nodeFromStream(stream *gatewayStream) maintenance.Node {
	status := stream.status
	node := maintenance.Node{
		Serving:      status.Ready && status.Phase == fleet.PhaseServing,
		Phase:        status.Phase,
		FencingToken: status.FencingToken,
	}
	node.Name = stream.gateway
	node.Zone = stream.zone
	node.Region = c.options.RegionByZone[stream.zone]
	node.Capacity = status.CapacityByGroup
	return node
}

// mergedFleet merges the local summary with those of the reachable members. The result is complete if fleetDiscoveryPeriod has passed and
// every reachable member has a recent summary. Gateways of unreachable members reconnect to a reachable one within a second.
func (c *Controller) mergedFleet(now time.Duration) maintenance.Fleet {
	fleet := maintenance.Fleet{Load: map[string]map[string]float64{}, Complete: now > fleetDiscoveryPeriod}
	listed := map[string]bool{}
	addSummary(&fleet, listed, c.localSummary(now))
	for _, peer := range c.coordinator.Peers(now) {
		if peer.ID == "" || !c.coordinator.IsReachable(now, peer.ID) {
			continue
		}
		reported, ok := c.maintenance.peerSummaries[peer.ID]
		if !ok || now-reported.receivedAt > fleetReportTTL {
			fleet.Complete = false
			continue
		}
		addSummary(&fleet, listed, reported.summary)
	}
	return fleet
}

// addSummary adds the nodes and the load of one member's gateways. A node can appear in two summaries if its gateway has just reconnected to
// another member.
func addSummary(fleet *maintenance.Fleet, listed map[string]bool, summary peermessages.GatewaySummary) {
	for _, node := range summary.Nodes {
		if !listed[node.Name] {
			listed[node.Name] = true
			fleet.Nodes = append(fleet.Nodes, node)
		}
	}
	for _, load := range summary.Load {
		if fleet.Load[load.Region] == nil {
			fleet.Load[load.Region] = map[string]float64{}
		}
		fleet.Load[load.Region][load.Group] += load.RequestsPerSecond
	}
}

// MaintenanceStatus is the status of maintenance windows as shown to operators.
type MaintenanceStatus struct {
	maintenance.State
	Nodes         []NodeStatus                  `json:"fleet"`
	Load          map[string]map[string]float64 `json:"load"`    // requests per second, by region and group
	UnmetFloors   []string                      `json:"missing"` // capacity floors that are currently violated
	FleetComplete bool                          `json:"sure"`    // whether all nodes are known
}

// NodeStatus is the status of one node of the fleet.
type NodeStatus struct {
	Node     string             `json:"node"`
	Zone     string             `json:"zone"`
	Region   string             `json:"region"`
	Serving  bool               `json:"serving"`
	Phase    fleet.Phase        `json:"phase"`
	Capacity map[string]float64 `json:"carries"` // requests per second, by group
}

// DescribeMaintenance returns the MaintenanceStatus as seen by this member, encoded as JSON.
func (c *Controller) DescribeMaintenance(now time.Duration) ([]byte, error) {
	fleet := c.mergedFleet(now)
	status := MaintenanceStatus{
		State:         c.maintenanceState(),
		Nodes:         []NodeStatus{},
		Load:          fleet.Load,
		UnmetFloors:   []string{},
		FleetComplete: fleet.Complete,
	}
	for _, node := range fleet.Nodes {
		status.Nodes = append(status.Nodes, NodeStatus{node.Name, node.Zone, node.Region, node.Serving, node.Phase, node.Capacity})
	}
	for _, floor := range status.Shortfalls(fleet, status.IsOut) {
		status.UnmetFloors = append(status.UnmetFloors, floor.String())
	}
	return json.MarshalIndent(status, "", "  ")
}
