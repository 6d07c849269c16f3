package rules

import "time"

// Effect is what a repeated flow does to the replicas' state.
type Effect int

// The effects of a repeated flow.
const (
	NonRetriable Effect = iota // must never run twice
	Deduped                    // replicas drop a repeat, inside a group of replicas and a window
	Retriable                  // may run again
)

// LevelKind is how proxies interpret the level of an Admit order.
type LevelKind int

// The kinds of admission levels.
const (
	LevelIgnored LevelKind = iota // levels are ignored, retry policies are not
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

// Settings configure a governor for its whole run. They are the same for every caller; the present decisions do not use
// all of them.
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

	Period         time.Duration // interval at which statistics are gathered and reviewed
	EntryRate      float64       // table entries a second that the channel to the proxies carries when all is well
	EntryCapacity  float64       // entries that may wait in the channel
	MessageEntries float64       // fixed cost of a message, in entries
	MessageLimit   int           // messages to one proxy within MessageSpan; 0: no limit
	MessageSpan    time.Duration // the window of MessageLimit

	MaxMessageDelay     time.Duration // the longest transit of a message to a proxy
	FailuresToAvoid     int           // a proxy avoids a replica after so many failures in a row; 0: never
	FirstAttemptBudgets float64       // time-out of an attempt that may be retried, in latency budgets

	MinConnections        float64       // connections that the smallest replicas accept; 0: unknown
	ConnectionIdleTimeout time.Duration // a proxy closes connections that have been idle for so long

	MaxUnboundTime      time.Duration // the longest time that a proxy may lack an endpoint
	DrainGrace          time.Duration // traffic to a draining or deregistered replica ends within this time
	ListRequestDeadline time.Duration // with ListOnRequest: the list must have been requested within this time
	WarmupTime          time.Duration // a started replica is warm after this at the latest
	ColdCapacity        float64       // share of its capacity with which a replica starts
	OverloadMultiple    float64       // a cold replica fails under so many times its present capacity
	OverloadTime        time.Duration // sustained for so long
}
