package messages

import (
	"zincloft.example/zincloft/fleet"
)

// LoadReport is what a gateway reports to the member that holds its stream: once per report period, and at once, with a
// single field set, where an observation cannot wait.
type LoadReport struct {
	// PeriodMillis is the time that the report covers, in milliseconds.
	PeriodMillis int64 `cbor:"1,keyasint"`

	// Endpoints are the statistics of the replicas that were called in the period.
	Endpoints []EndpointStats `cbor:"2,keyasint,omitempty"`

	// Requests and Failed count the clients' requests of the period and those that failed, by service.
	Requests map[string]int `cbor:"3,keyasint,omitempty"`
	Failed   map[string]int `cbor:"4,keyasint,omitempty"`

	// Instances are those the gateway knows of. They are set only in the first report on a stream, because the member may
	// have started since and know fewer.
	Instances []fleet.Instance `cbor:"5,keyasint,omitempty"`

	// Sequence is that of the register which is in force at the gateway. It is set as Instances are.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`

	// Observations are replicas at which connections failed.
	Observations []fleet.Observation `cbor:"8,keyasint,omitempty"`

	// Deregistered lists the IDs of replicas at whose addresses another replica answered.
	Deregistered []string `cbor:"7,keyasint,omitempty"`

	// Status describes the gateway itself. It is nil unless maintenance windows are in use.
	Status *GatewayStatus `cbor:"9,keyasint,omitempty"`
}

// EndpointStats are a gateway's attempts at one replica since its last report.
type EndpointStats struct {
	// Replica is the replica's ID.
	Replica string `cbor:"1,keyasint"`

	// Attempts counts the attempts that ended; Dropped counts those of them that got no complete answer.
	Attempts int `cbor:"2,keyasint,omitempty"`
	Dropped  int `cbor:"3,keyasint,omitempty"`

	// MeanLatencyMicros is the mean latency of the successful attempts, in microseconds.
	MeanLatencyMicros int64 `cbor:"4,keyasint,omitempty"`

	// Running, Waiting and Slots are the replica's own count of requests that run and wait, and of those that it can run at
	// once, from its newest answer. Slots is zero if the replica reported no load.
	Running int `cbor:"5,keyasint,omitempty"`
	Waiting int `cbor:"6,keyasint,omitempty"`
	Slots   int `cbor:"7,keyasint,omitempty"`
}

// GatewayStatus is what a gateway reports of itself where maintenance windows are in use.
type GatewayStatus struct {
	// Ready reports that the gateway has a configuration and endpoint tables.
	Ready bool `cbor:"1,keyasint,omitempty"`

	// Phase is the phase of its maintenance window that the gateway has reached, and FencingToken that of the window.
	Phase        fleet.Phase `cbor:"2,keyasint,omitempty"`
	FencingToken uint64      `cbor:"3,keyasint,omitempty"`

	// CapacityByGroup estimates how many requests a second the gateway can carry, by traffic group.
	CapacityByGroup map[string]float64 `cbor:"4,keyasint,omitempty"`

	// LoadByGroup is how many requests a second the gateway received in the period, by traffic group.
	LoadByGroup map[string]float64 `cbor:"5,keyasint,omitempty"`
}
