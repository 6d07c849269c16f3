package compatibility

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
	"zincloft.example/zincloft/internal/daemons/statestore"
	"zincloft.example/zincloft/internal/governor/store"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/internal/tools/maintenancefile"
	"zincloft.example/zincloft/recovery"
)

const (
	stateDir    = "testdata/statestore"    // state store of the control plane: cell.0 and cell.1
	governorDir = "testdata/governorstore" // state store of the governor: state.db
	windowsDir  = "testdata/windowsfile"   // maintenance windows file and the results of reading it

	stateKey = "state"
)

// controlPlaneState returns the state in the newest file of the golden state store.
func controlPlaneState() coordinator.PersistentState {
	value, _ := filled(reflect.TypeFor[coordinator.PersistentState](), union(laterFields))
	state := value.Interface().(coordinator.PersistentState)
	state.Register.Body = []byte(`{"version":"0000002a"}`) // a configuration, as exports print it
	return state
}

// stateWrites returns the two writes that created the golden state store, one for each of its files.
func stateWrites(t *testing.T) [2]map[string][]byte {
	t.Helper()
	var states [2][]byte
	for i, state := range []coordinator.PersistentState{{DiskID: "first"}, controlPlaneState()} {
		raw, err := cbor.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		states[i] = raw
	}
	return [2]map[string][]byte{{stateKey: states[0], "other": []byte("\x00\xff\r\n")}, {stateKey: states[1]}}
}

// writeStateStore performs stateWrites in an empty directory.
func writeStateStore(t *testing.T, dir string) {
	t.Helper()
	s, err := statestore.Open(statestore.Directory(dir))
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, s)
	for _, values := range stateWrites(t) {
		if err := s.Put(values); err != nil {
			t.Fatal(err)
		}
	}
}

// TestStateStoreFiles verifies that the state store writes the same files as the golden ones.
func TestStateStoreFiles(t *testing.T) {
	recordDir(t, stateDir, writeStateStore)
	written := t.TempDir()
	writeStateStore(t, written)
	compareFiles(t, written, stateDir, "cell.0", "cell.1")
}

// TestReadGoldenStateStore verifies that the current code reads the golden state store and can write to it.
func TestReadGoldenStateStore(t *testing.T) {
	dir := copyDir(t, stateDir)
	writes := stateWrites(t)

	copies, err := statestore.Inspect(dir)
	if err != nil || len(copies) != 2 {
		t.Fatalf("%d copies, %v", len(copies), err)
	}
	for i, want := range []struct {
		name   string
		values map[string][]byte
	}{
		{"cell.0", writes[0]},
		{"cell.1", map[string][]byte{stateKey: writes[1][stateKey], "other": writes[0]["other"]}},
	} {
		c := copies[i]
		if c.Err != nil || c.Name != want.name || c.Generation != uint64(i+1) || !reflect.DeepEqual(c.Values, want.values) {
			t.Errorf("copy %d: %+v, want %+v", i, c, want)
		}
	}

	s, err := statestore.Open(statestore.Directory(dir))
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, s)
	if len(s.Quarantined) > 0 {
		t.Errorf("quarantined files: %v", s.Quarantined)
	}
	raw, ok := s.Get(stateKey)
	if !ok {
		t.Fatalf("no value for key %q", stateKey)
	}
	got, err := coordinator.DecodePersistentState(raw)
	if err != nil {
		t.Fatal(err)
	}
	if want := controlPlaneState(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	if err := s.Put(map[string][]byte{stateKey: []byte("third")}); err != nil {
		t.Fatal(err)
	}
	compareFiles(t, dir, stateDir, "cell.1") // the third write replaces cell.0
}

// governorState returns the contents of the golden governor store: two replicas, sorted by name.
func governorState() recovery.State {
	value, _ := filled(reflect.TypeFor[recovery.State](), union(laterFields))
	state := value.Interface().(recovery.State)
	state.Replicas[0].Name, state.Replicas[1].Name = "a", "b"
	for i := range state.Replicas { // the store holds the replica number once and does not hold the trust
		r := &state.Replicas[i]
		r.Learned.Replica, r.Learned.Trust = r.Entry.Replica, 0
	}
	return state
}

func writeGovernorStore(t *testing.T, dir string) {
	t.Helper()
	s, _, damaged, err := store.Open(dir, time.Unix(0, 0))
	if err != nil || damaged != nil {
		t.Fatal(err, damaged)
	}
	if _, err := s.Write(governorState()); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestGovernorStoreValues verifies that the governor writes the same buckets, keys and values as in the golden store. The bytes of the
// file depend on the database library and are not compared.
func TestGovernorStoreValues(t *testing.T) {
	recordDir(t, governorDir, writeGovernorStore)
	written := t.TempDir()
	writeGovernorStore(t, written)
	got, want := databaseValues(t, written), databaseValues(t, copyDir(t, governorDir))
	if len(want) == 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("written %q, want %q", got, want)
	}
}

// TestReadGoldenGovernorStore verifies that the current code reads and opens the golden governor store.
func TestReadGoldenGovernorStore(t *testing.T) {
	want := governorState()
	got, err := store.Read(copyDir(t, governorDir))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
	s, got, damaged, err := store.Open(copyDir(t, governorDir), time.Unix(0, 0))
	if err != nil || damaged != nil {
		t.Fatal(err, damaged)
	}
	defer testkit.Close(t, s)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("opened %+v, want %+v", got, want)
	}
}

// databaseValues returns all values of state.db in a directory, by "bucket/key".
func databaseValues(t *testing.T, dir string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, "state.db"), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, db)
	values := map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				values[string(bucket)+"/"+string(key)] = string(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return values
}

// TestWindowsFile verifies that the golden maintenance windows file, which sets every key, results in the golden command and timetable.
func TestWindowsFile(t *testing.T) {
	f, err := maintenancefile.Read(filepath.Join(windowsDir, "windows.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	timetable, conflict := maintenanceplanner.Plan(&f.Request)
	if conflict != nil {
		t.Fatal(conflict)
	}
	agree, err := json.MarshalIndent(f.AgreeCommand(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string][]byte{"agree.json": append(agree, '\n'), "timetable.txt": []byte(f.Render(timetable))} {
		path := filepath.Join(windowsDir, name)
		if _, err := os.Stat(path); *record && os.IsNotExist(err) {
			if err := os.WriteFile(path, got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
		}
	}
}

// recordDir creates a golden directory that does not exist yet, with -record.
func recordDir(t *testing.T, dir string, write func(*testing.T, string)) {
	t.Helper()
	if _, err := os.Stat(dir); !*record || !os.IsNotExist(err) {
		return
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	write(t, dir)
}

// copyDir copies a golden directory, so that tests cannot change it.
func copyDir(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	return to
}

// compareFiles compares the named files of two directories, and verifies that got has no file that want lacks.
func compareFiles(t *testing.T, got, want string, names ...string) {
	t.Helper()
	for _, name := range names {
		g, err := os.ReadFile(filepath.Join(got, name))
		if err != nil {
			t.Fatal(err)
		}
		w, err := os.ReadFile(filepath.Join(want, name))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(g, w) {
			t.Errorf("%s has changed:\n got %q\nwant %q", name, g, w)
		}
	}
	entries, err := os.ReadDir(got)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if _, err := os.Stat(filepath.Join(want, e.Name())); err != nil {
			t.Errorf("unexpected file %s", e.Name())
		}
	}
}
