package shardmap

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/messages"
)

const allKeys = keyCount - 1

var owners = []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"}

// ownership returns an update with the given ranges.
func ownership(token uint64, complete bool, ranges ...messages.OwnedRange) messages.ServiceOwnership {
	return messages.ServiceOwnership{Service: "svc", LastToken: token, Complete: complete, Owners: owners, Ranges: ranges}
}

func mustApply(t testing.TB, table *Table, update messages.ServiceOwnership) *Table {
	t.Helper()
	applied, err := table.Apply(0, update)
	if err != nil {
		t.Fatal(err)
	}
	return applied
}

func TestInvalidUpdatesLeaveTheTable(t *testing.T) {
	table := mustApply(t, nil, ownership(5, true, messages.OwnedRange{To: allKeys, Owner: 1, Token: 4}))
	for _, test := range []struct {
		name   string
		base   *Table
		update messages.ServiceOwnership
		want   error
	}{
		{"owner out of range", table, ownership(6, false, messages.OwnedRange{To: 1, Owner: 8}), ErrUnknownOwner},
		{"reversed range", table, ownership(6, false, messages.OwnedRange{From: 2, To: 1}), ErrInvalidRange},
		{"overlap", table, ownership(6, false, messages.OwnedRange{From: 4, To: 9}, messages.OwnedRange{From: 0, To: 4}), ErrOverlap},
		{"gap at the end", table, ownership(6, true, messages.OwnedRange{To: allKeys - 1}), ErrIncomplete},
		{"gap inside", table, ownership(6, true, messages.OwnedRange{To: 9}, messages.OwnedRange{From: 11, To: allKeys}), ErrIncomplete},
		{"complete without ranges", table, ownership(6, true), ErrIncomplete},
		{"difference without a table", nil, ownership(6, false, messages.OwnedRange{To: 9}), ErrNoBase},
	} {
		if applied, err := test.base.Apply(0, test.update); !errors.Is(err, test.want) || applied != test.base {
			t.Errorf("%s: %v, want %v and the same table", test.name, err, test.want)
		}
	}
}

// Guards against a member that lags behind, whose full update would send requests to former owners.
func TestLowerTokensAreIgnored(t *testing.T) {
	table := mustApply(t, nil, ownership(5, true, messages.OwnedRange{To: allKeys, Owner: 1, Token: 4}))
	for _, complete := range []bool{true, false} {
		if mustApply(t, table, ownership(4, complete, messages.OwnedRange{To: allKeys, Owner: 2, Token: 3})) != table {
			t.Errorf("complete %v: an update with a lower token was applied", complete)
		}
	}
	if same := mustApply(t, table, ownership(5, true, messages.OwnedRange{To: allKeys, Owner: 1, Token: 4})); !same.Equal(table) {
		t.Error("the same update again changed the table")
	}
}

func TestSinceIsKeptByRepeatedRanges(t *testing.T) {
	moving := messages.OwnedRange{To: allKeys, Owner: 1, Token: 4, Moving: true}
	table, _ := (*Table)(nil).Apply(time.Second, ownership(4, true, moving))
	table, _ = table.Apply(3*time.Second, ownership(4, true, moving))
	if owned, _ := table.Lookup(7); owned.Since != time.Second {
		t.Errorf("since %v, want 1s", owned.Since)
	}
	moving.Token = 5
	table, _ = table.Apply(4*time.Second, ownership(5, false, moving))
	if owned, _ := table.Lookup(7); owned.Since != 4*time.Second {
		t.Errorf("since %v, want 4s", owned.Since)
	}
}

// Compares tables after differences with an array that holds the owner of every key.
func TestDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := (*Table)(nil).Apply(0, ownership(1, true, messages.OwnedRange{To: allKeys}))
		if err != nil {
			t.Fatal(err)
		}
		reference := make([]messages.OwnedRange, keyCount)
		bound := rapid.OneOf(rapid.Uint16(), rapid.Uint16Max(20), rapid.Uint16Min(allKeys-20))
		for token := uint64(2); token < 10; token++ {
			var changes []messages.OwnedRange
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				from, to := bound.Draw(t, "from"), bound.Draw(t, "to")
				change := messages.OwnedRange{From: min(from, to), To: max(from, to), Token: token}
				change.Owner, change.Moving = rapid.Uint32Max(2).Draw(t, "owner"), rapid.Bool().Draw(t, "moving")
				changes = append(changes, change)
			}
			applied, err := table.Apply(0, ownership(token, false, changes...))
			if errors.Is(err, ErrOverlap) {
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			table = applied
			for _, change := range changes {
				for key := int(change.From); key <= int(change.To); key++ {
					reference[key] = change
				}
			}
			compare(t, table, reference)
		}
	})
}

// compare checks that a table is a partition without needless boundaries, and equal to the reference.
func compare(t *rapid.T, table *Table, reference []messages.OwnedRange) {
	next := 0
	for i, r := range table.Ranges() {
		if int(r.From) != next || r.To < r.From || i > 0 && r.continues(table.ranges[i-1]) {
			t.Fatalf("range %d of %+v", i, table.ranges)
		}
		for key := int(r.From); key <= int(r.To); key++ {
			want := reference[key]
			if r.Owner != owners[want.Owner] || r.Token != want.Token || r.Moving != want.Moving {
				t.Fatalf("key %d: %+v, want %+v", key, r, want)
			}
		}
		for _, key := range []uint16{r.From, r.To} {
			if found, ok := table.Lookup(key); !ok || found != r {
				t.Fatalf("key %d: found %+v, want %+v", key, found, r)
			}
		}
		next = int(r.To) + 1
	}
	if next != keyCount {
		t.Fatalf("the ranges end at %d", next)
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{128, 4096} {
		b.Run(fmt.Sprint(count, " ranges"), func(b *testing.B) {
			var ranges []messages.OwnedRange
			for i, width := 0, keyCount/count; i < count; i++ {
				ranges = append(ranges, messages.OwnedRange{From: uint16(i * width), To: uint16((i+1)*width - 1), Owner: uint32(i % 8), Token: 1})
			}
			table := mustApply(b, nil, ownership(1, true, ranges...))
			b.ReportAllocs()
			for i := 0; b.Loop(); i += 7919 {
				if _, ok := table.Lookup(uint16(i)); !ok {
					b.Fatal("no range")
				}
			}
		})
	}
}
