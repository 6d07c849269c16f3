// Package graphite sends a governor's own view to Graphite, in its plaintext protocol over TCP: a line
// "path value seconds" a point. Nothing that the receiver does keeps the governor from deciding.
package graphite

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Snapshot is what is told of one moment. The deciding goroutine fills it; everything else is done elsewhere.
type Snapshot struct {
	At           time.Time
	View         rules.View
	Duration     time.Duration // that the snapshot took of the deciding goroutine
	HasIntake    bool          // whether there is an intake, of which the rest tells
	IntakeCounts intake.Counts // since the start
	Held         [3]int        // records, senders, pairs
}

// Labels are what numbers stand for.
type Labels struct {
	ReplicaName func(rules.ReplicaID) (string, bool)
	GroupNames  []string
}

const maxPathPartBytes = 64 // bytes of a part of a path

// SanitizePathPart makes a part of a path of any text: letters, digits, - and _ stay, since a dot would begin another part and
// whatever else may mean something to those who ask. A text that is changed gets a hash of it as its end, so that two
// that differ never become one.
func SanitizePathPart(text string) string {
	safe := []byte(text)
	if len(safe) > maxPathPartBytes {
		safe = safe[:maxPathPartBytes]
	}
	for i, c := range safe {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			safe[i] = '_'
		}
	}
	if string(safe) == text && text != "" {
		return text
	}
	return fmt.Sprintf("%s_%08x", safe, uint32(xxhash.Sum64String(text)))
}

// pointWriter makes lines.
type pointWriter struct {
	prefix      string // ends with a dot
	lines       []byte
	unixSeconds int64
	points      int
}

func (w *pointWriter) point(value float64, parts ...string) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return // Graphite has no word for it
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

func boolValue(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// writeSnapshot makes the points of a snapshot, and hands them over in chunks of whole lines.
func (w *pointWriter) writeSnapshot(s *Snapshot, n Labels, own Stats, chunk func([]byte, int)) {
	w.unixSeconds = s.At.Unix()
	give := func(least int) {
		if len(w.lines) > least {
			chunk(w.lines, w.points)
			w.lines, w.points = nil, 0
		}
	}
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
		if i < len(n.GroupNames) {
			w.point(level, "level", SanitizePathPart(n.GroupNames[i]))
		}
	}
	if s.HasIntake {
		for c, count := range s.IntakeCounts {
			w.point(float64(count), "intake", SanitizePathPart(intake.Cause(c).PathName()))
		}
		for i, name := range []string{"records_held", "senders", "pairs"} {
			w.point(float64(s.Held[i]), "intake", name)
		}
	}
	w.point(float64(own.Sent), "graphite", "sent")
	w.point(float64(own.Dropped), "graphite", "dropped")
	w.point(float64(own.SkippedSnapshots), "graphite", "missed")
	w.point(float64(own.Failures), "graphite", "failures")
	for i := range v.Replicas {
		r := &v.Replicas[i]
		name, known := n.ReplicaName(r.Replica)
		if !known {
			continue // it has gone meanwhile
		}
		name = SanitizePathPart(name)
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
		w.point(ageMillis(v.At, r.LastStatsAt), "replica", name, "age_ms")
		give(chunkBytes)
	}
	give(0)
}

func ageMillis(now, then rules.Time) float64 {
	return float64(time.Duration(now-then)) / float64(time.Millisecond)
}
