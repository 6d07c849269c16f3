package store

import (
	"bufio"
	"context"
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
	"go.etcd.io/bbolt"

	"zincloft.example/zincloft/internal/testkit"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// state is what the test keeps as its nth: a function of n alone, so that whatever is found can be checked whole.
func state(n int) recovery.State {
	chance := rand.New(rand.NewPCG(uint64(n/3), 7)) // neighbours share most of it
	k := recovery.State{Governor: "n1", Discovery: "127.0.0.1:1", Version: uint64(n), ConfirmedAt: rules.Time(1000 + n), WrittenAt: rules.Time(1001 + n), NextReplicaID: 500}
	for i := range 20 + chance.IntN(60) {
		id := rules.ReplicaID(i)
		k.Replicas = append(k.Replicas, recovery.Replica{Name: fmt.Sprintf("s-%03d", i), Entry: rules.Entry{Replica: id, State: rules.Ready, Listed: chance.Float64(),
			StartedAt: rules.Time(n)}, Learned: rules.Recalled{Replica: id, Speed: chance.Float64(), Answers: 3, Out: i%7 == 0}})
	}
	return k
}

func opened(t *testing.T, dir string) (*Store, recovery.State) {
	t.Helper()
	s, k, damaged, err := Open(dir, time.Now())
	if damaged != nil || err != nil {
		t.Fatal(damaged, err)
	}
	return s, k
}

// TestMain lets tests start this one as a child that writes states until it is killed, or until the disk is full.
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
		if _, err := s.Write(state(n)); err != nil {
			fmt.Println("error:", err)
			return
		}
		fmt.Println("wrote", n)
	}
}

