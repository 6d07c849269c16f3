package messages

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// WarmupRateLifetime is how long warm-up rates hold after the last update of the member that assigned them. It is also the longest silence
// between two updates of one stream, see router.Apply: the keepalive interval of package controller is less. A member that was isolated assigns
// no rates for longer than this (warmupRateDelay there).
const WarmupRateLifetime = time.Second

// StateUpdate tells a gateway what is in force. The first on a stream is full, those that follow carry what has changed.
// Only the member that holds the gateway's stream sends it.
type StateUpdate struct {
	// Full reports that the update replaces all that the gateway knows from earlier streams.
	Full bool `cbor:"1,keyasint,omitempty"`

	// Sequence is that of the committed register. Zero means that the update carries nothing of the register.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`

	// ConfigVersion is the committed configuration's version; Config is its text, set only if the version has changed.
	ConfigVersion uint64 `cbor:"3,keyasint,omitempty"`
	Config        []byte `cbor:"4,keyasint,omitempty"`

	// EvacuatedZones lists all zones that are being evacuated. It holds if Sequence is set.
	EvacuatedZones []string `cbor:"5,keyasint,omitempty"`

	// Instances are the registered instances that have changed, all of them in a full update.
	Instances []fleet.Instance `cbor:"6,keyasint,omitempty"`

	// Weights are the entries of the endpoint tables that have changed, all of them in a full update.
	Weights []EndpointWeight `cbor:"7,keyasint,omitempty"`

	// Members lists the control-plane members that the gateway may connect to. It is empty if they have not changed.
	Members []fleet.Member `cbor:"8,keyasint,omitempty"`

	// GatewayCount is the number of gateways connected to all members together. Zero means unchanged.
	GatewayCount int `cbor:"9,keyasint,omitempty"`

	// WarmupRates limits what this gateway may send to replicas that warm up.
	WarmupRates []EndpointWeight `cbor:"10,keyasint,omitempty"`

	// WarmupRatesComplete reports that WarmupRates holds every limit in force; without it the field is empty and the earlier
	// limits stay.
	WarmupRatesComplete bool `cbor:"11,keyasint,omitempty"`

	// Ejections are outlier ejections that were decided since the last update.
	Ejections []fleet.Ejection `cbor:"13,keyasint,omitempty"`

	// MaintenanceEnabled reports that maintenance windows are in use and that Maintenance is valid. It is set only together
	// with Sequence.
	MaintenanceEnabled bool              `cbor:"15,keyasint,omitempty"`
	Maintenance        MaintenanceWindow `cbor:"16,keyasint,omitempty"`

	// PairEjections are the replicas that were ejected or reinstated at this gateway alone since the last update.
	PairEjections []PairEjection `cbor:"14,keyasint,omitempty"`

	// Bootstrapping reports that the sender has just started and may not know all instances yet.
	Bootstrapping bool `cbor:"12,keyasint,omitempty"`
}

// EndpointWeight is one replica's entry in a gateway's endpoint table, or its limit while it warms up.
type EndpointWeight struct {
	// Replica is the replica's ID.
	Replica string `cbor:"1,keyasint"`

	// Weight is the replica's share of its service's traffic relative to the other entries. Zero removes the entry.
	Weight float32 `cbor:"2,keyasint,omitempty"`

	// WarmupRate is how many requests a second this gateway may send to the replica while it warms up. It is set only in
	// StateUpdate.WarmupRates.
	WarmupRate float32 `cbor:"3,keyasint,omitempty"`
}

// PairEjection ejects a replica at one gateway alone, or reinstates it. It is decided where attempts fail between the two and
// between no other pair.
type PairEjection struct {
	// Replica is the replica's ID.
	Replica string `cbor:"1,keyasint"`

	// Ejected is false if the replica is reinstated.
	Ejected bool `cbor:"2,keyasint,omitempty"`
}

// MaintenanceWindow tells a gateway about its own maintenance window. The zero value means that it has none.
type MaintenanceWindow struct {
	// Phase is the phase that the gateway is to reach.
	Phase fleet.Phase `cbor:"1,keyasint,omitempty"`

	// FencingToken rises with each window that is granted. The gateway ignores a window with a lower one than it has seen.
	FencingToken uint64 `cbor:"2,keyasint,omitempty"`
}
