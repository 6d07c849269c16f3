package router

import (
	"time"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/invariant"
	"zincloft.example/zincloft/messages"
)

// UpdateResult tells the gateway what to do after an update.
type UpdateResult struct {
	RemovedEndpoints []string              `cbor:"1,keyasint,omitempty"` // endpoints to which connections should be closed
	Config           *gatewayconfig.Config `cbor:"-"`                    // the new configuration in force; nil if it has not changed
	ConfigError      string                `cbor:"3,keyasint,omitempty"` // reason why a new configuration was rejected
	FullTable        bool                  `cbor:"4,keyasint,omitempty"` // the update was a full update
	Stale            bool                  `cbor:"5,keyasint,omitempty"` // the update may be stale and was not applied; the stream must be closed
	OwnershipChanged bool                  `cbor:"6,keyasint,omitempty"` // some shard keys have changed their owner or begun to move
	OwnershipError   string                `cbor:"7,keyasint,omitempty"` // reason why an ownership table was rejected
}

// Apply applies an update from a control-plane member. A register or configuration that is older than the one in force is
// ignored.
//
// If no update arrived on the stream for more than WarmupRateLifetime, this gateway or the member was stalled and buffered
// updates may be stale. Apply then ignores the update and ends the stream.
func (r *Router) Apply(now time.Duration, update *messages.StateUpdate) (result UpdateResult) {
	switch {
	case update.Full:
		r.streaming, r.gapBeforeStream = true, now-r.lastUpdateAt
	case r.streaming && now-r.lastUpdateAt > messages.WarmupRateLifetime:
		r.StreamEnded(now)
		return UpdateResult{Stale: true}
	}
	r.lastUpdateAt = now
	r.updateCount++
	result.Config, result.ConfigError = r.applyConfig(update)
	result.FullTable = update.Full
	r.hasTable = r.hasTable || update.Full
	result.RemovedEndpoints = r.balancer.UpdateInstances(now, update.Full && !update.Bootstrapping, update.Instances)
	result.OwnershipChanged, result.OwnershipError = r.applyOwnership(now, update.Ownership)
	r.applyRegister(now, update)
	r.applyEndpointTable(now, update)
	if len(update.Members) > 0 {
		r.members = update.Members
	}
	if update.GatewayCount > 0 {
		r.gateways = update.GatewayCount
		r.updateRetrySlack(now)
	}
	if r.config != nil && (result.Config != nil || update.GatewayCount > 0) {
		r.updateMaxInFlight()
	}
	return result
}

// applyConfig applies a newer configuration and returns it, or the reason why it was rejected.
func (r *Router) applyConfig(update *messages.StateUpdate) (applied *gatewayconfig.Config, problem string) {
	if len(update.Config) == 0 || r.config != nil && r.config.Version >= update.ConfigVersion {
		return nil, ""
	}
	config, err := gatewayconfig.Parse(update.Config)
	if err != nil {
		return nil, err.Error()
	}
	if r.config != nil {
		invariant.NotBelow(invariant.ConfigVersionMonotonic, config.Version, r.config.Version)
	}
	r.config = config
	r.balancer.SetWarmupDurations(config.WarmupDurations())
	return config, ""
}

// applyRegister applies the replicated register, unless it is older than the one in force.
func (r *Router) applyRegister(now time.Duration, update *messages.StateUpdate) {
	if update.Sequence == 0 || update.Sequence < r.sequence {
		return
	}
	r.sequence = update.Sequence
	r.balancer.SetEvacuatedZones(now, update.EvacuatedZones)
	r.maintenanceEnabled = update.MaintenanceEnabled
	r.updateMaintenance(now, update.Maintenance)
}

// applyEndpointTable applies weights, warm-up rates and ejections.
func (r *Router) applyEndpointTable(now time.Duration, update *messages.StateUpdate) {
	for _, endpoint := range update.Weights {
		r.balancer.SetWeight(endpoint.Replica, float64(endpoint.Weight))
	}
	r.balancer.SetPairEjections(update.Full, update.PairEjections)
	// A full update replaces the rates from another member, or from the same member before a restart.
	if update.WarmupRatesComplete || update.Full {
		rates := map[string]float64{}
		for _, endpoint := range update.WarmupRates {
			rates[endpoint.Replica] = float64(endpoint.WarmupRate)
		}
		r.setWarmupRates(now, rates)
	}
	for _, ejection := range update.Ejections {
		r.balancer.Eject(now, ejection.Replica, time.Duration(ejection.Milliseconds)*time.Millisecond)
	}
}

// updateMaxInFlight limits this gateway to its share of the connections that replicas accept.
func (r *Router) updateMaxInFlight() {
	limits := map[string]int{}
	for name, service := range r.config.Services {
		if service.MaxConnections <= 0 {
			continue
		}
		zones := r.settings.Zones
		if service.Sharded {
			zones = 1 // the gateways of all zones send to a key's owner
		}
		limits[name] = loadbalancer.ConnectionShare(service.MaxConnections, r.gateways, zones)
	}
	r.balancer.SetMaxInFlight(limits)
}

// StreamEnded drops the warm-up rates of the stream, as the member may now assign them to other gateways.
func (r *Router) StreamEnded(now time.Duration) {
	r.streaming = false
	r.setWarmupRates(now, nil)
}
