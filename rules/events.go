package rules

import "time"

// Event is an input of Governor.Step. The events of one Step occur at its time, in order.
type Event interface{ event() }

// State is a replica's state in discovery's list.
type State int

// The states of a replica.
const (
	Deregistered State = iota // not in the list, or no longer
	Ready                     // accepts flows
	Draining                  // finishes its flows and accepts no new ones
)

// Entry is one replica's entry in discovery's list.
type Entry struct {
	Replica   ReplicaID
	Zone      ZoneID
	Kind      KindID
	Cell      CellID
	State     State
	Listed    float64 // weight that discovery lists
	StartedAt Time    // last start; 0: before any warm-up that could still be running
}

// Scope is how the entries of a List event relate to the complete list.
type Scope int

// The scopes of a List event.
const (
	Changes Scope = iota // changed entries only
	Full                 // the complete list
	Cached               // the last known list, possibly stale
	Failed               // a call failed or the subscription broke; the last list remains in force
)

// LoadReport is the load that a replica reports of itself. Values that it does not report are Absent.
type LoadReport struct {
	Utilization float64 // busy share of its cores
	InFlight    float64 // flows in progress
	ServiceTime float64 // milliseconds for a flow, without queueing
	Rate        float64 // flows per second
}

// Absent marks a value that was not reported.
const Absent = -1

// The events.
type (
	// Start resets a governor and gives it its settings.
	Start struct {
		Seed     uint64
		Settings Settings
	}
	// Killed stops the governor until the next Start.
	Killed struct{}
	// List is an update from discovery.
	List struct {
		Scope   Scope
		Entries []Entry
	}
	// Wake reports that the timer of a WakeAfter order has expired.
	Wake struct{ TimerID uint64 }
	// Joined reports that a proxy's stream is established. The proxy is not bound to any table of this governor yet.
	Joined struct {
		Proxy    ProxyID
		Zone     ZoneID
		FlowRate float64 // flows per second that it usually receives
		Fresh    bool    // it holds no tables but its default ones

		// MayHoldEjections is set if the proxy may have ejected replicas that this governor does not know of. Binding it then
		// also readmits each replica, which doubles the channel entries that the binding costs.
		MayHoldEjections bool
	}
	// Left reports that a proxy's stream has ended.
	Left struct{ Proxy ProxyID }
	// Applied acknowledges that a proxy has applied the messages up to an AckRequest.
	Applied struct {
		Proxy   ProxyID
		Version uint16
		Delay   time.Duration // since the message was sent
	}
	// EndpointStats aggregates the attempts of a zone's joined proxies at a replica.
	EndpointStats struct {
		Replica     ReplicaID
		Zone        ZoneID
		Attempts    int
		Dropped     int           // attempts without a successful response
		MeanLatency time.Duration // of the successful attempts; 0: none
		Window      time.Duration // time span that the counts cover
		Report      LoadReport
	}
	// GroupTraffic counts the flows of a traffic group that arrived at a proxy.
	GroupTraffic struct {
		Proxy   ProxyID
		Group   GroupID
		Flows   int
		Dropped int // admitted but not answered
		Window  time.Duration
	}
	// PairStats reports dropped attempts of one proxy at one replica. Package intake keeps the counts, which decay over time.
	PairStats struct {
		Proxy             ProxyID
		Replica           ReplicaID
		Attempts, Dropped float64
		ReplicaDropShare  float64 // share of the other proxies' attempts at the replica that are dropped
		ProxyDropShare    float64 // share of the proxy's attempts at other replicas that are dropped

		// RetriedAttempts and RetriedDropped count, over all pairs of the replica, the attempts that followed a first drop.
		// A pair that dropped one attempt by chance drops few of these, a faulty pair nearly all.
		RetriedAttempts, RetriedDropped float64
	}
	// PriorMeasurement is what an earlier run measured of a replica.
	PriorMeasurement struct {
		Replica    ReplicaID
		Speed      float64 // as a multiple of its listed weight
		Throughput float64 `json:"Answers"` // flows answered in a period of full utilization
		Ejected    bool    `json:"Out"`     // at the end of that run
		Trust      float64 // confidence in the measurement, 0 to 1
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
	// SliceAssigned assigns a slice to this governor, or revokes it; only at sites with slices.
	SliceAssigned struct {
		Slice    SliceID
		Assigned bool
	}
	// SliceWeight is a replica's weight for a slice; only at sites with slices.
	SliceWeight struct {
		Slice   SliceID
		Replica ReplicaID
		Weight  float64
	}
	// SliceTraffic counts the flows of a slice by traffic group; only at sites with slices.
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
