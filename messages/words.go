// Package messages holds what the gateway's governors say to one another, beside what their own packages define.
package messages

import (
	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/outlier"
)

// Hello begins a connection.
type Hello struct {
	Member  membership.Member `cbor:"1,keyasint"` // a comb's; of a forager only Addr and Zone
	Forager string            `cbor:"2,keyasint,omitempty"`

	Life uint64 `cbor:"3,keyasint,omitempty"` // of a comb: drawn at each start
	Dial uint64 `cbor:"4,keyasint,omitempty"` // when in that life the connection was dialled, in nanoseconds
}

// Enter asks the head to take an order; Entered tells what must be committed for it to hold. Echo is the head's own clock
// as the sender last heard it, so that one that was long on its way is known for it.
type Enter struct {
	Token uint64                   `cbor:"1,keyasint"`
	Order chainreplication.Command `cbor:"2,keyasint"`
	Echo  membership.ClockReading  `cbor:"3,keyasint,omitempty"`
}

type Entered struct {
	Token uint64 `cbor:"1,keyasint"`
	N     uint64 `cbor:"2,keyasint"`
	Seq   uint64 `cbor:"3,keyasint"`
	OK    bool   `cbor:"4,keyasint,omitempty"`

	Conflicts bool `cbor:"6,keyasint,omitempty"` // its number is others' already

	Clock membership.ClockReading `cbor:"5,keyasint,omitempty"` // the head's
}

// Confirm asks whether view N is still the newest; Confirmed answers.
type Confirm struct {
	Token uint64 `cbor:"1,keyasint"`
	N     uint64 `cbor:"2,keyasint"`
	OK    bool   `cbor:"3,keyasint,omitempty"`
}

// Line is a replica's weight in a table; 0 takes it out.
type Line struct {
	Replica string  `cbor:"1,keyasint"`
	Weight  float32 `cbor:"2,keyasint,omitempty"`
	Grant   float32 `cbor:"3,keyasint,omitempty"` // requests a second that this forager may send it while cold
}

// Shun shuts a replica out at one forager alone, where tries between the two fail that neither fails elsewhere; or lets
// it in again.
type Shun struct {
	Replica string `cbor:"1,keyasint"`
	Out     bool   `cbor:"2,keyasint,omitempty"`
}

// Window tells a forager of its maintenance window: the phase that it is to reach; empty: it has none.
type Window struct {
	Phase maintenance.Phase `cbor:"1,keyasint,omitempty"`
	Fence uint64            `cbor:"2,keyasint,omitempty"`
}

// Bee is what a forager tells of itself where windows are used.
type Bee struct {
	Ready   bool               `cbor:"1,keyasint,omitempty"`
	Phase   maintenance.Phase  `cbor:"2,keyasint,omitempty"`
	Fence   uint64             `cbor:"3,keyasint,omitempty"`
	Carries map[string]float64 `cbor:"4,keyasint,omitempty"` // requests a second, by group
	Load    map[string]float64 `cbor:"5,keyasint,omitempty"`
}

// State tells a forager what is in force: whole at first, then what changed.
type State struct {
	Whole    bool                `cbor:"1,keyasint,omitempty"`
	Seq      uint64              `cbor:"2,keyasint,omitempty"` // of the register; 0: not told here
	Version  uint64              `cbor:"3,keyasint,omitempty"`
	Body     []byte              `cbor:"4,keyasint,omitempty"` // where the version changed
	Out      []string            `cbor:"5,keyasint,omitempty"`
	Lives    []registry.Life     `cbor:"6,keyasint,omitempty"`
	Lines    []Line              `cbor:"7,keyasint,omitempty"`
	Combs    []membership.Member `cbor:"8,keyasint,omitempty"`
	Foragers int                 `cbor:"9,keyasint,omitempty"` // known over all combs
	Grants   []Line              `cbor:"10,keyasint,omitempty"`
	Granted  bool                `cbor:"11,keyasint,omitempty"` // Grants are all that hold
	Fell     []outlier.Out       `cbor:"13,keyasint,omitempty"`
	Windows  bool                `cbor:"15,keyasint,omitempty"` // with Seq: windows are used, and Window says what holds here
	Window   Window              `cbor:"16,keyasint,omitempty"`
	Shuns    []Shun              `cbor:"14,keyasint,omitempty"`
	Young    bool                `cbor:"12,keyasint,omitempty"` // the comb has just started and may not know all lives
}

// Sum is what a forager met at a replica since its last report.
type Sum struct {
	Replica string `cbor:"1,keyasint"`
	Tries   int    `cbor:"2,keyasint,omitempty"`
	Dropped int    `cbor:"3,keyasint,omitempty"`
	Took    int64  `cbor:"4,keyasint,omitempty"` // microseconds, mean of the good ones
	Running int    `cbor:"5,keyasint,omitempty"` // by the replica's newest answer
	Waiting int    `cbor:"6,keyasint,omitempty"`
	Slots   int    `cbor:"7,keyasint,omitempty"` // 0: it told no load
}

// Report is what a forager tells its comb, once per report period.
type Report struct {
	Over     int64           `cbor:"1,keyasint"` // milliseconds
	Sums     []Sum           `cbor:"2,keyasint,omitempty"`
	Requests map[string]int  `cbor:"3,keyasint,omitempty"` // by service
	Failed   map[string]int  `cbor:"4,keyasint,omitempty"`
	Lives    []registry.Life `cbor:"5,keyasint,omitempty"` // what it was told, to a comb that may not know
	Seq      uint64          `cbor:"6,keyasint,omitempty"`
	Falls    []outlier.Word  `cbor:"8,keyasint,omitempty"`
	Gone     []string        `cbor:"7,keyasint,omitempty"` // another replica answered at their addresses
	Bee      *Bee            `cbor:"9,keyasint,omitempty"`
}

// Fleet tells other combs which foragers are with one.
type Fleet struct {
	Foragers int                `cbor:"1,keyasint"`
	Nodes    []maintenance.Node `cbor:"2,keyasint,omitempty"` // where windows are used
	Load     []Load             `cbor:"3,keyasint,omitempty"`
}

// Load is what came of a group of traffic in a region, in requests a second.
type Load struct {
	Region string  `cbor:"1,keyasint"`
	Group  string  `cbor:"2,keyasint"`
	Rate   float64 `cbor:"3,keyasint"`
}

// Committed tells, beside a beat, what is known to be committed.
type Committed struct {
	Seq   uint64 `cbor:"1,keyasint,omitempty"`
	Known bool   `cbor:"2,keyasint,omitempty"`
}
