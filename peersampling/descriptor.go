// Package peersampling implements the discovery of gateways and control-plane members by a gossip protocol after Cyclon
// (Voulgaris, Gavidia, van Steen: "CYCLON: Inexpensive Membership Management for Unstructured P2P Overlays", 2005). Each
// process knows a partial view of its peers, and no process holds the complete list. The package performs no I/O; callers pass
// in the random number generator.
//
// In each round a process contacts its oldest peer and sends it an offer with its own descriptor and a sample of its view. It
// removes the peer from its view until the peer replies with a sample of its own. Failed processes thus disappear from all
// views, and new processes spread. Control-plane members and gateways are kept in separate lists, so that the few members are
// not displaced by the many gateways.
package peersampling

// Role is the role of a process.
type Role uint8

// The values of Role, which are part of the encoding.
const (
	RoleControlPlane Role = iota + 1
	RoleGateway
)

// roleCount is the number of roles. A PartialView holds one list of peers per role.
const roleCount = 2

// Descriptor describes a process to its peers.
type Descriptor struct {
	Addr string `cbor:"1,keyasint"`
	Role Role   `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint,omitempty"`
	Age  uint16 `cbor:"4,keyasint,omitempty"` // rounds since the process itself created the descriptor
}

// valid reports whether a received descriptor may be added to a view.
func (d Descriptor) valid() bool {
	return d.Addr != "" && d.Role >= RoleControlPlane && d.Role <= RoleGateway && d.Age <= maxAge
}

func addresses(descriptors []Descriptor) []string {
	var addrs []string
	for _, descriptor := range descriptors {
		addrs = append(addrs, descriptor.Addr)
	}
	return addrs
}

// hasAddress returns a predicate that matches descriptors by address.
func hasAddress(addr string) func(Descriptor) bool {
	return func(descriptor Descriptor) bool { return descriptor.Addr == addr }
}

// oldestIndex returns the index of the first descriptor with the highest age.
func oldestIndex(descriptors []Descriptor) int {
	oldest := 0
	for i, descriptor := range descriptors {
		if descriptor.Age > descriptors[oldest].Age {
			oldest = i
		}
	}
	return oldest
}
