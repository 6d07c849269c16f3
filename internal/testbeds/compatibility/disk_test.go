package compatibility

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"encoding/json"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
	"zincloft.example/zincloft/internal/daemons/statestore"
	"zincloft.example/zincloft/internal/governor/store"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/internal/tools/maintenancefile"
	"zincloft.example/zincloft/recovery"
)

const (
	stateFolder    = "testdata/statestore"    // the control plane's state: cell.0 and cell.1
	governorFolder = "testdata/governorstore" // the governor's state: state.db
	windowsFolder  = "testdata/windowsfile"   // windows.yaml and what was read from it

	stateKey = "state"
)

// controlPlaneState is what the newest file of the kept state store holds.
func controlPlaneState() coordinator.PersistentState {
	value, _ := filled(reflect.TypeFor[coordinator.PersistentState](), laterFields)
	k := value.Interface().(coordinator.PersistentState)
	k.Register.Body = []byte(`{"version":"0000002a"}`) // a configuration, as exports print it
	return k
}

// stateWrites are the two writes that filled the kept state store, one for each of its files.
func stateWrites(t *testing.T) [2]map[string][]byte {
	t.Helper()
	var states [2][]byte
	for i, k := range []coordinator.PersistentState{{DiskID: "first"}, controlPlaneState()} {
		raw, err := cbor.Marshal(k)
		if err != nil {
			t.Fatal(err)
		}
		states[i] = raw
	}
	return [2]map[string][]byte{{stateKey: states[0], "other": []byte("\x00\xff\r\n")}, {stateKey: states[1]}}
}

// writeStateStore has the current code make the two writes in a new folder.
func writeStateStore(t *testing.T, folder string) {
	t.Helper()
	s, err := statestore.Open(statestore.Directory(folder))
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

// TestStateStoreFiles compares the names and bytes of the files of the state store with the kept ones.
func TestStateStoreFiles(t *testing.T) {
	recordFolder(t, stateFolder, writeStateStore)
	now := t.TempDir()
	writeStateStore(t, now)
	sameFiles(t, now, stateFolder, "cell.0", "cell.1")
}

// TestStateStoreIsRead has the current code open the kept state store.
func TestStateStoreIsRead(t *testing.T) {
	folder := copyFolder(t, stateFolder)
	writes := stateWrites(t)

	copies, err := statestore.Inspect(folder)
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

	s, err := statestore.Open(statestore.Directory(folder))
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, s)
	if len(s.Quarantined) > 0 {
		t.Errorf("set aside: %v", s.Quarantined)
	}
	raw, ok := s.Get(stateKey)
	if !ok {
		t.Fatal("the newest state is not found")
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
	sameFiles(t, folder, stateFolder, "cell.1") // the third write goes to the file of the first
}

// governorState is what the kept governor's store holds: two replicas in the order of their names.
func governorState() recovery.State {
	value, _ := filled(reflect.TypeFor[recovery.State](), laterFields)
	k := value.Interface().(recovery.State)
	k.Replicas[0].Name, k.Replicas[1].Name = "a", "b"
	for i := range k.Replicas { // the number is kept once, and trust is worked out anew
		r := &k.Replicas[i]
		r.Learned.Replica, r.Learned.Trust = r.Entry.Replica, 0
	}
	return k
}

func writeGovernorStore(t *testing.T, folder string) {
	t.Helper()
	s, _, damaged, err := store.Open(folder, time.Unix(0, 0))
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

// TestGovernorStoreValues compares the buckets, keys and values of the governor's store with the kept ones. The bytes
// of the file are the database's own affair.
func TestGovernorStoreValues(t *testing.T) {
	recordFolder(t, governorFolder, writeGovernorStore)
	now := t.TempDir()
	writeGovernorStore(t, now)
	got, want := databaseValues(t, now), databaseValues(t, copyFolder(t, governorFolder))
	if len(want) == 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("written %q, want %q", got, want)
	}
}

// TestGovernorStoreIsRead has the current code open the kept governor's store.
func TestGovernorStoreIsRead(t *testing.T) {
	want := governorState()
	got, err := store.Read(copyFolder(t, governorFolder))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("viewed %+v, %v, want %+v", got, err, want)
	}
	s, got, damaged, err := store.Open(copyFolder(t, governorFolder), time.Unix(0, 0))
	if err != nil || damaged != nil {
		t.Fatal(err, damaged)
	}
	defer testkit.Close(t, s)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("opened %+v, want %+v", got, want)
	}
}

// databaseValues are all values of state.db in a folder, by bucket and key.
func databaseValues(t *testing.T, folder string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(folder, "state.db"), 0o600, &bbolt.Options{ReadOnly: true})
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

// TestWindowsFile reads the kept file of maintenance windows, which has every key, and compares the command and the
// timetable that come of it with the kept ones.
func TestWindowsFile(t *testing.T) {
	f, err := maintenancefile.Read(filepath.Join(windowsFolder, "windows.yaml"))
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
		path := filepath.Join(windowsFolder, name)
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

// recordFolder writes a kept folder that does not exist, with -record.
func recordFolder(t *testing.T, folder string, write func(*testing.T, string)) {
	t.Helper()
	if _, err := os.Stat(folder); !*record || !os.IsNotExist(err) {
		return
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	write(t, folder)
}

// copyFolder copies a kept folder, so that opening it cannot change it.
func copyFolder(t *testing.T, folder string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	return to
}

// sameFiles compares some files of two folders, and that the first folder has none that the second lacks.
func sameFiles(t *testing.T, got, want string, names ...string) {
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
			t.Errorf("%s is written, which was not before", e.Name())
		}
	}
}
