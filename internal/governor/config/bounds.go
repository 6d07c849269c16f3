package config

import (
	"os"
	"time"

	"zincloft.example/zincloft/rules"
)

// Bounds are the limits that the network code sets itself. None of them influences a decision.
type Bounds struct {
	QueueLength int // reports that may wait for the next step, and as many other events

	MaxConnections       int           // of proxies and collectors
	MaxFirstMessageBytes int           // of a message before its connection has joined
	MaxMessageBytes      int           // of any later message
	MaxMessageElements   int           // bulk strings of a message
	MaxReportedTime      time.Duration // longest time that a message may report
	JoinTimeout          time.Duration // from accepting a connection to its join
	MinEvictionAge       time.Duration // of a connection that has not joined, before it may be closed to make room
	AcknowledgeTimeout   time.Duration // in which a proxy that owes an acknowledgement must send something
	MaxCollectorsPerZone int           // connections
	CollectorIdleTimeout time.Duration // after which a collector that has delivered nothing may be closed to make room
	MaxUnsentBytes       int           // buffered for one peer
	MaxTotalUnsentBytes  int64         // buffered for all peers together
	WriteTimeout         time.Duration
	AcceptRetryDelay     time.Duration // after a connection could not be accepted
	CountLogInterval     time.Duration // between two log lines of counts

	LateTimerThreshold time.Duration // a timer later than this means that the process was suspended

	DiscoveryWait       time.Duration // of a blocking request for changes
	DiscoveryCallMargin time.Duration // that a request may take beyond its wait
	MaxDiscoveryBytes   int64         // of an answer of discovery
}

const (
	channelSlowdown      = 12 // a channel may be so many times slower than usual and still bring acknowledgements
	collectorIdlePeriods = 5  // a zone's sums come every period, up to two periods late
	reportedPeriods      = 60 // sums of a rarely used replica cover some periods; after a network partition, more
	reservedDescriptors  = 7  // the poller's two, the listener, two requests, a file, a connection that waits for room
)

// deriveBounds derives the bounds from the limits of the machine, the site's settings, and the number of descriptors that
// are open already.
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

// openDescriptors returns the number of descriptors that are open at the start: the runtime has some, and others may be
// inherited.
func openDescriptors() int {
	const usual = 5 // the standard streams and the runtime's two
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil { // not every system has it
		return usual
	}
	return len(open)
}
