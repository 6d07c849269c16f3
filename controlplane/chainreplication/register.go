package chainreplication

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAppliedCommands bounds Register.AppliedCommands. It exceeds the number of commands that can be in flight while a
	// command may still be retried, which is half a second.
	maxAppliedCommands = 64

	// maxClaims bounds Register.Claims. The claims with the highest versions are kept; a command whose claim was discarded
	// cannot be told from a new one and is treated as one.
	maxClaims = 64

	// maxRecentChanges bounds Record.RecentChanges.
	maxRecentChanges = 8
)

// Register is the replicated state. It is immutable: Apply returns a new register.
type Register struct {
	Sequence uint64 `cbor:"1,keyasint"` // Number of commands that have changed the register.

	Version uint64 `cbor:"2,keyasint"`           // Version of the configuration.
	Body    []byte `cbor:"3,keyasint,omitempty"` // The configuration as submitted.

	EvacuatedZones map[string]bool   `cbor:"4,keyasint,omitempty"`
	Records        map[string]Record `cbor:"5,keyasint,omitempty"` // By name.

	// AppliedCommands holds the IDs of the most recently applied commands, newest last. A command with one of these IDs
	// has no effect, which makes retries idempotent.
	AppliedCommands []uint64 `cbor:"6,keyasint,omitempty"`

	// Claims records which configuration each version belongs to, for the highest accepted versions.
	Claims []Claim `cbor:"7,keyasint,omitempty"`
}

// Claim binds a configuration version to the first configuration accepted under it.
type Claim struct {
	Version  uint64 `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"` // xxhash of the configuration's bytes.
}

// Record is a small named value of the control plane, such as a maintenance window grant or the state of a roll-out. It is
// updated by compare-and-set on its revision.
type Record struct {
	Revision uint64 `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`

	// RecentChanges holds the IDs of the latest changes, newest last, so that a proposer can detect that its own change
	// was applied.
	RecentChanges []string `cbor:"3,keyasint,omitempty"`
}

// HasChange reports whether the change is among the latest changes of the record.
func (record Record) HasChange(changeID string) bool {
	return slices.Contains(record.RecentChanges, changeID)
}

// Command is a single change of the register. It changes a record if Record is set, else the evacuation of a zone if Zone is
// set, else the configuration.
type Command struct {
	// ID is assigned by the member that received the command from its caller. A command with a nonzero ID is applied at
	// most once.
	ID uint64 `cbor:"9,keyasint,omitempty"`

	Body    []byte `cbor:"1,keyasint,omitempty"` // The configuration.
	Version uint64 `cbor:"2,keyasint,omitempty"` // Version of the configuration.

	Zone      string `cbor:"3,keyasint,omitempty"`
	Evacuated bool   `cbor:"4,keyasint,omitempty"` // True to start the evacuation, false to end it.

	Record           string `cbor:"5,keyasint,omitempty"` // Name of the record to change.
	ExpectedRevision uint64 `cbor:"6,keyasint,omitempty"` // Current revision required for the change to apply.
	ChangeID         string `cbor:"7,keyasint,omitempty"` // ID of the change.
	Value            []byte `cbor:"8,keyasint,omitempty"`
}

func (c Command) changesRecord() bool { return c.Record != "" }

func (c Command) changesEvacuation() bool { return !c.changesRecord() && c.Zone != "" }

func (c Command) changesConfiguration() bool { return !c.changesRecord() && c.Zone == "" }

// ConflictsWith reports whether the command's version is already claimed by a different configuration.
func (r Register) ConflictsWith(c Command) bool {
	claim, claimed := r.claimFor(c)
	return claimed && claim.Checksum != xxhash.Sum64(c.Body)
}

// Apply returns the register after applying the command. Sequence increases only if the command changes the register.
func (r Register) Apply(c Command) Register {
	if c.ID != 0 && slices.Contains(r.AppliedCommands, c.ID) {
		return r
	}
	var next Register
	var changed bool
	switch {
	case c.changesRecord():
		next, changed = r.applyRecord(c)
	case c.changesEvacuation():
		next, changed = r.applyEvacuation(c)
	default:
		next, changed = r.applyConfiguration(c)
	}
	if !changed {
		return r
	}
	if c.ID != 0 {
		next.AppliedCommands = appendBounded(r.AppliedCommands, c.ID, maxAppliedCommands)
	}
	next.Sequence++
	return next
}

// applyRecord changes a record if its revision is the expected one.
func (r Register) applyRecord(c Command) (Register, bool) {
	record := r.Records[c.Record]
	if record.Revision != c.ExpectedRevision || record.HasChange(c.ChangeID) {
		return r, false
	}
	r.Records = cloneMap(r.Records)
	r.Records[c.Record] = Record{
		Revision:      record.Revision + 1,
		Value:         c.Value,
		RecentChanges: appendBounded(record.RecentChanges, c.ChangeID, maxRecentChanges),
	}
	return r, true
}

func (r Register) applyEvacuation(c Command) (Register, bool) {
	if r.EvacuatedZones[c.Zone] == c.Evacuated {
		return r, false
	}
	r.EvacuatedZones = cloneMap(r.EvacuatedZones)
	if c.Evacuated {
		r.EvacuatedZones[c.Zone] = true
	} else {
		delete(r.EvacuatedZones, c.Zone)
	}
	return r, true
}

// applyConfiguration claims the command's version unless it is already claimed. The version is claimed even if a newer
// configuration is in effect, so that no other configuration can be accepted under it.
func (r Register) applyConfiguration(c Command) (Register, bool) {
	if _, claimed := r.claimFor(c); claimed || c.Version == 0 {
		return r, false
	}
	if c.Version > r.Version {
		r.Version, r.Body = c.Version, c.Body
	}
	r.Claims = append(slices.Clone(r.Claims), Claim{Version: c.Version, Checksum: xxhash.Sum64(c.Body)})
	if len(r.Claims) > maxClaims {
		r.Claims = withoutLowestVersion(r.Claims)
	}
	return r, true
}

// claimFor returns the claim on the version of a configuration command, if there is one.
func (r Register) claimFor(c Command) (Claim, bool) {
	if c.Version == 0 || !c.changesConfiguration() {
		return Claim{}, false
	}
	if i := slices.IndexFunc(r.Claims, func(claim Claim) bool { return claim.Version == c.Version }); i >= 0 {
		return r.Claims[i], true
	}
	// Registers written by builds without claims have none for their current version.
	return Claim{Version: r.Version, Checksum: xxhash.Sum64(r.Body)}, c.Version == r.Version
}

// withoutLowestVersion removes the claim with the lowest version, so that outdated versions never evict the claim on the
// newest one. It modifies claims in place.
func withoutLowestVersion(claims []Claim) []Claim {
	lowest := slices.MinFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Version, b.Version) }).Version
	return slices.DeleteFunc(claims, func(claim Claim) bool { return claim.Version == lowest })
}

// appendBounded returns a copy of list with element appended, keeping the last limit elements.
func appendBounded[T any](list []T, element T, limit int) []T {
	return append(slices.Clone(list[max(len(list)-limit+1, 0):]), element)
}

// cloneMap returns a writable copy of m, which may be nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}
