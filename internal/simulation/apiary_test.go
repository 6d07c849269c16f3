package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800) // a schedule makes much garbage and keeps little
	os.Exit(m.Run())
}

// seedCount is how many schedules are played; APIARY_SEEDS asks for more.
func seedCount(t *testing.T, usual int) uint64 {
	if s := os.Getenv("APIARY_SEEDS"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		return uint64(n)
	}
	return uint64(usual)
}

// registerModel is what operators should see of the core as a whole: one register that only grows.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		op := input.(Operation)
		if op.Read {
			return op.Version == state.(uint64), state
		}
		return true, max(state.(uint64), op.Version)
	},
}

// operationHistory turns calls into what the check takes; a call without a clear answer may take effect until the end.
func operationHistory(ops []Operation) (h []porcupine.Operation) {
	for i, op := range ops {
		end := int64(op.Return)
		if op.Return == 0 {
			end = int64(time.Hour)
		}
		h = append(h, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.Call), Return: end})
	}
	return h
}

func TestGeneratedSchedules(t *testing.T) {
	t.Parallel()
	for _, machines := range []int{3, 5} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			acked, calls, picks, colds := 0, 0, 0, 0
			for seed := range seedCount(t, 40) {
				s := Generate(seed, machines, 8, 25*time.Second)
				r := Run(s)
				acked, calls, picks, colds = acked+r.Acknowledged, calls+r.AnsweredCalls, picks+r.Requests, colds+r.WarmupRequests
				if len(r.Violations) == 0 && !porcupine.CheckOperations(registerModel, operationHistory(r.Operations)) {
					t.Fatalf("seed %d: the calls do not add up to one register:\n%+v\n%s", seed, r.Operations, strings.Join(r.Trace, "\n"))
				}
				if len(r.Violations) > 0 {
					s, r = Shrink(s)
					t.Fatalf("seed %d, shrunk:\n%s\n%s", seed, s.Text(), strings.Join(r.Trace, "\n"))
				}
			}
			t.Logf("%d orders acknowledged of %d calls answered, %d requests sent, %d of them to cold replicas", acked, calls, picks, colds)
			if acked == 0 || calls == acked || colds == 0 || picks == colds {
				t.Errorf("the schedules test nothing")
			}
		})
	}
}

// risingPuts are configurations that rise steadily.
func risingPuts(n int) (acts []Action) {
	for i := range n {
		acts = append(acts, Action{At: time.Second + time.Duration(i)*280*time.Millisecond, Kind: "put", Version: uint64(1000 + i)})
	}
	return acts
}

// TestPlantedBugsAreFound puts bugs in on purpose: invariants that miss them are worth nothing.
func TestPlantedBugsAreFound(t *testing.T) {
	for _, f := range []PlantedBug{IgnoreViewNumber, KeepVoteAfterWipe, AcknowledgeBeforeSync, SkipFolderSync, AcceptStaleState, UndividedWarmupQuota} {
		t.Run(string(f), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				s := Generate(seed, 3, 8, 25*time.Second)
				s.PlantedBug = f
				switch f {
				case IgnoreViewNumber: // views must change often, and words of older ones come late
					s.ReorderRate, s.MaxReorderDelay, s.Gateways, s.Faults = 0.3, 3*time.Second, 0, nil
					for at := 2 * time.Second; at < 22*time.Second; at += 2400 * time.Millisecond {
						s.Faults = append(s.Faults, Fault{At: at + time.Duration(seed)*time.Millisecond, For: 1300 * time.Millisecond,
							Kind: []string{"cut", "freeze", "power", "oneway"}[int(seed)%4], Target: int(at/time.Millisecond+time.Duration(seed)) % 3})
					}
					s.Actions = append(s.Actions, risingPuts(80)...)
				case AcceptStaleState: // combs must lag, and foragers change sides; what the combs themselves now prevent is put in
					s.UnconfirmedUpdates = true
					s.LossRate, s.Gateways, s.Actions, s.Faults = 0.2, 6, nil, nil
					s.Actions = append(s.Actions, risingPuts(80)...)
					for at := 3 * time.Second; at < 22*time.Second; at += 1700 * time.Millisecond {
						s.Faults = append(s.Faults, Fault{At: at + time.Duration(seed)*7*time.Millisecond, Kind: "kill", Target: int(at/time.Millisecond) % 3})
					}
				}
				if r := Run(s); len(r.Violations) > 0 {
					s.PlantedBug = ""
					if sound := Run(s); len(sound.Violations) > 0 {
						continue // more than what must be borne
					}
					t.Logf("found with seed %d: %s", seed, r.Violations[0])
					return
				}
			}
			t.Error("not found in 400 schedules")
		})
	}
}

