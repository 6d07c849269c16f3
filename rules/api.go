// Package rules decides which replicas the proxies of one governor send their flows to.
//
// This file holds the interface only: ids, settings, events and orders. The decisions are in rules.go, health.go, weigh.go
// and publish.go.
package rules

import "time"

// Time is a moment on the caller's clock, in whole nanoseconds.
type Time int64

// Ids. Each is a type of its own, so that one kind cannot stand for another.
type (
	ReplicaID uint32
	ProxyID   uint16
	TableID   uint16
	GroupID   uint8 // a traffic group, by its place in Settings.Groups
	ZoneID    uint8
	KindID    uint8
	CellID    uint16
	PeerID    uint32
	SliceID   uint16
)

// GroupSet names traffic groups by bit; the zero set stands for all of them.
type GroupSet uint16

// Effect tells what a repeated flow does.
type Effect int

const (
	NonRetriable Effect = iota // must never run twice
	Deduped                    // replicas drop a repeat, inside a group of replicas and a window
	Retriable                  // may run again
)

// LevelKind tells how proxies read the level of an Admit order.
type LevelKind int

const (
	LevelIgnored LevelKind = iota // levels are not heeded; ways of trying again are
	LevelShare                    // a share of the flows; 1 lets all in
	LevelRate                     // flows a second at each proxy
)

// TrafficGroup is a kind of flow that is treated alike.
type TrafficGroup struct {
	Name          string
	LatencyBudget time.Duration // an answer is wanted within this time
	Expiry        time.Duration // the client gives up after this time
	Utility       float64
	LateShare     float64 // share of the utility that a late answer still earns
	Effect        Effect
	DedupedByAll  bool          // deduped: every replica drops repeats, not just a zone's or a cell's
	Window        time.Duration // deduped: for how long
	HomeOnly      bool          // may go only to replicas of the proxy's zone
	Writes        bool
}

// Settings are what a governor is told at its start. They are the same for every caller; today's decisions
// do not use all of them.
type Settings struct {
	Groups        []TrafficGroup
	Governors     int
	Proxies       int // over all governors
	Zone          ZoneID
	Zones         int
	Slices        int // above 0: a site with slices, which this module leaves undecided
	ListOnRequest bool
	ProbesAllowed bool
	Levels        LevelKind

	Period          time.Duration // sums are gathered this often
	EntryRate       float64       // lines a second that the channel sends when all is well
	EntryCapacity   float64       // lines that may wait in the channel
	MessageEntries  float64       // lines that a message costs besides its own
	MessageLimit    int           // messages to one proxy within MessageSpan; 0: no limit
	MaxMessageDelay time.Duration // the longest way of a message to a proxy

	MessageSpan         time.Duration
	FailuresToAvoid     int     // a proxy avoids a replica after so many failures in a row; 0: never
	FirstAttemptBudgets float64 // a try that may be followed waits so many latency budgets

	MinConnections        float64       // connections that the smallest replicas accept; 0: not told
	ConnectionIdleTimeout time.Duration // a proxy closes connections that lie idle this long

	MaxUnboundTime      time.Duration // the longest time that a proxy may lack a line
	DrainGrace          time.Duration // sending to a draining or gone replica ends within this time
	ListRequestDeadline time.Duration // on request: the list must have been asked for within this time
	WarmupTime          time.Duration // a started replica is warm after this at the latest
	ColdCapacity        float64       // share of its capacity with which a replica starts
	OverloadMultiple    float64       // a cold replica falls over under so many times its present capacity
	OverloadTime        time.Duration // for so long
}

// State is what the list says of a replica.
type State int

const (
	Deregistered State = iota
	Ready
	Draining
)

// Entry is one line of the list.
type Entry struct {
	Replica   ReplicaID
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     State
	Listed    float64 // listed weight
	StartedAt Time    // last start; 0: long ago
}

// Scope tells how a list event is to be read.
type Scope int

const (
	Changes Scope = iota // changed entries only
	Full                 // the whole list
	Cached               // the list as last held, maybe old
	Failed               // a call failed or the subscription broke; the old list stands
)

// LoadReport is a replica's own word on its load. A figure that it does not give is Absent.
type LoadReport struct {
	Utilization float64 // share of its cores that is busy
	InFlight    float64 // flows that it holds
	ServiceTime float64 // milliseconds, without waiting
	Rate        float64 // flows a second
}

// Absent stands for a figure that was not reported.
const Absent = -1

// Event is something that happened. Events of one Step happen at its time, in their order.
type Event interface{ event() }

