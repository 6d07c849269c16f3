// Package overflow decides which requests a site without capacity forwards to a peer site, and which of these the peer admits.
// The package performs no I/O; callers pass in the time, and each interval is measured by a single clock.
//
// A site lends spare capacity by granting leases that expire. Leased capacity is not lent again, whether or not it is used. A
// site that rejects its own clients' requests, or borrows capacity itself, lends nothing, and forwarded requests are never
// forwarded again. So sites cannot overflow into each other, and a request is forwarded at most once.
//
// Only internal/testbeds/simulation uses this package so far. See docs/design/overflow.md.
package overflow

import "time"

const (
	// LeaseDuration is the validity of a lease at the lender. The borrower stops using it earlier, by leaseSafetyMargin.
	LeaseDuration = 2 * time.Second

	leaseSafetyMargin = 400 * time.Millisecond // allows for round trips and clock drift
	minLeaseRate      = 0.5                    // requests per second; lower rates are neither requested nor granted
	maxUtilization    = 0.8                    // share of the slots that may be used, forwarded requests included
)

// Stats are a site's statistics of one service.
type Stats struct {
	Slots          float64 `cbor:"1,keyasint"` // slots of ready and warm replicas, except in evacuated zones
	Rate           float64 `cbor:"2,keyasint"` // requests per second that these replicas receive
	ServiceSeconds float64 `cbor:"3,keyasint"` // service time of a request
	RejectedRate   float64 `cbor:"4,keyasint"` // requests per second that are rejected for lack of capacity
}

// SpareRate returns the requests per second that the service could additionally serve. It is 0 if requests are rejected.
func (s Stats) SpareRate() float64 {
	if s.ServiceSeconds <= 0 || s.RejectedRate > 0 {
		return 0
	}
	return max(maxUtilization*s.Slots/s.ServiceSeconds-s.Rate, 0)
}

// Lease is spare capacity that one site lends to another.
type Lease struct {
	ID        string        `cbor:"1,keyasint"`
	Service   string        `cbor:"2,keyasint"`
	Site      string        `cbor:"3,keyasint"` // the other site
	Rate      float64       `cbor:"4,keyasint"` // requests per second; 0 if denied or replaced by a newer lease
	ExpiresAt time.Duration `cbor:"5,keyasint"` // by the clock of the process that holds this value
	Addrs     []string      `cbor:"6,keyasint,omitempty"`
}

// LeaseRequest is a request to a peer site for a lease.
type LeaseRequest struct {
	Site    string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Rate    float64 `cbor:"3,keyasint"` // requests per second
}

// PeerSite is a site that capacity may be lent to or borrowed from.
type PeerSite struct {
	Site              string        `json:"site" cbor:"1,keyasint"`
	ControlPlaneAddrs []string      `json:"combs" cbor:"2,keyasint"`            // addresses at which its control-plane members accept peers
	Distance          time.Duration `json:"distance" cbor:"3,keyasint"`         // one-way latency
	MaxLend           float64       `json:"lend" cbor:"4,keyasint,omitempty"`   // requests per second of a service that may be lent to it; 0 means unlimited
	MaxBorrow         float64       `json:"borrow" cbor:"5,keyasint,omitempty"` // requests per second of a service that may be borrowed from it; 0 means unlimited
	Closed            bool          `json:"closed" cbor:"6,keyasint,omitempty"` // no lending in either direction
}
