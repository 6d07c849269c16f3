package rules

import "time"

// Order is an action for the caller to carry out. The orders of one Step take effect in sequence.
type Order interface{ order() }

// Retry is a retry policy.
type Retry uint8

// The retry policies.
const (
	RetryNever       Retry = iota
	RetryUnprocessed       // once, at another replica, if the first attempt was provably not processed
	RetryOnce              // once after any failure
	RetryTwice             // twice after any failure
)

// AllTables addresses all tables in an Admit order.
const AllTables TableID = 65535

// The orders.
type (
	// EndpointWeight sets a replica's weight in a table; weight 0 removes its entry.
	EndpointWeight struct {
		Table   TableID
		Replica ReplicaID
		Weight  float64
	}
	// Admit sets a table's admission level and retry policy for a set of traffic groups.
	Admit struct {
		Table  TableID
		Groups GroupSet
		Level  float64
		Retry  Retry
	}
	// Bind assigns a proxy to a table for a set of traffic groups.
	Bind struct {
		Proxy  ProxyID
		Table  TableID
		Groups GroupSet
	}
	// ClearTable removes all entries and admission levels of a table.
	ClearTable struct{ Table TableID }
	// ReplicaEjection ejects a replica from all tables that the joined proxies hold, or readmits it.
	ReplicaEjection struct {
		Replica ReplicaID
		Ejected bool
	}
	// PairEjection ejects a replica at one proxy alone, or readmits it there.
	PairEjection struct {
		Proxy   ProxyID
		Replica ReplicaID
		Ejected bool
	}
	// AckRequest asks the proxies that receive this Step's messages for an Applied event.
	AckRequest struct {
		Version    uint16
		AllProxies bool
	}
	// WakeAfter starts a timer that ends with a Wake event.
	WakeAfter struct {
		After   time.Duration
		TimerID uint64
	}
	// WatchList starts or ends the subscription to the list's changes.
	WatchList struct{ On bool }
	// FetchList requests the complete list once.
	FetchList struct{}
	// Forget reports that a replica is deregistered and that no table holds it. No later order refers to it, and its ID may be
	// released. If it is listed again, it counts as a new replica.
	Forget struct{ Replica ReplicaID }
	// Probe requests a health check of a replica. A health check adds to the replica's load.
	Probe struct{ Replica ReplicaID }
	// SendToPeer sends a message to another governor.
	SendToPeer struct {
		To   PeerID
		Data []byte
	}
	// Log writes a line to the operators' log.
	Log struct{ Text string }
)

func (EndpointWeight) order()  {}
func (Admit) order()           {}
func (Bind) order()            {}
func (ClearTable) order()      {}
func (ReplicaEjection) order() {}
func (PairEjection) order()    {}
func (AckRequest) order()      {}
func (WakeAfter) order()       {}
func (WatchList) order()       {}
func (FetchList) order()       {}
func (Forget) order()          {}
func (Probe) order()           {}
func (SendToPeer) order()      {}
func (Log) order()             {}
