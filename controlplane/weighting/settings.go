package weighting

import (
	"time"

	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/rules"
)

// ReportPeriod is the interval between two load reports of a gateway.
const ReportPeriod = time.Second

// Limits on the cost of publishing weights.
const (
	endpointWeightBytes    = 40      // encoded size of a weight, including its share of the frame
	weightBandwidthShare   = 0.1     // fraction of a gateway's link used for weights
	maxWeightsPerSecond    = 20000.0 // per gateway
	messageOverheadWeights = 2       // fixed cost of a message, in weights
	maxPropagationDelay    = 300 * time.Millisecond
	messageSpan            = 10 * time.Second
)

// Time limits of a governor.
const (
	maxUnboundDuration     = 5 * time.Second
	instanceListTTL        = time.Hour // never requested: the instance list is pushed
	idleConnectionLifetime = 10 * time.Second
)

// Slow start and overload of a replica.
const (
	maxWarmupDuration  = 10 * time.Second
	warmupInitialShare = 0.3 // fraction of its capacity at the start
	overloadMultiple   = 2.0 // load that overloads a replica, as a multiple of its current capacity
	overloadDuration   = time.Second
)

// Upper limits of the latency budget and the expiry of a service's requests. Its routes may set lower values.
const (
	defaultLatencyBudget = 2 * time.Second
	defaultExpiry        = 10 * time.Second
)

// Limits on the detection of gateway-replica pairs with failing attempts.
const (
	maxRecordsPerPeriod = 4096 // endpoint statistics evaluated per service and period
	maxFailingPairs     = 512  // pairs tracked per service
	recordHalfLife      = 2 * ReportPeriod
	maxRecordAge        = 10 * ReportPeriod
)

// governorSettings returns the governor settings of one service.
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
	weightsPerSecond := min(m.options.LinkMbps*1e6/8*weightBandwidthShare/endpointWeightBytes, maxWeightsPerSecond)
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
		MaxUnboundTime:        maxUnboundDuration,
		DrainGrace:            m.options.DrainGrace,
		ListRequestDeadline:   instanceListTTL,
		WarmupTime:            max(min(service.WarmupDuration, maxWarmupDuration), ReportPeriod),
		ColdCapacity:          warmupInitialShare,
		OverloadMultiple:      overloadMultiple,
		OverloadTime:          overloadDuration,
	}
}
