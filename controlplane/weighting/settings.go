package weighting

import (
	"time"

	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/rules"
)

// ReportPeriod is how often a gateway reports.
const ReportPeriod = time.Second

// Bounds of what publishing weights may cost.
const (
	endpointWeightBytes    = 40      // one weight on the wire, with its part of the frame
	linkShare              = 0.1     // of a gateway's link, for weights
	maxWeightsPerSecond    = 20000.0 // the most that a gateway is taken to receive
	messageOverheadWeights = 2       // what a message costs besides its weights, in weights
	maxPropagationDelay    = 300 * time.Millisecond
	messageSpan            = 10 * time.Second
)

// Bounds of how long a governor waits.
const (
	maxEmptyTableDuration  = 5 * time.Second
	instanceListTTL        = time.Hour // the list of instances is pushed, never asked for
	idleConnectionLifetime = 10 * time.Second
)

// The slow start of a replica, and when it counts as overloaded.
const (
	maxWarmupDuration  = 10 * time.Second
	warmupInitialShare = 0.3 // of its capacity, with which a replica starts
	overloadMultiple   = 2.0 // of its present capacity, under which a replica collapses
	overloadTimeout    = time.Second
)

// The latency and expiry that a service's requests get where no route says less.
const (
	defaultLatencyBudget = 2 * time.Second
	defaultExpiry        = 10 * time.Second
)

// Bounds of the search for pairs of a gateway and a replica between which attempts fail.
const (
	maxRecordsPerPeriod = 4096 // endpoint statistics that are searched, a service and period
	maxFailingPairs     = 512  // pairs that are remembered, a service
	recordHalfLife      = 2 * ReportPeriod
	maxRecordAge        = 10 * ReportPeriod
)

// governorSettings are the decision module's settings for one service.
func (m *Manager) governorSettings(config *gatewayconfig.Config, name string, gatewayCount int) rules.Settings {
	service := config.Services[name]
	budget, expiry := defaultLatencyBudget, defaultExpiry
	for _, route := range config.RoutesToService(name) {
		if route.LatencyTarget > 0 {
			budget = min(budget, route.LatencyTarget)
		}
		if route.Timeout > 0 {
			expiry = min(expiry, route.Timeout)
		}
	}
	weightsPerSecond := min(m.options.LinkMbps*1e6/8*linkShare/endpointWeightBytes, maxWeightsPerSecond)
	return rules.Settings{
		Groups:                []rules.TrafficGroup{{Name: name, LatencyBudget: budget, Expiry: expiry, Utility: 1, Effect: rules.Retriable}},
		Governors:             m.options.Members,
		Proxies:               max(gatewayCount, 1),
		Zone:                  m.zoneIDs[m.options.Zone],
		Zones:                 max(len(m.options.Zones), 1),
		Levels:                rules.LevelIgnored,
		Period:                ReportPeriod,
		EntryRate:             weightsPerSecond,
		EntryCapacity:         weightsPerSecond,
		MessageEntries:        messageOverheadWeights,
		MaxMessageDelay:       maxPropagationDelay,
		MessageSpan:           messageSpan,
		FirstAttemptBudgets:   1,
		MinConnections:        float64(service.MaxConnections),
		ConnectionIdleTimeout: idleConnectionLifetime,
		MaxUnboundTime:        maxEmptyTableDuration,
		DrainGrace:            m.options.DrainGrace,
		ListRequestDeadline:   instanceListTTL,
		WarmupTime:            max(min(service.WarmupDuration, maxWarmupDuration), ReportPeriod),
		ColdCapacity:          warmupInitialShare,
		OverloadMultiple:      overloadMultiple,
		OverloadTime:          overloadTimeout,
	}
}