// TestMaintenanceWindows has maintenance windows asked for by several operators while machines fail: grants together never take more than
// what was agreed leaves, and no forager hangs between.
func TestMaintenanceWindows(t *testing.T) {
	t.Parallel()
	drained := 0
	for seed := range seedCount(t, 14) {
		s := GenerateWindows(seed, 3+2*int(seed%2), 6, 40*time.Second)
		r := Run(s)
		if drained += r.DrainedWindows; len(r.Violations) > 0 {
			s, r = Shrink(s)
			t.Fatalf("seed %d, shrunk:\n%s\n%s", seed, s.Text(), strings.Join(r.Trace, "\n"))
		}
	}
	t.Logf("%d windows in which a forager was drained", drained)
	if drained == 0 {
		t.Error("no window came to anything")
	}
}

// TestPlannedWindowWeeks plays weeks of planned windows under traffic and failing machines; -v and APIARY_SEEDS=200 print what the results
// page quotes.
func TestPlannedWindowWeeks(t *testing.T) {
	t.Parallel()
	var waits [2][]time.Duration
	greedy, best, serial, drained := 0, 0, 0, 0
	for seed := range seedCount(t, 6) {
		s, g, b, one := GenerateWindowWeek(seed)
		if one == 0 {
			t.Fatalf("seed %d: no timetable", seed)
		}
		r := Run(s)
		if len(r.Violations) > 0 {
			t.Fatalf("seed %d:\n%s\n%s", seed, s.Text(), strings.Join(r.Trace, "\n"))
		}
		greedy, best, serial, drained = greedy+g, best+b, serial+one, drained+r.DrainedWindows
		for i := range waits {
			waits[i] = append(waits[i], r.RequestLatencies[i]...)
		}
	}
	p99 := func(d []time.Duration) time.Duration { slices.Sort(d); return d[len(d)*99/100] }
	in, out := p99(waits[1]), p99(waits[0])
	t.Logf("%d nodes drained; greedy timetables %d slots, the shortest %d, one node after another %d; p99 %v while a window was open (%d requests), %v else (%d), ratio %.3f",
		drained, greedy, best, serial, in, len(waits[1]), out, len(waits[0]), float64(in)/float64(out))
	if float64(in) > 1.05*float64(out) || drained == 0 {
		t.Error("windows made requests slower")
	}
}

// TestSingleFaults plays what one would think of first, each under many delays.
func TestSingleFaults(t *testing.T) {
	const s = time.Second
	at := func(kind string, on int, lasts time.Duration) Fault {
		return Fault{At: 4 * s, For: lasts, Kind: kind, Target: on}
	}
	cases := map[string][]Fault{
		"head loses power":                         {at("power", 0, 3*s)},
		"middle loses power":                       {at("power", 1, 3*s)},
		"tail loses power":                         {at("power", 2, 3*s)},
		"head loses its disk":                      {at("wipe", 0, 2*s)},
		"tail loses its disk":                      {at("wipe", 2, 2*s)},
		"whoever acknowledges loses power":         {at("ackpower", 0, 2*s)},
		"whoever acknowledges loses its disk":      {at("ackwipe", 0, 2*s)},
		"all processes die while a view changes":   {at("power", 0, s), {At: 4100 * time.Millisecond, For: 500 * time.Millisecond, Kind: "viewall"}},
		"head is heard by nobody":                  {at("oneway", 0, 4*s)},
		"middle is cut off":                        {at("cut", 1, 4*s)},
		"head's disk is full":                      {at("full", 0, 4*s)},
		"tail's disk hangs":                        {at("stall", 2, 4*s)},
		"head's disk hangs":                        {at("stall", 0, 4*s)},
		"tail freezes":                             {at("freeze", 2, 4*s)},
		"head freezes":                             {at("freeze", 0, 4*s)},
		"a joiner dies half filled":                {at("wipe", 1, s), {At: 5900 * time.Millisecond, For: s, Kind: "kill", Target: 1}},
		"one is wiped, and another one after that": {at("wipe", 0, s), {At: 11 * s, For: s, Kind: "wipe", Target: 1}, {At: 18 * s, For: s, Kind: "wipe", Target: 2}},
	}
	for name, troubles := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(t, 12) {
				r := Run(Schedule{Seed: seed, Members: 3, InitialMembers: 3, Gateways: 3, Replicas: 4, Duration: 20 * s, Faults: troubles, Actions: GenerateActions(seed, 60, 4, 20*s), LossRate: 0.002})
				if len(r.Violations) > 0 {
					t.Fatalf("seed %d:\n%s", seed, strings.Join(r.Trace, "\n"))
				}
			}
		})
	}
}

