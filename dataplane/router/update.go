package router

import (
	"time"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/invariant"
	"zincloft.example/zincloft/messages"
)

// UpdateResult is what follows from an update for the gateway's sockets.
type UpdateResult struct {
	RemovedEndpoints []string              `cbor:"1,keyasint,omitempty"` // to which no connection is wanted any more
	Config           *gatewayconfig.Config `cbor:"-"`                    // that is in force from now on; nil: the same as before
	ConfigError      string                `cbor:"3,keyasint,omitempty"` // why a configuration was rejected
	FullTable        bool                  `cbor:"4,keyasint,omitempty"` // the update was a full one
	Stale            bool                  `cbor:"5,keyasint,omitempty"` // the update is stale: nothing of it was applied, and the stream must be left
}

// Apply puts in force what a control-plane member sends. Within a process no version goes back: a register or a
// configuration that is older than the one in force is ignored.
//
// After a silence of more than WarmupRateLifetime within a stream, this gateway or the member was held up, and what still
// arrives may be stale: the stream is left.
func (r *Router) Apply(now time.Duration, update *messages.StateUpdate) (result UpdateResult) {
	switch {
	case update.Full:
		r.streaming, r.silenceBeforeStream = true, now-r.lastUpdateAt
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

// applyConfig puts a newer configuration in force and returns it, or why it was rejected.
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
	return config, ""
}

// applyRegister puts the replicated register in force, unless it is older than the one that is.
func (r *Router) applyRegister(now time.Duration, update *messages.StateUpdate) {
	if update.Sequence == 0 || update.Sequence < r.sequence {
		return
	}
	r.sequence = update.Sequence
	r.balancer.SetEvacuatedZones(now, update.EvacuatedZones)
	r.maintenanceEnabled = update.MaintenanceEnabled
	r.updateMaintenance(now, update.Maintenance)
}

// applyEndpointTable puts weights, warm-up rates and ejections in force.
func (r *Router) applyEndpointTable(now time.Duration, update *messages.StateUpdate) {
	for _, endpoint := range update.Weights {
		r.balancer.SetWeight(endpoint.Replica, float64(endpoint.Weight))
	}
	r.balancer.SetPairEjections(update.Full, update.PairEjections)
	// A full update ends what another member, or the same one before a restart, had assigned.
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

// updateMaxInFlight has this gateway use its share of the connections that replicas accept.
func (r *Router) updateMaxInFlight() {
	limits := map[string]int{}
	for name, service := range r.config.Services {
		if service.MaxConnections > 0 {
			limits[name] = loadbalancer.ConnectionShare(service.MaxConnections, r.gateways, r.settings.Zones)
		}
	}
	r.balancer.SetMaxInFlight(limits)
}

// StreamEnded drops what holds only with the stream: its member assigns the warm-up rates to other gateways now.
func (r *Router) StreamEnded(now time.Duration) {
	r.streaming = false
	r.setWarmupRates(now, nil)
}
