package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/bbolt"

	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// nthState returns the nthState that the test keeps as its nth. It is a function of n alone, so that whatever is found can be
// compared.
func nthState(n int) recovery.State {
	chance := rand.New(rand.NewPCG(uint64(n/3), 7)) // neighbours share most of it
	k := recovery.State{Governor: "n1", Discovery: "127.0.0.1:1", Version: uint64(n), ConfirmedAt: rules.Time(1000 + n), WrittenAt: rules.Time(1001 + n), NextReplicaID: 500}
	for i := range 20 + chance.IntN(60) {
		id := rules.ReplicaID(i)
		k.Replicas = append(k.Replicas, recovery.Replica{Name: fmt.Sprintf("s-%03d", i), Entry: rules.Entry{Replica: id, State: rules.Ready, Listed: chance.Float64(),
			StartedAt: rules.Time(n)}, Learned: rules.PriorMeasurement{Replica: id, Speed: chance.Float64(), Throughput: 3, Ejected: i%7 == 0}})
	}
	return k
}

// mustOpen opens the store of a folder, which must not be damaged.
func mustOpen(t *testing.T, dir string) (*Store, recovery.State) {
	t.Helper()
	s, k, damaged, err := Open(dir, time.Now())
	if damaged != nil || err != nil {
		t.Fatal(damaged, err)
	}
	return s, k
}

// TestUntouchedFiles has files that must not be changed: one that another process has open, one of a newer schema, and
// folders that can't be used.
func TestUntouchedFiles(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	if _, err := s.Write(nthState(3)); err != nil {
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
	testkit.Close(t, s)
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

// TestMigration opens a file of version 1: all of its state is found, and found again as of the current version.
func TestMigration(t *testing.T) {
	dir, want := t.TempDir(), nthState(4)
	w := schema1State{header: header{Governor: want.Governor, Discovery: want.Discovery, Version: want.Version, ConfirmedAt: want.ConfirmedAt, WrittenAt: want.WrittenAt, NextReplicaID: want.NextReplicaID},
		Records: map[string]replicaRecord{}}
	for _, r := range want.Replicas {
		w.Records[r.Name] = replicaRecord{ReplicaID: r.Entry.Replica, State: r.Entry.State, Listed: r.Entry.Listed, StartedAt: r.Entry.StartedAt,
			Speed: r.Learned.Speed, Throughput: r.Learned.Throughput, Ejected: r.Learned.Ejected}
	}
	db, err := bbolt.Open(Path(dir), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(metaBucket)
		return errors.Join(err, putValue(b, schemaKey, 1), putValue(b, schema1StateKey, w))
	}); err != nil {
		t.Fatal(err)
	}
	testkit.Close(t, db)
	if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), "schema 1") {
		t.Error("viewed before it was brought to the present version: ", err)
	}
	for range 2 {
		s, k := mustOpen(t, dir)
		if d := cmp.Diff(want, k); d != "" {
			t.Error(d)
		}
		testkit.Close(t, s)
	}
	if n, err := Verify(dir); err != nil || n != len(want.Replicas) {
		t.Error(n, err)
	}
}

// TestWriteOnlyChanges counts the bytes of a write that changes one replica of many, and compacts the file afterwards.
func TestWriteOnlyChanges(t *testing.T) {
	dir, k := t.TempDir(), nthState(3)
	s, _ := mustOpen(t, dir)
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
	testkit.Close(t, s)
	if before, after, err := Compact(dir); err != nil || after > before {
		t.Error(before, after, err)
	}
	s, got := mustOpen(t, dir)
	defer testkit.Close(t, s)
	if d := cmp.Diff(k, got); d != "" {
		t.Error(d)
	}
}
