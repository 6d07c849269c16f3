// Package peersampling lets the processes of the gateway know each other by partial views that are shuffled between peers,
// after Cyclon (Voulgaris, Gavidia, van Steen: "CYCLON: Inexpensive Membership Management for Unstructured P2P Overlays",
// 2005). No process holds a list of all others, and none is asked for one. The package is free of I/O; randomness is
// injected.
//
// In each round a process contacts the peer that it has heard of least recently, drops it until it replies, and offers
// itself and a sample of its peers; the other side replies with a sample of its own. So a dead process is contacted once by
// each that knows it and is then forgotten, and a newcomer spreads. Control-plane members are few and matter most, so they
// are kept in a view of their own, which the many gateways cannot crowd out.
package peersampling

// Role of a process.
type Role uint8

// Roles, as they are encoded.
const (
	RoleControlPlane Role = iota + 1
	RoleGateway
)

// roleCount is the number of roles; a PartialView holds a list for each.
const roleCount = 2

// Descriptor describes a process to its peers.
type Descriptor struct {
	Addr string `cbor:"1,keyasint"`
	Role Role   `cbor:"2,keyasint"`
	Zone string `cbor:"3,keyasint,omitempty"`
	Age  uint16 `cbor:"4,keyasint,omitempty"` // rounds since the process itself was last heard
}

// valid reports whether a received descriptor may enter a view.
func (d Descriptor) valid() bool {
	return d.Addr != "" && d.Role >= RoleControlPlane && d.Role <= RoleGateway && d.Age <= maxAge
}

func addresses(descriptors []Descriptor) []string {
	var all []string
	for _, descriptor := range descriptors {
		all = append(all, descriptor.Addr)
	}
	return all
}

// withAddress returns a predicate for slices.IndexFunc and slices.DeleteFunc.
func withAddress(addr string) func(Descriptor) bool {
	return func(descriptor Descriptor) bool { return descriptor.Addr == addr }
}

// oldestIndex returns the index of the first descriptor with the greatest age.
func oldestIndex(descriptors []Descriptor) int {
	oldest := 0
	for i, descriptor := range descriptors {
		if descriptor.Age > descriptors[oldest].Age {
			oldest = i
		}
	}
	return oldest
}
