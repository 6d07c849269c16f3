package graphite

import (
	"math"
	"strconv"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

const chunkBytes = 8 << 10 // approximate size of the chunks in which points are queued, sent and dropped

// pointWriter formats points as lines and emits them in chunks of complete lines.
type pointWriter struct {
	prefix      string // of each path; ends with a dot
	lines       []byte
	unixSeconds int64
	points      int // number of lines
}

// point adds a point whose path consists of the parts. It omits NaN and infinite values, which Graphite does not support.
func (w *pointWriter) point(value float64, parts ...string) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	w.lines = append(w.lines, w.prefix...)
	for i, p := range parts {
		if i > 0 {
			w.lines = append(w.lines, '.')
		}
		w.lines = append(w.lines, p...)
	}
	w.lines = append(w.lines, ' ')
	w.lines = strconv.AppendFloat(w.lines, value, 'f', -1, 32)
	w.lines = append(w.lines, ' ')
	w.lines = strconv.AppendInt(w.lines, w.unixSeconds, 10)
	w.lines = append(w.lines, '\n')
	w.points++
}

// writeSnapshot writes the points of a snapshot and of the sender's own statistics. It calls emit with each chunk and the
// number of points in it.
func (w *pointWriter) writeSnapshot(s *Snapshot, labels Labels, own Stats, emit func([]byte, int)) {
	w.unixSeconds = s.At.Unix()
	w.writeFleet(s, labels)
	if s.HasIntake {
		w.writeIntake(s)
	}
	w.writeSender(own)
	for i := range s.View.Replicas {
		replica := &s.View.Replicas[i]
		name, known := labels.ReplicaName(replica.Replica)
		if !known {
			continue // removed since the snapshot
		}
		w.writeReplica(SanitizePathPart(name), s.View.At, replica)
		w.flush(chunkBytes, emit)
	}
	w.flush(0, emit)
}

// flush emits the buffered lines if they are longer than minBytes.
func (w *pointWriter) flush(minBytes int, emit func([]byte, int)) {
	if len(w.lines) > minBytes {
		emit(w.lines, w.points)
		w.lines, w.points = nil, 0
	}
}

func (w *pointWriter) writeFleet(s *Snapshot, labels Labels) {
	v := &s.View
	w.point(v.EntriesWaiting, "channel", "lines_waiting")
	w.point(v.EntryCapacity, "channel", "lines_cap")
	w.point(float64(v.Proxies), "proxies", "joined")
	w.point(float64(v.Unbound), "proxies", "unbound")
	w.point(float64(v.MostMessages), "messages", "busiest")
	w.point(float64(v.MessageLimit), "messages", "cap")
	w.point(float64(v.Tables), "tables")
	w.point(float64(v.Steps), "steps")
	w.point(float64(v.Reviews), "reviews")
	w.point(float64(v.Orders), "orders")
	w.point(v.MeanLoad, "fleet", "load")
	w.point(v.DropShare, "fleet", "drop_share")
	w.point(boolValue(v.Saturated), "fleet", "jammed")
	w.point(s.Duration.Seconds()*1e6, "snapshot_us")
	if v.ListedAt > 0 {
		w.point(ageMillis(v.At, v.ListedAt), "list", "age_ms")
	}
	for i, level := range v.Levels {
		if i < len(labels.GroupNames) {
			w.point(level, "level", SanitizePathPart(labels.GroupNames[i]))
		}
	}
}

func (w *pointWriter) writeIntake(s *Snapshot) {
	for cause, count := range s.IntakeCounts {
		w.point(float64(count), "intake", SanitizePathPart(intake.Cause(cause).PathName()))
	}
	w.point(float64(s.IntakeSizes.Records), "intake", "records_held")
	w.point(float64(s.IntakeSizes.Senders), "intake", "senders")
	w.point(float64(s.IntakeSizes.Pairs), "intake", "pairs")
}

func (w *pointWriter) writeSender(own Stats) {
	w.point(float64(own.Sent), "graphite", "sent")
	w.point(float64(own.Dropped), "graphite", "dropped")
	w.point(float64(own.SkippedSnapshots), "graphite", "missed")
	w.point(float64(own.Failures), "graphite", "failures")
}

func (w *pointWriter) writeReplica(name string, now rules.Time, r *rules.ReplicaView) {
	w.point(r.TrafficShare, "replica", name, "picks")
	w.point(r.Weight, "replica", name, "weight")
	w.point(r.Attempts, "replica", name, "tries")
	w.point(r.Drops, "replica", name, "drops")
	if r.LoadKnown {
		w.point(r.Load, "replica", name, "load")
	}
	w.point(float64(r.State), "replica", name, "state")
	w.point(boolValue(r.Ejected), "replica", name, "held_out")
	w.point(boolValue(r.Cold), "replica", name, "cold")
	w.point(float64(r.PairEjections), "replica", name, "shunned")
	w.point(ageMillis(now, r.LastStatsAt), "replica", name, "age_ms")
}

func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func ageMillis(now, then rules.Time) float64 {
	return float64(time.Duration(now-then)) / float64(time.Millisecond)
}
