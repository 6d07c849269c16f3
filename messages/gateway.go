package messages

import (
	"zincloft.example/zincloft/fleet"
)

// LoadReport is a gateway's report to the control-plane member that it is connected to. It is sent once per report period.
// Urgent observations are sent immediately, in a report with only that field set.
type LoadReport struct {
	// PeriodMillis is the duration covered by the report, in milliseconds.
	PeriodMillis int64 `cbor:"1,keyasint"`

	// Endpoints holds the statistics of the replicas that received requests in the period.
	Endpoints []EndpointStats `cbor:"2,keyasint,omitempty"`

	// Requests and Failed count all client requests and the failed ones in the period, by service.
	Requests map[string]int `cbor:"3,keyasint,omitempty"`
	Failed   map[string]int `cbor:"4,keyasint,omitempty"`

	// Instances lists the instances known to the gateway. It is set only in the first report on a stream, because a member that
	// has just started may know fewer.
	Instances []fleet.Instance `cbor:"5,keyasint,omitempty"`

	// Sequence is the sequence of the register in effect at the gateway. It is set together with Instances.
	Sequence uint64 `cbor:"6,keyasint,omitempty"`

	// Observations lists replicas with failed connections.
	Observations []fleet.Observation `cbor:"8,keyasint,omitempty"`

	// Deregistered lists the IDs of replicas at whose address a different replica responded.
	Deregistered []string `cbor:"7,keyasint,omitempty"`

	// KeyLoads lists the requests of sharded services by key in the period.
	KeyLoads []ServiceKeyLoad `cbor:"10,keyasint,omitempty"`

	// Status describes the gateway itself. It is nil unless maintenance windows are in use.
	Status *GatewayStatus `cbor:"9,keyasint,omitempty"`
}

// EndpointStats holds the statistics of a gateway's attempts at one replica since its last report.
type EndpointStats struct {
	Replica string `cbor:"1,keyasint"`

	// Attempts counts completed attempts; Dropped counts those among them without a complete response.
	Attempts int `cbor:"2,keyasint,omitempty"`
	Dropped  int `cbor:"3,keyasint,omitempty"`

	// MeanLatencyMicros is the mean latency of the successful attempts, in microseconds.
	MeanLatencyMicros int64 `cbor:"4,keyasint,omitempty"`

	// Running, Waiting and Slots are the numbers of running and queued requests and of concurrent requests that the replica
	// supports, as reported in its latest response. Slots is zero if the replica reported no load.
	Running int `cbor:"5,keyasint,omitempty"`
	Waiting int `cbor:"6,keyasint,omitempty"`
	Slots   int `cbor:"7,keyasint,omitempty"`
}

// GatewayStatus is a gateway's status for maintenance windows.
type GatewayStatus struct {
	// Ready reports whether the gateway has a configuration and endpoint tables.
	Ready bool `cbor:"1,keyasint,omitempty"`

	// Phase is the phase of its maintenance window that the gateway has reached; FencingToken is the token of that window.
	Phase        fleet.Phase `cbor:"2,keyasint,omitempty"`
	FencingToken uint64      `cbor:"3,keyasint,omitempty"`

	// CapacityByGroup is the gateway's estimated capacity in requests per second, by traffic group.
	CapacityByGroup map[string]float64 `cbor:"4,keyasint,omitempty"`

	// LoadByGroup is the request rate that the gateway received in the period, in requests per second, by traffic group.
	LoadByGroup map[string]float64 `cbor:"5,keyasint,omitempty"`
}
