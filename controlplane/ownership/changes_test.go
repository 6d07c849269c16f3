package ownership

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

const testService = "ledger"

func testReplicas(count, slots int) []Replica {
	replicas := make([]Replica, count)
	for i := range replicas {
		replicas[i] = Replica{ID: fmt.Sprintf("replica%03d", i), Zone: fmt.Sprintf("zone%d", i%3), Slots: slots}
	}
	return replicas
}

func drawMove(t *rapid.T) Move {
	from := rapid.Uint16().Draw(t, "from")
	to := uint16(min(MaxKey, int(from)+rapid.IntRange(0, 3000).Draw(t, "size")-1))
	return Move{From: from, To: to, Target: rapid.SampledFrom([]string{"", "replica000", "other"}).Draw(t, "target")}
}

// changeAtRandom returns the table after one change and the keys that the change may affect.
func changeAtRandom(t *rapid.T, table Table) (Table, []Move) {
	move := drawMove(t)
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		moves := []Move{move, drawMove(t), drawMove(t)}
		return Release(table, testService, moves), moves
	case 1:
		return Grant(table, testService, move.From, move.To, move.Target, "handover"), []Move{move}
	case 2:
		return Retoken(table, testService, move.From, move.To), []Move{move}
	case 3:
		unmoved := func(r Range) bool { return r.Handover == "" }
		return Join(table, testService, 0, unmoved), []Move{{From: 0, To: MaxKey}}
	default:
		return Merge(table, testService, rapid.IntRange(0, 100).Draw(t, "maxRanges")), nil
	}
}

func clone(table Table) Table {
	return Table{LastToken: table.LastToken, Services: map[string][]Range{testService: slices.Clone(table.Services[testService])}}
}

// atKey returns what the table says about a key, without the bounds of its range.
func atKey(table Table, key uint16) Range {
	ranges := table.Services[testService]
	r := ranges[Find(ranges, key)]
	r.From, r.To = 0, 0
	return r
}

func TestChangesKeepPartitionInputAndOtherKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := Divide(Table{LastToken: 7}, testService, testReplicas(rapid.IntRange(1, 20).Draw(t, "replicas"), 6), rapid.IntRange(1, 8).Draw(t, "ranges"))
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			before := clone(table)
			changed, moves := changeAtRandom(t, table)
			if !reflect.DeepEqual(table, before) {
				t.Fatal("the change modified its input")
			}
			if err := CheckPartition(changed.Services[testService]); err != nil {
				t.Fatal(err)
			}
			for key := 0; key <= MaxKey; key += 11 {
				was, is := atKey(table, uint16(key)), atKey(changed, uint16(key))
				if was == is {
					continue
				}
				if !slices.ContainsFunc(moves, func(m Move) bool { return int(m.From) <= key && key <= int(m.To) }) {
					t.Fatalf("key %d outside the change went from %+v to %+v", key, was, is)
				}
				if is.Token != table.LastToken+1 || changed.LastToken != is.Token {
					t.Fatalf("key %d has token %d after last token %d", key, is.Token, table.LastToken)
				}
			}
			checkEncoding(t, changed)
			table = changed
		}
	})
}

func checkEncoding(t *rapid.T, table Table) {
	data, err := Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, table) {
		t.Fatalf("decoded %+v, want %+v", decoded, table)
	}
}

func TestReleaseAffectsGrantedKeysOnly(t *testing.T) {
	table := Divide(Table{}, testService, testReplicas(1, 6), 1)
	table = Release(table, testService, []Move{{From: 100, To: 199, Target: "a"}, {From: 150, To: 300, Target: "ignored"}})
	table = Release(table, testService, []Move{{From: 50, To: 249, Target: "b"}})
	want := []Range{
		{From: 0, To: 49, Token: 1, Phase: PhaseGranted},
		{From: 50, To: 99, Token: 3, Phase: PhaseReleasing, Target: "b"},
		{From: 100, To: 199, Token: 2, Phase: PhaseReleasing, Target: "a"},
		{From: 200, To: 249, Token: 3, Phase: PhaseReleasing, Target: "b"},
		{From: 250, To: MaxKey, Token: 1, Phase: PhaseGranted},
	}
	for i := range want {
		want[i].Owner = "replica000"
	}
	if got := table.Services[testService]; !slices.Equal(got, want) {
		t.Fatalf("ranges %+v, want %+v", got, want)
	}
	if again := Release(table, testService, []Move{{From: 100, To: 199, Target: "c"}}); again.LastToken != table.LastToken {
		t.Fatalf("a release that changes nothing took token %d", again.LastToken)
	}
}

func TestMergeJoinsOnlyTheSameGrant(t *testing.T) {
	table := Divide(Table{}, testService, testReplicas(1, 6), 4)
	table = Retoken(table, testService, 40000, 50000)
	want := []Range{
		{From: 0, To: 39999, Owner: "replica000", Token: 1, Phase: PhaseGranted},
		{From: 40000, To: 50000, Owner: "replica000", Token: 2, Phase: PhaseGranted},
		{From: 50001, To: MaxKey, Owner: "replica000", Token: 1, Phase: PhaseGranted},
	}
	if got := Merge(table, testService, 3).Services[testService]; !slices.Equal(got, want) {
		t.Fatalf("ranges %+v, want %+v", got, want)
	}
	if got := Merge(table, testService, 10); !reflect.DeepEqual(got, table) {
		t.Fatalf("a table of few ranges was merged: %+v", got)
	}
}

