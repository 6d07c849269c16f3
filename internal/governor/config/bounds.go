package config

import (
	"os"
	"time"

	"zincloft.example/zincloft/rules"
)

// Bounds are the limits and timeouts of the network code. None of them affects routing decisions.
type Bounds struct {
	QueueLength int // maximum number of queued reports, and of other queued inputs

	MaxConnections       int           // of proxies and collectors
	MaxFirstMessageBytes int           // size limit of messages before the connection has joined
	MaxMessageBytes      int           // size limit of later messages
	MaxMessageElements   int           // maximum number of bulk strings in a message
	MaxReportedTime      time.Duration // longest duration accepted in a message
	JoinTimeout          time.Duration // from accepting a connection to its join
	MinEvictionAge       time.Duration // minimum age of an unidentified connection that is closed to make room
	AcknowledgeTimeout   time.Duration // maximum silence of a proxy that owes an acknowledgement
	MaxCollectorsPerZone int           // maximum number of connections
	CollectorIdleTimeout time.Duration // minimum idle time of a collector that is closed to make room
	MaxUnsentBytes       int           // buffered for one peer
	MaxTotalUnsentBytes  int64         // buffered for all peers
	WriteTimeout         time.Duration
	AcceptRetryDelay     time.Duration // after a failed accept or receive
	CountLogInterval     time.Duration // between log lines of counts

	LateTimerThreshold time.Duration // a timer later than this means that the process was suspended

	DiscoveryWait       time.Duration // wait of a blocking request for changes
	DiscoveryCallMargin time.Duration // time allowed for a request in addition to its wait
	MaxDiscoveryBytes   int64         // size limit of an answer
}

const (
	channelSlowdown      = 12 // how many times slower than specified the channel may deliver before a proxy times out
	collectorIdlePeriods = 5  // a zone's statistics arrive every period, up to two periods late
	reportedPeriods      = 60 // statistics of rarely used replicas, or after a network partition, cover many periods
	reservedDescriptors  = 7  // poller (2), listener, discovery requests (2), a file, a connection waiting for room
)

// deriveBounds derives the bounds from the limits of the machine, the settings, and the number of open file descriptors.
func deriveBounds(limits Limits, s rules.Settings, openDescriptors int) Bounds {
	slowestAcknowledgement := channelSlowdown * s.EntryCapacity / s.EntryRate * float64(time.Second)
	memory := limits.MemoryMB << 20
	return Bounds{
		QueueLength:          4096,
		MaxConnections:       max(limits.Sockets-openDescriptors-reservedDescriptors, 1),
		MaxFirstMessageBytes: 4 << 10,
		MaxMessageBytes:      int(min(1<<20, memory/256)),
		MaxMessageElements:   64,
		MaxReportedTime:      reportedPeriods * s.Period,
		JoinTimeout:          1500 * time.Millisecond,
		MinEvictionAge:       20 * time.Millisecond,
		AcknowledgeTimeout:   time.Duration(slowestAcknowledgement) + s.MaxMessageDelay,
		MaxCollectorsPerZone: 4,
		CollectorIdleTimeout: collectorIdlePeriods * s.Period,
		MaxUnsentBytes:       int(min(1<<20, memory/64)),
		MaxTotalUnsentBytes:  memory / 8,
		WriteTimeout:         10 * time.Second,
		AcceptRetryDelay:     50 * time.Millisecond,
		CountLogInterval:     10 * time.Second,
		LateTimerThreshold:   50 * time.Millisecond,
		DiscoveryWait:        min(max(s.ListRequestDeadline/2, time.Second), time.Minute),
		DiscoveryCallMargin:  1500 * time.Millisecond,
		MaxDiscoveryBytes:    min(16<<20, memory/8),
	}
}

// openDescriptors returns the number of file descriptors that are open at startup, including inherited ones.
func openDescriptors() int {
	const usual = 5 // three standard streams and two of the Go runtime
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil { // not available on all systems
		return usual
	}
	return len(open)
}
