package messages

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// WarmupRateLifetime is how long warm-up rates are valid after the last update from the member that assigned them. It is also the maximum time
// between two updates on one stream, see router.Apply, so the keepalive interval of package controller must be shorter. After an isolation a
// member assigns no rates for longer than this (warmupRateDelay there).
const WarmupRateLifetime = time.Second

// StateUpdate sends the current state to a gateway. The first update on a stream is a full snapshot; later ones are deltas.
type StateUpdate struct {
	// Full reports that the update replaces all state from earlier streams.
	Full bool `cbor:"1,keyasint,omitempty"`

	// Sequence is the sequence of the committed register. Zero means that the update contains no register data.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`

	// ConfigVersion is the version of the committed configuration; Config is its text, set only if the version has changed.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	Config        []byte `cbor:"4,keyasint,omitempty"`

	// EvacuatedZones lists all evacuated zones. It is valid if Sequence is set.
	EvacuatedZones []string `cbor:"5,keyasint,omitempty"`

	// Instances lists the instances that have changed, or all instances in a full update.
	Instances []fleet.Instance `cbor:"6,keyasint,omitempty"`

	// Weights lists the changed entries of the endpoint tables, or all entries in a full update.
	Weights []EndpointWeight `cbor:"7,keyasint,omitempty"`

	// Members lists the control-plane members that the gateway may connect to. It is empty if unchanged.
	Members []fleet.Member `cbor:"8,keyasint,omitempty"`

	// GatewayCount is the number of gateways connected to all members. Zero means unchanged.
	GatewayCount int `cbor:"9,keyasint,omitempty"`

	// WarmupRates limits the request rates of this gateway to replicas that are warming up.
	WarmupRates []EndpointWeight `cbor:"10,keyasint,omitempty"`

	// WarmupRatesComplete reports that WarmupRates replaces all earlier limits. If false, WarmupRates is empty and the earlier
	// limits stay in effect.
	WarmupRatesComplete bool `cbor:"11,keyasint,omitempty"`

	// Ejections lists the outlier ejections since the last update.
	Ejections []fleet.Ejection `cbor:"13,keyasint,omitempty"`

	// MaintenanceEnabled reports that maintenance windows are in use and that Maintenance is valid. It is set only together
	// with Sequence.
	MaintenanceEnabled bool              `cbor:"15,keyasint,omitempty"`
	Maintenance        MaintenanceWindow `cbor:"16,keyasint,omitempty"`

	// PairEjections lists the replicas that were ejected or readmitted at this gateway only since the last update.
	PairEjections []PairEjection `cbor:"14,keyasint,omitempty"`

	// Ownership lists the changed ranges of sharded services, or all ranges in a full update.
	Ownership []ServiceOwnership `cbor:"17,keyasint,omitempty"`

	// Bootstrapping reports that the sender has just started or was isolated and may not know all instances yet.
	Bootstrapping bool `cbor:"12,keyasint,omitempty"`
}

// EndpointWeight is a replica's weight in a gateway's endpoint table, or its rate limit while it warms up.
type EndpointWeight struct {
	Replica string `cbor:"1,keyasint"`

	// Weight is the replica's share of its service's traffic, relative to the other weights. Zero removes the entry.
	Weight float32 `cbor:"2,keyasint,omitempty"`

	// WarmupRate limits the requests per second from this gateway to the replica while it warms up. It is set only in
	// StateUpdate.WarmupRates.
	WarmupRate float32 `cbor:"3,keyasint,omitempty"`
}

// PairEjection ejects a replica at a single gateway, or readmits it. It applies to failures that affect only this pair of
// gateway and replica.
type PairEjection struct {
	Replica string `cbor:"1,keyasint"`

	// Ejected is false if the replica is readmitted.
	Ejected bool `cbor:"2,keyasint,omitempty"`
}

// MaintenanceWindow is the receiving gateway's own maintenance window. The zero value means that it has none.
type MaintenanceWindow struct {
	// Phase is the phase that the gateway should reach.
	Phase fleet.Phase `cbor:"1,keyasint,omitempty"`

	// FencingToken increases with each granted window. The gateway ignores windows with a lower token than it has seen.
	FencingToken uint64 `cbor:"2,keyasint,omitempty"`
}
