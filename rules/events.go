package rules

import "time"

// Event is something that happened. Events of one Step happen at its time, in their order.
type Event interface{ event() }

// State is a replica's state by the list.
type State int

// The states of a replica.
const (
	Deregistered State = iota // not, or no longer, in the list
	Ready                     // takes flows
	Draining                  // finishes what it has and takes no new flows
)

// Entry is one replica's entry in discovery's list.
type Entry struct {
	Replica   ReplicaID
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     State
	Listed    float64 // listed weight
	StartedAt Time    // last start; 0: long ago
}

// Scope is how the entries of a List event relate to the whole list.
type Scope int

// The scopes of a List event.
const (
	Changes Scope = iota // changed entries only
	Full                 // the whole list
	Cached               // the list as last known, possibly stale
	Failed               // a call failed or the subscription broke; the last list stands
)

// LoadReport is a replica's load as it reports it itself. A value that it does not report is Absent.
type LoadReport struct {
	Utilization float64 // share of its cores that is busy
	InFlight    float64 // flows that it holds
	ServiceTime float64 // milliseconds, without waiting
	Rate        float64 // flows a second
}

// Absent stands for a value that was not reported.
const Absent = -1

// The events.
type (
	// Start gives a governor its settings; whatever it held before is void.
	Start struct {
		Seed     uint64
		Settings Settings
	}
	// Killed ends the governor's run until the next Start.
	Killed struct{}
	// List is an update from discovery.
	List struct {
		Scope   Scope
		Entries []Entry
	}
	// Wake reports that the timer of a WakeAfter order has expired.
	Wake struct{ TimerID uint64 }
	// Joined reports that a proxy's stream is established. It is bound to none of this governor's tables yet.
	Joined struct {
		Proxy    ProxyID
		Zone     ZoneID
		FlowRate float64 // flows a second that it usually gets
		Fresh    bool    // it holds only its standing tables

		// MayHoldEjections: it may have replicas ejected that this governor does not know of. Binding it then readmits each
		// replica, at the cost of a further entry for each entry of its tables.
		MayHoldEjections bool
	}
	// Left reports that a proxy's stream has ended.
	Left struct{ Proxy ProxyID }
	// Applied acknowledges that a proxy has applied the messages up to an AckRequest.
	Applied struct {
		Proxy   ProxyID
		Version uint16
		Delay   time.Duration // from the sending of the message on
	}
	// EndpointStats sum up the attempts of a zone's joined proxies at a replica.
	EndpointStats struct {
		Replica     ReplicaID
		Zone        ZoneID
		Attempts    int
		Dropped     int           // attempts without a successful response
		MeanLatency time.Duration // of the successful ones; 0: none
		Window      time.Duration // that the counts cover
		Report      LoadReport
	}
	// GroupTraffic counts the flows of a traffic group that arrived at a proxy.
	GroupTraffic struct {
		Proxy   ProxyID
		Group   GroupID
		Flows   int
		Dropped int // admitted, but not answered
		Window  time.Duration
	}
	// PairStats report dropped attempts of one proxy at one replica, as package intake keeps them: counts decay with time.
	PairStats struct {
		Proxy             ProxyID
		Replica           ReplicaID
		Attempts, Dropped float64
		ReplicaDropShare  float64 // share of attempts that the replica drops at all other proxies
		ProxyDropShare    float64 // share of attempts that the proxy drops at all other replicas
		// RetriedAttempts and RetriedDropped count later attempts at all pairs of the replica that had dropped one before:
		// of drops by chance few are followed by another, while of a pair that fails nearly all are.
		RetriedAttempts, RetriedDropped float64
	}
	// PriorMeasurement is what an earlier run measured of a replica, and how far that is trusted.
	PriorMeasurement struct {
		Replica    ReplicaID
		Speed      float64 // as a multiple of its listed weight
		Throughput float64 `json:"Answers"` // flows answered in a period of full utilization
		Ejected    bool    `json:"Out"`     // at the end of that run
		Trust      float64 // from 0 (none) to 1
	}
	// Probed is the result of a Probe order.
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
	// SliceAssigned gives a slice to this governor, or takes it away; at sites with slices only.
	SliceAssigned struct {
		Slice    SliceID
		Assigned bool
	}
	// SliceWeight is a replica's weight for a slice; at sites with slices only.
	SliceWeight struct {
		Slice   SliceID
		Replica ReplicaID
		Weight  float64
	}
	// SliceTraffic counts the flows of a slice by traffic group; at sites with slices only.
	SliceTraffic struct {
		Slice   SliceID
		Group   GroupID
		Flows   int
		Dropped int
		Window  time.Duration
	}
)

func (Start) event()            {}
func (Killed) event()           {}
func (List) event()             {}
func (Wake) event()             {}
func (Joined) event()           {}
func (Left) event()             {}
func (Applied) event()          {}
func (EndpointStats) event()    {}
func (GroupTraffic) event()     {}
func (PairStats) event()        {}
func (PriorMeasurement) event() {}
func (Probed) event()           {}
func (PeerMessage) event()      {}
func (SliceAssigned) event()    {}
func (SliceWeight) event()      {}
func (SliceTraffic) event()     {}
