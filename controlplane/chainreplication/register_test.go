package chainreplication

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func configuration(version uint64, body string) Command {
	return Command{Version: version, Body: []byte(body)}
}

func applyAll(commands ...Command) Register {
	var register Register
	for _, c := range commands {
		register = register.Apply(c)
	}
	return register
}

func TestRegisterApply(t *testing.T) {
	change := Command{ID: 7, Record: "window", ChangeID: "a", Value: []byte("granted")}
	for _, test := range []struct {
		name     string
		register Register
		command  Command
		changes  bool
	}{
		{"the first configuration", Register{}, configuration(1, "one"), true},
		{"the same configuration again", applyAll(configuration(1, "one")), configuration(1, "one"), false},
		{"another configuration of the version", applyAll(configuration(1, "one")), configuration(1, "other"), false},
		{"an outdated configuration claims its version", applyAll(configuration(2, "two")), configuration(1, "one"), true},
		{"a configuration without a version", Register{}, configuration(0, "none"), false},
		{"an evacuation starts", Register{}, Command{Zone: "z1", Evacuated: true}, true},
		{"an evacuation starts twice", applyAll(Command{Zone: "z1", Evacuated: true}), Command{Zone: "z1", Evacuated: true}, false},
		{"an evacuation ends", applyAll(Command{Zone: "z1", Evacuated: true}), Command{Zone: "z1"}, true},
		{"a record at the expected revision", Register{}, change, true},
		{"a record at another revision", applyAll(change), Command{Record: "window", ChangeID: "b"}, false},
		{"a record change that was already applied", applyAll(change), Command{Record: "window", ExpectedRevision: 1, ChangeID: "a"}, false},
		{"a command that was already applied", applyAll(change), Command{ID: 7, Zone: "z1", Evacuated: true}, false},
		{"a repeated command without an ID", applyAll(Command{Zone: "z1", Evacuated: true}, Command{Zone: "z1"}), Command{Zone: "z1", Evacuated: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := fmt.Sprintf("%+v", test.register)
			next := test.register.Apply(test.command)
			if changed := next.Sequence != test.register.Sequence; changed != test.changes {
				t.Errorf("changed: %v, want %v", changed, test.changes)
			}
			if !test.changes && !reflect.DeepEqual(next, test.register) {
				t.Errorf("register changed to %+v without a new sequence", next)
			}
			if after := fmt.Sprintf("%+v", test.register); after != before {
				t.Errorf("Apply modified its receiver from %s to %s", before, after)
			}
		})
	}
}

func TestRegisterKeepsNewestConfiguration(t *testing.T) {
	register := applyAll(configuration(2, "two"), configuration(1, "one"))
	if register.Version != 2 || string(register.Body) != "two" {
		t.Errorf("version %d with body %q, want 2 with body \"two\"", register.Version, register.Body)
	}
}

func TestRegisterConflictsWith(t *testing.T) {
	register := applyAll(configuration(2, "two"), configuration(1, "one"))
	withoutClaims := Register{Version: 2, Body: []byte("two")}
	for _, test := range []struct {
		name      string
		register  Register
		command   Command
		conflicts bool
	}{
		{"the same content", register, configuration(2, "two"), false},
		{"other content", register, configuration(2, "other"), true},
		{"other content of an outdated version", register, configuration(1, "other"), true},
		{"an unclaimed version", register, configuration(3, "three"), false},
		{"an evacuation command", register, Command{Zone: "z1", Version: 2}, false},
		{"a record command", register, Command{Record: "window", Version: 2}, false},
		{"other content in a register without claims", withoutClaims, configuration(2, "other"), true},
		{"the same content in a register without claims", withoutClaims, configuration(2, "two"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.register.ConflictsWith(test.command); got != test.conflicts {
				t.Errorf("conflicts: %v, want %v", got, test.conflicts)
			}
		})
	}
}

func TestRegisterIsBounded(t *testing.T) {
	var register Register
	const commands = 100
	for i := range uint64(commands) {
		version := commands - i // Descending, so that every configuration but the first is outdated.
		register = register.Apply(Command{ID: 1000 + i, Version: version, Body: []byte{byte(version)}})
	}
	if len(register.AppliedCommands) != maxAppliedCommands || register.AppliedCommands[maxAppliedCommands-1] != 1000+commands-1 {
		t.Errorf("applied commands: %v, want the last %d", register.AppliedCommands, maxAppliedCommands)
	}
	if len(register.Claims) != maxClaims {
		t.Fatalf("%d claims, want %d", len(register.Claims), maxClaims)
	}
	for _, claim := range register.Claims {
		if claim.Version <= commands-maxClaims || claim.Checksum != xxhash.Sum64([]byte{byte(claim.Version)}) {
			t.Errorf("unexpected claim %+v", claim)
		}
	}
	for i := range uint64(commands) {
		register = register.Apply(Command{Record: "window", ExpectedRevision: i, ChangeID: fmt.Sprint(i)})
	}
	record := register.Records["window"]
	if record.Revision != commands || len(record.RecentChanges) != maxRecentChanges || !record.HasChange("99") || record.HasChange("91") {
		t.Errorf("unexpected record %+v", record)
	}
}
