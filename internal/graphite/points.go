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
	At     time.Time
	View   rules.View
	Taken  time.Duration // that the snapshot took of the deciding goroutine
	Intake bool          // whether there is an intake, of which the rest tells
	Counts intake.Counts // since the start
	Held   [3]int        // records, senders, pairs
}

// Names are what numbers stand for.
type Names struct {
	Replica func(rules.ReplicaID) (string, bool)
	Groups  []string
}

const longestName = 64 // bytes of a part of a path

// Safe makes a part of a path of any text: letters, digits, - and _ stay, since a dot would begin another part and
// whatever else may mean something to those who ask. A text that is changed gets a hash of it as its end, so that two
// that differ never become one.
func Safe(text string) string {
	safe := []byte(text)
	if len(safe) > longestName {
		safe = safe[:longestName]
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

// writer makes lines.
type writer struct {
	prefix string // ends with a dot
	b      []byte
	at     int64
	points int
}

func (w *writer) point(value float64, parts ...string) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return // Graphite has no word for it
	}
	w.b = append(w.b, w.prefix...)
	for i, p := range parts {
		if i > 0 {
			w.b = append(w.b, '.')
		}
		w.b = append(w.b, p...)
	}
	w.b = append(w.b, ' ')
	w.b = strconv.AppendFloat(w.b, value, 'f', -1, 32)
	w.b = append(w.b, ' ')
	w.b = strconv.AppendInt(w.b, w.at, 10)
	w.b = append(w.b, '\n')
	w.points++
}

func flag(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// write makes the points of a snapshot, and hands them over in chunks of whole lines.
func (w *writer) write(s *Snapshot, n Names, own Counts, chunk func([]byte, int)) {
	w.at = s.At.Unix()
	give := func(least int) {
		if len(w.b) > least {
			chunk(w.b, w.points)
			w.b, w.points = nil, 0
		}
	}
	v := &s.View
	w.point(v.LinesWaiting, "channel", "lines_waiting")
	w.point(v.LinesCap, "channel", "lines_cap")
	w.point(float64(v.Proxies), "proxies", "joined")
	w.point(float64(v.Unbound), "proxies", "unbound")
	w.point(float64(v.Busiest), "messages", "busiest")
	w.point(float64(v.MessageCap), "messages", "cap")
	w.point(float64(v.Tables), "tables")
	w.point(float64(v.Steps), "steps")
	w.point(float64(v.Reviews), "reviews")
	w.point(float64(v.Orders), "orders")
	w.point(v.MeanLoad, "fleet", "load")
	w.point(v.DropShare, "fleet", "drop_share")
	w.point(flag(v.Jammed), "fleet", "jammed")
	w.point(s.Taken.Seconds()*1e6, "snapshot_us")
	if v.ListAt > 0 {
		w.point(age(v.At, v.ListAt), "list", "age_ms")
	}
	for i, level := range v.Levels {
		if i < len(n.Groups) {
			w.point(level, "level", Safe(n.Groups[i]))
		}
	}
	if s.Intake {
		for c, count := range s.Counts {
			w.point(float64(count), "intake", Safe(intake.Cause(c).Path()))
		}
		for i, name := range []string{"records_held", "senders", "pairs"} {
			w.point(float64(s.Held[i]), "intake", name)
		}
	}
	w.point(float64(own.Sent), "graphite", "sent")
	w.point(float64(own.Dropped), "graphite", "dropped")
	w.point(float64(own.Missed), "graphite", "missed")
	w.point(float64(own.Failures), "graphite", "failures")
	for i := range v.Replicas {
		r := &v.Replicas[i]
		name, known := n.Replica(r.Replica)
		if !known {
			continue // it has gone meanwhile
		}
		name = Safe(name)
		w.point(r.Picks, "replica", name, "picks")
		w.point(r.Weight, "replica", name, "weight")
		w.point(r.Tries, "replica", name, "tries")
		w.point(r.Drops, "replica", name, "drops")
		if r.Known {
			w.point(r.Load, "replica", name, "load")
		}
		w.point(float64(r.State), "replica", name, "state")
		w.point(flag(r.HeldOut), "replica", name, "held_out")
		w.point(flag(r.Cold), "replica", name, "cold")
		w.point(float64(r.Shunned), "replica", name, "shunned")
		w.point(age(v.At, r.HeardAt), "replica", name, "age_ms")
		give(chunkBytes)
	}
	give(0)
}

func age(now, then rules.Time) float64 {
	return float64(time.Duration(now-then)) / float64(time.Millisecond)
}
