// Package rules is the decision module: it decides which replicas the proxies of one governor send their flows to.
//
// A Governor takes events and returns orders; it does no I/O, reads no clock and draws no chance but from its seed. The
// interface is in ids.go, settings.go, events.go and orders.go, the records that a governor keeps in one file a concern
// (replica.go, table.go, proxy.go, ejection.go, channel.go, zone.go, fleet.go). The decisions are in rules.go, health.go,
// weigh.go and publish.go.
package rules

// Time is a moment on the caller's clock, in whole nanoseconds.
type Time int64

// IDs. Each kind is a type of its own, so that one cannot stand for another.
type (
	// ReplicaID identifies a replica until a Forget order has named it.
	ReplicaID uint32
	// ProxyID identifies a proxy.
	ProxyID uint16
	// TableID identifies a weight table of this governor.
	TableID uint16
	// GroupID identifies a traffic group by its place in Settings.Groups.
	GroupID uint8
	// ZoneID identifies a zone, from 0 to Settings.Zones-1.
	ZoneID uint8
	// KindID identifies a kind of replica, such as a machine type.
	KindID uint8
	// CellID identifies a group of replicas that share a deduplication window.
	CellID uint16
	// PeerID identifies another governor.
	PeerID uint32
	// SliceID identifies a slice, at sites that have them.
	SliceID uint16
)

// GroupSet names traffic groups by bit; the zero set stands for all of them.
type GroupSet uint16

func (s GroupSet) has(id GroupID) bool { return s&(1<<id) != 0 }
