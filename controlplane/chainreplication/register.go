package chainreplication

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAppliedCommands bounds Register.AppliedCommands. A command is proposed again for half a second at the most, and
	// eight at once may be in flight.
	maxAppliedCommands = 64

	// maxClaims bounds Register.Claims. The highest versions are kept: a lower one that comes again cannot be told from a
	// new one.
	maxClaims = 64

	// maxRecentChanges bounds Record.RecentChanges.
	maxRecentChanges = 8
)

// Register is the replicated state. A register is immutable once made.
type Register struct {
	Sequence uint64 `cbor:"1,keyasint"` // How many commands have changed the register.

	Version uint64 `cbor:"2,keyasint"`           // Of the configuration.
	Body    []byte `cbor:"3,keyasint,omitempty"` // The configuration, as it was sent.

	EvacuatedZones map[string]bool   `cbor:"4,keyasint,omitempty"`
	Records        map[string]Record `cbor:"5,keyasint,omitempty"` // By name.

	// AppliedCommands holds the identities of the commands applied last, newest last. A command that is proposed again,
	// after a view change or late, changes nothing. The list is bounded, and part of what is replicated.
	AppliedCommands []uint64 `cbor:"6,keyasint,omitempty"`

	// Claims holds the highest configuration versions that operators were confirmed under. It is bounded, and part of
	// what is replicated.
	Claims []Claim `cbor:"7,keyasint,omitempty"`
}

// Claim says which configuration was the first to be confirmed under a version.
type Claim struct {
	Version  uint64 `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"` // Of the configuration's bytes, by xxhash.
}

// Record is a small named value that the gateway keeps for itself, such as a grant of a maintenance window or the state of
// a roll-out. It is changed by compare-and-set: whoever changes it names the revision that it saw.
type Record struct {
	Revision uint64 `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`

	// RecentChanges holds the identities of the latest changes, newest last, so that a proposer finds its own.
	RecentChanges []string `cbor:"3,keyasint,omitempty"`
}

// HasChange reports whether a change is among the latest ones.
func (record Record) HasChange(changeID string) bool {
	return slices.Contains(record.RecentChanges, changeID)
}

// Command is one change of the register: of a record if Record is set, else of a zone's evacuation if Zone is set, else of
// the configuration. Applying a command again does no harm.
type Command struct {
	// ID is given where the command came in: a command that is proposed twice is applied once. Commands with ID 0 are not
	// recognized when they come again.
	ID uint64 `cbor:"9,keyasint,omitempty"`

	Body    []byte `cbor:"1,keyasint,omitempty"` // The configuration.
	Version uint64 `cbor:"2,keyasint,omitempty"` // Of the configuration.

	Zone      string `cbor:"3,keyasint,omitempty"`
	Evacuated bool   `cbor:"4,keyasint,omitempty"` // Whether the zone's evacuation begins or ends.

	Record           string `cbor:"5,keyasint,omitempty"` // Name of the record to change.
	ExpectedRevision uint64 `cbor:"6,keyasint,omitempty"` // The revision that the record must have.
	ChangeID         string `cbor:"7,keyasint,omitempty"` // Identity of the change.
	Value            []byte `cbor:"8,keyasint,omitempty"`
}

func (c Command) changesRecord() bool { return c.Record != "" }

func (c Command) changesEvacuation() bool { return !c.changesRecord() && c.Zone != "" }

func (c Command) changesConfiguration() bool { return !c.changesRecord() && c.Zone == "" }

// ConflictsWith reports whether a command claims a version that another configuration was confirmed under. The two cannot
// both be confirmed.
func (r Register) ConflictsWith(c Command) bool {
	claim, claimed := r.claimFor(c)
	return claimed && claim.Checksum != xxhash.Sum64(c.Body)
}

// Apply returns the register after a command. A command that changes nothing leaves Sequence as it is.
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

// applyRecord changes a record if it has the expected revision; of two changes that saw the same one, the first is taken.
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

// applyConfiguration claims the command's version, unless it is claimed already. A configuration older than the present
// one was overtaken; it claims its version all the same, so that no other one is confirmed under it.
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

// claimFor returns the claim on the version of a command that changes the configuration, if there is one.
func (r Register) claimFor(c Command) (Claim, bool) {
	if c.Version == 0 || !c.changesConfiguration() {
		return Claim{}, false
	}
	if i := slices.IndexFunc(r.Claims, func(claim Claim) bool { return claim.Version == c.Version }); i >= 0 {
		return r.Claims[i], true
	}
	// Registers saved by a build that did not record claims hold none for the present version.
	return Claim{Version: r.Version, Checksum: xxhash.Sum64(r.Body)}, c.Version == r.Version
}

// withoutLowestVersion removes the claim on the lowest version, so that many versions that were overtaken do not displace
// the newest one. It changes the list given.
func withoutLowestVersion(claims []Claim) []Claim {
	lowest := slices.MinFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Version, b.Version) }).Version
	return slices.DeleteFunc(claims, func(claim Claim) bool { return claim.Version == lowest })
}

// appendBounded returns a new list that ends in an element and keeps the last ones, limit of them at the most.
func appendBounded[T any](list []T, element T, limit int) []T {
	return append(slices.Clone(list[max(len(list)-limit+1, 0):]), element)
}

// cloneMap returns a copy that can be written to, also of a nil map.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}
