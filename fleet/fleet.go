// Package fleet defines the data types that the control plane and the gateways share: members, replica instances, observed failures, and
// phases of maintenance.
package fleet

// Member is a member of the control plane. Its JSON form is part of the output of `zincloftctl store export`.
type Member struct {
	ID   string `cbor:"1,keyasint"` // Identity of the member's disk.
	Addr string `cbor:"2,keyasint"` // Address at which other members and gateways connect.
	Zone string `cbor:"3,keyasint,omitempty"`

	// APIAddr is the address at which replicas and operators call the member.
	APIAddr string `cbor:"4,keyasint,omitempty" json:"Call"`
}

// Observation is a gateway's report of a failed replica.
type Observation struct {
	Replica           string `cbor:"1,keyasint"`
	ConnectionRefused bool   `cbor:"2,keyasint,omitempty"` // no process listens there, unless the gateway's own link is faulty
}

// Ejection makes all gateways use a replica only as a last resort for a limited time.
type Ejection struct {
	Replica      string `cbor:"1,keyasint"`
	Milliseconds int64  `cbor:"2,keyasint"`
}

// Phase is the state of a node in its maintenance window.
type Phase string

// Phases of a window, in order.
const (
	PhaseRequested Phase = "asked"     // waits for permission to drain
	PhaseDraining  Phase = "draining"  // granted; requests in flight are being completed
	PhaseDrained   Phase = "drained"   // no requests in flight; maintenance may begin
	PhaseReturning Phase = "returning" // maintenance is over; the node is to serve again
	PhaseServing   Phase = "serving"   // reported by the node; the window is over
)
