// Package rules decides which replicas the proxies of one governor send their flows to.
//
// A Governor takes events and returns orders. It does no I/O, reads no clock, and takes random numbers from its seed only.
// The interface is in ids.go, settings.go, events.go and orders.go. The state of a governor is in one file for each concern:
// replica.go, table.go, proxy.go, ejection.go, channel.go, zone.go and fleet.go. The decisions are in rules.go, health.go,
// weigh.go and publish.go.
package rules

// Time is a point in time by the caller's clock, in nanoseconds.
type Time int64

// IDs. Each kind has its own type, so that the compiler rejects one in place of another.
type (
	// ReplicaID identifies a replica until a Forget order for it.
	ReplicaID uint32
	// ProxyID identifies a proxy.
	ProxyID uint16
	// TableID identifies a weight table of this governor.
	TableID uint16
	// GroupID identifies a traffic group by its index in Settings.Groups.
	GroupID uint8
	// ZoneID identifies a zone, from 0 to Settings.Zones-1.
	ZoneID uint8
	// KindID identifies a kind of replica, such as a machine type.
	KindID uint8
	// CellID identifies a group of replicas that share a deduplication window.
	CellID uint16
	// PeerID identifies another governor.
	PeerID uint32
	// SliceID identifies a slice, at sites that use slices.
	SliceID uint16
)

// GroupSet is a set of traffic groups, one bit each; the zero set stands for all of them.
type GroupSet uint16

func (s GroupSet) has(id GroupID) bool { return s&(1<<id) != 0 }
