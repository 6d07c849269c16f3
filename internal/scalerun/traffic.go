package scalerun

import (
	"maps"
	"sync"

	"zincloft.example/zincloft/internal/peertransport"
)

// Count is how many messages of a kind went over sockets, and their bytes, length prefixes of frames included.
type Count struct{ Messages, Bytes int }

// TrafficCounts are counts by kind of message. The kinds of a state update are parts of frames: "state" counts frames, and the
// bytes that no other kind covers. The zero TrafficCounts is empty; several goroutines may use it.
type TrafficCounts struct {
	mu     sync.Mutex
	byKind map[string]Count
}

func (c *TrafficCounts) add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind == nil {
		c.byKind = map[string]Count{}
	}
	count := c.byKind[kind]
	c.byKind[kind] = Count{Messages: count.Messages + 1, Bytes: count.Bytes + bytes}
}

// Snapshot returns the present counts.
func (c *TrafficCounts) Snapshot() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := map[string]Count{}
	maps.Copy(snapshot, c.byKind)
	return snapshot
}

// bytesBetween sums the bytes that were counted between two snapshots.
func bytesBetween(before, after map[string]Count) float64 {
	bytes := 0
	for kind := range after {
		bytes += after[kind].Bytes - before[kind].Bytes
	}
	return float64(bytes)
}

// Kinds of a gateway's messages, as MessageKind names them.
const (
	kindHello       = "hello"
	kindReport      = "report" // of a period's statistics
	kindFirstReport = "first"  // on a stream: the known instances
	kindEvent       = "event"  // an ejection, or an address that belongs to another instance
	kindOther       = "other"
)

// MessageKind names what a gateway's frame is.
func MessageKind(frame *peertransport.Frame) string {
	switch report := frame.LoadReport; {
	case frame.Hello != nil:
		return kindHello
	case report == nil:
		return kindOther
	case report.PeriodMillis > 0:
		return kindReport
	case len(report.Instances) > 0 || report.Sequence > 0:
		return kindFirstReport
	default:
		return kindEvent
	}
}
