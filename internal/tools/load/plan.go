// Package load measures a governor under load. It runs the proxies, collectors and discovery of one site on loopback against a
// governor process, using the platform's protocol.
package load

import "time"

// Plan describes a run. Fault times are relative to the time at which all proxies have received a table.
type Plan struct {
	Binary       string // path of the governor's executable
	OperatorFile string // path of the governor's operator file; empty: none
	ProfilePath  string // path of the governor's CPU profile, if the executable can write one; empty: none
	Seed         uint64

	Proxies  int
	Replicas int // all healthy initially
	Zones    int // each has one collector

	FlowRate            float64       // flows per second and proxy
	ChannelRatePerProxy float64       // capacity of the governor's channel in lines per second and proxy
	CollectorPhase      time.Duration // delay between the reports of successive collectors
	CollectorWriteTime  time.Duration // time over which a collector spreads its reports
	LastCollectorDelay  time.Duration // additional delay of the last collector
	FastReplicas        bool          // every fourth replica has half the utilization at the same work
	ProxyReports        bool          // proxies report their attempts at each replica

	HangAt        time.Duration // a replica stops responding
	DrainAt       time.Duration // a replica starts draining
	PartialHangAt time.Duration // a replica stops responding to 1% of the proxies
	Flood         bool          // a proxy floods the governor with reports around DrainAt
	Duration      time.Duration
}

// Result holds the measurements of a run. A duration of 0 means that the event did not occur.
type Result struct {
	Proxies                  int
	TableDelay               time.Duration // until every proxy had received a table
	WeightCuts               int           // updates that cut the weight of a healthy replica to less than a quarter
	BaselineWeightCuts       int           // weight cuts before the first fault
	CPUUsage                 float64       // CPU seconds per second before the first fault
	PeakMemoryMB             float64       // peak resident memory
	HangDetectedAfter        time.Duration // until 99% of the proxies had cut the hanging replica's weight to a quarter or less
	DrainP99                 time.Duration // 99th percentile of the delay from discovery's response to the update at a proxy
	DrainMax                 time.Duration
	PartialHangDetectedAfter time.Duration // until the first correct ejection
	CorrectEjections         int           // ejections of the partially hanging replica at an affected proxy
	WrongEjections           int           // all other ejections
	Messages                 int
}

// RestartResult holds the measurements of a restart without discovery.
type RestartResult struct {
	TableDelay       time.Duration // from the restart until every proxy had received a table or the time limit had passed
	ProxiesWithTable int           // proxies that received a table within the time limit
	RestartedShare   float64       // fraction of the weights on replicas that restarted while the governor was down
	FasterShare      float64       // fraction of the other weights on fast replicas; 0.5 means that no speeds are known
}
