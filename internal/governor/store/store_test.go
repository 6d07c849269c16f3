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

// nthState returns the nth test state. It depends only on n, so that a state that is read can be compared by its version.
func nthState(n int) recovery.State {
	rng := rand.New(rand.NewPCG(uint64(n/3), 7)) // three consecutive states share most values
	k := recovery.State{Governor: "n1", Discovery: "127.0.0.1:1", Version: uint64(n), ConfirmedAt: rules.Time(1000 + n), WrittenAt: rules.Time(1001 + n), NextReplicaID: 500}
	for i := range 20 + rng.IntN(60) {
		id := rules.ReplicaID(i)
		k.Replicas = append(k.Replicas, recovery.Replica{Name: fmt.Sprintf("s-%03d", i), Entry: rules.Entry{Replica: id, State: rules.Ready, Listed: rng.Float64(),
			StartedAt: rules.Time(n)}, Learned: rules.PriorMeasurement{Replica: id, Speed: rng.Float64(), Throughput: 3, Ejected: i%7 == 0}})
	}
	return k
}

// mustOpen opens the store in dir, which must not be damaged.
func mustOpen(t *testing.T, dir string) (*Store, recovery.State) {
	t.Helper()
	s, k, damaged, err := Open(dir, time.Now())
	if damaged != nil || err != nil {
		t.Fatal(damaged, err)
	}
	return s, k
}

// TestUntouchedFiles checks the errors for a locked file, a file with a newer schema, and unusable directories, and that the
// file is not changed.
func TestUntouchedFiles(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	if _, err := s.Write(nthState(3)); err != nil {
		t.Fatal(err)
	}
	for operation, err := range map[string]error{
		"open":    func() error { _, _, _, err := Open(dir, time.Now()); return err }(),
		"read":    func() error { _, err := Read(dir); return err }(),
		"verify":  func() error { _, err := Verify(dir); return err }(),
		"compact": func() error { _, _, err := Compact(dir); return err }(),
	} {
		if !errors.Is(err, ErrLocked) {
			t.Errorf("%s of a locked file: %v", operation, err)
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
		t.Error("a newer file was changed: ", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, _, err := Open(filepath.Join(file, "dir"), time.Now()); err == nil || !strings.Contains(err.Error(), "state.dir") {
		t.Errorf("a directory that cannot be created: %v", err)
	}
	if _, err := Read(t.TempDir()); !errors.Is(err, ErrNotExist) {
		t.Errorf("a directory without a file: %v", err)
	}
}

// TestMigration opens a file of schema version 1 twice: the migrated state must be complete each time.
func TestMigration(t *testing.T) {
	dir, want := t.TempDir(), nthState(4)
	old := schema1State{header: header{Governor: want.Governor, Discovery: want.Discovery, Version: want.Version, ConfirmedAt: want.ConfirmedAt, WrittenAt: want.WrittenAt, NextReplicaID: want.NextReplicaID},
		Records: map[string]replicaRecord{}}
	for _, r := range want.Replicas {
		old.Records[r.Name] = replicaRecord{ReplicaID: r.Entry.Replica, State: r.Entry.State, Listed: r.Entry.Listed, StartedAt: r.Entry.StartedAt,
			Speed: r.Learned.Speed, Throughput: r.Learned.Throughput, Ejected: r.Learned.Ejected}
	}
	db, err := bbolt.Open(Path(dir), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucket(metaBucket)
		return errors.Join(err, putValue(b, schemaKey, 1), putValue(b, schema1StateKey, old))
	}); err != nil {
		t.Fatal(err)
	}
	testkit.Close(t, db)
	if _, err := Read(dir); err == nil || !strings.Contains(err.Error(), "schema 1") {
		t.Error("read before migration: ", err)
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

// TestWriteOnlyChanges checks that a write after a change of one replica is small, and that the state survives Compact.
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
