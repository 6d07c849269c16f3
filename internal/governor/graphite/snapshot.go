// Package graphite sends a governor's view of the fleet to Graphite, in its plaintext protocol over TCP: a line
// "path value seconds" for each point. Nothing that the receiver does delays a decision.
package graphite

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Snapshot is the state of a governor at one moment. The deciding goroutine only fills it; the points are made elsewhere.
type Snapshot struct {
	At       time.Time
	View     rules.View
	Duration time.Duration // of the deciding goroutine, to fill the snapshot

	HasIntake    bool          // the governor takes reports of single proxies; the following is zero otherwise
	IntakeCounts intake.Counts // since the start
	IntakeSizes  IntakeSizes
}

// IntakeSizes is what the intake has in memory.
type IntakeSizes struct {
	Records, Senders, Pairs int
}

// Labels give the names that stand for numbers in paths.
type Labels struct {
	ReplicaName func(rules.ReplicaID) (string, bool)
	GroupNames  []string // of traffic groups, by number
}
