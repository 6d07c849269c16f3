package rules

import "time"

// config is what the governor derives from its settings.
type config struct {
	groups                             [2]GroupSet // traffic groups, by kind of table
	zones                              int         // if some traffic groups stay in their zone
	proxies                            float64     // that join this governor when all is well
	listOnRequest, canShed             bool        // the list must be requested; admission levels are heeded
	avoidAfter                         float64     // failures in a row after which a proxy avoids a replica; 0: never
	openLevel                          float64     // the level that admits all
	pacedEntries, fillEntries          float64
	coldEntries                        float64 // entries that the channel carries while a cold replica fails from overload
	drainEntries                       float64 // entries that may wait while proxies join that may hold leaving replicas
	entryCapacity, messageEntries      float64 // of the channel; fixed cost of a message
	messageLimit                       int
	period, messageSpan, listRetryWait time.Duration
	batchLifetime, warmupTime          time.Duration
	removeWait                         Time
	minBudget                          float64 // the least latency budget
	allProxies, minConnections         float64 // proxies of all governors; connections that each replica certainly accepts
	idlePeriods                        float64 // idle time-out of a connection, in periods
	coldCapacity                       float64
	coldMargin                         float64 // factor by which a cold replica's weight may exceed the wanted one: its square is safe
}

// group is a traffic group.
type group struct {
	id          GroupID
	budget      float64 // latency budget in seconds; work is taken to go by it
	utilityRate float64 // utility by latency budget
	flows       float64 // arrived, over the speed window
}

// Kinds of tables: home ones are for traffic groups that stay in their zone, common ones for all others.
const (
	common = 0
	home   = 1
)