// TestViewRepairTime measures how long a chain stays broken after a member falls silent.
func TestViewRepairTime(t *testing.T) {
	t.Parallel()
	var took []time.Duration
	for _, kind := range []string{"power", "freeze", "cut"} {
		for seed := range seedCount(t, 34) {
			r := Run(Schedule{Seed: seed, Members: 3, InitialMembers: 3, Duration: 8 * time.Second, Actions: GenerateActions(seed, 10, 1, 8*time.Second),
				Faults: []Fault{{At: 3*time.Second + time.Duration(seed)*7*time.Millisecond, For: 3 * time.Second, Kind: kind, Target: int(seed) % 3}}})
			took = append(took, r.ViewRepairTimes...)
		}
	}
	slices.Sort(took)
	if len(took) < 90 {
		t.Fatalf("only %d views were seen to be mended", len(took))
	}
	t.Logf("mended within: median %v, nine in ten %v, all %v, of %d", took[len(took)/2], took[len(took)*9/10], took[len(took)-1], len(took))
	if most := took[len(took)-1]; most > 1500*time.Millisecond {
		t.Errorf("a view took %v to be mended", most)
	}
}

// TestRepairFigures prints what the results page quotes; -v shows it.
func TestRepairFigures(t *testing.T) {
	t.Parallel()
	for _, machines := range []int{3, 5, 7} {
		for _, kind := range []string{"power", "freeze", "cut"} {
			var took, acked []time.Duration
			for seed := range seedCount(t, 4) {
				r := Run(Schedule{Seed: seed, Members: machines, InitialMembers: 3, Duration: 12 * time.Second, Actions: GenerateActions(seed, 20, 1, 12*time.Second),
					Faults: []Fault{{At: 6 * time.Second, For: 3 * time.Second, Kind: kind, Target: int(seed) % machines}}})
				if len(r.Violations) > 0 {
					t.Fatalf("%d machines, %s, seed %d:\n%s", machines, kind, seed, strings.Join(r.Trace, "\n"))
				}
				took, acked = append(took, r.ViewRepairTimes...), append(acked, r.CommandLatencies...)
			}
			slices.Sort(took)
			slices.Sort(acked)
			if len(took) == 0 {
				t.Fatalf("%d machines, %s: nothing was mended", machines, kind)
			}
			t.Logf("%d machines, %s: mended p50 %v, p99 %v, most %v (%d); acknowledged p50 %v, p99 %v (%d)", machines, kind, took[len(took)/2],
				took[len(took)*99/100], took[len(took)-1], len(took), acked[len(acked)/2], acked[len(acked)*99/100], len(acked))
		}
	}
}

// TestKeptSchedules plays schedules that broke something once, shrunk; the incident pages tell what.
func TestKeptSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no kept schedules: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var s Schedule
			if err := json.Unmarshal(raw, &s); err != nil {
				t.Fatal(err)
			}
			if r := Run(s); len(r.Violations) > 0 {
				t.Errorf("%s\n%s", r.Violations[0], strings.Join(r.Trace, "\n"))
			}
		})
	}
}

// TestRunIsDeterministic guards what kept schedules and the flight recorder rest on: the same schedule always comes to the same.
func TestRunIsDeterministic(t *testing.T) {
	s := Generate(7, 5, 8, 25*time.Second)
	a, b := Run(s), Run(s)
	if !slices.Equal(a.Trace, b.Trace) || a.Requests != b.Requests || a.WarmupRequests != b.WarmupRequests {
		t.Error("two plays of one schedule differ")
	}
}