// child runs this program on a folder and returns the last state that it had written whole and the last that it had
// begun, and what else it said. It is killed after so long.
func child(t *testing.T, dir string, after time.Duration, env ...string) (wrote, began int, said string) {
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

// TestKilled kills a process outright at 200 seeded points of writing, on one folder: each start afterwards finds a state
// that was written whole, the last one that was told or the one after it.
func TestKilled(t *testing.T) {
	dir := t.TempDir()
	chance := rand.New(rand.NewPCG(5, 6))
	last := 0
	for kill := range 200 {
		wrote, began, said := child(t, dir, time.Duration(chance.IntN(20_000))*time.Microsecond)
		if said != "" {
			t.Fatalf("kill %d: %s", kill, said)
		}
		last = max(last, wrote)
		s, k := opened(t, dir)
		if n := int(k.Version); n < last || n > max(began, last) {
			t.Fatalf("kill %d: state %d is found, %d was written whole and %d begun", kill, n, last, began)
		} else if n > 0 {
			if d := cmp.Diff(state(n), k); d != "" {
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

// TestFullDisk lets a process write until no file may grow: it is told so, and what was written whole is found.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	_, _, said := child(t, dir, time.Second)
	if said != "" {
		t.Fatal(said)
	}
	info, err := os.Stat(Path(dir))
	if err != nil {
		t.Fatal(err)
	}
	s, before := opened(t, dir)
	s.Close()
	s, _ = opened(t, dir)
	big := state(1)
	big.Version = before.Version
	for i := range 20_000 { // more than the file's free pages hold
		big.Replicas = append(big.Replicas, recovery.Replica{Name: fmt.Sprintf("x-%05d", i), Entry: rules.Entry{Replica: rules.ReplicaID(1000 + i)}})
	}
	s.Close()
	_, _, said = child(t, dir, 5*time.Second, "STORE_MOST="+fmt.Sprint(info.Size()/2))
	if !strings.Contains(said, "error:") && !strings.Contains(said, "open:") {
		t.Errorf("no file could grow, and it said %q", said)
	}
	s, k := opened(t, dir)
	defer s.Close()
	if d := cmp.Diff(state(int(k.Version)), k); d != "" {
		t.Error(d)
	}
}

// TestFlippedBytes changes single bytes of a file, and cuts it, at seeded places: what is found is what was kept, or the
// file is set aside as it was and an empty one taken; and a sound one is kept there afterwards.
func TestFlippedBytes(t *testing.T) {
	base := t.TempDir()
	s, _ := opened(t, base)
	for n := 1; n < 6; n++ {
		if _, err := s.Write(state(n)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
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
		} else if k.Version != 0 && k.Version != 4 && k.Version != 5 || k.Version > 0 && cmp.Diff(state(int(k.Version)), k) != "" {
			t.Fatalf("%d: state %d is found, and not as it was kept", i, k.Version)
		}
		if _, err := s.Write(state(9)); err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatalf("%d: %v", i, err)
		}
		_ = s.Close() // the file may be what it is
	}
	if aside < 3 { // most bytes of a small file are of free pages
		t.Errorf("%d of 150 were set aside", aside)
	}
}

// TestRefused has files that are not to be touched: one that another process has open, one of a newer version, and folders
// that can't be.
func TestRefused(t *testing.T) {
	dir := t.TempDir()
	s, _ := opened(t, dir)
	if _, err := s.Write(state(3)); err != nil {
		t.Fatal(err)
	}
	for what, err := range map[string]error{
		"open":    func() error { _, _, _, err := Open(dir, time.Now()); return err }(),
		"view":    func() error { _, err := Read(dir); return err }(),
		"verify":  func() error { _, err := Verify(dir); return err }(),
		"compact": func() error { _, _, err := Compact(dir); return err }(),
	} {
		if !errors.Is(err, ErrLocked) {
			t.Errorf("%s of a file that is open: %v", what, err)
		}
	}
	if err := s.db.Update(func(tx *bbolt.Tx) error { return putValue(tx.Bucket(metaBucket), schemaKey, SchemaVersion+1) }); err != nil {
		t.Fatal(err)
	}
	s.Close()
	before, err := os.ReadFile(Path(dir))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, damaged, err := Open(dir, time.Now()); !errors.Is(err, ErrNewerSchema) || damaged != nil {
		t.Errorf("a newer file: %v, %v", err, damaged)
	}
	if _, err := Read(dir); !errors.Is(err, ErrNewerSchema) {
		t.Errorf("a newer file: %v", err)
	}
	if after, err := os.ReadFile(Path(dir)); err != nil || len(after) != len(before) {
		t.Error("a newer file was touched: ", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(filepath.Join(file, "dir"), time.Now()); err == nil || !strings.Contains(err.Error(), "state.dir") {
		t.Errorf("a folder that can't be: %v", err)
	}
	if _, err := Read(t.TempDir()); !errors.Is(err, ErrNotExist) {
		t.Errorf("a folder without a file: %v", err)
	}
}

// TestMigrates has a file of version 1: all that it keeps is found, and found again as of the present version.
func TestMigrates(t *testing.T) {
	dir, want := t.TempDir(), state(4)
	w := schema1State{header: header{Governor: want.Governor, Discovery: want.Discovery, Version: want.Version, Heard: want.ConfirmedAt, Written: want.WrittenAt, Next: want.NextReplicaID},
		All: map[string]replicaRecord{}}
	for _, r := range want.Replicas {
		w.All[r.Name] = replicaRecord{Number: r.Entry.Replica, State: r.Entry.State, Listed: r.Entry.Listed, Started: r.Entry.StartedAt,
			Speed: r.Learned.Speed, Answers: r.Learned.Answers, Out: r.Learned.Out}
	}
	db, err := bbolt.Open(Path(dir), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(metaBucket)
		return errors.Join(err, putValue(b, schemaKey, 1), putValue(b, schema1Key, w))
	}); err != nil {
		t.Fatal(err)
	}
	db.Close()
	if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), "schema 1") {
		t.Error("viewed before it was brought to the present version: ", err)
	}
	for range 2 {
		s, k := opened(t, dir)
		if d := cmp.Diff(want, k); d != "" {
			t.Error(d)
		}
		s.Close()
	}
	if n, err := Verify(dir); err != nil || n != len(want.Replicas) {
		t.Error(n, err)
	}
}

// TestWritesWhatChanged counts the bytes of a write that changes one replica of many, and compacts what is left behind.
func TestWritesWhatChanged(t *testing.T) {
	dir, k := t.TempDir(), state(3)
	s, _ := opened(t, dir)
	all, err := s.Write(k)
	if err != nil {
		t.Fatal(err)
	}
	k.Replicas = slices.Clone(k.Replicas)
	k.Replicas[5].Learned.Speed = 9
	one, err := s.Write(k)
	if err != nil || one > all/5 {
		t.Errorf("%d bytes for all, %d for one, %v", all, one, err)
	}
	k.Replicas = k.Replicas[:10]
	if _, err := s.Write(k); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if before, after, err := Compact(dir); err != nil || after > before {
		t.Error(before, after, err)
	}
	s, got := opened(t, dir)
	defer s.Close()
	if d := cmp.Diff(k, got); d != "" {
		t.Error(d)
	}
}

// TestWriterTellsOnce takes the file away from under a writer: it says so once, says when it is well again, and what was
// offered last before the end is kept.
func TestWriterTellsOnce(t *testing.T) {
	dir := t.TempDir()
	s, _ := opened(t, dir)
	var log strings.Builder
	w := NewWriter(s, testkit.Logger(&log))
	good := s.db
	s.db = nil
	w.write(state(1))
	w.write(state(2))
	s.db = good
	w.write(state(3))
	ctx, stop := context.WithCancel(t.Context())
	stop()
	w.Offer(state(4))
	w.Run(ctx)
	if strings.Count(log.String(), "can't be written") != 1 || strings.Count(log.String(), "written again") != 1 {
		t.Error(log.String())
	}
	s, k := opened(t, dir)
	defer s.Close()
	if k.Version != 4 {
		t.Errorf("state %d is kept", k.Version)
	}
}

// BenchmarkWrite is what keeping costs beside the deciding goroutine: all of 10,000 replicas, and one of them that changed;
// and BenchmarkOpen a start from that.
func BenchmarkWrite(b *testing.B) {
	for _, changed := range []int{1, 10_000} {
		b.Run(fmt.Sprint(changed), func(b *testing.B) {
			s, _, _, err := Open(b.TempDir(), time.Now())
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			k := many(10_000)
			bytes := 0
			for n := 0; b.Loop(); n++ {
				for i := range changed {
					k.Replicas[i].Learned.Speed = 1 + float64(n)
				}
				if bytes, err = s.Write(k); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/write")
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	s, _, _, err := Open(dir, time.Now())
	if err != nil {
		b.Fatal(err)
	}
	if _, err := s.Write(many(10_000)); err != nil {
		b.Fatal(err)
	}
	s.Close()
	for b.Loop() {
		s, k, _, err := Open(dir, time.Now())
		if err != nil || len(k.Replicas) != 10_000 {
			b.Fatal(err)
		}
		s.Close()
	}
}

func many(n int) (k recovery.State) {
	k.Governor, k.Discovery, k.ConfirmedAt, k.WrittenAt = "n1", "d", 1, 1
	for i := range n {
		k.Replicas = append(k.Replicas, recovery.Replica{Name: fmt.Sprintf("s-%08x", i), Entry: rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1},
			Learned: rules.Recalled{Replica: rules.ReplicaID(i), Speed: 1.25, Answers: 7.5}})
	}
	return k
}