func TestJoinTakesAcknowledgedNeighboursOfOneOwner(t *testing.T) {
	table := Divide(Table{}, testService, testReplicas(1, 6), 1)
	table = Grant(table, testService, 100, 199, "a", "h1")
	table = Grant(table, testService, 200, 299, "a", "h2")
	table = Grant(table, testService, 300, 399, "a", "pending")
	joined := Join(table, testService, 0, func(r Range) bool { return r.Handover != "pending" })
	want := []Range{
		{From: 0, To: 99, Owner: "replica000", Token: 1, Phase: PhaseGranted},
		{From: 100, To: 299, Owner: "a", Token: 5, Phase: PhaseGranted},
		{From: 300, To: 399, Owner: "a", Token: 4, Phase: PhaseGranted, Handover: "pending"},
		{From: 400, To: MaxKey, Owner: "replica000", Token: 1, Phase: PhaseGranted},
	}
	if got := joined.Services[testService]; !slices.Equal(got, want) || joined.LastToken != 5 {
		t.Fatalf("ranges %+v, want %+v", got, want)
	}
}

func TestRemoveServicesKeepsLastToken(t *testing.T) {
	table := Divide(Table{}, testService, testReplicas(3, 6), 4)
	table = RemoveServices(table, func(service string) bool { return service != testService })
	if len(table.Services) != 0 || table.LastToken != 1 {
		t.Fatalf("table %+v, want no services and last token 1", table)
	}
}

func TestDivideDealsEvenlyBySlots(t *testing.T) {
	replicas := testReplicas(112, 6)
	replicas[5].Slots, replicas[70].Slots = 12, 3
	ranges := Divide(Table{}, testService, replicas, 8).Services[testService]
	counts, neighbours := map[string]int{}, map[[2]string]int{}
	for i, r := range ranges {
		counts[r.Owner]++
		if r.Size() < 72 || r.Size() > 74 {
			t.Errorf("range of %d keys", r.Size())
		}
		if i > 0 {
			neighbours[[2]string{min(r.Owner, ranges[i-1].Owner), max(r.Owner, ranges[i-1].Owner)}]++
		}
		for near := max(0, i-40); near < i; near++ {
			if ranges[near].Owner == r.Owner && r.Owner != "replica005" {
				t.Errorf("%s owns ranges %d and %d", r.Owner, near, i)
			}
		}
	}
	for pair, count := range neighbours {
		if count*4 > counts[pair[0]]+counts[pair[1]] {
			t.Errorf("%v are neighbours %d times", pair, count)
		}
	}
	if counts["replica005"] != 16 || counts["replica070"] != 4 || counts["replica000"] != 8 || len(counts) != 112 {
		t.Errorf("numbers of ranges %v", counts)
	}
}

func TestEncodingOfFullDeploymentIsSmall(t *testing.T) {
	table := Divide(Table{LastToken: 3000}, testService, testReplicas(112, 6), 8)
	data, err := Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > 12<<10 {
		t.Errorf("%d ranges take %d bytes", len(table.Services[testService]), len(data))
	}
	t.Logf("%d ranges take %d bytes", len(table.Services[testService]), len(data))
}

func TestDecodeIgnoresUnknownFields(t *testing.T) {
	data, err := cbor.Marshal(map[int]any{
		1: 5, 2: []string{"", "a"}, 9: "later",
		3: []any{map[int]any{1: testService, 2: []any{[]any{MaxKey, 1, 4, 1, 0, ""}}, 8: []int{1}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	table, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	want := []Range{{From: 0, To: MaxKey, Owner: "a", Token: 4, Phase: PhaseGranted}}
	if got := table.Services[testService]; !slices.Equal(got, want) || table.LastToken != 5 {
		t.Fatalf("table %+v", table)
	}
}

func TestDecodeRejectsContradictions(t *testing.T) {
	granted := Range{From: 0, To: MaxKey, Owner: "a", Token: 3, Phase: PhaseGranted}
	short := granted
	short.To = 9
	for name, test := range map[string]struct {
		table Table
		want  error
	}{
		"token":     {Table{LastToken: 2, Services: map[string][]Range{testService: {granted}}}, ErrInvalidTable},
		"gap":       {Table{LastToken: 3, Services: map[string][]Range{testService: {short}}}, ErrNotPartition},
		"no ranges": {Table{LastToken: 3, Services: map[string][]Range{testService: nil}}, ErrNotPartition},
		"repeated":  {Table{LastToken: 3, Services: map[string][]Range{testService: {granted, granted}}}, ErrNotPartition},
	} {
		data, err := Encode(test.table)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(data); !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", name, err, test.want)
		}
	}
}
