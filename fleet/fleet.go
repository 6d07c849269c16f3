// Package fleet has what the control plane and the gateways both speak of: members, instances of replicas, failures that gateways observe, and
// phases of maintenance. It decides nothing and imports nothing of either side.
package fleet

// Member is a member of the control plane. The JSON keys of Member are those of `zincloftctl store export`.
type Member struct {
	ID   string `cbor:"1,keyasint"` // Identity of the member's disk.
	Addr string `cbor:"2,keyasint"` // Address at which other members and gateways connect.
	Zone string `cbor:"3,keyasint,omitempty"`

	// APIAddr is the address at which replicas and operators call the member.
	APIAddr string `cbor:"4,keyasint,omitempty" json:"Call"`
}

// Observation is what a gateway reports of a replica that failed.
type Observation struct {
	Replica           string `cbor:"1,keyasint"`
	ConnectionRefused bool   `cbor:"2,keyasint,omitempty"` // nobody listens there: proof, unless the gateway's own link is at fault
}

// Ejection has all gateways make a replica a last choice for a time.
type Ejection struct {
	Replica      string `cbor:"1,keyasint"`
	Milliseconds int64  `cbor:"2,keyasint"`
}

// Phase is what a node is at in its maintenance window.
type Phase string

// Phases of a window, in their order.
const (
	PhaseRequested Phase = "asked"     // waits for its grant
	PhaseDraining  Phase = "draining"  // granted; the node ends what is in flight
	PhaseDrained   Phase = "drained"   // the node has reported that nothing is in flight: it may be worked on
	PhaseReturning Phase = "returning" // it is to serve again
	PhaseServing   Phase = "serving"   // reported by a node; its window is over
)
