// Package graphite exports a governor's view of the fleet to Graphite in the plaintext protocol over TCP, one line
// "path value seconds" per point. A slow or failing receiver never delays the event loop.
package graphite

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Snapshot is the state of a governor at one time. The event loop fills it; a goroutine of the Sender formats it.
type Snapshot struct {
	At       time.Time
	View     rules.View
	Duration time.Duration // time that the event loop took to fill it

	HasIntake    bool          // the intake is enabled; otherwise the fields below are zero
	IntakeCounts intake.Counts // since the start
	IntakeSizes  IntakeSizes
}

// IntakeSizes are the numbers of items that the intake holds in memory.
type IntakeSizes struct {
	Records, Senders, Pairs int
}

// Labels give the names that replace IDs in paths.
type Labels struct {
	ReplicaName func(rules.ReplicaID) (string, bool)
	GroupNames  []string // of traffic groups, by ID
}
