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

// TestMain runs the tests, or with STORE_CHILD set writes states until the process is killed or a write fails.
func TestMain(m *testing.M) {
	dir := os.Getenv("STORE_CHILD")
	if dir == "" {
		os.Exit(m.Run())
	}
	if limit, err := strconv.ParseUint(os.Getenv("STORE_MOST"), 10, 64); err == nil {
		signal.Ignore(syscall.SIGXFSZ)
		if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
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

// runChild runs the child process on dir, lets it complete the given number of writes, and kills it the given time after the next
// write has begun. It returns the number of the last state written, the number of the last state whose write had begun, and the
// child's other output.
func runChild(t *testing.T, dir string, completeWrites int, after time.Duration, env ...string) (wrote, began int, output string) {
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
	writes := 0
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if _, err := fmt.Sscanf(lines.Text(), "wrote %d", &wrote); err == nil {
			writes++
			continue
		}
		if _, err := fmt.Sscanf(lines.Text(), "begins %d", &began); err != nil {
			output += lines.Text() + "\n"
		} else if writes == completeWrites {
			time.AfterFunc(after, func() { _ = c.Process.Kill() }) // fails if the child has exited
		}
	}
	_ = c.Wait() // fails because the child was killed
	return wrote, began, output
}

// TestKillDuringWrite kills a writing process 200 times at random points, on one file. After each kill the file must hold a
// complete state: the last one reported as written or one whose write had begun. Every second kill lets two writes complete first, so that
// 200 states are written on a machine of any speed.
func TestKillDuringWrite(t *testing.T) {
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(5, 6))
	last := 0
	for kill := range 200 {
		wrote, began, output := runChild(t, dir, 2*(kill%2), time.Duration(rng.IntN(20_000))*time.Microsecond)
		if output != "" {
			t.Fatalf("kill %d: %s", kill, output)
		}
		last = max(last, wrote)
		s, k := mustOpen(t, dir)
		if n := int(k.Version); n < last || n > max(began, last) {
			t.Fatalf("kill %d: found state %d, last written %d, last begun %d", kill, n, last, began)
		} else if n > 0 {
			if d := cmp.Diff(nthState(n), k); d != "" {
				t.Fatalf("kill %d: state %d differs from what was written: %s", kill, n, d)
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

// TestFullDisk limits the file size of a writing process: a write must fail, and the last complete state must stay readable.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	_, _, output := runChild(t, dir, 0, time.Second)
	if output != "" {
		t.Fatal(output)
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
	for i := range 20_000 { // more than fits in the file's free pages
		big.Replicas = append(big.Replicas, recovery.Replica{Name: fmt.Sprintf("x-%05d", i), Entry: rules.Entry{Replica: rules.ReplicaID(1000 + i)}})
	}
	testkit.Close(t, s)
	_, _, output = runChild(t, dir, 0, 5*time.Second, "STORE_MOST="+fmt.Sprint(info.Size()/2))
	if !strings.Contains(output, "error:") && !strings.Contains(output, "open:") {
		t.Errorf("no error beyond the file size limit, output %q", output)
	}
	s, k := mustOpen(t, dir)
	defer testkit.Close(t, s)
	if d := cmp.Diff(nthState(int(k.Version)), k); d != "" {
		t.Error(d)
	}
}

// TestCorruption flips single bits of a file or truncates it at random offsets. Open must either return the state as it was
// written, or rename the damaged file and replace it with a writable one.
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
	rng := rand.New(rand.NewPCG(8, 9))
	renamed := 0
	for i := range 150 {
		dir, bad := t.TempDir(), slices.Clone(good)
		if i%5 == 0 {
			bad = bad[:rng.IntN(len(bad))]
		} else {
			bad[rng.IntN(len(bad))] ^= 1 << rng.IntN(8)
		}
		if err := os.WriteFile(Path(dir), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		s, k, damaged, err := Open(dir, time.Now())
		if err != nil {
			t.Fatalf("%d: %v", i, err)
		}
		if damaged != nil {
			renamed++
			files, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*"))
			if len(files) != 1 || len(k.Replicas) != 0 {
				t.Fatalf("%d: damaged files %v, found %d replicas, %v", i, files, len(k.Replicas), damaged)
			}
			if content, err := os.ReadFile(files[0]); err != nil || len(content) < len(bad) {
				t.Fatalf("%d: the damaged file has %d bytes, want %d, %v", i, len(content), len(bad), err)
			}
		} else if k.Version != 0 && k.Version != 4 && k.Version != 5 || k.Version > 0 && cmp.Diff(nthState(int(k.Version)), k) != "" {
			t.Fatalf("%d: state %d differs from what was written", i, k.Version)
		}
		if _, err := s.Write(nthState(9)); err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatalf("%d: %v", i, err)
		}
		_ = s.Close() // may fail on a damaged file
	}
	if renamed < 3 { // few, as most bytes of a small file belong to free pages
		t.Errorf("%d of 150 were renamed", renamed)
	}
}
