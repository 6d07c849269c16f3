package store

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// TestMain lets tests start this program as a child that writes states until it is killed or the disk is full.
func TestMain(m *testing.M) {
	dir := os.Getenv("STORE_CHILD")
	if dir == "" {
		os.Exit(m.Run())
	}
	if most, err := strconv.ParseUint(os.Getenv("STORE_MOST"), 10, 64); err == nil {
		signal.Ignore(syscall.SIGXFSZ)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
			panic(err)
		}
	}
	s, k, _, err := Open(dir, time.Now())
	if err != nil {
		fmt.Println("open:", err)
		return
	}
	for n := int(k.Version) + 1; ; n++ {
		fmt.Println("begins", n)
		if _, err := s.Write(nthState(n)); err != nil {
			fmt.Println("error:", err)
			return
		}
		fmt.Println("wrote", n)
	}
}

// runChild runs this program on a folder, kills it after a while, and returns the last state that it had written, the last
// that it had begun, and its other output.
func runChild(t *testing.T, dir string, after time.Duration, env ...string) (wrote, began int, said string) {
	t.Helper()
	c := exec.CommandContext(t.Context(), os.Args[0])
	c.Env = append(append(os.Environ(), "STORE_CHILD="+dir), env...)
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	var kill *time.Timer
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if kill == nil {
			kill = time.AfterFunc(after, func() { _ = c.Process.Kill() }) // one that has ended is killed already
		}
		if _, err := fmt.Sscanf(lines.Text(), "wrote %d", &wrote); err == nil {
			continue
		}
		if _, err := fmt.Sscanf(lines.Text(), "begins %d", &began); err != nil {
			said += lines.Text() + "\n"
		}
	}
	_ = c.Wait() // killed, as meant
	return wrote, began, said
}

// TestKillDuringWrite kills a process at 200 seeded points of writing, on one folder: each start afterwards finds a complete
// state, the last one that was reported as written or the one after it.
func TestKillDuringWrite(t *testing.T) {
	dir := t.TempDir()
	chance := rand.New(rand.NewPCG(5, 6))
	last := 0
	for kill := range 200 {
		wrote, began, said := runChild(t, dir, time.Duration(chance.IntN(20_000))*time.Microsecond)
		if said != "" {
			t.Fatalf("kill %d: %s", kill, said)
		}
		last = max(last, wrote)
		s, k := mustOpen(t, dir)
		if n := int(k.Version); n < last || n > max(began, last) {
			t.Fatalf("kill %d: state %d is found, %d was written whole and %d begun", kill, n, last, began)
		} else if n > 0 {
			if d := cmp.Diff(nthState(n), k); d != "" {
				t.Fatalf("kill %d: state %d is not what was kept: %s", kill, n, d)
			}
			last = n
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if last < 200 {
		t.Errorf("only %d states were written", last)
	}
}

// TestFullDisk has a process write until no file may grow: it gets an error, and the last complete state is found.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	_, _, said := runChild(t, dir, time.Second)
	if said != "" {
		t.Fatal(said)
	}
	info, err := os.Stat(Path(dir))
	if err != nil {
		t.Fatal(err)
	}
	s, before := mustOpen(t, dir)
	testkit.Close(t, s)
	s, _ = mustOpen(t, dir)
	big := nthState(1)
	big.Version = before.Version
	for i := range 20_000 { // more than the file's free pages hold
		big.Replicas = append(big.Replicas, recovery.Replica{Name: fmt.Sprintf("x-%05d", i), Entry: rules.Entry{Replica: rules.ReplicaID(1000 + i)}})
	}
	testkit.Close(t, s)
	_, _, said = runChild(t, dir, 5*time.Second, "STORE_MOST="+fmt.Sprint(info.Size()/2))
	if !strings.Contains(said, "error:") && !strings.Contains(said, "open:") {
		t.Errorf("no file could grow, and it said %q", said)
	}
	s, k := mustOpen(t, dir)
	defer testkit.Close(t, s)
	if d := cmp.Diff(nthState(int(k.Version)), k); d != "" {
		t.Error(d)
	}
}

// TestCorruption flips single bits of a file, or truncates it, at seeded places: either the state is found as it was written,
// or the file is set aside as it was and an empty one takes its place, which can be written.
func TestCorruption(t *testing.T) {
	base := t.TempDir()
	s, _ := mustOpen(t, base)
	for n := 1; n < 6; n++ {
		if _, err := s.Write(nthState(n)); err != nil {
			t.Fatal(err)
		}
	}
	testkit.Close(t, s)
	good, err := os.ReadFile(Path(base))
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewPCG(8, 9))
	aside := 0
	for i := range 150 {
		dir, bad := t.TempDir(), slices.Clone(good)
		if i%5 == 0 {
			bad = bad[:chance.IntN(len(bad))]
		} else {
			bad[chance.IntN(len(bad))] ^= 1 << chance.IntN(8)
		}
		if err := os.WriteFile(Path(dir), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		s, k, damaged, err := Open(dir, time.Now())
		if err != nil {
			t.Fatalf("%d: %v", i, err)
		}
		if damaged != nil {
			aside++
			left, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*"))
			if len(left) != 1 || len(k.Replicas) != 0 {
				t.Fatalf("%d: %v are set aside and %d replicas found, %v", i, left, len(k.Replicas), damaged)
			}
			if kept, err := os.ReadFile(left[0]); err != nil || len(kept) < len(bad) {
				t.Fatalf("%d: %d bytes of %d are set aside, %v", i, len(kept), len(bad), err)
			}
		} else if k.Version != 0 && k.Version != 4 && k.Version != 5 || k.Version > 0 && cmp.Diff(nthState(int(k.Version)), k) != "" {
			t.Fatalf("%d: state %d is found, and not as it was kept", i, k.Version)
		}
		if _, err := s.Write(nthState(9)); err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatalf("%d: %v", i, err)
		}
		_ = s.Close() // the file may be what it is
	}
	if aside < 3 { // most bytes of a small file are of free pages
		t.Errorf("%d of 150 were set aside", aside)
	}
}
