package statestore

import (
	"errors"
	"io/fs"
	"os"
)

// simulatedDisk is an in-memory FileSystem that simulates power loss and failing operations.
type simulatedDisk struct {
	synced, written map[string][]byte
	directorySynced map[string]bool // names that existed at a directory sync
	failing         string          // the operation that fails: "open", "write" or "sync"
	partialWrite    int             // number of bytes that a failing write still writes
}

func newSimulatedDisk() *simulatedDisk {
	return &simulatedDisk{synced: map[string][]byte{}, written: map[string][]byte{}, directorySynced: map[string]bool{}}
}

var errIO = errors.New("input/output error")

func (d *simulatedDisk) ReadFile(name string) ([]byte, error) {
	content, ok := d.written[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return content, nil
}

func (d *simulatedDisk) OpenForWrite(name string) (File, error) {
	if d.failing == "open" {
		return nil, errIO
	}
	if _, ok := d.written[name]; !ok {
		d.written[name] = nil
	}
	return &simulatedFile{d, name}, nil
}

func (d *simulatedDisk) Rename(from, to string) error {
	d.written[to] = d.written[from]
	delete(d.written, from)
	return nil
}

func (d *simulatedDisk) SyncDirectory() error {
	for name := range d.written {
		d.directorySynced[name] = true
	}
	return nil
}

// afterPowerLoss returns the disk after a power loss: unsynced data is lost, except that the first tornAt bytes of each file's
// unsynced content have overwritten the synced content.
func (d *simulatedDisk) afterPowerLoss(tornAt int) *simulatedDisk {
	after := newSimulatedDisk()
	for name, written := range d.written {
		if !d.directorySynced[name] {
			continue
		}
		content := append([]byte(nil), d.synced[name]...)
		if tornAt > 0 {
			torn := written[:min(tornAt, len(written))]
			if len(torn) > len(content) {
				content = append([]byte(nil), torn...)
			} else {
				copy(content, torn)
			}
		}
		after.written[name], after.synced[name], after.directorySynced[name] = content, content, true
	}
	return after
}

type simulatedFile struct {
	disk *simulatedDisk
	name string
}

func (f *simulatedFile) WriteAt(p []byte, offset int64) (int, error) {
	n := len(p)
	if f.disk.failing == "write" {
		n = min(f.disk.partialWrite, n)
	}
	previous := f.disk.written[f.name]
	content := make([]byte, max(len(previous), int(offset)+n))
	copy(content, previous)
	copy(content[offset:], p[:n])
	f.disk.written[f.name] = content
	if n < len(p) {
		return n, errors.New("no space left on device")
	}
	return n, nil
}

func (f *simulatedFile) Sync() error {
	if f.disk.failing == "sync" {
		return errIO
	}
	f.disk.synced[f.name] = append([]byte(nil), f.disk.written[f.name]...)
	return nil
}

func (f *simulatedFile) Close() error { return nil }
