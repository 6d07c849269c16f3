package simulation

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"testing"
)

// writeFile writes to a file and applies the operations.
func writeFile(t *testing.T, d *disk, name string, data []byte) fileHandle {
	t.Helper()
	file, err := d.OpenForWrite(name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteAt(data, 0); err != nil {
		t.Fatal(err)
	}
	applyPending(d)
	return file.(fileHandle)
}

func applyPending(d *disk) {
	for _, operation := range d.pending {
		d.apply(operation)
	}
	d.pending = nil
}

// syncAll makes a file and its name durable.
func syncAll(t *testing.T, d *disk, file fileHandle) {
	t.Helper()
	if err := errors.Join(file.Sync(), d.SyncDirectory()); err != nil {
		t.Fatal(err)
	}
	applyPending(d)
}

// TestDiskKeepsSyncedData checks that a power loss keeps synced content and the file's name.
func TestDiskKeepsSyncedData(t *testing.T) {
	for seed := range uint64(50) {
		d, data := newDisk(), []byte("synced")
		syncAll(t, d, writeFile(t, d, "file", data))
		d.powerLost(rand.New(rand.NewPCG(seed, 1)))
		if got, err := d.ReadFile("file"); err != nil || !bytes.Equal(got, data) {
			t.Fatalf("seed %d: %q, %v", seed, got, err)
		}
	}
}

// TestDiskTearsWritesAtSectors checks that each sector of an unsynced write is kept or lost as a whole, and that any
// number of sectors may be kept.
func TestDiskTearsWritesAtSectors(t *testing.T) {
	const sectors = 4
	kept := map[int]int{}
	for seed := range uint64(400) {
		d := newDisk()
		file := writeFile(t, d, "file", bytes.Repeat([]byte{'a'}, sectors*sectorSize))
		syncAll(t, d, file)
		writeFile(t, d, "file", bytes.Repeat([]byte{'b'}, sectors*sectorSize))
		d.powerLost(rand.New(rand.NewPCG(seed, 1)))
		got, err := d.ReadFile("file")
		if err != nil || len(got) != sectors*sectorSize {
			t.Fatalf("seed %d: %d bytes, %v", seed, len(got), err)
		}
		written := 0
		for i := range sectors {
			sector := got[i*sectorSize : (i+1)*sectorSize]
			if n := bytes.Count(sector, []byte{'b'}); n == sectorSize {
				written++
			} else if n > 0 {
				t.Fatalf("seed %d: %d bytes of sector %d were written", seed, n, i)
			}
		}
		kept[written]++
	}
	for written := range sectors + 1 {
		if kept[written] == 0 {
			t.Errorf("no power loss kept exactly %d sectors: %v", written, kept)
		}
	}
}

// TestDiskLosesUnsyncedDirectoryEntries checks that a power loss may remove a file whose directory was not synced.
func TestDiskLosesUnsyncedDirectoryEntries(t *testing.T) {
	lost, kept := 0, 0
	for seed := range uint64(100) {
		d := newDisk()
		file := writeFile(t, d, "file", []byte("synced, but without a name"))
		if err := file.Sync(); err != nil {
			t.Fatal(err)
		}
		applyPending(d)
		d.powerLost(rand.New(rand.NewPCG(seed, 1)))
		switch _, err := d.ReadFile("file"); {
		case errors.Is(err, fs.ErrNotExist):
			lost++
		case err == nil:
			kept++
		default:
			t.Fatal(err)
		}
	}
	if lost == 0 || kept == 0 {
		t.Errorf("lost %d times and kept %d times", lost, kept)
	}
}

// TestDiskFaults checks the errors of a full and of a failing disk.
func TestDiskFaults(t *testing.T) {
	d := newDisk()
	file := writeFile(t, d, "file", []byte("before"))
	d.full = true
	if n, err := file.WriteAt([]byte("123456"), 0); n != 2 || !errors.Is(err, errNoSpace) {
		t.Errorf("full disk: wrote %d of 6 bytes, error %v", n, err)
	}
	d.full, d.failing = false, true
	if err := file.Sync(); !errors.Is(err, errInputOutput) {
		t.Errorf("failing disk: Sync returned %v", err)
	}
	if _, err := d.OpenForWrite("other"); !errors.Is(err, errInputOutput) {
		t.Errorf("failing disk: OpenForWrite returned %v", err)
	}
}