type (
	// Start gives a governor its settings; whatever it held before is void.
	Start struct {
		Seed     uint64
		Settings Settings
	}
	// Killed ends the governor's life until the next Start.
	Killed struct{}
	// List is word from discovery.
	List struct {
		Scope   Scope
		Entries []Entry
	}
	// Wake answers a WakeAfter order.
	Wake struct{ TimerID uint64 }
	// Joined tells that a proxy's stream stands; it is bound to none of this governor's tables.
	Joined struct {
		Proxy    ProxyID
		Zone     ZoneID
		FlowRate float64 // flows a second that it usually gets
		Fresh    bool    // it holds only its standing tables

		// Unsure tells that it may shut out replicas unknown to this governor. Binding it then lets each back, at the
		// cost of a further line for each line of its tables.
		MayHoldEjections bool
	}
	// Left tells that a proxy's stream broke.
	Left struct{ Proxy ProxyID }
	// Applied tells that a proxy has applied the messages up to a Mark order.
	Applied struct {
		Proxy   ProxyID
		Version uint16
		Delay   time.Duration
	}
	// EndpointStats tell what the joined proxies of a zone met at a replica.
	EndpointStats struct {
		Replica     ReplicaID
		Zone        ZoneID
		Attempts    int
		Dropped     int           // tries without a good answer
		MeanLatency time.Duration // mean time of the good ones; 0: none
		Window      time.Duration
		Report      LoadReport
	}
	// GroupTraffic tells how many flows of a traffic group came to a proxy.
	GroupTraffic struct {
		Proxy   ProxyID
		Group   GroupID
		Flows   int
		Dropped int // let in, but not answered
		Window  time.Duration
	}
	// PairStats tells that tries of one proxy at one replica were dropped, as intake remembers it: counts fade with time.
	PairStats struct {
		Proxy             ProxyID
		Replica           ReplicaID
		Attempts, Dropped float64
		ReplicaDropShare  float64 // share of tries that the replica drops at all other proxies
		ProxyDropShare    float64 // share of tries that the proxy drops at all other replicas
		// What became of further tries at all pairs of the replica that had dropped one: of drops that hit any proxy by
		// chance few drop again, where some proxies fail there nearly all do.
		RetriedAttempts, RetriedDropped float64
	}
	// Recalled tells what a former life had learnt of a replica, and how far that is trusted.
	Recalled struct {
		Replica ReplicaID
		Speed   float64 // as a multiple of its listed weight
		Answers float64 // flows that it answers in a period in which it is busy throughout
		Out     bool    // it was held out
		Trust   float64 // from 0, which is none, to 1
	}
	// Probed answers a Probe order.
	Probed struct {
		Replica ReplicaID
		Healthy bool
		Latency time.Duration
		Report  LoadReport
	}
	// PeerMessage is a message from another governor.
	PeerMessage struct {
		From PeerID
		Data []byte
	}
	// SliceAssigned, SliceLine and SliceHeat come at sites with slices only.
	SliceAssigned struct {
		Slice    SliceID
		Assigned bool
	}
	SliceWeight struct {
		Slice   SliceID
		Replica ReplicaID
		Weight  float64
	}
	SliceTraffic struct {
		Slice   SliceID
		Group   GroupID
		Flows   int
		Dropped int
		Window  time.Duration
	}
)

func (Start) event()         {}
func (Killed) event()        {}
func (List) event()          {}
func (Wake) event()          {}
func (Joined) event()        {}
func (Left) event()          {}
func (Applied) event()       {}
func (EndpointStats) event() {}
func (GroupTraffic) event()  {}
func (PairStats) event()     {}
func (Recalled) event()      {}
func (Probed) event()        {}
func (PeerMessage) event()   {}
func (SliceAssigned) event() {}
func (SliceWeight) event()   {}
func (SliceTraffic) event()  {}

// Retry is a way of trying again.
type Retry uint8

const (
	RetryNever       Retry = iota
	RetryUnprocessed       // once, at another replica, after proof that the first try never ran
	RetryOnce              // once after any failure
	RetryTwice             // twice after any failure
)

// AllTables stands for all tables in an Admit order.
const AllTables TableID = 65535

// Order is something to be done. Orders of one Step take effect in their order.
type Order interface{ order() }

type (
	// EndpointWeight sets one line of a table; weight 0 removes it.
	EndpointWeight struct {
		Table   TableID
		Replica ReplicaID
		Weight  float64
	}
	// Admit sets a table's level and way of trying again for some traffic groups.
	Admit struct {
		Table  TableID
		Groups GroupSet
		Level  float64
		Retry  Retry
	}
	// Bind puts a proxy on a table for some traffic groups.
	Bind struct {
		Proxy  ProxyID
		Table  TableID
		Groups GroupSet
	}
	// ClearTable removes all lines and levels of a table.
	ClearTable struct{ Table TableID }
	// Withdraw shuts a replica out of whatever the joined proxies hold, or lets it in again.
	Withdraw struct {
		Replica ReplicaID
		Out     bool
	}
	// PairEjection shuts a replica out at one proxy alone, or lets it in again there.
	PairEjection struct {
		Proxy   ProxyID
		Replica ReplicaID
		Ejected bool
	}
	// AckRequest asks the proxies that this Step's messages reach for an Applied event.
	AckRequest struct {
		Version    uint16
		AllProxies bool
	}
	// WakeAfter asks for a Wake event.
	WakeAfter struct {
		After   time.Duration
		TimerID uint64
	}
	// Observe asks for the list's changes from now on, or no longer.
	Observe struct{ On bool }
	// FetchList asks for the whole list, once.
	FetchList struct{}
	// Forget tells that a replica is gone and that no table holds it: nothing will be said of it any more, and its
	// number may be dropped. Listed again, it is another.
	Forget struct{ Replica ReplicaID }
	// Probe checks a replica; it costs the replica work.
	Probe struct{ Replica ReplicaID }
	// SendToPeer sends a message to another governor.
	SendToPeer struct {
		To   PeerID
		Data []byte
	}
	// Log is a line for people.
	Log struct{ Text string }
)

func (EndpointWeight) order() {}
func (Admit) order()          {}
func (Bind) order()           {}
func (ClearTable) order()     {}
func (Withdraw) order()       {}
func (PairEjection) order()   {}
func (AckRequest) order()     {}
func (WakeAfter) order()      {}
func (Observe) order()        {}
func (FetchList) order()      {}
func (Forget) order()         {}
func (Probe) order()          {}
func (SendToPeer) order()     {}
func (Log) order()            {}
