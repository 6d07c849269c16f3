package rules

import "time"

// Effect states whether a flow may be executed more than once.
type Effect int

// The effects.
const (
	NonRetriable Effect = iota // must never be executed twice
	Deduped                    // replicas discard repeats, within a group of replicas and a time window
	Retriable                  // may be repeated
)

// LevelKind is how proxies interpret the level of an Admit order.
type LevelKind int

// The kinds of admission levels.
const (
	LevelIgnored LevelKind = iota // levels are ignored, retry policies are not
	LevelShare                    // share of the flows that is admitted; 1 admits all
	LevelRate                     // flows per second that each proxy admits
)

// TrafficGroup is a class of flows that are treated alike.
type TrafficGroup struct {
	Name          string
	LatencyBudget time.Duration // time within which a response is useful
	Expiry        time.Duration // the client gives up after this time
	Utility       float64
	LateShare     float64 // share of the utility that a late response still has
	Effect        Effect
	DedupedByAll  bool          // Deduped: repeats are discarded across all replicas, not just within a zone or a cell
	Window        time.Duration // Deduped: how long repeats are recognized
	HomeOnly      bool          // may only go to replicas in the proxy's zone
	Writes        bool
}

// Settings configure a governor from its Start on. All callers use the same type; the decisions do not read every field.
type Settings struct {
	Groups        []TrafficGroup
	Governors     int
	Proxies       int // over all governors
	Zone          ZoneID
	Zones         int
	Slices        int // above 0: a site with slices, for which Step makes no decisions
	ListOnRequest bool
	ProbesAllowed bool
	Levels        LevelKind

	Period         time.Duration // interval at which statistics are gathered and reviewed
	EntryRate      float64       // table entries per second that the channel to the proxies carries
	EntryCapacity  float64       // table entries that may be queued in the channel
	MessageEntries float64       // fixed cost of a message, in table entries
	MessageLimit   int           // messages to one proxy within MessageSpan; 0: no limit
	MessageSpan    time.Duration // sliding window of MessageLimit

	MaxMessageDelay     time.Duration // longest transit time of a message to a proxy
	FailuresToAvoid     int           // consecutive failures after which a proxy avoids a replica; 0: never
	FirstAttemptBudgets float64       // timeout of an attempt that may be retried, in latency budgets

	MinConnections        float64       // connections that the smallest replica accepts; 0: unknown
	ConnectionIdleTimeout time.Duration // idle time after which a proxy closes a connection

	MaxUnboundTime      time.Duration // longest time that a proxy may have no endpoint
	DrainGrace          time.Duration // time within which traffic to a draining or deregistered replica must end
	ListRequestDeadline time.Duration // with ListOnRequest: time within which the list must be requested
	WarmupTime          time.Duration // longest time from a replica's start until it is warm
	ColdCapacity        float64       // share of its capacity that a replica has when it starts
	OverloadMultiple    float64       // multiple of its current capacity under which a cold replica fails
	OverloadTime        time.Duration // time after which it fails under that load
}
