package emulate

import "time"

// SmallFleet returns a fleet of one governor, 30 proxies and 12 replicas at 50% load.
func SmallFleet() Fleet {
	return Fleet{
		Governors: 1, Zones: 2, Proxies: 30, Replicas: 12,
		Groups: []TrafficGroup{
			{Name: "look", Share: 0.6, MeanWork: 100 * time.Millisecond, LatencyBudget: time.Second, Expiry: 4 * time.Second, Utility: 1, LateShare: 0.1, Effect: EffectRetriable},
			{Name: "edit", Share: 0.25, MeanWork: 150 * time.Millisecond, LatencyBudget: 1500 * time.Millisecond, Expiry: 5 * time.Second, Utility: 2, LateShare: 0.1, Effect: EffectDeduped, DedupWindow: 5 * time.Second},
			{Name: "pay", Share: 0.15, MeanWork: 200 * time.Millisecond, LatencyBudget: 2 * time.Second, Expiry: 6 * time.Second, Utility: 3, LateShare: 0.1, Effect: EffectNonRetriable},
		},
		Kinds: []MachineKind{{Name: "big", Share: 0.4, Cores: 2, Speed: 1.5}, {Name: "mid", Share: 0.35, Cores: 2, Speed: 1}, {Name: "old", Share: 0.25, Cores: 2, Speed: 0.7}},
		Load:  0.5, ProxyRateCV: 0.6, WorkDistribution: ExponentialWork, Duration: 40 * time.Second, SettleTime: 10 * time.Second,
		ReportPeriod: time.Second, MaxReportDelay: 1200 * time.Millisecond, LoadReportInterval: 500 * time.Millisecond,
		ChannelRate: 15_000, ChannelCapacity: 30_000, MessageOverhead: 6, MaxMessageDelay: 500 * time.Millisecond, MaxMessages: 20, MessageWindow: 10 * time.Second,
		ApplyTimePerLine: 40 * time.Microsecond, FailuresToAvoid: 3, AvoidDuration: 5 * time.Second, AttemptTimeoutFactor: 0.8,
		LocalDelay: 200 * time.Microsecond, CrossZoneDelay: 2 * time.Millisecond, HandshakeWork: 15 * time.Millisecond, MaxConnectionsPerCore: 45, ConnectionIdleTimeout: 15 * time.Second,
		ClientRetries: 1, ClientBackoff: 300 * time.Millisecond, ClientTimeoutShare: 0.7,
		MaxDiscoveryDelay: 2 * time.Second, DisconnectDetectionDelay: 500 * time.Millisecond,
		MaxUnservedTime: 5 * time.Second, DrainGrace: 3 * time.Second, MaxDiscoveryInterval: 10 * time.Second, WarmupDuration: 18 * time.Second,
		WarmupInitialShare: 0.2, OverloadMultiple: 4, OverloadWindow: 2 * time.Second,
	}
}

// LargeFleet returns a fleet of five governors in four zones. Governors receive only a small share of all reports, and the channel
// rate is proportional to the number of proxies.
func LargeFleet(proxies, replicas int) Fleet {
	fleet := SmallFleet()
	fleet.Governors, fleet.Zones, fleet.Proxies, fleet.Replicas = 5, 4, proxies, replicas
	fleet.ChannelRate = 15 * float64(proxies) / 2
	fleet.ChannelCapacity = 4 * fleet.ChannelRate
	fleet.MaxReportsPerSecond = 500
	return fleet
}
