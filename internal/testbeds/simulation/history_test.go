package simulation

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var updateHistories = flag.Bool("update", false, "rewrite testdata/histories.txt; only for changes that are meant to change behaviour")

const historiesFile = "testdata/histories.txt"

// plannerMutex serializes GeneratePlannedMaintenance, as the solver's buffers are shared by all callers.
var plannerMutex sync.Mutex

// historyFamilies are the kinds of simulations, each of which returns the history checksum for a seed. The keys are
// stored in historiesFile.
var historyFamilies = func() map[string]func(seed uint64) string {
	families := map[string]func(uint64) string{
		"drawn": func(seed uint64) string { return scheduleHistory(Generate(seed, memberCount(seed), 8, 25*time.Second)) },
		"windows": func(seed uint64) string {
			return scheduleHistory(GenerateWindows(seed, 3+2*int(seed%2), 6, 40*time.Second))
		},
		"weeks": func(seed uint64) string {
			plannerMutex.Lock()
			plan, _ := GeneratePlannedMaintenance(seed)
			plannerMutex.Unlock()
			return scheduleHistory(plan.Schedule)
		},
		"gateways": func(seed uint64) string { // many gateways that reconnect often and receive unconfirmed updates
			s := Generate(seed, 3, 8, 25*time.Second)
			s.Gateways, s.UnconfirmedUpdates, s.LossRate, s.ReorderRate = 8, true, 0.02, 0.02
			return scheduleHistory(s)
		},
		"rush": func(seed uint64) string { // overflow between sites
			return overflowHistory(OverflowScenario{Seed: seed, Sites: 2 + int(seed%5), OverloadedSites: 1 + int(seed%3)/2, LoadFactor: 3, Duration: 40 * time.Second, WithFaults: seed%4 > 0, Strategy: LeaseOverflow})
		},
	}
	for _, family := range Families {
		families["days-"+family] = func(seed uint64) string { return scheduleHistory(GenerateFamily(family, seed, memberCount(seed))) }
	}
	return families
}()

// memberCount returns 3, 5 or 7 members, depending on the seed.
func memberCount(seed uint64) int { return 3 + 2*int(seed%3) }

func scheduleHistory(s Schedule) string {
	h := newHistoryChecksum()
	run(s, h)
	return h.sum()
}

func overflowHistory(r OverflowScenario) string {
	h := newHistoryChecksum()
	runOverflow(r, h)
	return h.sum()
}

type historyID struct {
	family string
	seed   uint64
}

func (id historyID) String() string { return fmt.Sprintf("%s %d", id.family, id.seed) }

func compareHistoryIDs(a, b historyID) int {
	return cmp.Or(cmp.Compare(a.family, b.family), cmp.Compare(a.seed, b.seed))
}

// historyIDs returns the first seeds of each family.
func historyIDs(seeds int) (ids []historyID) {
	for _, family := range sortedKeys(historyFamilies) {
		for seed := range uint64(seeds) {
			ids = append(ids, historyID{family, seed})
		}
	}
	return ids
}

// runHistories runs simulations in parallel and passes each checksum to done, one call at a time.
func runHistories(ids []historyID, parallelism int, done func(id historyID, sum string)) {
	var running sync.WaitGroup
	var mutex sync.Mutex
	slot := make(chan struct{}, parallelism)
	for _, id := range ids {
		slot <- struct{}{}
		running.Go(func() {
			defer func() { <-slot }()
			sum := historyFamilies[id.family](id.seed)
			mutex.Lock()
			defer mutex.Unlock()
			done(id, sum)
		})
	}
	running.Wait()
}

// readHistories reads a file with a family, a seed and a checksum on each line.
func readHistories(t *testing.T, path string) map[historyID]string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}()
	sums := map[historyID]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 {
			t.Fatalf("%s: %q is not a family, a seed and a checksum", path, lines.Text())
		}
		seed, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		sums[historyID{fields[0], seed}] = fields[2]
	}
	return sums
}

func writeHistories(t *testing.T, path string, sums map[historyID]string) {
	t.Helper()
	var text strings.Builder
	ids := make([]historyID, 0, len(sums))
	for id := range sums {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareHistoryIDs)
	for _, id := range ids {
		fmt.Fprintf(&text, "%v %s\n", id, sums[id])
	}
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestHistories guards against unintended behaviour changes: with the same seeds, all decisions, messages and disk
// writes must match the checksums in testdata/histories.txt. After an intended change, rewrite the file with
//
//	go test ./internal/testbeds/simulation -run TestHistories -update
//
// and mention it in the commit.
//
// It is not a parallel test, because other tests use the solver too (plannerMutex).
func TestHistories(t *testing.T) {
	const seeds, parallelism = 4, 4
	got := map[historyID]string{}
	runHistories(historyIDs(seeds), parallelism, func(id historyID, sum string) { got[id] = sum })
	if *updateHistories {
		writeHistories(t, historiesFile, got)
	}
	want := readHistories(t, historiesFile)
	for _, id := range historyIDs(seeds) {
		if got[id] != want[id] {
			t.Errorf("%v: got checksum %s, want %s", id, got[id], want[id])
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d histories, want %d", len(got), len(want))
	}
}

// TestManyHistories writes many checksums to a file, to compare two builds:
//
//	HISTORY_SEEDS=200 HISTORY_OUT=/tmp/histories.txt go test ./internal/testbeds/simulation -run TestManyHistories -timeout 1h
//
// HISTORY_PARALLEL sets the number of parallel runs (default 4), HISTORY_FIRST the first seed.
func TestManyHistories(t *testing.T) {
	if os.Getenv("HISTORY_SEEDS") == "" {
		t.Skip("HISTORY_SEEDS is not set")
	}
	number := func(name string, defaultValue int) int {
		text := os.Getenv(name)
		if text == "" {
			return defaultValue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			t.Fatalf("%s: %q is not a number", name, text)
		}
		return n
	}
	ids := historyIDs(number("HISTORY_SEEDS", 0))
	for i := range ids {
		ids[i].seed += uint64(number("HISTORY_FIRST", 0))
	}
	sums := map[historyID]string{}
	start := time.Now()
	runHistories(ids, number("HISTORY_PARALLEL", 4), func(id historyID, sum string) { sums[id] = sum })
	writeHistories(t, os.Getenv("HISTORY_OUT"), sums)
	t.Logf("%d histories in %v", len(sums), time.Since(start).Round(time.Second))
}

// TestHistoryDependsOnDecisions checks that a checksum is deterministic and changes with the decisions.
func TestHistoryDependsOnDecisions(t *testing.T) {
	s := Generate(1, 3, 8, 25*time.Second)
	sum := scheduleHistory(s)
	if again := scheduleHistory(s); again != sum {
		t.Errorf("two runs of the same schedule have checksums %s and %s", sum, again)
	}
	for name, change := range map[string]func(*Schedule){
		"version":        func(s *Schedule) { s.Actions[0].Version++; s.Actions[0].Kind = PutConfig },
		"fault duration": func(s *Schedule) { s.Faults[0].For += time.Millisecond },
		"no command ID":  func(s *Schedule) { s.PlantedBug = DropCommandID },
	} {
		changed := s
		changed.Actions, changed.Faults = slices.Clone(s.Actions), slices.Clone(s.Faults)
		if change(&changed); scheduleHistory(changed) == sum {
			t.Errorf("%s: the checksum has not changed", name)
		}
	}
}
