// Package load runs the proxies, collectors and discovery of one site on loopback against a governor's binary, by the platform's
// protocol, and measures what the governor makes of them. It is a tool of measurement: nothing in the daemon imports it.
package load

import "time"

// Plan describes one run. Times of faults count from the moment at which all proxies hold their tables.
type Plan struct {
	Binary       string // the governor's program
	OperatorFile string // the governor's operator file; none if empty
	ProfilePath  string // where the governor's CPU profile goes, with a binary that can write one
	Seed         uint64

	Proxies  int // streams
	Replicas int // listed, all healthy at first
	Zones    int // a collector each

	FlowRate            float64       // flows a second at each proxy
	ChannelRatePerProxy float64       // lines a second that the governor's channel takes, for each proxy
	CollectorPhase      time.Duration // between one collector's writing and the next one's
	CollectorWriteTime  time.Duration // that a collector takes to write its reports
	LastCollectorDelay  time.Duration // by which the last collector is later than its phase
	FastReplicas        bool          // every fourth replica does the same work at half the load
	ProxyReports        bool          // proxies report what each met at each replica

	HangAt        time.Duration // a replica answers nothing from then on
	DrainAt       time.Duration // a replica drains
	PartialHangAt time.Duration // a replica answers nothing to 1% of the proxies from then on
	Flood         bool          // one proxy writes without end while the replica drains
	Duration      time.Duration
}

// Result is what a run has shown. Durations of 0 mean never.
type Result struct {
	Proxies                  int
	TableDelay               time.Duration // until the last proxy held a table
	WeightCuts               int           // weights of healthy replicas that fell below a quarter at once
	BaselineWeightCuts       int           // of these, before the first fault
	CPUUsage                 float64       // seconds of CPU a second, before the first fault
	PeakMemoryMB             float64       // resident memory at its highest
	HangDetectedAfter        time.Duration // until the replica that hangs had lost three quarters of its weight at 99% of the proxies
	DrainP99                 time.Duration // 99th percentile from discovery's answer to a proxy's message
	DrainMax                 time.Duration
	PartialHangDetectedAfter time.Duration // until the first ejection for a proxy of the 1% alone
	CorrectEjections         int           // proxies of the 1% that were told to eject the replica
	WrongEjections           int           // other ejections
	Messages                 int
}

// RestartResult is what a restart without discovery has shown.
type RestartResult struct {
	TableDelay       time.Duration // from the start of the second incarnation until the last proxy held a table
	ProxiesWithTable int           // proxies that did within the time allowed
	RestartedShare   float64       // of the weights, at replicas that restarted meanwhile
	FasterShare      float64       // of the others' weights, at their faster half; 0.5: nothing is known of speeds
}
