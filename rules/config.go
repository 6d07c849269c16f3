package rules

import "time"

// config holds the values that a governor derives from its Settings.
type config struct {
	groups                             [2]GroupSet // traffic groups by kind of table
	zones                              int         // number of zones if some traffic groups stay in their zone, else 0
	proxies                            float64     // expected to join this governor
	listOnRequest, canShed             bool        // the list must be requested; proxies apply admission levels as shares
	avoidAfter                         float64     // consecutive failures after which a proxy avoids a replica; 0: never
	openLevel                          float64     // level that admits all flows
	pacedEntries, fillEntries          float64     // channel limits of periodic changes, and of entries outside the subset
	coldEntries                        float64     // entries that the channel carries in a quarter of the time that a cold replica withstands overload
	drainEntries                       float64     // channel limit for proxies that join while replicas leave
	entryCapacity, messageEntries      float64     // channel limit; fixed cost of a message
	messageLimit                       int
	period, messageSpan, listRetryWait time.Duration
	batchLifetime, warmupTime          time.Duration
	removeWait                         Time
	minBudget                          float64 // shortest latency budget, in seconds
	allProxies, minConnections         float64 // proxies of all governors; connections that every replica accepts
	idlePeriods                        float64 // idle timeout of a connection, in periods
	coldCapacity                       float64
	coldMargin                         float64 // a cold replica withstands the square of this multiple of its wanted weight
}

// group is the state of a traffic group.
type group struct {
	id          GroupID
	budget      float64 // latency budget in seconds, taken as the work of a flow
	utilityRate float64 // utility per second of latency budget
	flows       float64 // arrived, over the speed window
}

// Kinds of tables: home tables serve traffic groups that stay in their zone, common tables all others.
const (
	common = 0
	home   = 1
)
