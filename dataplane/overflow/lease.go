// Package overflow decides what a site forwards to a peer site for want of capacity, and what that one admits. It is free of
// I/O; the time is passed in, and every interval is measured by one clock only.
//
// Spare capacity is lent by leases that expire: what a site has promised is off what it can promise to others, whether or not
// it is used. A site that rejects requests of its own clients, or borrows itself, lends nothing; a guest request is never
// forwarded again. So no two sites overflow into each other, and every request makes one hop at most.
//
// The daemons do not use this package yet; only internal/testbeds/simulation drives it. See docs/design/overflow.md.
package overflow

import "time"

const (
	// LeaseDuration is how long a lease is valid from the lender's grant on. The borrower stops using it earlier, by
	// leaseSafetyMargin.
	LeaseDuration = 2 * time.Second

	leaseSafetyMargin = 400 * time.Millisecond // for the way there and back, and for clocks that run at different rates
	minLeaseRate      = 0.5                    // requests a second; less is neither requested nor granted
	maxUtilization    = 0.8                    // of the slots, guests included, up to which capacity counts as spare
)

// Stats are a site's figures of one of its services.
type Stats struct {
	Slots          float64 `cbor:"1,keyasint"` // of replicas that are ready and warm, in zones that are not being evacuated
	Rate           float64 `cbor:"2,keyasint"` // requests a second that reach them
	ServiceSeconds float64 `cbor:"3,keyasint"` // for one request
	RejectedRate   float64 `cbor:"4,keyasint"` // requests a second that are rejected for want of capacity
}

// SpareRate returns the requests a second that could be served besides. It is 0 where requests are rejected.
func (s Stats) SpareRate() float64 {
	if s.ServiceSeconds <= 0 || s.RejectedRate > 0 {
		return 0
	}
	return max(maxUtilization*s.Slots/s.ServiceSeconds-s.Rate, 0)
}

// Lease is spare capacity that one site lends another.
type Lease struct {
	ID        string        `cbor:"1,keyasint"`
	Service   string        `cbor:"2,keyasint"`
	Site      string        `cbor:"3,keyasint"` // the other one
	Rate      float64       `cbor:"4,keyasint"` // requests a second; 0: replaced by a newer lease, or denied
	ExpiresAt time.Duration `cbor:"5,keyasint"` // by the holder's own clock
	Addrs     []string      `cbor:"6,keyasint,omitempty"`
}

// LeaseRequest asks a peer site for a lease.
type LeaseRequest struct {
	Site    string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Rate    float64 `cbor:"3,keyasint"` // requests a second
}

// PeerSite is a site that capacity may be lent to or borrowed from.
type PeerSite struct {
	Site              string        `json:"site" cbor:"1,keyasint"`
	ControlPlaneAddrs []string      `json:"combs" cbor:"2,keyasint"`            // where its control-plane members listen for peers
	Distance          time.Duration `json:"distance" cbor:"3,keyasint"`         // one way
	MaxLend           float64       `json:"lend" cbor:"4,keyasint,omitempty"`   // requests a second of a service that it may be lent; 0: unbounded
	MaxBorrow         float64       `json:"borrow" cbor:"5,keyasint,omitempty"` // requests a second of a service that may be sent there; 0: unbounded
	Closed            bool          `json:"closed" cbor:"6,keyasint,omitempty"` // nothing is lent either way
}
